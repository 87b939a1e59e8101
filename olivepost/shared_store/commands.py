"""Commands that wait for a store's reply: their tickets, their bound, and what each counts for its store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.messages import StoreCommand, StoreOperation
from olivepost.shared_store.store_health import StoreHealth
from olivepost.units import Instant

MAX_PENDING_COMMANDS = 4_096  # to all stores together; beyond it hints are dropped, never requests

ReplyValues = tuple[object, ...]

ReplyHandler = Callable[[int, ReplyValues | None], None]
"""Takes the time and the values of a reply; None where no reply came that counts."""


@dataclass(slots=True)
class PendingCommand:
    """A command that waits for its reply; `generation` and `confirmed_serial` are as when it was sent."""

    store: StoreHealth
    operation: StoreOperation
    sent_at: Instant
    generation: int
    confirmed_serial: int
    on_reply: ReplyHandler
    is_overdue: bool = False  # and has been counted as a failure


class CommandTracker:
    """Pending commands by ticket. Used by the coordinator's thread only."""

    def __init__(self, context: CoordinatorContext) -> None:
        self._context = context
        self._pending: dict[int, PendingCommand] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def send(
        self,
        now: Instant,
        store: StoreHealth,
        operation: StoreOperation,
        on_reply: ReplyHandler,
        *,
        is_urgent: bool = False,
    ) -> bool:
        """Sends an operation; False where too many are pending, and `on_reply` will not be called."""
        if len(self._pending) >= MAX_PENDING_COMMANDS:
            self._context.counts["commands_dropped"] += 1
            return False
        ticket = self._context.next_ticket()
        self._pending[ticket] = PendingCommand(
            store, operation, now, store.generation, store.confirmed_serial, on_reply
        )
        self._context.actions.append(StoreCommand(ticket, store.name, operation, is_urgent))
        return True

    def complete(self, now: Instant, ticket: int) -> PendingCommand | None:
        """Takes out the command that was replied to; None where it is not pending, as for a second reply."""
        command = self._pending.pop(ticket, None)
        if command is None:
            self._context.counts["replies_unmatched"] += 1
            return None
        if not command.is_overdue:
            command.store.record_reply(now, now - command.sent_at <= self._context.terms.reply_timeout)
        return command

    def fail(self, now: Instant, ticket: int) -> None:
        """Ends a command whose reply is lost."""
        command = self._pending.pop(ticket, None)
        if command is None:
            return
        self._context.counts["replies_lost"] += 1
        if not command.is_overdue:
            command.store.record_reply(now, False)
        command.on_reply(now, None)

    def count_overdue(self, now: Instant) -> None:
        """Counts commands without a reply in time as failures, once each.

        The wait for their end would keep a silent store in use.
        """
        for command in self._pending.values():
            if not command.is_overdue and now - command.sent_at > self._context.terms.reply_timeout:
                command.is_overdue = True
                command.store.record_reply(now, False)
