"""Fields of a `fetch` command, taken from an exchange and from the router's decision about an attempt."""

from __future__ import annotations

from olivepost import interface as api
from olivepost.proxy.exchange import Exchange
from olivepost.units import MILLISECOND

# Shortest duration that is sent, in milliseconds. Shorter durations are sent as 1 ms, because 0 has a special
# meaning on the wire: in the field `within` it stands for the class's freshness lifetime, and in the field
# `ttl` it means no wait.
MIN_DURATION_MS = 1


def command_fields(exchange: Exchange, attempt: api.ForwardAttempt) -> dict[str, str]:
    """Returns the fields of an attempt's `fetch` command, in the order in which they are sent.

    Durations are rounded down to whole milliseconds, but not to 0. Rounding down keeps waits and the ages of
    responses within the limits that the router decided.
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
    """Returns the value of the field `f`; an empty string if no flag is set."""
    if attempt.collapse_fills and attempt.refresh:
        return "join+renew"
    if attempt.collapse_fills:
        return "join"
    return "renew" if attempt.refresh else ""
