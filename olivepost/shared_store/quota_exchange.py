"""Quota transfers through the stores.

In the accounting of the routers, each of n proxies owns an n-th part of every quota, with or without a store.
A transfer moves an amount of one proxy's part (the donor's) to one process of another proxy (the recipient).

A transfer has four steps. With a request, the recipient asks for the amount that it lacks, through a store.
The donor reads the request with a sync, and offers the request to its own router: it asks the router to
donate. With a donation, the router gives an amount up until the transfer has expired for both proxies. The
donor then sends the store a grant of that amount, and the recipient reads the grant with its next sync. Only
the process that made the request may use the amount, and only once. The time during which the process may do
so starts at the instant of its request.

Parts and transfers together never exceed the whole quota, even if a store loses, repeats, delays or restores
messages. Such faults only leave quota unused. Each proxy measures the time by its own clock, and the
recipient measures it from an earlier instant than the donor. A transfer therefore expires for the recipient
no later than for the donor. Clocks may be hours apart, but their rates must agree within `MAX_CLOCK_DRIFT`.
This module has no clock and does no I/O.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from typing import NamedTuple

from olivepost import interface as api
from olivepost.shared_store.commands import CommandTracker, ReplyValues
from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.malformed_records import MalformedRecords
from olivepost.shared_store.operations import GrantQuota, QuotaRequestRow, ReplyType
from olivepost.shared_store.quota_donations import Donation, QuotaDonations
from olivepost.shared_store.quota_keys import encode_quota_key, parse_quota_key
from olivepost.shared_store.quota_requests import IdSequence, QuotaRequests
from olivepost.shared_store.records import (
    QuotaGrant,
    QuotaRequest,
    RecordError,
    decode_record,
    encode_record,
    parse_integer,
)
from olivepost.shared_store.store_health import StoreHealth
from olivepost.units import Instant

# Number of values that describe one quota request in the reply to a sync: the request's field in the store's
# hash of quota requests, the Unix millisecond at which the store first got the request, and its record.
ROW_LENGTH = 3


class RequestedQuota(NamedTuple):
    """Another proxy's quota request, and the Unix millisecond at which the store first got it."""

    since_ms: int
    field: str
    request: QuotaRequest

    def precedes(self, other: RequestedQuota) -> bool:
        """Whether this request is older than the other one.

        Only the older of two requests for one quota is answered. If two requests are equally old, the request
        whose field sorts first is treated as the older one.
        """
        return (self.since_ms, self.field) <= (other.since_ms, other.field)


def parse_requested_quota(row: object) -> RequestedQuota:
    """Returns the quota request in `row`, an item of a list in a store's reply to a sync.

    Raises `RecordError` if the row is malformed.
    """
    if not isinstance(row, (list, tuple)) or len(row) != ROW_LENGTH or not isinstance(row[0], bytes):
        raise RecordError("a malformed quota request", "field, Unix millisecond and record")
    field = row[0].decode(errors="replace")
    since_ms = parse_integer(row[1])
    request = decode_record(QuotaRequest, row[2])
    if field != _request_field(request.incarnation, request.key):
        raise RecordError("a quota request whose field does not match its process and key")
    return RequestedQuota(since_ms, field, request)


