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
  serve    Runs one front in the foreground until SIGTERM.
  check    Reads the configuration, and the operator's file if one is named; says whether they can be used.
  schema   Prints the JSON Schema of the operator's file.
  sharing  Looks into the shared stores: whether they answer and how they stand (ping), claims and holders
           (claims), purges (purges); has them forget names, or without a name everything, for all fronts
           (forget). What is forgotten is advice: requests go on without it.
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

Exit codes: 0 done, 1 it can't be done (port in use, store not reached), 2 a faulty file or command line.
"""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING

import orjson
from docopt import DocoptExit, docopt

from olivepost import __version__
from olivepost.config import ConfigError, load

if TYPE_CHECKING:
    from olivepost.operator_config.model import OperatorSettings


class Unusable(Exception):
    """A file or command line that can't be used; the message names the fault."""


def main(arguments: list[str] | None = None) -> int:
    """Runs a sub-command; returns the exit code."""
    assert __doc__
    try:
        given = docopt(__doc__, arguments)
    except DocoptExit as fault:
        print(fault, file=sys.stderr)
        return 2
    if given["version"]:
        print(f"olivepost {__version__}")
        return 0
    try:
        if given["schema"]:
            return _schema()
        operator = _operator(given["--operator"])
        if given["sharing"]:
            return _sharing(operator, given)
        if given["check"] and operator and not (given["--config"] or os.environ.get("BALANCER_CONFIG")):
            print("olivepost: the operator's file can be used")
            return 0
        config = load(os.environ, given["--config"])
    except (ConfigError, Unusable) as fault:
        print(f"olivepost: {fault}", file=sys.stderr)
        return 2
    if given["check"]:
        host, port = config.listen
        print(f"olivepost: the configuration can be used; {config.name} listens on {host}:{port}")
        return 0
    from olivepost.proxy.server import serve

    return serve(
        config, lambda: load(os.environ, given["--config"]), operator, lambda: _operator(given["--operator"])
    )


def _operator(path: str | None) -> OperatorSettings | None:
    """The operator's file, if one is named; without one nothing of it is imported."""
    path = path or os.environ.get("OLIVEPOST_OPERATOR")
    if not path:
        return None
    try:
        from olivepost.operator_config.loader import load as load_operator
    except ModuleNotFoundError as fault:
        raise Unusable(f"an operator's file needs the package '{fault.name}': pip install .[all]") from fault
    return load_operator(path)


def _schema() -> int:
    from olivepost.operator_config.loader import schema

    print(orjson.dumps(schema(), option=orjson.OPT_INDENT_2).decode())
    return 0


def _sharing(operator: OperatorSettings | None, given: dict[str, object]) -> int:
    if operator is None or operator.sharing is None:
        raise Unusable("no section 'sharing': name an operator's file that has one by --operator")
    from olivepost.shared_store.inspect import run

    verb = next(verb for verb in ("ping", "claims", "purges", "forget") if given[verb])
    names, store = given["NAME"], given["--store"]
    assert isinstance(names, list)
    stores = [known.name for known in operator.sharing.stores]
    if store and store not in stores:
        raise Unusable(f"no store '{store}'; there are {', '.join(stores)}")
    return run(operator.sharing, verb, names, str(store or ""), bool(given["--json"]))
