"""Decides what this front asks others for of the pooled budgets, and which need it answers.

Every front owns its n-th part of a budget by the router's own books, store or no store. A loan moves a piece
of one front's part to one other front: the lender takes it off first, until the loan has surely ended, and
only the process that asked may use it, once, from the moment when it asked. So whatever a store forgets,
doubles, delays or brings back, running loans and parts never pass the whole: an answer to a lost, old or
doubled word is worth nothing, and each front measures by its own clock, the borrower from before the lender.
Clocks may be hours apart; only their rates must agree within `DRIFT`. No clock, no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from olivepost.shared_store.records import QuotaGrant, QuotaRequest, RecordError, encode_record

DRIFT = 0.01  # by which the fronts' clocks may run apart in rate; a lender waits for so much longer
MOST_NEEDS, MOST_PIECES = 64, 1_024
LEAST = 1e-6  # of a budget, under which it is not worth a word
RENEW = 8  # a need is asked for anew when this part of its span has passed: pieces count from when it was
MEMORY = 500_000_000  # of what was lacking lately


@dataclass(slots=True)
class Shortage:
    """What the router lacked of one budget lately: a decaying sum, and the largest single attempt."""

    at: int
    total: float = 0.0
    most: float = 0.0

    def add(self, now: int, amount: float) -> None:
        self.total = self.at_present(now) + amount
        self.at, self.most = now, max(self.most, amount)

    def at_present(self, now: int) -> float:
        return self.total * max(0.0, 1 - (now - self.at) / MEMORY)


@dataclass(slots=True)
class OpenRequest:
    """One word of this front's need: pieces that name it count until `until`."""

    key: str
    amount: float
    asked: int
    until: int
    got: float = 0.0


@dataclass(slots=True)
class Donation:
    """A loan on its way: asked of the router, then of the store."""

    need: QuotaRequest
    field: str
    until: int
    amount: float = 0.0


class QuotaTransfers:
    """Needs, offers and pieces of one front."""

    def __init__(self, process: str, span: int) -> None:
        self._process, self._span, self._count = process, span, 0
        self._lacking: dict[str, Shortage] = {}
        self._wanted: dict[str, OpenRequest] = {}  # by nonce
        self._current: dict[str, str] = {}  # the nonce of each budget's last need
        self._pieces: dict[str, int] = {}  # taken, by id, until their nonce has ended
        self._offers: dict[int, Donation] = {}  # by the ticket of the question to the router
        self._offered: dict[str, int] = {}  # nonces with an offer that is out, until then

    def field(self, key: str) -> str:
        """Where this front's need of a budget stands in the store."""
        return f"{self._process}|{key}"

    def short(self, now: int, key: str, amount: float) -> None:
        """The router lacked so much of a budget."""
        if amount > 0 and (key in self._lacking or len(self._lacking) < MOST_NEEDS):
            self._lacking.setdefault(key, Shortage(now)).add(now, amount)

    def needs(self, now: int) -> dict[str, bytes]:
        """This front's open needs by budget, as records.

        What was lacking lately would have been used over again for the whole of a loan, so that is asked for,
        less what has been lent already; one attempt's worth at least."""
        self._wanted = {nonce: wanted for nonce, wanted in self._wanted.items() if wanted.until > now}
        for key in [key for key, lacking in self._lacking.items() if lacking.at_present(now) <= LEAST]:
            del self._lacking[key]
        found: dict[str, bytes] = {}
        for key, lacking in self._lacking.items():
            had = sum(wanted.got for wanted in self._wanted.values() if wanted.key == key)
            amount = max(lacking.most, lacking.at_present(now) * self._span / MEMORY - had)
            nonce = self._current.get(key, "")
            wanted = self._wanted.get(nonce)
            if wanted is None or now >= wanted.asked + self._span // RENEW:
                self._count += 1
                nonce = self._current[key] = f"{self._process}.{self._count}"
                wanted = self._wanted[nonce] = OpenRequest(key, amount, now, now + self._span)
            if wanted.got < wanted.amount:
                found[key] = encode_record(
                    QuotaRequest(
                        incarnation=self._process,
                        key=key,
                        nonce=nonce,
                        amount=wanted.amount,
                        duration=self._span,
                    )
                )
        self._current = {key: nonce for key, nonce in self._current.items() if nonce in self._wanted}
        return found

    def answer(self, now: int, ticket: int, field: str, need: QuotaRequest) -> Donation | None:
        """Takes up the oldest need of a budget; the offer to be put to the router, or None.

        What this front lacks itself it does not lend: where all are full, a loan only locks budgets up.
        Measured: all lending to the oldest need took a third of what an evenly loaded branch used before."""
        out = now < self._offered.get(need.nonce, 0) or need.key in self._lacking
        if need.incarnation == self._process or out or need.amount <= LEAST or need.duration <= 0:
            return None
        if len(self._offers) >= MOST_NEEDS:
            return None
        self._offered = {nonce: end for nonce, end in self._offered.items() if end > now}
        self._offered[need.nonce] = now + self._span
        offer = self._offers[ticket] = Donation(need, field, now + int(need.duration * (1 + DRIFT)))
        return offer

    def lent(self, ticket: int, amount: float, until: int) -> tuple[Donation, QuotaGrant] | None:
        """The router has taken a piece off its part; what the store is to hand on, None if nothing."""
        offer = self._offers.pop(ticket, None)
        if offer is None or amount <= LEAST:
            if offer is not None:  # nothing to spare now; perhaps at the next sync
                self._offered.pop(offer.need.nonce, None)
            return None
        self._count += 1
        offer.amount, offer.until, need = amount, until, offer.need
        id_ = f"{self._process}.{self._count}"
        return offer, QuotaGrant(id=id_, key=need.key, nonce=need.nonce, amount=amount)

    def done(self, nonce: str) -> None:
        """An offer's fate is known: the need may be answered again."""
        self._offered.pop(nonce, None)

    def take(self, now: int, piece: QuotaGrant) -> tuple[float, int]:
        """A piece for this front: how much of it counts, and until when.

        Raises RecordError where it counts for nothing: nobody here asked for it, taken before, too late."""
        self._pieces = {id_: end for id_, end in self._pieces.items() if end > now}
        wanted = self._wanted.get(piece.nonce)
        if wanted is None or wanted.key != piece.key or now >= wanted.until:
            raise RecordError("a piece that nobody here asked for, or whose time is over")
        if piece.id in self._pieces:
            raise RecordError("a piece that has come before")
        if not 0 < piece.amount < float("inf") or len(self._pieces) >= MOST_PIECES:
            raise RecordError("a piece of no amount, or more of them than can be remembered")
        self._pieces[piece.id] = wanted.until
        wanted.got += piece.amount
        return piece.amount, wanted.until
