"""Typed access to decoded JSON: the field reader, its error and IPv4 addresses."""

from __future__ import annotations

import re
import reprlib
import sys
from collections.abc import Mapping
from typing import Any, NamedTuple, TypeVar

from olivepost.units import Duration

# Longest allowed duration. The sum of an instant and a longer duration would overflow 64 bits.
MAX_DURATION: Duration = 1 << 62
# Largest allowed number. The bound is checked because JSON can hold larger numbers, and Python's decoder also
# accepts Infinity and NaN.
MAX_NUMBER = sys.float_info.max
MAX_OCTET = 255
MAX_PORT = 65_535
IPV4_ADDRESS = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,3}){3}):([0-9]{1,5})", re.ASCII)

ChoiceT = TypeVar("ChoiceT")


class ConfigError(Exception):
    """Error: a fault makes a configuration unusable.

    `where` names the object that holds the fault; it is None if the fault is not in an object. `key` names
    the faulty field; it is None if the fault is not in one field. `reason` says what is wrong and what is
    allowed.
    """

    def __init__(self, reason: str, *, where: str | None = None, key: str | None = None) -> None:
        self.reason = reason
        self.where = where
        self.key = key
        super().__init__(self._message())

    def _message(self) -> str:
        quoted_key = None if self.key is None else f"'{self.key}'"
        subject = ": ".join(part for part in (self.where, quoted_key) if part is not None)
        return f"{subject} {self.reason}" if subject else self.reason


class Address(NamedTuple):
    """An IPv4 address and a TCP port, in the form that sockets accept."""

    host: str
    port: int


def read_address(text: str) -> Address:
    """Parses an address like `10.0.0.4:8080`; raises a ValueError that says what is allowed."""
    match = IPV4_ADDRESS.fullmatch(text)
    if match is None:
        raise ValueError(f"must be an IPv4 address and a port like 10.0.0.4:8080, not {_shorten(text)}")
    host = match[1]
    port = int(match[2])
    if any(int(octet) > MAX_OCTET for octet in host.split(".")):
        raise ValueError(f"must have octets from 0 to {MAX_OCTET}, not {_shorten(text)}")
    if port > MAX_PORT:
        raise ValueError(f"must have a port from 0 to {MAX_PORT}, not {_shorten(text)}")
    return Address(host, port)


class FieldReader:
    """Typed access to the fields of one JSON object.

    A null is treated as a missing field. Methods raise a ConfigError that names the object and the field if a
    required field is missing or a field has an unexpected type. A field is required if the caller gives no
    default. A reader is immutable, so any thread may use it.
    """

    def __init__(self, where: str, data: object) -> None:
        if not isinstance(data, dict):
            raise ConfigError("must be an object", where=where)
        self.where = where
        self.data: dict[str, Any] = data

    def integer(self, key: str, default: int | None = None) -> int:
        """Returns the value of a field that is a whole number; `2.0` is a whole number, too."""
        value = self._get(key, (int, float), "a whole number", default)
        if isinstance(value, float) and not value.is_integer():
            raise self.error(key, f"must be a whole number, not {value:g}")
        return int(value)

    def number(self, key: str, default: float | None = None) -> float:
        """Returns the value of a field that is a finite number."""
        value = self._get(key, (int, float), "a number", default)
        if not -MAX_NUMBER <= value <= MAX_NUMBER:
            raise self.error(key, f"must be a finite number, not {_shorten(str(value))}")
        return float(value)

    def text(self, key: str, default: str | None = None) -> str:
        """Returns the value of a field that is a string."""
        return str(self._get(key, (str,), "a string", default))

    def boolean(self, key: str) -> bool:
        """Returns the value of a field that is a boolean; False if the field is missing."""
        return bool(self._get(key, (bool,), "true or false", False))

    def items(self, key: str) -> list[Any]:
        """Returns the unchecked elements of a field that is a list; an empty list if the field is missing."""
        return list(self._get(key, (list,), "a list", []))

    def element(self, key: str, index: int | None) -> FieldReader:
        """Returns a reader of one element of a field that is a list.

        The reader's object has only this element, in a field with the list's name. The object is empty if
        `index` is None or outside the list, so that the default applies when the element is read.
        """
        values = self.items(key)
        where = f"{self.where}.{key}[{index}]"
        if index is None or not 0 <= index < len(values):
            return FieldReader(where, {})
        return FieldReader(where, {key: values[index]})

    def section(self, key: str) -> FieldReader:
        """Returns a reader of a field that is an object; the object is empty if the field is missing."""
        return FieldReader(f"{self.where}.{key}", self._get(key, (dict,), "an object", {}))

    def one_of(self, key: str, choices: Mapping[str, ChoiceT], default: str | None = None) -> ChoiceT:
        """Returns the value that `choices` has for the string in the field.

        If the field is missing, `default` is used as the string. Raises a ConfigError if `choices` does not
        have the string.
        """
        value = self.text(key, default)
        if value not in choices:
            raise self.error(key, f"must be one of {', '.join(choices)}, not {_shorten(value)}")
        return choices[value]

    def number_within(self, key: str, minimum: float, maximum: float, default: float | None = None) -> float:
        """Returns the value of a field that is a number from `minimum` to `maximum`, both included."""
        value = self.number(key, default)
        if not minimum <= value <= maximum:
            raise self.error(key, f"must be from {minimum:g} to {maximum:g}, not {value:g}")
        return value

    def duration(self, key: str, default: Duration | None = None, minimum: Duration = 0) -> Duration:
        """Returns the value of a field that is a duration in whole nanoseconds.

        The duration must be from `minimum` to `MAX_DURATION`, both included.
        """
        value = self.integer(key, default)
        if not minimum <= value <= MAX_DURATION:
            raise self.error(key, f"must be from {minimum} to {MAX_DURATION} ns, not {value}")
        return value

    def address(self, key: str, default: str | None = None) -> Address:
        """Returns the value of a field that is an IPv4 address and a port."""
        text = self.text(key, default)
        try:
            return read_address(text)
        except ValueError as error:
            raise self.error(key, str(error)) from error

    def error(self, key: str, reason: str) -> ConfigError:
        """Returns a ConfigError, which the caller raises, for a field of this object."""
        return ConfigError(reason, where=self.where, key=key)

    def _get(self, key: str, types: tuple[type, ...], expected: str, default: Any) -> Any:
        value = self.data.get(key)
        if value is None:
            if default is None:
                raise self.error(key, f"is missing; it must be {expected}")
            return default
        # For `isinstance`, a bool is an int, because bool is a subclass of int.
        is_unexpected_boolean = isinstance(value, bool) and bool not in types
        if is_unexpected_boolean or not isinstance(value, types):
            raise self.error(key, f"must be {expected}, not {_shorten(value)}")
        return value


def _shorten(value: object) -> str:
    """Returns the value for a one-line message, cut if it is long."""
    return reprlib.repr(value)
