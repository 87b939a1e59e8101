"""Mapping of a client's HTTP request to an exchange, with checks of its method, target and fields."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

from olivepost.interface import ClassSettings
from olivepost.proxy.exchange import Exchange, Response
from olivepost.proxy.http1.messages import HttpError, Message, RequestLine
from olivepost.units import MILLISECOND, Instant

HEALTH_TARGET = "/-/healthy"
METHODS = ("GET", "PUT")
ALLOW_HEADER = {"Allow": ", ".join(METHODS)}  # header field of every response with status 405
RETRY_FIELD = "x-repeat"  # present if the client has sent the request before, under another id
MAX_GROUP = 255  # largest group number of an object
_OBJECT_TARGET = re.compile(r"/api/v2/([^/]+)/([0-9a-f]{16})/slice-(0|[1-9][0-9]{0,8})", re.ASCII)
_CALL_ID = re.compile(r"[0-9a-f]{16}", re.ASCII)
_TIMEOUT_MS = re.compile(r"[0-9]{1,9}", re.ASCII)
_GROUP = re.compile(r"[0-9]{1,3}", re.ASCII)
_IDEMPOTENCY_KEY = re.compile(r"[!#-*\-.0-9:;<>-~]{1,128}", re.ASCII)
# Strong entity tag without the characters that a field of the line protocol can't contain.
_STRONG_ETAG = re.compile(r'"([!#-+\--<>-~]{1,128})"', re.ASCII)


def is_health_check(request_line: RequestLine) -> bool:
    """Whether a request is a health check, which the proxy answers itself."""
    return request_line.target == HEALTH_TARGET and request_line.method in METHODS


def build_exchange(
    message: Message[RequestLine],
    classes: Mapping[str, ClassSettings],
    received_at: Instant,
    deliver: Callable[[Exchange, Response], None],
    is_client_disconnected: Callable[[], bool],
) -> Exchange:
    """Builds the exchange of a request that was read completely at `received_at`.

    The exchange keeps `deliver` and `is_client_disconnected`, its callbacks to the client's connection.
    Raises HttpError 405 for a method that is not allowed, 404 for an unknown target or class, and 400 for
    a field that is missing or malformed.
    """
    method, target, _ = message.start_line
    if method not in METHODS:
        raise HttpError(405, f"method {method[:20]!r} is not allowed; use {' or '.join(METHODS)}")
    match = _OBJECT_TARGET.fullmatch(target)
    if match is None or match[1] not in classes:
        raise HttpError(404, f"target {target[:80]!r} names no object of a configured class")
    is_write = method == "PUT"
    if is_write and not classes[match[1]].is_uncacheable:
        raise HttpError(405, f"class {match[1]!r} does not allow PUT")
    return Exchange(
        id=_required_field(message, "x-call-id", _CALL_ID),
        class_name=match[1],
        object=match[2],
        part=int(match[3]),
        group=_group(message),
        etag=None if is_write else _client_etag(message),
        body=message.body,
        timeout=int(_required_field(message, "x-patience-ms", _TIMEOUT_MS)) * MILLISECOND,
        received_at=received_at,
        deliver=deliver,
        is_client_disconnected=is_client_disconnected,
        is_write=is_write,
        is_client_retry=RETRY_FIELD in message.headers,
        idempotency_key=_idempotency_key(message),
    )


def _required_field(message: Message[RequestLine], name: str, pattern: re.Pattern[str]) -> str:
    value = message.header(name)
    if value is None or not pattern.fullmatch(value):
        raise HttpError(400, f"field '{name}' is missing or does not match {pattern.pattern}")
    return value


def _group(message: Message[RequestLine]) -> int:
    group = int(_required_field(message, "x-set", _GROUP))
    if group > MAX_GROUP:
        raise HttpError(400, f"field 'x-set' must be from 0 to {MAX_GROUP}, not {group}")
    return group


def _idempotency_key(message: Message[RequestLine]) -> str | None:
    """Returns the idempotency key, by which caches recognize a retry; None if the client sent none."""
    if not message.header("x-dedupe-key"):
        return None
    return _required_field(message, "x-dedupe-key", _IDEMPOTENCY_KEY)


def _client_etag(message: Message[RequestLine]) -> str | None:
    """Returns the only entity tag of If-None-Match without its quotes, if it is a strong one.

    Returns None for a list, a weak tag, or a tag that a field of the line protocol can't contain. The request
    is then forwarded without a condition.
    """
    values = message.headers.get("if-none-match", ())
    match = _STRONG_ETAG.fullmatch(values[0]) if len(values) == 1 else None
    return match[1] if match else None
