"""The way from proxies to stores, with its faults, and the stores' scripts at its end."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import Protocol

from benchmarks.branch.lease_audit import LeaseAudit
from benchmarks.branch.simulation import Simulation
from olivepost.shared_store import messages, scripts
from olivepost.shared_store.coordinator import StoreCoordinator
from olivepost.units import MILLISECOND
from standins.redis.errors import CommandError
from standins.redis.keyspace import Keyspace

LOSS_TIMEOUT = 250 * MILLISECOND  # after which a proxy gives a reply up
SLOW_FACTOR = 100
KEY_PREFIX = "t"


class StoreClient(Protocol):
    """The proxy that sends commands."""

    coordinator: StoreCoordinator | None
    incarnation: int
    paused_until: int

    def handle_store_event(self, event: messages.Event) -> None:
        """Takes a reply."""


@dataclass
class StoreLink:
    """The link to one store: the chance of each fault for each command; times in nanoseconds."""

    lost: float = 0.0
    cut: float = 0.0  # done, but its reply never comes
    duplicated: float = 0.0
    span: tuple[int, int] = (int(0.1 * MILLISECOND), int(0.6 * MILLISECOND))  # latency one way
    slow: float = 0.0  # chance of a latency a hundred times as long
    silent_until: int = 0


class StoreLinks:
    """The links of all proxies to all stores."""

    def __init__(
        self,
        simulation: Simulation,
        stores: dict[str, Keyspace],
        audit: LeaseAudit,
    ) -> None:
        self.by_store = {name: StoreLink() for name in stores}
        self._simulation = simulation
        self._stores = stores
        self._audit = audit

    def send(self, client: StoreClient, command: messages.StoreCommand) -> None:
        """Carries a command to its store and the reply back, as far as the link's faults let it."""
        link = self.by_store[command.store]
        incarnation = client.incarnation
        if self._simulation.draw.random() < link.lost:
            self._lose(client, incarnation, command)
        else:
            arrive = partial(self._arrive, client, incarnation, command)
            self._simulation.after(self._latency(link), None, arrive)

    def _latency(self, link: StoreLink) -> int:
        factor = SLOW_FACTOR if self._simulation.draw.random() < link.slow else 1
        return int(self._simulation.draw.uniform(*link.span) * factor)

    def _lose(self, client: StoreClient, incarnation: int, command: messages.StoreCommand) -> None:
        lost = messages.ReplyLost(command.ticket, "no answer")
        self._simulation.after(LOSS_TIMEOUT, client, partial(deliver, client, incarnation, lost))

    def _arrive(self, client: StoreClient, incarnation: int, command: messages.StoreCommand) -> None:
        """The command is at its store, which runs it unless it is silent."""
        link = self.by_store[command.store]
        if self._simulation.now < link.silent_until:
            self._lose(client, incarnation, command)
            return
        reply = self.run_script(client, command)
        if self._simulation.draw.random() < link.cut:
            self._lose(client, incarnation, command)
            return
        answer = partial(deliver, client, incarnation, reply)
        self._simulation.after(self._latency(link), client, answer)
        if self._simulation.draw.random() < link.duplicated:
            self._simulation.after(self._latency(link) + self._latency(link), client, answer)

    def run_script(
        self, client: StoreClient, command: messages.StoreCommand
    ) -> messages.StoreReply | messages.ReplyLost:
        """Runs a command's script in its store, and audits what it grants."""
        assert client.coordinator is not None
        script = scripts.encode_operation(command.operation, KEY_PREFIX, client.coordinator.terms.incarnation)
        try:
            reply = scripts.read_reply(command.ticket, run(self._stores[command.store], script))
        except CommandError as error:
            return messages.ReplyLost(command.ticket, str(error))
        if isinstance(reply, messages.StoreReply):
            self._audit.record(client, command, reply)
        return reply


def deliver(client: StoreClient, incarnation: int, event: messages.Event) -> None:
    """Hands a reply to the process that asked, if it still runs."""
    if incarnation == client.incarnation:
        client.handle_store_event(event)


def run(store: Keyspace, script: scripts.ScriptCall) -> object:
    """Runs a script by its digest, after loading it where the store lacks it."""
    words = [word if isinstance(word, bytes) else str(word).encode() for word in script.arguments]
    digest = scripts.DIGESTS[script.name]
    if digest not in store.scripts:
        store.call([b"SCRIPT", b"LOAD", scripts.SCRIPT_TEXTS[script.name].encode()])
    return store.call([b"EVALSHA", digest.encode(), b"1", script.key.encode(), *words])
