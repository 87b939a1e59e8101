"""Commands on strings and counters."""

from __future__ import annotations

from dataclasses import dataclass

from standins.redis.commands.table import (
    INTEGER_RANGE,
    CommandTable,
    Database,
    Effect,
    Reply,
    parse_integer,
)
from standins.redis.errors import CommandSyntaxError, GenericError
from standins.redis.resp import OK

COMMANDS = CommandTable()
UNIT_MS = {b"EX": 1000, b"PX": 1}


@dataclass(slots=True)
class SetOptions:
    """The options of SET."""

    condition: bytes = b""  # NX or XX
    expires_at_ms: int | None = None
    keeps_expiry: bool = False
    returns_old: bool = False

    def allow(self, exists: bool) -> bool:
        """Whether the condition lets the value be set."""
        if self.condition == b"NX":
            return not exists
        return exists or self.condition != b"XX"


def parse_set_options(now_ms: int, options: tuple[bytes, ...]) -> SetOptions:
    """The options of SET; raises CommandError for what they can't be."""
    parsed = SetOptions()
    words = [option.upper() for option in options]
    while words:
        word = words.pop(0)
        if word in (b"NX", b"XX") and not parsed.condition:
            parsed.condition = word
        elif word in UNIT_MS and words and parsed.expires_at_ms is None:
            duration_ms = parse_integer(words.pop(0)) * UNIT_MS[word]
            if duration_ms <= 0:
                raise GenericError("invalid expire time in 'set' command")
            parsed.expires_at_ms = now_ms + duration_ms
        elif word == b"KEEPTTL":
            parsed.keeps_expiry = True
        elif word == b"GET":
            parsed.returns_old = True
        else:
            raise CommandSyntaxError
    return parsed


@COMMANDS.register("GET")
def get(database: Database, key: bytes) -> Reply:
    """The string at a key."""
    return database.string(key)


@COMMANDS.register("SET", Effect.GROW)
def set_value(database: Database, key: bytes, value: bytes, *options: bytes) -> Reply:
    """OK, or nothing where a condition forbids it; with GET the old value."""
    parsed = parse_set_options(database.now_ms(), options)
    old = database.string(key) if parsed.returns_old else database.live_value(key)
    if not parsed.allow(old is not None):
        return old if parsed.returns_old else None
    database.store(key, value)
    if parsed.expires_at_ms is not None:
        database.expiries[key] = parsed.expires_at_ms
    elif not parsed.keeps_expiry:
        database.expiries.pop(key, None)
    return old if parsed.returns_old else OK


@COMMANDS.register("GETDEL", Effect.SHRINK)
def get_and_delete(database: Database, key: bytes) -> Reply:
    """The string at a key, which is removed."""
    value = database.string(key)
    if value is not None:
        database.drop(key)
    return value


@COMMANDS.register("INCRBY", Effect.GROW)
def increment_by(database: Database, key: bytes, amount: bytes) -> Reply:
    """The counter at a key after an amount was added."""
    value = parse_integer(database.string(key) or b"0") + parse_integer(amount)
    if value not in INTEGER_RANGE:
        raise GenericError("increment or decrement would overflow")
    database.store(key, b"%d" % value)
    return value


@COMMANDS.register("INCR", Effect.GROW)
def increment(database: Database, key: bytes) -> Reply:
    """The counter at a key after one was added."""
    return increment_by(database, key, b"1")
