"""Whole fronts before one stand-in store, on loopback: what host, engine and commands make of it."""

from __future__ import annotations

import json
import os
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from examples.toy_server import Coordinator, Member, entry
from olivepost import interface as api
from olivepost.cli import main
from olivepost.config import read_config
from olivepost.operator_config.model import OperatorSettings
from olivepost.proxy.messages import StopEventLoop
from olivepost.proxy.server import ProxyServer
from standins.redis.server import Server
from tests.rig import Client, toy_config

FILLED = "0a3a9c21e0b4d655"  # no toy cache keeps it


class Pair:
    """Two fronts of one branch before the same members and store."""

    def __init__(self, server: Server, **sharing: Any) -> None:
        self.server, self.coordinator = server, Coordinator()
        self.caches = [Member("a"), Member("b")]
        self.others = [Member("p"), Member("o")]
        entries = [entry(cache) for cache in self.caches]
        entries += [entry(self.others[0], "parent", "hub"), entry(self.others[1], "origin", "hub")]
        self.coordinator.add(endpoints={"version": 1, "full": True, "servers": entries})
        store = {"name": "s", "address": "{}:{}".format(*server.address), **sharing.pop("store", {})}
        given = {"branch": "west", "stores": [store], **sharing}
        operator = OperatorSettings.model_validate({"sharing": given})
        self._nowhere = os.open(os.devnull, os.O_WRONLY)
        self.fronts, self.addresses = [], []
        for name in ("n1", "n2"):
            config = toy_config(
                name=name, coordinator=self.coordinator.address, known=self.coordinator.listed()
            )
            front = ProxyServer(read_config(config, {}), self._nowhere, operator=operator)
            self.fronts.append(front)
            self.addresses.append(front.start())

    def up(self, wanted: bool = True, within: float = 10.0) -> bool:
        return self.until(lambda: all(self.stands(front) == wanted for front in self.fronts), within)

    @staticmethod
    def stands(front: ProxyServer) -> bool:
        return front.event_loop._router.state.is_store_available

    @staticmethod
    def until(holds: Any, within: float = 10.0) -> bool:
        end = time.monotonic() + within
        while not (held := holds()) and time.monotonic() < end:
            time.sleep(0.005)
        return bool(held)

    def count(self, name: str) -> int:
        return sum(front.shared_store.core.counts.get(name, 0) for front in self.fronts if front.shared_store)

    def ask(self, front: int, name: str, **more: Any) -> int:
        with Client(self.addresses[front]) as client:
            return client.ask(name, **more)[0]

    def close(self) -> None:
        for front in self.fronts:
            front.discovery.stop()
            front.downstream.stop_accepting()
            if front.shared_store:
                front.shared_store.close()
            front.downstream.stop_watching()
            front.upstream.close()
            front.event_loop.post(StopEventLoop())
            front.log.close(5.0)
        for server in (*self.caches, *self.others, self.coordinator):
            server.close()
        os.close(self._nowhere)


@contextmanager
def pair(**sharing: Any) -> Iterator[Pair]:
    server = Server(users=sharing.pop("users", None))
    made = Pair(server, **{"wait": "100ms", **sharing})
    try:
        yield made
    finally:
        made.close()
        server.close()


def test_a_fill_is_claimed_published_and_found_by_the_other_front() -> None:
    with pair() as made:
        assert made.up()
        assert made.ask(0, FILLED, patience=6000) == 200
        assert made.until(lambda: made.count("claims_settled") == 1)
        assert made.ask(1, FILLED, patience=6000) == 200
        assert made.until(lambda: made.count("hints_given") >= 1), made.fronts[1].log.counters()


def test_purges_come_through_the_store() -> None:
    with pair() as made:
        assert made.up()
        assert made.fronts[0].shared_store is not None
        made.fronts[0].shared_store.invalidate(api.Invalidation("x", None, 0), time.time_ns())
        assert made.until(lambda: made.count("purges_heard") == 1)
        router = made.fronts[1].event_loop._router
        assert made.until(
            lambda: router.state.invalidations.latest(api.Request("i", "image", "x", 1, group=1)) > 0
        )


@pytest.mark.parametrize(
    "fault",
    [
        {"silent": True},
        {"pause": True},
        {"refuse": True},
        {"cut": 1.0},
        {"garble": 1.0},
        {"full": True},
        {"read_only": True},
        {"slow_ms": 400.0},
    ],
)
def test_answers_go_on_whatever_the_store_does_and_it_is_used_again_after(fault: dict[str, Any]) -> None:
    with pair(wait="20ms", give_up="100ms") as made:
        assert made.up()
        made.server.call(lambda: made.server.change(fault))
        for number in range(12):
            began = time.monotonic()
            assert made.ask(number % 2, f"0{number:015x}", patience=2000) == 200
            assert time.monotonic() - began < 1.5
        assert made.up(False)
        made.server.call(lambda: made.server.change({key: type(value)(0) for key, value in fault.items()}))
        assert made.up()


def test_a_store_that_loses_everything_gets_a_new_generation() -> None:
    with pair() as made:
        assert made.up()
        before = made.fronts[0].shared_store.core.stores["s"].generation  # type: ignore[union-attr]
        made.server.call(lambda: made.server.change({"lose": True}))
        assert made.until(
            lambda: (
                {
                    f.shared_store.core.stores["s"].generation > before  # type: ignore[union-attr]
                    for f in made.fronts
                }
                == {True}
            )
        )
        assert made.up() and made.ask(0, FILLED, patience=6000) == 200


def test_a_password_that_changes_in_service(tmp_path: Path) -> None:
    secret = tmp_path / "secret"
    secret.write_text("old\n")
    with pair(users={"default": "old"}, store={"password_file": str(secret)}) as made:
        assert made.up()
        made.server.call(lambda: made.server.change({"password": "new", "cut_all": True}))
        assert made.up(False)
        secret.write_text("new\n")
        assert made.up()


def test_commands_look_into_a_store(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    with pair() as made:
        assert made.up()
        assert made.ask(0, FILLED, patience=6000) == 200
        assert made.until(lambda: made.count("claims_settled") == 1)
        path = tmp_path / "operator.yaml"
        path.write_text(
            "sharing:\n  branch: west\n  stores: [{{name: s, address: '{}:{}'}}]\n".format(
                *made.server.address
            )
        )

        def run(*words: str) -> Any:
            assert main(["sharing", *words, "--operator", str(path), "--json"]) == 0
            return json.loads(capsys.readouterr().out)["rows"]

        assert run("ping")[0]["processes"] == 2
        (holder,) = run("claims")
        assert holder["kind"] == "holder" and holder["name"] == f"{FILLED}.3" and holder["by"] == "n1"
        assert run("forget", f"{FILLED}.3")[0]["forgotten"] == 1 and not run("claims")
        before = run("forget")[0]
        assert before["generation"] > before["before"] and not run("purges")
        assert main(["sharing", "ping", "--operator", str(path)]) == 0
        assert "generation" in capsys.readouterr().out
        assert main(["sharing", "ping", "--store", "x", "--operator", str(path)]) == 2
    assert main(["sharing", "ping", "--operator", str(path)]) == 1
