"""The front's own copies, in buffers of the pool. Which are kept and served, the router decides."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from olivepost.proxy.buffers import Body
from olivepost.proxy.exchange import Answer, Exchange, Verdict

Key = tuple[str, str, int]


@dataclass(slots=True)
class Kept:
    """One copy; `issued` is when the origin gave it out, in Unix nanoseconds."""

    group: int
    tag: str
    issued: int
    body: Body


def key_of(exchange: Exchange) -> Key:
    """What names a copy."""
    return exchange.class_name, exchange.object, exchange.part


class Copies:
    """Copies by name; the one that was used longest ago makes room. Only the engine's thread calls this."""

    def __init__(self, most: int) -> None:
        self._most, self._buffers = most, 0
        self._kept: OrderedDict[Key, Kept] = OrderedDict()

    def __len__(self) -> int:
        return len(self._kept)

    def find(self, exchange: Exchange) -> Kept | None:
        """The copy of what is asked for."""
        key = key_of(exchange)
        if key in self._kept:
            self._kept.move_to_end(key)
        return self._kept.get(key)

    def keep(self, exchange: Exchange, answer: Answer) -> None:
        """Takes a share of an answer's body, in place of an older copy."""
        if answer.body is None or answer.issued <= 0 or answer.body.buffers > self._most:
            return
        key = key_of(exchange)
        self._drop(key)
        self._kept[key] = Kept(exchange.group, answer.tag, answer.issued, answer.body.share())
        self._buffers += answer.body.buffers
        while self._buffers > self._most:
            self._drop(next(iter(self._kept)))

    def purge(self, name: str | None, group: int | None, before: int) -> None:
        """Drops what is older than a purge: a router forgets purges once no cache holds such copies."""
        for key, kept in list(self._kept.items()):
            named = key[1] == name if name else kept.group == group
            if named and kept.issued <= before:
                self._drop(key)

    def clear(self) -> None:
        for key in list(self._kept):
            self._drop(key)

    def _drop(self, key: Key) -> None:
        kept = self._kept.pop(key, None)
        if kept is not None:
            self._buffers -= kept.body.buffers
            kept.body.release()


def answer_of(exchange: Exchange, kept: Kept) -> Answer:
    """A copy as the answer: only word of it where the client has the same."""
    if exchange.tag and exchange.tag == kept.tag:
        return Answer(Verdict.CURRENT, kept.tag)
    return Answer(Verdict.SERVED, kept.tag, kept.body.share(), kept.issued)
