"""Real proxies and stand-in caches, run as processes.

Each process is killed when the `with` block that started it ends. A process writes its results or its log to
standard output.
"""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from examples.toy_server import CONFIG

ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 20.0  # time within which a proxy must accept connections
CONNECT_TIMEOUT_S = 1.0
START_POLL_S = 0.05
FIRST_SEED = 7  # seed in the first proxy's configuration; each further proxy's seed is one higher
CACHE_WEIGHT = 4  # concurrent transfers that a cache can serve


class Address(NamedTuple):
    """The host and port at which a process listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parses an address of the form HOST:PORT."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))


class Process:
    """A process that writes a line of JSON when it is ready, and another in response to each line it reads.

    It is a context manager, which kills the process when its block ends. Only one thread may call `ask`.
    """

    def __init__(self, *words: str, log: Path | None = None) -> None:
        self._log = log.open("wb") if log else subprocess.PIPE
        self._process = subprocess.Popen(
            [sys.executable, "-O", "-m", *words],
            stdin=subprocess.PIPE,
            cwd=ROOT,
            stdout=self._log,
            stderr=subprocess.DEVNULL,
        )

    def __enter__(self) -> Process:
        return self

    def __exit__(self, *_: object) -> None:
        self.end()

    def read_line(self) -> Any:
        """Waits for the next line of the process's output and decodes it."""
        assert self._process.stdout is not None
        return json.loads(self._process.stdout.readline())

    def ask(self, text: str) -> Any:
        """Sends the process a line, waits for the response and decodes it."""
        assert self._process.stdin is not None
        self._process.stdin.write(f"{text}\n".encode())
        self._process.stdin.flush()
        return self.read_line()

    def cpu_s(self) -> float:
        """Returns the user and system CPU time that the process has used so far, in seconds."""
        text = Path(f"/proc/{self._process.pid}/stat").read_text()
        # After the process's name in parentheses, the 12th word is utime and the 13th is stime; see proc(5).
        words = text.rpartition(")")[2].split()
        ticks = int(words[11]) + int(words[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def end(self) -> None:
        """Kills the process and waits for its end."""
        self._process.kill()
        self._process.wait()


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """The number of proxies, the number of caches, and the number of names that each cache can store."""

    proxies: int
    caches: int
    cache_capacity: int


class Fleet:
    """The proxies of one branch and their caches. If there is a store, the operator's file names it."""

    def __init__(self, folder: Path, options: FleetOptions, store: Address | None) -> None:
        self.caches = Process(
            "benchmarks.caches", str(options.caches), str(options.cache_capacity), str(CACHE_WEIGHT)
        )
        self.proxies: list[Process] = []
        self.addresses: list[Address] = []
        self._logs: list[Path] = []
        upstream = self.caches.read_line()
        arguments = write_operator_file(folder, store) if store is not None else []
        for number in range(options.proxies):
            self._start_proxy(folder, number, proxy_config(number, options.proxies, upstream), arguments)
        for address in self.addresses:
            wait_until_listening(address)

    def _start_proxy(self, folder: Path, number: int, config: dict[str, Any], arguments: list[str]) -> None:
        address = find_free_address()
        path = folder / f"n{number}.json"
        path.write_text(json.dumps(config | {"listen": str(address)}))
        log = folder / f"n{number}.log"
        proxy = Process("olivepost", "serve", "--config", str(path), *arguments, log=log)
        self.proxies.append(proxy)
        self.addresses.append(address)
        self._logs.append(log)

    def events(self, name: str) -> list[dict[str, Any]]:
        """Returns all proxies' log entries with this event name, each with its proxy's number added."""
        rows = []
        for number, log in enumerate(self._logs):
            for line in log.read_bytes().splitlines():
                row = json.loads(line) if line.endswith(b"}") else {}
                if row.get("event") == name:
                    rows.append({**row, "number": number})
        return rows

    def cpu_s(self) -> float:
        """Returns the CPU time that all proxies together have used so far, in seconds."""
        return sum(proxy.cpu_s() for proxy in self.proxies)

    def end(self) -> None:
        """Kills all processes."""
        for process in (*self.proxies, self.caches):
            process.end()


def proxy_config(number: int, proxies: int, upstream: dict[str, Any]) -> dict[str, Any]:
    """Returns the configuration of one proxy, with the part `upstream` that the caches' process provides."""
    config: dict[str, Any] = json.loads(CONFIG.read_text())
    config |= {"name": f"n{number}", "seed": f"{number + FIRST_SEED:x}", **upstream}
    config["settings"] |= {"siblings": proxies}
    config["settings"]["family-info"] |= {"zone-balancers": [0, proxies]}
    return config


def write_operator_file(folder: Path, store: Address) -> list[str]:
    """Writes an operator's file that names the store; returns the arguments for `olivepost serve`."""
    path = folder / "operator.yaml"
    path.write_text(f"sharing:\n  branch: bench\n  stores: [{{name: s, address: '{store}'}}]\n")
    return ["--operator", str(path)]


def find_free_address() -> Address:
    """Returns a loopback address at which no process listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Address(*sock.getsockname())


def wait_until_listening(address: Address) -> None:
    """Waits until a process accepts connections; raises TimeoutError if none does within START_TIMEOUT_S."""
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        try:
            socket.create_connection(address, CONNECT_TIMEOUT_S).close()
        except OSError:
            time.sleep(START_POLL_S)
        else:
            return
    raise TimeoutError(f"no process accepted a connection at {address} within {START_TIMEOUT_S} s")


@contextmanager
def running_fleet(options: FleetOptions, store: Address | None = None) -> Iterator[Fleet]:
    """Starts a fleet, whose processes are killed when the `with` block ends."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), options, store)
        try:
            yield fleet
        finally:
            fleet.end()
