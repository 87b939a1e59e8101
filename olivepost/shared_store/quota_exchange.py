"""Quota transfers by way of the stores: reads requests and grants of others, and hands donations over."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from typing import NamedTuple

from olivepost import interface as api
from olivepost.shared_store.commands import CommandTracker, ReplyValues
from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.malformed_records import MalformedRecords
from olivepost.shared_store.messages import GrantQuota, ReplyType
from olivepost.shared_store.quota_keys import encode_quota_key, parse_quota_key
from olivepost.shared_store.quota_transfers import Donation, QuotaTransfers
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

ROW_LENGTH = 3  # field, Unix millisecond, record


class RequestedQuota(NamedTuple):
    """A request of some proxy as the store has it; the one that stands there longest comes first."""

    since_ms: int
    field: str
    request: QuotaRequest

    def precedes(self, other: RequestedQuota) -> bool:
        """Whether this one is answered rather than the other."""
        return (self.since_ms, self.field) <= (other.since_ms, other.field)


def parse_requested_quota(row: object) -> RequestedQuota:
    """Returns the request in a row of a sync's reply; raises `RecordError` where it is malformed."""
    if not isinstance(row, (list, tuple)) or len(row) != ROW_LENGTH or not isinstance(row[0], bytes):
        raise RecordError("a quota request of another form", "field, Unix millisecond and record")
    field = row[0].decode(errors="replace")
    since_ms = parse_integer(row[1])
    request = decode_record(QuotaRequest, row[2])
    if field != f"{request.incarnation}|{request.key}":
        raise RecordError("a quota request in another proxy's field")
    return RequestedQuota(since_ms, field, request)


class QuotaExchange:
    """Moves quota between this proxy's router and the stores. Used by the coordinator's thread only."""

    def __init__(
        self, context: CoordinatorContext, commands: CommandTracker, malformed: MalformedRecords
    ) -> None:
        self._context = context
        self._commands = commands
        self._malformed = malformed
        self._transfers = QuotaTransfers(context.terms.incarnation, context.terms.quota_duration)
        self._donating: dict[int, StoreHealth] = {}  # the request's store, by transfer id

    def record_shortage(self, now: Instant, event: api.RequestQuota) -> None:
        """Notes that the router lacked an amount of a quota."""
        if self._context.terms.quota_transfers_enabled:
            self._transfers.record_shortage(now, encode_quota_key(event.key), event.amount)

    def open_requests(self, now: Instant, store: StoreHealth) -> tuple[tuple[str, bytes], ...]:
        """Returns this proxy's requests that belong to a store, each a field and its record."""
        if not self._context.terms.quota_transfers_enabled:
            return ()
        requests = self._transfers.open_requests(now)
        return tuple(
            (self._transfers.field(key), record)
            for key, record in requests.items()
            if self._context.store_of(key) is store
        )

    def receive_requests(self, now: Instant, store: StoreHealth, rows: Sequence[object]) -> None:
        """Answers, of each quota, the request that stands longest, so that all donate to the same proxy."""
        oldest: dict[str, RequestedQuota] = {}
        for row in rows:
            self._malformed.skip_errors(_keep_oldest, oldest, row)
        for requested in oldest.values():
            request = requested.request
            key = parse_quota_key(request.key)
            if key is None:  # of a version that shares more quotas: nothing of it can be donated here
                continue
            transfer_id = self._context.issue_ticket()
            donation = self._transfers.offer(now, transfer_id, requested.field, request)
            if donation is not None:
                self._donating[transfer_id] = store
                self._context.notify_router(
                    api.QuotaRequested(transfer_id, key, request.amount, donation.expires_at)
                )

    def donate(self, now: Instant, event: api.DonateQuota) -> None:
        """Hands an amount over that the router has given up.

        From here on it is the other proxy's, whatever becomes of the command.
        """
        store = self._donating.pop(event.transfer_id, None)
        donated = self._transfers.donate(event.transfer_id, event.amount, event.expires_at)
        if donated is None or store is None:
            return
        self._context.counts["quota_grants_made"] += 1
        if not store.accepts_publications:
            return
        donation, grant = donated
        request = donation.request
        operation = GrantQuota(
            store.generation,
            donation.field,
            request.nonce,
            request.incarnation,
            grant.amount,
            encode_record(grant),
        )
        self._commands.send(now, store, operation, partial(self._on_handed_over, donation))

    def _on_handed_over(self, donation: Donation, now: Instant, values: ReplyValues | None) -> None:
        """Takes back what the store has surely not handed over; the rest stays donated until it expires."""
        if not values:
            self._context.counts["quota_grants_unconfirmed"] += 1
            return
        request = donation.request
        self._transfers.close(request.nonce)
        if values[0] == ReplyType.NOT_REQUESTED and now < donation.expires_at:
            self._context.counts["quota_grants_returned"] += 1
            self._notify_received(request.key, donation.amount, donation.expires_at)

    def receive_grant(self, now: Instant, row: object) -> None:
        """Passes a grant on to the router; raises `RecordError` where it counts for nothing."""
        grant = decode_record(QuotaGrant, row)
        amount, expires_at = self._transfers.receive(now, grant)
        self._context.counts["quota_grants_received"] += 1
        self._notify_received(grant.key, amount, expires_at)

    def _notify_received(self, key_text: str, amount: float, expires_at: Instant) -> None:
        key = parse_quota_key(key_text)
        if key is not None:
            self._context.notify_router(api.QuotaReceived(key, amount, expires_at))


def _keep_oldest(oldest: dict[str, RequestedQuota], row: object) -> None:
    """Enters a row's request where no older one of its quota is known."""
    requested = parse_requested_quota(row)
    known = oldest.get(requested.request.key)
    if known is None or requested.precedes(known):
        oldest[requested.request.key] = requested
