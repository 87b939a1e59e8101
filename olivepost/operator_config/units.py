"""Durations, addresses and files as people write them; each raises ValueError that tells what is allowed."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated

from pydantic import BeforeValidator, WithJsonSchema

SPANS = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}
SPAN = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,6})?)(us|ms|s|m|h)", re.ASCII)
HOST = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9.-]{0,252}[A-Za-z0-9])?", re.ASCII)
SECRET_MOST = 4_096  # bytes


def read_span(value: object) -> object:
    """A duration in nanoseconds from `250ms`, `1.5s`, `2m`; whole numbers are taken as nanoseconds."""
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    match = SPAN.fullmatch(value) if isinstance(value, str) else None
    if not match:
        raise ValueError("must be a duration like 250ms, 1.5s or 2m")
    return int(float(match[1]) * SPANS[match[2]])


def write_span(span: int) -> str:
    """A duration as people write it, in the largest unit that leaves it whole."""
    for unit in ("h", "m", "s", "ms", "us"):
        if span and span % SPANS[unit] == 0:
            return f"{span // SPANS[unit]}{unit}"
    return f"{span / 1_000:g}us"


def span_within(least: str, most: str) -> object:
    """A validator for durations from one to another, both included."""
    low, high = read_span(least), read_span(most)
    assert isinstance(low, int) and isinstance(high, int)

    def check(value: object) -> object:
        span = read_span(value)
        if not isinstance(span, int) or not low <= span <= high:
            raise ValueError(f"must be from {least} to {most}")
        return span

    return BeforeValidator(check)


def read_address(value: object) -> object:
    """A host and a port from `cache.example:6379` or `[::1]:6379`."""
    if isinstance(value, (list, tuple)):
        return value
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    six = host.startswith("[") and host.endswith("]")
    host = host[1:-1] if six else host
    named = re.fullmatch(r"[0-9A-Fa-f:.]{2,45}", host, re.ASCII) if six else HOST.fullmatch(host)
    if not (colon and named and port.isascii() and port.isdigit() and 1 <= int(port[:6]) <= 65_535):
        raise ValueError("must be an address like 10.0.0.4:6379, store.example:6379 or [::1]:6379")
    return host, int(port)


def read_secret(path: Path) -> str:
    """A secret from its file, without the line's end; raises OSError or ValueError, which never tell it."""
    data = path.read_bytes()[: SECRET_MOST + 1]
    if len(data) > SECRET_MOST:
        raise ValueError(f"longer than {SECRET_MOST} bytes")
    text = data.decode("utf-8", errors="strict").rstrip("\r\n")
    if not text or "\n" in text:
        raise ValueError("empty, or more than one line")
    return text


HostPort = Annotated[
    tuple[str, int],
    BeforeValidator(read_address),
    WithJsonSchema({"type": "string", "examples": ["10.0.0.4:6379"]}),
]
SPAN_SCHEMA = WithJsonSchema({"type": "string", "pattern": SPAN.pattern, "examples": ["250ms"]})
