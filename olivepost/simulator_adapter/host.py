"""Host of the simulator's proxies: passes each message of a batch to its proxy's router, and replies."""

from __future__ import annotations

from typing import IO

from olivepost.config import ConfigError
from olivepost.router import Router
from olivepost.simulator_adapter import codec
from olivepost.units import Instant

EXIT_OK = 0
EXIT_MALFORMED_INPUT = 2


class RouterHost:
    """Running routers by proxy id. The routers share no state. Single-threaded."""

    def __init__(self) -> None:
        self._routers: dict[int, Router] = {}

    def reply(self, line: bytes) -> bytes:
        """Handles one batch of messages and returns its reply line.

        Raises a ConfigError that says what is malformed.
        """
        batch = codec.read_batch(line)
        actions: list[dict[str, object]] = []
        for message in batch.messages:
            actions.extend(self._handle(batch.now, message))
        return codec.write_reply(batch.turn, actions)

    def _handle(self, now: Instant, message: codec.Message) -> list[dict[str, object]]:
        """Starts or stops a router, or passes an event to it; returns the router's encoded actions."""
        if message.kind == codec.START_KIND:
            start = codec.read_start(message)
            self._routers[message.proxy_id] = Router(start.settings, start.seed)
            return []
        router = self._routers.get(message.proxy_id)
        if router is None:
            raise message.fields.error("front", f"must be the id of a started router, not {message.proxy_id}")
        if message.kind == codec.STOP_KIND:
            del self._routers[message.proxy_id]
            return []
        event = codec.read_event(message, router.settings)
        if event is None:
            return []
        return [codec.write_action(message.proxy_id, action) for action in router.handle(now, event)]


def run(source: IO[bytes], sink: IO[bytes], errors: IO[str]) -> int:
    """Replies to batches of messages until the input ends or a line is malformed; returns the exit code."""
    host = RouterHost()
    for number, line in enumerate(source, 1):
        try:
            sink.write(host.reply(line))
        except ConfigError as error:
            print(f"olivepost.simulator_adapter: line {number}: {error}", file=errors)
            return EXIT_MALFORMED_INPUT
        sink.flush()
    return EXIT_OK
