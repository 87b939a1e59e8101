"""Quota requests of other proxies that this proxy answers, and its donations to those proxies.

This module has no clock and does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from olivepost.shared_store.quota_requests import MIN_AMOUNT, IdSequence, QuotaRequests
from olivepost.shared_store.records import QuotaGrant, QuotaRequest
from olivepost.units import Duration, Instant

MAX_CLOCK_DRIFT = 0.01  # largest relative difference between the rates of two proxies' clocks
MAX_DONATIONS = 64  # largest number of donations that are offered to the router at once


@dataclass(slots=True)
class Donation:
    """A transfer to another proxy, first offered to the router and then granted through the store."""

    request: QuotaRequest
    field: str  # the request's field in the store
    expires_at: Instant  # the time from which this proxy may use the amount again
    amount: float = 0.0


class GrantedDonation(NamedTuple):
    """A donation that the router has made, and the grant to send to its recipient."""

    donation: Donation
    grant: QuotaGrant


class QuotaDonations:
    """Requests of other proxies that this proxy is answering.

    Only the coordinator's thread uses this class.
    """

    def __init__(self, own_requests: QuotaRequests, ids: IdSequence, duration: Duration) -> None:
        self._own_requests = own_requests
        self._ids = ids
        self._duration = duration
        self._donations: dict[int, Donation] = {}  # donations offered to the router, by transfer id
        # The time until which a request is not answered again, by the nonce of the request.
        self._answered_until: dict[str, Instant] = {}

    def __contains__(self, transfer_id: int) -> bool:
        """Whether a transfer is offered to the router and the router has not answered yet."""
        return transfer_id in self._donations

    def offer(self, now: Instant, transfer_id: int, field: str, request: QuotaRequest) -> Donation | None:
        """Returns the donation to offer to the router, or `None` if the request may not be answered."""
        self._drop_expired(now)
        if not self._may_answer(now, request):
            return None
        self._answered_until[request.nonce] = now + self._duration
        # The recipient's clock may be slower than this proxy's, so the donation lasts longer here by the
        # drift. The recipient also measures the duration from its request, which is earlier than now.
        expires_at = now + int(request.duration * (1 + MAX_CLOCK_DRIFT))
        donation = Donation(request, field, expires_at)
        self._donations[transfer_id] = donation
        return donation

    def donate(self, transfer_id: int, amount: float, expires_at: Instant) -> GrantedDonation | None:
        """Returns the grant of an amount that the router has given up.

        Returns `None` if the offer is no longer open or the router gave up nothing.
        """
        donation = self._donations.pop(transfer_id, None)
        if donation is None:
            return None
        request = donation.request
        if amount <= MIN_AMOUNT:  # the router can spare nothing now; the next sync may ask it again
            self._answered_until.pop(request.nonce, None)
            return None
        donation.amount = amount
        donation.expires_at = expires_at
        grant = QuotaGrant(id=self._ids.issue(), key=request.key, nonce=request.nonce, amount=amount)
        return GrantedDonation(donation, grant)

    def _drop_expired(self, now: Instant) -> None:
        """Drops the entries of answered requests and the offers that have expired.

        The dropped offers include those that the router never answered because it failed to handle them.
        """
        self._answered_until = {nonce: until for nonce, until in self._answered_until.items() if until > now}
        self._donations = {
            transfer_id: donation
            for transfer_id, donation in self._donations.items()
            if donation.expires_at > now
        }

    def close(self, nonce: str) -> None:
        """Allows a request to be answered again, after the store has replied to a grant for it."""
        self._answered_until.pop(nonce, None)

    def _may_answer(self, now: Instant, request: QuotaRequest) -> bool:
        """Whether a request may be answered.

        A proxy does not donate any quota of which the proxy is short itself. If all proxies are short of a
        quota, transfers would only keep some of it unused until they expire.
        """
        if request.incarnation == self._ids.incarnation or self._own_requests.has_shortage(request.key):
            return False
        if request.amount <= MIN_AMOUNT or request.duration <= 0:
            return False
        answered_until = self._answered_until.get(request.nonce)
        if answered_until is not None and now < answered_until:
            return False
        return len(self._donations) < MAX_DONATIONS
