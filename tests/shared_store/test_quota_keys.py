"""Tests of quota keys in stored records.

The texts that earlier versions wrote for the keys are still read, and are written unchanged.
"""

import pytest

from olivepost.interface import RETRY_QUOTA, QuotaKey, QuotaKind, QuotaRequested
from olivepost.shared_store.commands import CommandTracker
from olivepost.shared_store.context import CoordinatorContext
from olivepost.shared_store.malformed_records import MalformedRecords
from olivepost.shared_store.messages import NotifyRouter
from olivepost.shared_store.quota_exchange import QuotaExchange
from olivepost.shared_store.quota_keys import encode_quota_key, parse_quota_key
from olivepost.shared_store.records import QuotaGrant, QuotaRequest, decode_record, encode_record
from olivepost.shared_store.terms import SharingTerms


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("retry", RETRY_QUOTA),
        ("cold:c:1@7", QuotaKey(QuotaKind.SLOW_START, "c:1", 7)),
        ("cold:a:1@1000000000000", QuotaKey(QuotaKind.SLOW_START, "a:1", 1_000_000_000_000)),
        ("cold:zz@0", QuotaKey(QuotaKind.SLOW_START, "zz", None)),
        ("open:b:1@7", QuotaKey(QuotaKind.CONCURRENCY, "b:1", 7)),
        ("open:user@host@-3", QuotaKey(QuotaKind.CONCURRENCY, "user@host", -3)),
        ("open:@0", QuotaKey(QuotaKind.CONCURRENCY, "", None)),
    ],
)
def test_key_text_of_earlier_versions_is_read_and_written_unchanged(text: str, key: QuotaKey) -> None:
    assert parse_quota_key(text) == key
    assert encode_quota_key(key) == text


@pytest.mark.parametrize(
    "text",
    [
        "",
        "riddle",
        "cold:",
        "cold:a:1",
        "cold:a:1@",
        "cold:a:1@x",
        "cold:a:1@07",
        "cold:a:1@-0",
        "RETRY",
        "retry:",
    ],
)
def test_text_of_another_form_is_no_key(text: str) -> None:
    assert parse_quota_key(text) is None


def test_key_of_a_grant_that_an_earlier_version_wrote_is_read() -> None:
    stored = (
        b'0526b85c {"type":"piece","v":1,"id":"99bb.3","key":"cold:c:1@7","nonce":"00f3a1.4","amount":0.25}'
    )
    grant = decode_record(QuotaGrant, stored)
    assert parse_quota_key(grant.key) == QuotaKey(QuotaKind.SLOW_START, "c:1", 7)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("riddle", None),
        ("", None),
        ("cold:", None),
        ("retry", RETRY_QUOTA),
        ("open:@0", QuotaKey(QuotaKind.CONCURRENCY, "")),
    ],
)
def test_router_is_asked_for_quotas_that_it_knows_alone(text: str, key: QuotaKey | None) -> None:
    terms = SharingTerms("n0", "me", ("s0",), reply_timeout=1_000, sync_interval=1_000)
    context = CoordinatorContext.create(terms, 0)
    malformed = MalformedRecords(context)
    exchange = QuotaExchange(context, CommandTracker(context), malformed)
    request = QuotaRequest(incarnation="you", key=text, nonce="you.1", amount=1.0, duration=1_000)

    exchange.receive_requests(0, context.stores["s0"], [(f"you|{text}".encode(), 1, encode_record(request))])

    events = [action.event for action in context.actions if isinstance(action, NotifyRouter)]
    assert [event.key for event in events if isinstance(event, QuotaRequested)] == ([key] if key else [])
    assert not context.counts["records_malformed"]
