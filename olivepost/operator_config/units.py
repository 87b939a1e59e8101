"""Parsers and formatters of durations, addresses and secrets in the form that operators write them.

Every parser raises ValueError with a message that says what is allowed.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from pydantic import BeforeValidator, GetCoreSchemaHandler, GetJsonSchemaHandler, WithJsonSchema
from pydantic_core import CoreSchema, core_schema

from olivepost.units import Duration

UNIT_NS = {
    "us": 1_000,
    "ms": 1_000_000,
    "s": 1_000_000_000,
    "m": 60_000_000_000,
    "h": 3_600_000_000_000,
}
DURATION_PATTERN = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,6})?)(us|ms|s|m|h)", re.ASCII)
HOST_NAME_PATTERN = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9.-]{0,252}[A-Za-z0-9])?", re.ASCII)
IPV6_PATTERN = re.compile(r"[0-9A-Fa-f:.]{2,45}", re.ASCII)
MAX_PORT = 65_535
PORT_DIGITS_READ = 6  # one digit more than the largest port has, to detect numbers that are too large
MAX_SECRET_BYTES = 4_096


def parse_duration(value: object) -> Duration:
    """Parses a duration like `250ms`, `1.5s` or `2m`; an integer is a duration in nanoseconds."""
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    match = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if not match:
        raise ValueError("must be a duration like 250ms, 1.5s or 2m")
    return int(float(match[1]) * UNIT_NS[match[2]])


def format_duration(duration: Duration) -> str:
    """Formats a duration for `parse_duration`, in the largest unit that gives a whole number."""
    for unit, unit_ns in reversed(UNIT_NS.items()):
        if duration and duration % unit_ns == 0:
            return f"{duration // unit_ns}{unit}"
    return f"{duration / UNIT_NS['us']:g}us"


@dataclass(frozen=True, slots=True)
class DurationRange:
    """Annotation of a `Duration` field. The file has the field's value in a written form, like `250ms`.

    Both bounds are allowed values. The field has the written form in JSON and in the JSON Schema, too.
    """

    minimum: str
    maximum: str

    def parse(self, value: object) -> Duration:
        """Parses a duration; raises ValueError if it is malformed or outside the range."""
        duration = parse_duration(value)
        if not parse_duration(self.minimum) <= duration <= parse_duration(self.maximum):
            raise ValueError(f"must be from {self.minimum} to {self.maximum}")
        return duration

    def __get_pydantic_core_schema__(self, source: Any, handler: GetCoreSchemaHandler) -> CoreSchema:
        """Returns a schema that validates with `parse` and serializes to JSON with `format_duration`."""
        return core_schema.no_info_before_validator_function(
            self.parse,
            handler(source),
            serialization=core_schema.plain_serializer_function_ser_schema(format_duration, when_used="json"),
        )

    def __get_pydantic_json_schema__(
        self, _schema: CoreSchema, _handler: GetJsonSchemaHandler
    ) -> dict[str, Any]:
        """Returns the JSON Schema of the written form, for editors."""
        return {"type": "string", "pattern": f"^{DURATION_PATTERN.pattern}$", "examples": ["250ms"]}


def parse_address(value: object) -> object:
    """Parses `store.example:6379` or `[::1]:6379` into a tuple of host and port.

    A value that is a list or a tuple already is returned unchanged.
    """
    if isinstance(value, (list, tuple)):
        return value
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    is_ipv6 = host.startswith("[") and host.endswith("]")
    if is_ipv6:
        host = host[1:-1]
    pattern = IPV6_PATTERN if is_ipv6 else HOST_NAME_PATTERN
    if not pattern.fullmatch(host) or not _is_port(port):
        raise ValueError("must be an address like 10.0.0.4:6379, store.example:6379 or [::1]:6379")
    return host, int(port)


def _is_port(text: str) -> bool:
    if not (text.isascii() and text.isdigit()):
        return False
    return 1 <= int(text[:PORT_DIGITS_READ]) <= MAX_PORT


def read_secret(path: Path) -> str:
    """Returns the secret in a file without the line break at its end.

    Raises OSError or ValueError; neither message contains any part of the file.
    """
    data = path.read_bytes()[: MAX_SECRET_BYTES + 1]
    if len(data) > MAX_SECRET_BYTES:
        raise ValueError(f"longer than {MAX_SECRET_BYTES} bytes")
    text = data.decode("utf-8", errors="strict").rstrip("\r\n")
    if not text or "\n" in text:
        raise ValueError("empty, or more than one line")
    return text


HostPort = Annotated[
    tuple[str, int],
    BeforeValidator(parse_address),
    WithJsonSchema({"type": "string", "examples": ["10.0.0.4:6379"]}),
]
