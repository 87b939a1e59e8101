"""Tests of two proxies that share one stand-in store on loopback, and of the `sharing` commands.

Each of the proxies runs its own event loop and its own host of the shared store.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable, Iterator
from contextlib import closing, contextmanager
from pathlib import Path
from typing import Any

import pytest

from examples.toy_server import Coordinator, ToyEndpoint, listed_endpoint
from olivepost import interface as api
from olivepost.cli import main
from olivepost.config import read_config
from olivepost.operator_config.model import OperatorSettings
from olivepost.proxy.messages import StopEventLoop
from olivepost.proxy.server import ProxyServer
from olivepost.shared_store.host import StoreHost
from olivepost.shared_store.store_health import StoreHealth
from standins.redis.server import Server
from tests.proxy_harness import HttpClient, toy_config

UNCACHED_OBJECT = "0a3a9c21e0b4d655"  # an object that no toy cache has
STORE = "s"


class ProxyPair:
    """Two proxies of one branch with the same endpoints and the same store.

    `sharing` contains fields of the `sharing` section. Its field `store` contains fields of the store's entry
    in that section.
    """

    def __init__(self, server: Server, **sharing: Any) -> None:
        self.server = server
        self.coordinator = Coordinator()
        self.caches = [ToyEndpoint("a"), ToyEndpoint("b")]
        self.parent = ToyEndpoint("p")
        self.origin = ToyEndpoint("o")
        entries = [listed_endpoint(cache) for cache in self.caches]
        entries.append(listed_endpoint(self.parent, "parent", "hub"))
        entries.append(listed_endpoint(self.origin, "origin", "hub"))
        self.coordinator.add(endpoints={"version": 1, "full": True, "servers": entries})
        store = {"name": STORE, "address": "{}:{}".format(*server.address), **sharing.pop("store", {})}
        section = {"branch": "west", "stores": [store], **sharing}
        operator = OperatorSettings.model_validate({"sharing": section})
        self._devnull = os.open(os.devnull, os.O_WRONLY)
        self.proxies: list[ProxyServer] = []
        self.addresses: list[tuple[str, int]] = []
        for name in ("n1", "n2"):
            config = toy_config(
                name=name, coordinator=self.coordinator.address, known=self.coordinator.listed()
            )
            proxy = ProxyServer(read_config(config, {}), self._devnull, operator=operator)
            self.proxies.append(proxy)
            self.addresses.append(proxy.start())

    @property
    def hosts(self) -> list[StoreHost]:
        hosts = [proxy.parts.shared_store for proxy in self.proxies if proxy.parts.shared_store]
        assert len(hosts) == len(self.proxies)
        return hosts

    @property
    def stores(self) -> list[StoreHealth]:
        """Returns, for each proxy, the state of the store as that proxy knows it."""
        return [host.coordinator.stores[STORE] for host in self.hosts]

    def wait_for_availability(self, is_available: bool = True, timeout_s: float = 10.0) -> bool:
        """Waits until the store is available to both proxies, or to neither; returns False on a timeout."""
        return self.wait_until(
            lambda: all(self.has_available_store(proxy) == is_available for proxy in self.proxies), timeout_s
        )

    @staticmethod
    def has_available_store(proxy: ProxyServer) -> bool:
        return proxy.parts.event_loop._router.state.is_store_available

    def have_synced(self) -> bool:
        """Whether the store has confirmed the first sync of each proxy under the store's current generation.

        A sync is a proxy's heartbeat to the store. The first sync writes the key of the process to the
        store. A proxy may use the store even before its first sync: as soon as the store has confirmed the
        proxy's invalidations.
        """
        generations = {store.generation for store in self.stores}
        return len(generations) == 1 and all(store.confirmed_serial > 0 for store in self.stores)

    @staticmethod
    def wait_until(condition: Callable[[], bool], timeout_s: float = 10.0) -> bool:
        deadline = time.monotonic() + timeout_s
        while not (holds := condition()) and time.monotonic() < deadline:
            time.sleep(0.005)
        return holds

    def count(self, name: str) -> int:
        """Returns the sum of a counter over both proxies."""
        return sum(host.coordinator.counts.get(name, 0) for host in self.hosts)

    def request(self, proxy: int, name: str, **fields: Any) -> int:
        """Sends a request to one of the proxies; returns the status of the response."""
        with HttpClient(self.addresses[proxy]) as client:
            return client.request(name, **fields).status

    def close(self) -> None:
        for proxy in self.proxies:
            proxy.parts.discovery.stop()
            proxy.parts.downstream.stop_accepting()
            if proxy.parts.shared_store:
                proxy.parts.shared_store.close()
            proxy.parts.downstream.stop_watching()
            proxy.parts.upstream.close()
            proxy.parts.event_loop.post(StopEventLoop())
            proxy.parts.log.close(5.0)
        for server in (*self.caches, self.parent, self.origin, self.coordinator):
            server.close()
        os.close(self._devnull)


@contextmanager
def proxy_pair(**sharing: Any) -> Iterator[ProxyPair]:
    with closing(Server(users=sharing.pop("users", None))) as server:
        pair = ProxyPair(server, **{"wait": "100ms", **sharing})
        try:
            yield pair
        finally:
            pair.close()


def test_leased_fill_is_published_and_found_by_the_other_proxy() -> None:
    with proxy_pair() as pair:
        assert pair.wait_for_availability()

        assert pair.request(0, UNCACHED_OBJECT, timeout_ms=6000) == 200
        assert pair.wait_until(lambda: pair.count("lease_releases_confirmed") == 1)
        assert pair.request(1, UNCACHED_OBJECT, timeout_ms=6000) == 200
        assert pair.wait_until(lambda: pair.count("hints_given") >= 1), pair.proxies[1].parts.log.counters()


def test_invalidation_reaches_the_other_proxy_through_the_store() -> None:
    with proxy_pair() as pair:
        assert pair.wait_for_availability()

        pair.hosts[0].invalidate(api.Invalidation("x", None, 0), time.time_ns())
        assert pair.wait_until(lambda: pair.count("invalidations_received") == 1)
        router = pair.proxies[1].parts.event_loop._router
        assert pair.wait_until(
            lambda: (router.state.invalidations.latest(api.Request("i", "image", "x", 1, group=1)) or 0) > 0
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
def test_requests_are_served_during_any_fault_of_the_store_which_is_used_again_afterwards(
    fault: dict[str, Any],
) -> None:
    with proxy_pair(wait="20ms", give_up="100ms") as pair:
        assert pair.wait_for_availability()

        pair.server.call(lambda: pair.server.apply_change(fault))
        for number in range(12):
            began = time.monotonic()
            assert pair.request(number % 2, f"0{number:015x}", timeout_ms=2000) == 200
            assert time.monotonic() - began < 1.5
        assert pair.wait_for_availability(is_available=False)

        no_fault = {key: type(value)(0) for key, value in fault.items()}
        pair.server.call(lambda: pair.server.apply_change(no_fault))
        assert pair.wait_for_availability()


def test_store_that_lost_all_data_gets_a_new_generation() -> None:
    with proxy_pair() as pair:
        assert pair.wait_for_availability()
        before = pair.stores[0].generation

        pair.server.call(lambda: pair.server.apply_change({"lose": True}))
        assert pair.wait_until(lambda: all(store.generation > before for store in pair.stores))
        assert pair.wait_for_availability()

        assert pair.request(0, UNCACHED_OBJECT, timeout_ms=6000) == 200


def test_password_may_change_while_the_proxies_run(tmp_path: Path) -> None:
    secret = tmp_path / "secret"
    secret.write_text("old\n")
    with proxy_pair(users={"default": "old"}, store={"password_file": str(secret)}) as pair:
        assert pair.wait_for_availability()
        pair.server.call(lambda: pair.server.apply_change({"password": "new", "cut_all": True}))
        assert pair.wait_for_availability(is_available=False)

        secret.write_text("new\n")
        assert pair.wait_for_availability()


def test_commands_show_and_delete_the_records_of_a_store(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with proxy_pair() as pair:
        assert pair.wait_for_availability()
        assert pair.wait_until(pair.have_synced)
        assert pair.request(0, UNCACHED_OBJECT, timeout_ms=6000) == 200
        assert pair.wait_until(lambda: pair.count("lease_releases_confirmed") == 1)
        path = tmp_path / "operator.yaml"
        path.write_text(
            "sharing:\n  branch: west\n  stores: [{{name: s, address: '{}:{}'}}]\n".format(
                *pair.server.address
            )
        )

        def run(*arguments: str) -> Any:
            assert main(["sharing", *arguments, "--operator", str(path), "--json"]) == 0
            return json.loads(capsys.readouterr().out)["rows"]

        assert run("ping")[0]["processes"] == 2
        (location,) = run("claims")
        assert location["kind"] == "holder"
        assert location["name"] == f"{UNCACHED_OBJECT}.3"
        assert location["by"] == "n1"
        assert run("forget", f"{UNCACHED_OBJECT}.3")[0]["forgotten"] == 1
        assert not run("claims")
        advanced = run("forget")[0]
        assert advanced["generation"] > advanced["before"]
        assert not run("purges")
        assert main(["sharing", "ping", "--operator", str(path)]) == 0
        assert "generation" in capsys.readouterr().out
        assert main(["sharing", "ping", "--store", "x", "--operator", str(path)]) == 2
    assert main(["sharing", "ping", "--operator", str(path)]) == 1
