"""olivepost, a request router for caches.

Usage:
  olivepost serve [--config FILE] [--operator FILE]
  olivepost check [--config FILE] [--operator FILE]
  olivepost schema
  olivepost sharing (ping | claims | purges) [--operator FILE] [--store NAME] [--json]
  olivepost sharing forget [NAME...] [--operator FILE] [--store NAME] [--json]
  olivepost version
  olivepost -h | --help

Commands:
  serve    Runs a proxy in the foreground until SIGTERM.
  check    Reads the configuration, and the operator's file if one is named; reports whether they can be used.
  schema   Prints the JSON Schema of the operator's file.
  sharing  Inspects the shared stores: reachability and state (ping), fill leases and cache locations
           (claims), invalidations (purges). Deletes, for all proxies, the records of the given names, or all
           records if no name is given (forget). Stores hold only hints: requests are served without them.
  version  Prints the version.

Options:
  --config FILE    The configuration; else the file that BALANCER_CONFIG names.
  --operator FILE  The operator's YAML file; else the file that OLIVEPOST_OPERATOR names, if any.
  --store NAME     Only this store.
  --json           One JSON object instead of a table.
  -h --help        Shows this text.

Examples:
  BALANCER_CONFIG=/run/balancer/config.json olivepost serve
  olivepost check --config examples/config.json --operator deploy/examples/sharing.yaml
  olivepost sharing claims --operator deploy/examples/sharing.yaml --json

Exit codes: 0 success, 1 failure (port in use, store unreachable), 2 invalid file or command line.
"""

# The docstring above is also the grammar that docopt parses. Subsystems of the operator's file are imported
# only if such a file is named. A proxy without such a file thus saves their memory and their start-up time.

from __future__ import annotations

import os
import sys
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

import orjson
from docopt import DocoptExit, docopt

from olivepost import __version__
from olivepost.config import ConfigError, ProxyConfig, load

if TYPE_CHECKING:
    from olivepost.operator_config.model import OperatorSettings

COMMANDS = ("serve", "check", "schema", "sharing", "version")
SHARING_VERBS = ("ping", "claims", "purges", "forget")
CONFIG_VARIABLE = "BALANCER_CONFIG"
OPERATOR_VARIABLE = "OLIVEPOST_OPERATOR"


class ExitCode(IntEnum):
    """Exit codes of the process. Scripts rely on these codes."""

    DONE = 0
    FAILED = 1
    UNUSABLE = 2


class CommandError(Exception):
    """Error: the command can't be run as given; the message says what is missing or allowed."""


class MissingPackageError(CommandError):
    """Error: a package that only the operator's configuration file requires is not installed."""

    def __init__(self, package: str | None) -> None:
        super().__init__(f"an operator's file needs the package '{package}': pip install .[all]")
        self.package = package


class MissingSectionError(CommandError):
    """Error: the section `sharing` is missing; the operator's file lacks it, or no such file is named."""

    def __init__(self) -> None:
        super().__init__(
            "no section 'sharing': --operator or OLIVEPOST_OPERATOR must name a file that has one"
        )


class UnknownStoreError(CommandError):
    """Error: `--store` names a store that the operator's file doesn't have."""

    def __init__(self, name: str, known: list[str]) -> None:
        super().__init__(f"no store '{name}'; known stores: {', '.join(known)}")
        self.name = name
        self.known = known


@dataclass(frozen=True, slots=True)
class CommandLine:
    """A parsed command line."""

    command: str
    sharing_verb: str | None
    names: list[str]
    config_path: str | None
    operator_path: str | None
    store_name: str | None
    as_json: bool

    @classmethod
    def parse(cls, arguments: list[str] | None) -> CommandLine:
        """Parses `arguments`, or the process's arguments if `arguments` is None.

        Raises DocoptExit, whose message shows the usage, if the arguments don't fit the grammar.
        """
        assert __doc__
        parsed = docopt(__doc__, arguments)
        return cls(
            command=next(command for command in COMMANDS if parsed[command]),
            sharing_verb=next((verb for verb in SHARING_VERBS if parsed[verb]), None),
            names=parsed["NAME"],
            config_path=parsed["--config"],
            operator_path=parsed["--operator"],
            store_name=parsed["--store"],
            as_json=parsed["--json"],
        )

    def load_config(self) -> ProxyConfig:
        """Reads the configuration's file anew at each call; raises ConfigError if it can't be used."""
        return load(os.environ, self.config_path)

    def load_operator(self) -> OperatorSettings | None:
        """Reads the operator's file anew at each call; returns None if no file is named.

        Raises ConfigError if the file can't be used, and MissingPackageError if a package for reading it is
        missing.
        """
        path = self.operator_path or os.environ.get(OPERATOR_VARIABLE)
        if not path:
            return None
        try:
            from olivepost.operator_config.loader import load as load_operator_file
        except ModuleNotFoundError as error:
            raise MissingPackageError(error.name) from error
        return load_operator_file(path)


def main(arguments: list[str] | None = None) -> int:
    """Runs a command and returns the process's exit code."""
    try:
        command_line = CommandLine.parse(arguments)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return ExitCode.UNUSABLE
    try:
        return _run(command_line)
    except (ConfigError, CommandError) as error:
        print(f"olivepost: {error}", file=sys.stderr)
        return ExitCode.UNUSABLE


def _run(command_line: CommandLine) -> int:
    match command_line.command:
        case "version":
            print(f"olivepost {__version__}")
            return ExitCode.DONE
        case "schema":
            return _print_schema()
        case "sharing":
            return _run_sharing(command_line)
        case "check":
            return _check(command_line)
    return _serve(command_line)


def _print_schema() -> int:
    from olivepost.operator_config.loader import schema

    print(orjson.dumps(schema(), option=orjson.OPT_INDENT_2).decode())
    return ExitCode.DONE


def _run_sharing(command_line: CommandLine) -> int:
    operator = command_line.load_operator()
    if operator is None or operator.sharing is None:
        raise MissingSectionError
    from olivepost.shared_store import inspect

    store_name = command_line.store_name
    known = [store.name for store in operator.sharing.stores]
    if store_name and store_name not in known:
        raise UnknownStoreError(store_name, known)
    verb = inspect.Verb(command_line.sharing_verb)
    report = inspect.run(operator.sharing, verb, command_line.names, store_name)
    inspect.print_report(report, command_line.as_json)
    return ExitCode.FAILED if report.faults else ExitCode.DONE


def _check(command_line: CommandLine) -> int:
    operator = command_line.load_operator()
    if operator and not (command_line.config_path or os.environ.get(CONFIG_VARIABLE)):
        print("olivepost: the operator's file can be used")
        return ExitCode.DONE
    config = command_line.load_config()
    host, port = config.listen
    print(f"olivepost: the configuration can be used; {config.name} listens on {host}:{port}")
    return ExitCode.DONE


def _serve(command_line: CommandLine) -> int:
    from olivepost.proxy.signals import SignalListener

    # The listener is created first, so that a signal during the start does not end the process.
    signals = SignalListener()
    operator = command_line.load_operator()
    from olivepost.proxy.server import ConfigurationSource, serve

    source = ConfigurationSource(command_line.load_config, command_line.load_operator)
    return serve(command_line.load_config(), signals, source, operator)
