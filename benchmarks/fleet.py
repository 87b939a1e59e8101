"""Real fronts, stand-in caches and a stand-in store as processes of their own, and clients that measure."""

from __future__ import annotations

import itertools
import json
import os
import queue
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.caches import GROUPS, group_of
from examples.toy_server import CONFIG

ROOT = Path(__file__).parent.parent
AIM_S = 1.0  # an answer that took longer is of no service here
WORKERS = 48


@dataclass
class Tally:
    """What clients saw: seconds of each answer, None for a request that got none of use."""

    spans: list[float] = field(default_factory=list)
    asked: int = 0

    @property
    def service(self) -> float:
        """The share of requests answered in time."""
        return sum(span <= AIM_S for span in self.spans) / max(1, self.asked)

    def quantile_ms(self, share: float) -> float:
        spans = sorted(self.spans)
        return 1000 * spans[min(len(spans) - 1, int(share * len(spans)))] if spans else float("nan")


class Process:
    """A process that says one JSON line when it is ready, and more when asked."""

    def __init__(self, *words: str, log: Path | None = None) -> None:
        self._log = log.open("wb") if log else subprocess.PIPE
        self.made = subprocess.Popen(
            [sys.executable, "-O", "-m", *words],
            stdin=subprocess.PIPE,
            cwd=ROOT,
            stdout=self._log,
            stderr=subprocess.DEVNULL,
        )

    def line(self) -> Any:
        assert self.made.stdout is not None
        return json.loads(self.made.stdout.readline())

    def ask(self, text: str) -> Any:
        assert self.made.stdin is not None
        self.made.stdin.write(f"{text}\n".encode())
        self.made.stdin.flush()
        return self.line()

    def cpu_s(self) -> float:
        """CPU time so far, the system's for it included."""
        words = Path(f"/proc/{self.made.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")

    def end(self) -> None:
        self.made.kill()
        self.made.wait()


class Fleet:
    """So many fronts of one branch; with a store, its address goes into their operator's file."""

    def __init__(
        self, folder: Path, fronts: int, caches: int, room: int, store: tuple[str, int] | None
    ) -> None:
        self.caches = Process("benchmarks.caches", str(caches), str(room), "4")
        told = self.caches.line()
        self.fronts, self.logs, self.addresses = list[Process](), list[Path](), list[tuple[str, int]]()
        for number in range(fronts):
            with socket.socket() as found:
                found.bind(("127.0.0.1", 0))
                address = found.getsockname()
            config = json.loads(CONFIG.read_text())
            config |= {"name": f"n{number}", "listen": f"127.0.0.1:{address[1]}", **told}
            config["seed"] = f"{number + 7:x}"
            config["settings"] |= {"siblings": fronts}
            config["settings"]["family-info"] |= {"zone-balancers": [0, fronts]}
            path = folder / f"n{number}.json"
            path.write_text(json.dumps(config))
            words = ["olivepost", "serve", "--config", str(path)]
            if store is not None:
                operator = folder / "operator.yaml"
                named = "{{name: s, address: '{}:{}'}}".format(*store)
                operator.write_text(f"sharing:\n  branch: bench\n  stores: [{named}]\n")
                words += ["--operator", str(operator)]
            log = folder / f"n{number}.log"
            self.fronts.append(Process(*words, log=log))
            self.logs.append(log)
            self.addresses.append(address)
        for address in self.addresses:
            self._wait(address)

    @staticmethod
    def _wait(address: tuple[str, int]) -> None:
        end = time.monotonic() + 20
        while time.monotonic() < end:
            try:
                socket.create_connection(address, 1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise TimeoutError(f"no front at {address}")

    def events(self, name: str) -> list[dict[str, Any]]:
        """Lines of all fronts' logs of one event, each with its front's number."""
        rows = []
        for number, log in enumerate(self.logs):
            for line in log.read_bytes().splitlines():
                row = json.loads(line) if line.endswith(b"}") else {}
                if row.get("event") == name:
                    rows.append({**row, "number": number})
        return rows

    def cpu_s(self) -> float:
        return sum(front.cpu_s() for front in self.fronts)

    def end(self) -> None:
        for process in (*self.fronts, self.caches):
            process.end()


@contextmanager
def fleet(fronts: int, caches: int, room: int, store: tuple[str, int] | None = None) -> Iterator[Fleet]:
    with tempfile.TemporaryDirectory() as folder:
        made = Fleet(Path(folder), fronts, caches, room, store)
        try:
            yield made
        finally:
            made.end()


def load(
    made: Fleet, seed: int, rate: float, span: float, names: int, at: dict[float, Callable[[], object]]
) -> Tally:
    """Requests of Zipf names at a rate for a span, the same for a seed; `at` does things on the way."""
    draw, tally, todo = random.Random(seed), Tally(), queue.SimpleQueue[tuple[float, int, str] | None]()
    weights = list(itertools.accumulate(1 / (i + 1) ** 0.8 for i in range(names)))
    ids, lock = itertools.count(seed << 32), threading.Lock()

    def work() -> None:
        socks: dict[int, socket.socket] = {}
        while (item := todo.get()) is not None:
            due, number, name = item
            took = ask(made.addresses[number], socks, number, name, next(ids))
            with lock:
                tally.spans += [time.monotonic() - due] if took else []
        for sock in socks.values():
            sock.close()

    workers = [threading.Thread(target=work, daemon=True) for _ in range(WORKERS)]
    for worker in workers:
        worker.start()
    start = now = time.monotonic()
    steps = sorted(at.items())
    while now < start + span:
        while steps and now >= start + steps[0][0]:
            steps.pop(0)[1]()
        name = f"{draw.choices(range(names), cum_weights=weights)[0] * 2654435761 % 2**64:016x}"
        todo.put((now, draw.randrange(len(made.addresses)), name))
        tally.asked += 1
        now += draw.expovariate(rate)
        time.sleep(max(0.0, now - time.monotonic()))
    for _ in workers:
        todo.put(None)
    for worker in workers:
        worker.join(10.0)
    return tally


def ask(address: tuple[str, int], socks: dict[int, socket.socket], number: int, name: str, id_: int) -> bool:
    """One request, on a connection that is kept; whether it was served."""
    text = (
        f"GET /api/v2/segment/{name}/slice-0 HTTP/1.1\r\nHost: b\r\nX-Call-Id: {id_:016x}\r\n"
        f"X-Patience-Ms: 3000\r\nX-Set: {group_of(name) % GROUPS}\r\n\r\n"
    ).encode()
    for _ in range(2):
        sock = socks.get(number)
        try:
            if sock is None:
                sock = socks[number] = socket.create_connection(address, 4)
            sock.sendall(text)
            data = b""
            while b"\r\n\r\n" not in data:
                data += _more(sock)
            head, _, body = data.partition(b"\r\n\r\n")
            length = next(
                (
                    int(line.split(b":")[1])
                    for line in head.lower().split(b"\r\n")
                    if line.startswith(b"content-length")
                ),
                0,
            )
            while len(body) < length:
                body += _more(sock)
            return head.startswith(b"HTTP/1.1 200")
        except OSError:
            if sock is not None:
                sock.close()
                del socks[number]
    return False


def _more(sock: socket.socket) -> bytes:
    data = sock.recv(65_536)
    if not data:
        raise ConnectionError("closed")
    return data
