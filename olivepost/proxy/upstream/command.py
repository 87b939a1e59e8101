"""Fields of a `fetch` command, from what routing decided for an attempt."""

from __future__ import annotations

from olivepost import interface as api
from olivepost.proxy.exchange import Exchange
from olivepost.units import MILLISECOND

MIN_DURATION_MS = 1  # 0 stands for the class's freshness lifetime in `within` and for no wait in `ttl`


def command_fields(exchange: Exchange, attempt: api.ForwardAttempt) -> dict[str, str]:
    """Returns the fields of an attempt's `fetch` command, in the order of the wire.

    Durations are cut to whole milliseconds, so that no wait and no response's age is longer than decided.
    """
    fields = {"lane": exchange.class_name, "name": exchange.object, "piece": str(exchange.part)}
    fields["ttl"] = str(max(MIN_DURATION_MS, attempt.timeout // MILLISECOND))
    if attempt.source is not None:
        fields["miss"] = attempt.source
    if attempt.rank:
        fields["prio"] = str(attempt.rank)
    if attempt.max_age is not None:
        fields["within"] = str(max(MIN_DURATION_MS, attempt.max_age // MILLISECOND))
    if flags := _flags(attempt):
        fields["f"] = flags
    if exchange.etag is not None:
        fields["mine"] = exchange.etag
    if exchange.idempotency_key is not None:
        fields["dedupe"] = exchange.idempotency_key
    return fields


def _flags(attempt: api.ForwardAttempt) -> str:
    if attempt.collapse_fills and attempt.refresh:
        return "join+renew"
    if attempt.collapse_fills:
        return "join"
    return "renew" if attempt.refresh else ""
