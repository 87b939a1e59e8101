"""The batch loop: one router per instance, nothing shared between them."""

from __future__ import annotations

from typing import IO

from olivepost.config import ConfigError
from olivepost.router import Router
from olivepost.simulator_adapter import codec


class RouterHost:
    """Routers by instance number."""

    def __init__(self) -> None:
        self._routers: dict[int, Router] = {}

    def reply(self, line: bytes) -> bytes:
        """Plays one batch and returns the line to answer with."""
        batch = codec.read_batch(line)
        actions: list[dict[str, object]] = []
        for message in batch.messages:
            front = codec.front_of(message)
            if codec.is_start(message):
                settings, seed = codec.read_start(message)
                self._routers[front] = Router(settings, seed)
                continue
            router = self._routers.get(front)
            if router is None:
                raise ConfigError(f"front {front} has not been started")
            if codec.is_stop(message):
                del self._routers[front]
                continue
            event = codec.read_event(message, router.settings)
            if event is not None:
                actions.extend(codec.write_action(front, a) for a in router.handle(batch.now, event))
        return codec.write_reply(batch.turn, actions)


def run(source: IO[bytes], sink: IO[bytes], errors: IO[str]) -> int:
    """Serves batches until the input ends; returns the exit code."""
    host = RouterHost()
    for number, line in enumerate(source, 1):
        try:
            sink.write(host.reply(line))
        except ConfigError as fault:
            print(f"olivepost.simulator_adapter: line {number}: {fault}", file=errors)
            return 2
        sink.flush()
    return 0
