"""The encoding of a store's operations as script calls, and the reading of the scripts' replies.

The scripts themselves are in `lua`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from hashlib import sha1

from olivepost.shared_store import lua, messages, operations
from olivepost.shared_store.records import RecordError, parse_integer

MAX_EXCERPT_LENGTH = 60  # characters of a malformed reply in the reason of its `ReplyLost`
NO_LEASE = (0, b"")  # the lease's duration and record in a lookup that requests no lease
NO_LOCATION = operations.LocationPublication(b"", 0)  # sent with a release that publishes no location
# Number of values that begin every reply. The first value is the store's generation. The second is the
# serial: the number of the last sync that the store had received from this process before the command.
HEADER_LENGTH = 2


class ScriptName(Enum):
    """The script that an operation runs."""

    SYNC = "sync"
    LOOK_UP = "look up"
    RELEASE_LEASE = "release lease"
    REPORT_STALE = "report stale"
    INVALIDATE = "invalidate"
    GRANT_QUOTA = "grant quota"
    ADVANCE_GENERATION = "advance generation"


SCRIPT_TEXTS = {
    ScriptName.SYNC: lua.SYNC,
    ScriptName.LOOK_UP: lua.LOOK_UP,
    ScriptName.RELEASE_LEASE: lua.RELEASE_LEASE,
    ScriptName.REPORT_STALE: lua.REPORT_STALE,
    ScriptName.INVALIDATE: lua.INVALIDATE,
    ScriptName.GRANT_QUOTA: lua.GRANT_QUOTA,
    ScriptName.ADVANCE_GENERATION: lua.ADVANCE_GENERATION,
}
DIGESTS = {name: sha1(text.encode()).hexdigest() for name, text in SCRIPT_TEXTS.items()}

Argument = bytes | str | int | float


@dataclass(frozen=True, slots=True)
class ScriptCall:
    """One operation as a store gets it, with the script's name, the script's only key, and the arguments."""

    name: ScriptName
    key: str
    arguments: tuple[Argument, ...]


def encode_operation(operation: operations.StoreOperation, prefix: str, incarnation: str) -> ScriptCall:
    """Returns the script call for an operation of the process `incarnation` on the keys under `prefix`."""
    key = f"{prefix}:generation"
    if isinstance(operation, operations.AdvanceGeneration):
        return ScriptCall(ScriptName.ADVANCE_GENERATION, key, (operation.expected, operation.minimum))
    common = (operation.generation, prefix, incarnation)
    match operation:
        case operations.SyncOperation():
            return ScriptCall(ScriptName.SYNC, key, (*common, *_sync_arguments(operation)))
        case operations.LookUp():
            request = operation.lease
            lease = NO_LEASE if request is None else (request.duration_ms, request.record)
            keys = operation.invalidation_keys
            return ScriptCall(ScriptName.LOOK_UP, key, (*common, operation.name, *lease, *keys))
        case operations.PublishLocation():
            location = operation.location or NO_LOCATION
            release = (operation.name, operation.lease, *location, operation.lifetime_ms)
            return ScriptCall(ScriptName.RELEASE_LEASE, key, (*common, *release))
        case operations.ReportStaleLocation():
            report = (operation.name, operation.record, operation.reports)
            return ScriptCall(ScriptName.REPORT_STALE, key, (*common, *report))
        case operations.PublishInvalidations():
            rows: list[Argument] = [field for row in operation.rows for field in row]
            return ScriptCall(ScriptName.INVALIDATE, key, (*common, *rows))
        case operations.GrantQuota():
            recipient = (operation.request_field, operation.nonce, operation.recipient)
            grant = (repr(operation.amount), operation.record)
            return ScriptCall(ScriptName.GRANT_QUOTA, key, (*common, *recipient, *grant))


def _sync_arguments(operation: operations.SyncOperation) -> tuple[Argument, ...]:
    requests: list[Argument] = [field for request in operation.quota_requests for field in request]
    return (
        operation.serial,
        operation.last_invalidation,
        len(operation.quota_requests),
        *requests,
        *operation.outliers,
    )


def read_reply(ticket: int, reply: object) -> messages.StoreReply | messages.ReplyLost:
    """Returns the event about a script's reply to the command that has `ticket`.

    The event is a `ReplyLost` if the reply is malformed.
    """
    if not isinstance(reply, Sequence) or isinstance(reply, (str, bytes)) or len(reply) < HEADER_LENGTH:
        return messages.ReplyLost(
            ticket, f"a reply must be a list of at least {HEADER_LENGTH} values, not {_excerpt(reply)}"
        )
    try:
        generation = parse_integer(reply[0])
        serial = parse_integer(reply[1])
    except RecordError:
        return messages.ReplyLost(
            ticket, f"a reply must begin with generation and serial, not {_excerpt(reply)}"
        )
    if generation < 0 or serial < 0:
        return messages.ReplyLost(
            ticket, f"a reply must begin with generation and serial, not {_excerpt(reply)}"
        )
    return messages.StoreReply(ticket, generation, serial, tuple(reply[HEADER_LENGTH:]))


def _excerpt(reply: object) -> str:
    return repr(reply)[:MAX_EXCERPT_LENGTH]
