"""Tests of exchanges. An exchange, a client's request with its response, delivers exactly one response."""

from __future__ import annotations

import pytest

from olivepost.proxy.exchange import Exchange, Response, ResponseKind


def test_exchange_is_closed_once() -> None:
    delivered: list[Response] = []

    def deliver(_exchange: Exchange, response: Response) -> None:
        delivered.append(response)

    exchange = Exchange("1", "a", "b", 0, 0, None, b"", 1, 1, deliver, bool)
    assert exchange.close(Response(ResponseKind.REJECTED))
    with pytest.raises(AssertionError, match="exchange_closed_once"):
        exchange.close(Response(ResponseKind.FAILED))
    assert [response.kind for response in delivered] == [ResponseKind.REJECTED]
