"""This proxy's requests for quota of other proxies, and the grants with which those proxies answer.

A shortage is an amount of a quota that the router lacked for an attempt. `quota_exchange` describes the whole
transfer of an amount.

This module has no clock and does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from olivepost.shared_store.records import QuotaGrant, QuotaRequest, RecordError, encode_record
from olivepost.units import MILLISECOND, Duration, Instant

MAX_SHORTAGES = 64  # largest number of quotas that this proxy requests at once
# Largest number of grants that are remembered. A grant is remembered until it expires, so that it is not
# accepted twice.
MAX_GRANTS = 1_024
MIN_AMOUNT = 1e-6  # only larger amounts are transferred; each is in the unit of its quota
# Number of times that a request is renewed within its duration. A renewal puts a new request with a later
# start into the store in place of the earlier one. A grant is valid from the start of its request, so a grant
# for a young request has more time left.
RENEWALS_PER_DURATION = 8
SHORTAGE_MEMORY: Duration = 500 * MILLISECOND  # time in which a recorded shortage decays to zero


class IdSequence:
    """Ids of this process's requests and grants, which are unique among the proxies that share the stores.

    Only the coordinator's thread uses this class.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self._last_number = 0

    def issue(self) -> str:
        """Returns an id that has not been issued before."""
        self._last_number += 1
        return f"{self.incarnation}.{self._last_number}"


@dataclass(slots=True)
class Shortage:
    """The router's recent shortages of one quota, as a decaying sum and the largest single amount."""

    updated_at: Instant
    total: float = 0.0
    largest: float = 0.0

    def add(self, now: Instant, amount: float) -> None:
        """Adds a further shortage to the sum, which first decays until `now`."""
        self.total = self.remaining(now) + amount
        self.updated_at = now
        self.largest = max(self.largest, amount)

    def remaining(self, now: Instant) -> float:
        """Returns the sum of the shortages after its decay until `now`."""
        return self.total * max(0.0, 1 - (now - self.updated_at) / SHORTAGE_MEMORY)


@dataclass(slots=True)
class OpenRequest:
    """An unexpired request of this proxy for an amount of one quota.

    `nonce` is the request's unique id. Each grant for the request must have the same nonce. `received` is the
    sum of the amounts of the grants that have come for the request.
    """

    nonce: str
    key: str
    amount: float
    requested_at: Instant
    expires_at: Instant
    received: float = 0.0


class ReceivedQuota(NamedTuple):
    """The amount of a grant, and the time from which this proxy must no longer use it."""

    amount: float
    expires_at: Instant


class QuotaRequests:
    """This proxy's shortages and requests, and the grants that it received for them.

    Keys are the texts of quota keys in records. Only the coordinator's thread uses this class.
    """

    def __init__(self, ids: IdSequence, duration: Duration) -> None:
        self._ids = ids
        self._duration = duration
        self._shortages: dict[str, Shortage] = {}  # shortage of each quota, by key
        self._requests: dict[str, OpenRequest] = {}  # unexpired requests, by nonce
        self._latest: dict[str, OpenRequest] = {}  # latest request for each quota, by key
        self._grants: dict[str, Instant] = {}  # expiry of each received grant, by grant id

    def record_shortage(self, now: Instant, key: str, amount: float) -> None:
        """Records a shortage: the amount of a quota that the router lacked for an attempt."""
        if amount > 0 and (key in self._shortages or len(self._shortages) < MAX_SHORTAGES):
            self._shortages.setdefault(key, Shortage(now)).add(now, amount)

    def has_shortage(self, key: str) -> bool:
        """Whether this proxy itself has recently been short of the quota with this key.

        A shortage ends at the first renewal after it has decayed to `MIN_AMOUNT` or less.
        """
        return key in self._shortages

    def renew(self, now: Instant) -> dict[str, bytes]:
        """Drops expired requests and renews the requests whose renewal is due.

        Returns the records of the requests that are not yet fully met by grants, by key.
        """
        self._drop_expired(now)
        records: dict[str, bytes] = {}
        for key, shortage in self._shortages.items():
            request = self._current_request(now, key, shortage)
            if request.received < request.amount:
                records[key] = self._encode(request)
        return records

    def receive(self, now: Instant, grant: QuotaGrant) -> ReceivedQuota:
        """Records a grant, and returns its amount and the end of its validity.

        Raises `RecordError` if the grant must not be used, because it was not requested here, was received
        before, came too late or has an invalid amount, or because this proxy remembers too many unexpired
        grants.
        """
        self._grants = {grant_id: expiry for grant_id, expiry in self._grants.items() if expiry > now}
        request = self._requests.get(grant.nonce)
        if request is None or request.key != grant.key or now >= request.expires_at:
            raise RecordError("a quota grant that was not requested here, or has expired")
        if grant.id in self._grants:
            raise RecordError("a quota grant that was received before")
        if not 0 < grant.amount < float("inf") or len(self._grants) >= MAX_GRANTS:
            raise RecordError(
                "a quota grant with an invalid amount, or too many grants",
                f"finite and above 0, and at most {MAX_GRANTS} at once",
            )
        self._grants[grant.id] = request.expires_at
        request.received += grant.amount
        return ReceivedQuota(grant.amount, request.expires_at)

    def _drop_expired(self, now: Instant) -> None:
        self._requests = {
            nonce: request for nonce, request in self._requests.items() if request.expires_at > now
        }
        self._latest = {key: request for key, request in self._latest.items() if request.expires_at > now}
        self._shortages = {
            key: shortage for key, shortage in self._shortages.items() if shortage.remaining(now) > MIN_AMOUNT
        }

    def _current_request(self, now: Instant, key: str, shortage: Shortage) -> OpenRequest:
        """Returns the latest request for a key, or a new request if there is none or a renewal is due."""
        latest = self._latest.get(key)
        if latest is not None and now < latest.requested_at + self._duration // RENEWALS_PER_DURATION:
            return latest
        amount = self._amount_to_request(now, key, shortage)
        request = OpenRequest(self._ids.issue(), key, amount, now, now + self._duration)
        self._requests[request.nonce] = request
        self._latest[key] = request
        return request

    def _amount_to_request(self, now: Instant, key: str, shortage: Shortage) -> float:
        """Returns the shortage expected over a transfer's duration, minus the amounts already received.

        The result is at least the largest single shortage, so that the transfer is enough for one attempt.
        """
        received = sum(request.received for request in self._requests.values() if request.key == key)
        expected = shortage.remaining(now) * self._duration / SHORTAGE_MEMORY
        return max(shortage.largest, expected - received)

    def _encode(self, request: OpenRequest) -> bytes:
        return encode_record(
            QuotaRequest(
                incarnation=self._ids.incarnation,
                key=request.key,
                nonce=request.nonce,
                amount=request.amount,
                duration=self._duration,
            )
        )
