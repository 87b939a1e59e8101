"""This proxy's donations, with which its router answers the quota requests of other proxies.

A request of another proxy is first offered to this proxy's router: the router is asked to donate to the
request. If the router donates, this proxy sends the store a grant of the amount. `quota_exchange` describes
the whole transfer.

This module has no clock and does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from olivepost.shared_store.quota_requests import MIN_AMOUNT, IdSequence, QuotaRequests
from olivepost.shared_store.records import QuotaGrant, QuotaRequest
from olivepost.units import Duration, Instant

MAX_CLOCK_DRIFT = 0.01  # largest relative difference between the rates of two proxies' clocks
MAX_DONATIONS = 64  # largest number of requests whose offers to the router are open at the same time


@dataclass(slots=True)
class Donation:
    """A donation to another proxy's request.

    The request is offered to the router first. If the router donates, the store gets a grant of the amount.
    """

    request: QuotaRequest
    field: str  # the field under which the store has the request
    expires_at: Instant  # the time from which this proxy may use the amount again
    amount: float = 0.0


class GrantedDonation(NamedTuple):
    """A donation that the router has made, and the grant that the store gets for the recipient."""

    donation: Donation
    grant: QuotaGrant


class QuotaDonations:
    """Requests of other proxies that this proxy has offered to its router or is answering with a grant.

    Only the coordinator's thread uses this class.
    """

    def __init__(self, own_requests: QuotaRequests, ids: IdSequence, duration: Duration) -> None:
        self._own_requests = own_requests
        self._ids = ids
        self._duration = duration
        self._donations: dict[int, Donation] = {}  # open offers to the router, by transfer id
        # The time until which a request is not offered to the router again, by the request's nonce (its id).
        self._answered_until: dict[str, Instant] = {}

    def __contains__(self, transfer_id: int) -> bool:
        """Whether the offer with this transfer id is open, so that the router may still answer it."""
        return transfer_id in self._donations

    def offer(self, now: Instant, transfer_id: int, field: str, request: QuotaRequest) -> Donation | None:
        """Opens an offer with a transfer id, and returns the donation for which to ask the router.

        `field` is the field under which the store has the request. Returns `None` if this proxy may not
        answer the request.
        """
        self._drop_expired(now)
        if not self._may_answer(now, request):
            return None
        self._answered_until[request.nonce] = now + self._duration
        # This proxy adds the largest drift to the duration, because the recipient's clock may be slower than
        # this proxy's. The recipient also measures the duration from an earlier time, that of its request.
        expires_at = now + int(request.duration * (1 + MAX_CLOCK_DRIFT))
        donation = Donation(request, field, expires_at)
        self._donations[transfer_id] = donation
        return donation

    def donate(self, transfer_id: int, amount: float, expires_at: Instant) -> GrantedDonation | None:
        """Closes an offer that the router has answered, and returns the donation and its grant.

        An offer is a question to the router whether it donates to another proxy's request. With the donation,
        the router has given up `amount` until `expires_at`. The grant is the record that passes the amount
        to the other proxy. Returns `None` if no offer with this transfer id is open, for example because the
        offer has expired, or if the router gave up no more than `MIN_AMOUNT`.
        """
        donation = self._donations.pop(transfer_id, None)
        if donation is None:
            return None
        request = donation.request
        if amount <= MIN_AMOUNT:  # the router can spare nothing now; a later sync may offer the request again
            self._answered_until.pop(request.nonce, None)
            return None
        donation.amount = amount
        donation.expires_at = expires_at
        grant = QuotaGrant(id=self._ids.issue(), key=request.key, nonce=request.nonce, amount=amount)
        return GrantedDonation(donation, grant)

    def _drop_expired(self, now: Instant) -> None:
        """Drops the expired offers, and forgets the answered requests that may be answered again.

        An offer expires if the router never answers it, for example because the router failed to handle it.
        """
        self._answered_until = {nonce: until for nonce, until in self._answered_until.items() if until > now}
        self._donations = {
            transfer_id: donation
            for transfer_id, donation in self._donations.items()
            if donation.expires_at > now
        }

    def close(self, nonce: str) -> None:
        """Allows the request with this nonce to be answered again, after the store's reply to a grant.

        The reply shows whether the grant was made. A request that is not fully met may then get more.
        """
        self._answered_until.pop(nonce, None)

    def _may_answer(self, now: Instant, request: QuotaRequest) -> bool:
        """Whether this proxy may answer another proxy's request.

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
