"""The transaction of one connection ("Transactions": MULTI, EXEC, DISCARD, WATCH)."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from standins.redis.errors import CommandError, GenericError


class Transaction:
    """Watched keys, and the commands that are queued between MULTI and EXEC. Not thread-safe."""

    def __init__(self) -> None:
        self._queued: list[list[bytes]] | None = None  # `None` if no transaction is open
        self._has_queue_error = False
        self._watched: dict[bytes, int] = {}  # version of each watched key at the time of WATCH

    @property
    def is_open(self) -> bool:
        """Whether a transaction is open, so that commands are queued."""
        return self._queued is not None

    def begin(self) -> None:
        """Opens a transaction; raises CommandError if one is open."""
        if self._queued is not None:
            raise GenericError("MULTI calls can not be nested")
        self._queued = []
        self._has_queue_error = False

    def queue(self, command_line: list[bytes]) -> None:
        """Queues a command, given as its name and arguments."""
        assert self._queued is not None
        self._queued.append(command_line)

    def record_queue_error(self) -> None:
        """Records that a command could not be queued, so that EXEC will fail."""
        self._has_queue_error = True

    def discard(self) -> None:
        """Closes the transaction; raises CommandError if none is open."""
        if self._queued is None:
            raise GenericError("DISCARD without MULTI")
        self._queued = None
        self._watched = {}

    def watch(self, keys: Iterable[bytes], version_of: Callable[[bytes], int]) -> None:
        """Watches keys at their current versions; raises CommandError if a transaction is open."""
        if self._queued is not None:
            raise GenericError("WATCH inside MULTI is not allowed")
        for key in keys:
            self._watched[key] = version_of(key)

    def unwatch(self) -> None:
        """Stops watching all keys."""
        self._watched = {}

    def close(self) -> ClosedTransaction:
        """Closes the transaction and returns its commands for execution.

        Raises CommandError if no transaction is open or a command could not be queued.
        """
        if self._queued is None:
            raise GenericError("EXEC without MULTI")
        closed = ClosedTransaction(self._queued, self._watched)
        self._queued = None
        self._watched = {}
        if self._has_queue_error:
            raise CommandError("EXECABORT", "Transaction discarded because of previous errors.")
        return closed


@dataclass(frozen=True, slots=True)
class ClosedTransaction:
    """The commands that EXEC runs, unless the version of a watched key has changed since WATCH."""

    command_lines: list[list[bytes]]
    watched: dict[bytes, int]  # version of each watched key at the time of WATCH