class QuotaExchange:
    """The transfers of quota between this proxy and others through the stores.

    Only the coordinator's thread uses this class.
    """

    def __init__(
        self, context: CoordinatorContext, commands: CommandTracker, malformed: MalformedRecords
    ) -> None:
        self._context = context
        self._commands = commands
        self._malformed = malformed
        terms = context.terms
        ids = IdSequence(terms.incarnation)
        self._requests = QuotaRequests(ids, terms.quota_duration)
        self._donations = QuotaDonations(self._requests, ids, terms.quota_duration)
        self._offered: dict[int, StoreHealth] = {}  # store of each offered request, by transfer id

    # Own requests

    def record_shortage(self, now: Instant, event: api.RequestQuota) -> None:
        """Records a shortage: the amount of a quota that the router lacked for an attempt."""
        if self._context.terms.quota_transfers_enabled:
            self._requests.record_shortage(now, encode_quota_key(event.key), event.amount)

    def renew_requests(self, now: Instant, store: StoreHealth) -> tuple[QuotaRequestRow, ...]:
        """Renews this proxy's requests that are due, and returns those to send to `store`.

        They are the requests that are not fully met and for which `store` is responsible. There are none if
        quota transfers are disabled.
        """
        if not self._context.terms.quota_transfers_enabled:
            return ()
        incarnation = self._context.terms.incarnation
        return tuple(
            QuotaRequestRow(_request_field(incarnation, key), record)
            for key, record in self._requests.renew(now).items()
            if self._context.store_of(key) is store
        )

    def receive_grant(self, now: Instant, row: object) -> None:
        """Passes the grant in `row` on to the router; raises `RecordError` if it must not be used."""
        grant = decode_record(QuotaGrant, row)
        received = self._requests.receive(now, grant)
        self._context.counts["quota_grants_received"] += 1
        self._notify_received(grant.key, received.amount, received.expires_at)

    # Donations

    def receive_requests(self, now: Instant, store: StoreHealth, rows: Sequence[object]) -> None:
        """Asks the router to donate to the oldest request for each quota.

        All proxies choose the oldest request, so that they all donate to the same one. If the oldest request
        is this proxy's own, the router is not asked.
        """
        oldest: dict[str, RequestedQuota] = {}
        for row in rows:
            self._malformed.skip_errors(_keep_oldest, oldest, row)
        for requested in oldest.values():
            key = parse_quota_key(requested.request.key)
            # A request with an unknown key is ignored. The request comes from a proxy whose version shares
            # more quotas, and this proxy has nothing to donate for the key.
            if key is not None:
                self._offer(now, store, key, requested)

    def _offer(self, now: Instant, store: StoreHealth, key: api.QuotaKey, requested: RequestedQuota) -> None:
        """Asks the router to donate to another proxy's request, if this proxy may answer the request."""
        request = requested.request
        transfer_id = self._context.issue_ticket()
        donation = self._donations.offer(now, transfer_id, requested.field, request)
        if donation is None:
            return
        self._offered = {
            offered_id: offered_store
            for offered_id, offered_store in self._offered.items()
            if offered_id in self._donations
        }
        self._offered[transfer_id] = store
        event = api.QuotaRequested(transfer_id, key, request.amount, donation.expires_at)
        self._context.notify_router(event)

    def donate(self, now: Instant, event: api.DonateQuota) -> None:
        """Sends the store a grant of the amount that the router has given up for a request.

        The router gets the amount back early only if the store replies that it has not made the grant.
        Otherwise the amount stays given up until the transfer expires, even if the command that carries the
        grant is lost or never sent.
        """
        store = self._offered.pop(event.transfer_id, None)
        granted = self._donations.donate(event.transfer_id, event.amount, event.expires_at)
        if granted is None or store is None:
            return
        self._context.counts["quota_grants_made"] += 1
        if not store.accepts_publications:
            return
        donation, grant = granted
        request = donation.request
        operation = GrantQuota(
            generation=store.generation,
            request_field=donation.field,
            nonce=request.nonce,
            recipient=request.incarnation,
            amount=grant.amount,
            record=encode_record(grant),
        )
        self._commands.send(now, store, operation, partial(self._on_granted, donation))

    def _on_granted(self, donation: Donation, now: Instant, values: ReplyValues | None) -> None:
        """Gives a donated amount back to the router if the store replies that it has not made the grant.

        If the reply is lost, the store may have made the grant, so the amount stays given up until the
        transfer expires.
        """
        if not values:
            self._context.counts["quota_grants_unconfirmed"] += 1
            return
        request = donation.request
        self._donations.close(request.nonce)
        if values[0] == ReplyType.NOT_REQUESTED and now < donation.expires_at:
            self._context.counts["quota_grants_returned"] += 1
            self._notify_received(request.key, donation.amount, donation.expires_at)

    def _notify_received(self, key_text: str, amount: float, expires_at: Instant) -> None:
        key = parse_quota_key(key_text)
        if key is not None:
            self._context.notify_router(api.QuotaReceived(key, amount, expires_at))


def _request_field(incarnation: str, key: str) -> str:
    """Returns the field under which a store keeps a process's request for a quota."""
    return f"{incarnation}|{key}"


def _keep_oldest(oldest: dict[str, RequestedQuota], row: object) -> None:
    """Adds the request that a row contains to `oldest`, unless an older one for the same quota is known."""
    requested = parse_requested_quota(row)
    known = oldest.get(requested.request.key)
    if known is None or requested.precedes(known):
        oldest[requested.request.key] = requested
