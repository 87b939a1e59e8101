"""Links from proxies to stores, their faults, and the execution of scripts in the stores.

A command is lost, or arrives at its store after a latency and runs at once. The reply to the command is lost,
or arrives once or twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import Protocol

from benchmarks.branch.lease_audit import LeaseAudit
from benchmarks.branch.simulation import Simulation
from olivepost.shared_store import messages, scripts
from olivepost.shared_store.coordinator import StoreCoordinator
from olivepost.units import MILLISECOND, Duration, Instant
from standins.redis.errors import CommandError
from standins.redis.keyspace import Keyspace

LOSS_TIMEOUT: Duration = 250 * MILLISECOND  # time after which a proxy treats a reply as lost
SLOW_FACTOR = 100  # factor by which the latency of a slow command or reply is multiplied
KEY_PREFIX = "t"


class StoreClient(Protocol):
    """A proxy that sends commands to stores."""

    coordinator: StoreCoordinator | None
    incarnation: int
    paused_until: Instant | None

    def handle_store_event(self, event: messages.Event) -> None:
        """Passes a reply, or the loss of a reply, to the store coordinator."""


@dataclass(slots=True)
class StoreLink:
    """The link to one store, with the chance of each fault for each command, from 0 to 1."""

    lost: float = 0.0  # chance that the command never arrives
    cut: float = 0.0  # chance that the command runs, but its reply never arrives
    duplicated: float = 0.0  # chance that the reply arrives twice
    # Chance that the command has a hundredfold latency, and, separately, that its reply has one.
    slow: float = 0.0
    latency_range: tuple[Duration, Duration] = (MILLISECOND // 10, 6 * MILLISECOND // 10)  # in one direction
    unresponsive_until: Instant | None = None  # commands that arrive earlier do not run; `None` if all run


class StoreLinks:
    """The links to all stores, shared by all proxies. Not thread-safe; the simulation's thread uses them."""

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
        """Sends a command to its store and the store's reply to the client, subject to the link's faults."""
        link = self.by_store[command.store]
        incarnation = client.incarnation
        if self._simulation.draw.random() < link.lost:
            self._lose(client, incarnation, command)
        else:
            arrive = partial(self._arrive, client, incarnation, command)
            self._simulation.after(self._latency(link), None, arrive)

    def _latency(self, link: StoreLink) -> Duration:
        factor = SLOW_FACTOR if self._simulation.draw.random() < link.slow else 1
        return int(self._simulation.draw.uniform(*link.latency_range) * factor)

    def _lose(self, client: StoreClient, incarnation: int, command: messages.StoreCommand) -> None:
        lost = messages.ReplyLost(command.ticket, "no reply")
        self._simulation.after(LOSS_TIMEOUT, client, partial(deliver, client, incarnation, lost))

    def _arrive(self, client: StoreClient, incarnation: int, command: messages.StoreCommand) -> None:
        """Runs a command that has arrived at its store, unless the store is unresponsive."""
        link = self.by_store[command.store]
        if link.unresponsive_until is not None and self._simulation.now < link.unresponsive_until:
            self._lose(client, incarnation, command)
            return
        reply = self.run_script(client, command)
        if self._simulation.draw.random() < link.cut:
            self._lose(client, incarnation, command)
            return
        deliver_reply = partial(deliver, client, incarnation, reply)
        self._simulation.after(self._latency(link), client, deliver_reply)
        if self._simulation.draw.random() < link.duplicated:
            self._simulation.after(self._latency(link) + self._latency(link), client, deliver_reply)

    def run_script(
        self, client: StoreClient, command: messages.StoreCommand
    ) -> messages.StoreReply | messages.ReplyLost:
        """Runs a command's script in its store at once, and checks leases in the reply."""
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
    """Passes a reply to the process that sent the command, unless its proxy has been restarted since."""
    if incarnation == client.incarnation:
        client.handle_store_event(event)


def run(store: Keyspace, script: scripts.ScriptCall) -> object:
    """Runs a script by its digest; loads it first if the store does not have it."""
    arguments = [
        argument if isinstance(argument, bytes) else str(argument).encode() for argument in script.arguments
    ]
    digest = scripts.DIGESTS[script.name]
    if digest not in store.scripts:
        store.call([b"SCRIPT", b"LOAD", scripts.SCRIPT_TEXTS[script.name].encode()])
    return store.call([b"EVALSHA", digest.encode(), b"1", script.key.encode(), *arguments])
