"""Texts of quota keys in records: `cold:ENDPOINT@START`, `open:ENDPOINT@START` and `retry`.

`cold` is the slow start budget of an endpoint's process, `open` is the limit on concurrent attempts to that
process, and `retry` is the retry budget. START is the time at which the process started, in nanoseconds.

This module does no I/O.
"""

from __future__ import annotations

from olivepost.interface import RETRY_QUOTA, QuotaKey, QuotaKind

RETRY_TEXT = "retry"
PREFIXES = {QuotaKind.SLOW_START: "cold", QuotaKind.CONCURRENCY: "open"}
KINDS = {prefix: kind for kind, prefix in PREFIXES.items()}


def encode_quota_key(key: QuotaKey) -> str:
    """Returns the text of a quota key in a store. START is 0 if the endpoint's start time is unknown."""
    if key.kind is QuotaKind.RETRY:
        return RETRY_TEXT
    return f"{PREFIXES[key.kind]}:{key.endpoint_id}@{key.started_at or 0}"


def parse_quota_key(text: str) -> QuotaKey | None:
    """Returns the quota key for a text from a record, or `None` if this version knows no such quota.

    Only a text that `encode_quota_key` returns is accepted, so that each quota has exactly one text.
    """
    if text == RETRY_TEXT:
        return RETRY_QUOTA
    prefix, _, process = text.partition(":")
    endpoint_id, _, start = process.rpartition("@")
    kind = KINDS.get(prefix)
    if kind is None or not start.removeprefix("-").isdecimal():
        return None
    key = QuotaKey(kind, endpoint_id, int(start) or None)
    return key if encode_quota_key(key) == text else None
