"""Decides which quota this proxy requests from others, which requests it answers, and which grants count.

Every proxy owns its n-th part of a quota by its router's own books, with or without a store. A transfer moves
an amount of one proxy's part to one other proxy: the donor gives it up first, until the transfer has surely
expired, and only the process that asked may use it, once, from the moment when it asked. So whatever a store
loses, repeats, delays or brings back, parts and transfers together never exceed the whole: a lost, old or
repeated message is worth nothing, and each proxy measures by its own clock, the receiver from an earlier
moment than the donor. Clocks may be hours apart; only their rates must agree within `MAX_CLOCK_DRIFT`. No
clock, no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from olivepost.shared_store.records import QuotaGrant, QuotaRequest, RecordError, encode_record
from olivepost.units import MILLISECOND, Duration, Instant

MAX_CLOCK_DRIFT = 0.01  # between the rates of two proxies' clocks; a donor waits for so much longer
MAX_REQUESTS = 64  # open at once, of this proxy's own, and answered ones
MAX_GRANTS = 1_024  # remembered until they expire, so that none counts twice
MIN_AMOUNT = 1e-6  # of a quota, under which a transfer is not worth a message
RENEWALS_PER_DURATION = 8  # requests are renewed as often: grants count from the request's moment
SHORTAGE_MEMORY: Duration = 500 * MILLISECOND  # in which a shortage decays to nothing


@dataclass(slots=True)
class Shortage:
    """What the router lacked of one quota lately: a decaying sum, and the largest single amount."""

    updated_at: Instant
    total: float = 0.0
    largest: float = 0.0

    def add(self, now: Instant, amount: float) -> None:
        """Adds an amount that was lacking just now."""
        self.total = self.remaining(now) + amount
        self.updated_at = now
        self.largest = max(self.largest, amount)

    def remaining(self, now: Instant) -> float:
        """Returns the sum after its decay."""
        return self.total * max(0.0, 1 - (now - self.updated_at) / SHORTAGE_MEMORY)


@dataclass(slots=True)
class OpenRequest:
    """A request of this proxy; grants that carry its nonce count until it expires."""

    nonce: str
    key: str
    amount: float
    requested_at: Instant
    expires_at: Instant
    received: float = 0.0


@dataclass(slots=True)
class Donation:
    """A transfer to another proxy that is under way: asked of the router first, then of the store."""

    request: QuotaRequest
    field: str  # of the request in the store
    expires_at: Instant
    amount: float = 0.0


class QuotaTransfers:
    """This proxy's requests, donations and grants. Used by the coordinator's thread only."""

    def __init__(self, incarnation: str, duration: Duration) -> None:
        self._incarnation = incarnation
        self._duration = duration
        self._last_number = 0  # of this process's requests and grants
        self._shortages: dict[str, Shortage] = {}  # by key
        self._requests: dict[str, OpenRequest] = {}  # by nonce
        self._latest_nonce: dict[str, str] = {}  # by key
        self._grants: dict[str, int] = {}  # received, by id: when they expire
        self._donations: dict[int, Donation] = {}  # by transfer id
        self._answered: dict[str, int] = {}  # nonces that are being answered, and until when

    def field(self, key: str) -> str:
        """Returns the field of the store that has this proxy's request of a quota."""
        return f"{self._incarnation}|{key}"

    def record_shortage(self, now: Instant, key: str, amount: float) -> None:
        """Notes that the router lacked an amount of a quota."""
        if amount > 0 and (key in self._shortages or len(self._shortages) < MAX_REQUESTS):
            self._shortages.setdefault(key, Shortage(now)).add(now, amount)

    # Own requests

    def open_requests(self, now: Instant) -> dict[str, bytes]:
        """Returns the records of this proxy's open requests, by key."""
        self._drop_expired(now)
        records: dict[str, bytes] = {}
        for key, shortage in self._shortages.items():
            request = self._current_request(now, key, shortage)
            if request.received < request.amount:
                records[key] = self._encode(request)
        self._latest_nonce = {
            key: nonce for key, nonce in self._latest_nonce.items() if nonce in self._requests
        }
        return records

    def _drop_expired(self, now: Instant) -> None:
        self._requests = {
            nonce: request for nonce, request in self._requests.items() if request.expires_at > now
        }
        self._shortages = {
            key: shortage for key, shortage in self._shortages.items() if shortage.remaining(now) > MIN_AMOUNT
        }

    def _current_request(self, now: Instant, key: str, shortage: Shortage) -> OpenRequest:
        """Returns the latest request of a key, or a new one where it is time to renew it."""
        request = self._requests.get(self._latest_nonce.get(key, ""))
        if request is not None and now < request.requested_at + self._duration // RENEWALS_PER_DURATION:
            return request
        nonce = self._next_id()
        request = OpenRequest(nonce, key, self._wanted(now, key, shortage), now, now + self._duration)
        self._requests[nonce] = request
        self._latest_nonce[key] = nonce
        return request

    def _wanted(self, now: Instant, key: str, shortage: Shortage) -> float:
        """Returns how much to request.

        What was lacking lately would have been used over again for the whole of a transfer, so that is
        wanted, less what has been received already; one attempt's worth at least.
        """
        received = sum(request.received for request in self._requests.values() if request.key == key)
        lacking = shortage.remaining(now) * self._duration / SHORTAGE_MEMORY
        return max(shortage.largest, lacking - received)

    def _encode(self, request: OpenRequest) -> bytes:
        return encode_record(
            QuotaRequest(
                incarnation=self._incarnation,
                key=request.key,
                nonce=request.nonce,
                amount=request.amount,
                duration=self._duration,
            )
        )

    def _next_id(self) -> str:
        self._last_number += 1
        return f"{self._incarnation}.{self._last_number}"

    # Donations to others

    def offer(self, now: Instant, transfer_id: int, field: str, request: QuotaRequest) -> Donation | None:
        """Returns the donation to ask the router for in answer to a request; None where there is none.

        What this proxy lacks itself it does not donate: where all are full, transfers only lock quotas up.
        Measured before this rule: an evenly loaded location could use a third less.
        """
        if not self._may_answer(now, request):
            return None
        self._answered = {nonce: expiry for nonce, expiry in self._answered.items() if expiry > now}
        self._answered[request.nonce] = now + self._duration
        expires_at = now + int(request.duration * (1 + MAX_CLOCK_DRIFT))
        donation = Donation(request, field, expires_at)
        self._donations[transfer_id] = donation
        return donation

    def _may_answer(self, now: Instant, request: QuotaRequest) -> bool:
        if request.incarnation == self._incarnation or request.key in self._shortages:
            return False
        if request.amount <= MIN_AMOUNT or request.duration <= 0:
            return False
        return now >= self._answered.get(request.nonce, 0) and len(self._donations) < MAX_REQUESTS

    def donate(
        self, transfer_id: int, amount: float, expires_at: Instant
    ) -> tuple[Donation, QuotaGrant] | None:
        """The router has given an amount up: returns what the store is to hand over; None where nothing."""
        donation = self._donations.pop(transfer_id, None)
        if donation is None:
            return None
        request = donation.request
        if amount <= MIN_AMOUNT:  # nothing to spare now; perhaps at the next sync
            self._answered.pop(request.nonce, None)
            return None
        donation.amount = amount
        donation.expires_at = expires_at
        return donation, QuotaGrant(id=self._next_id(), key=request.key, nonce=request.nonce, amount=amount)

    def close(self, nonce: str) -> None:
        """A donation's fate is known: its request may be answered again."""
        self._answered.pop(nonce, None)

    # Grants of others

    def receive(self, now: Instant, grant: QuotaGrant) -> tuple[float, int]:
        """Returns the amount of a grant for this proxy, and when it expires.

        Raises `RecordError` where it counts for nothing: not requested here, received before, or too late.
        """
        self._grants = {id_: expiry for id_, expiry in self._grants.items() if expiry > now}
        request = self._requests.get(grant.nonce)
        if request is None or request.key != grant.key or now >= request.expires_at:
            raise RecordError("a quota grant that was not requested here, or has expired")
        if grant.id in self._grants:
            raise RecordError("a quota grant that was received before")
        if not 0 < grant.amount < float("inf") or len(self._grants) >= MAX_GRANTS:
            raise RecordError(
                "a quota grant of no amount, or one too many", f"above 0, and {MAX_GRANTS} at once"
            )
        self._grants[grant.id] = request.expires_at
        request.received += grant.amount
        return grant.amount, request.expires_at
