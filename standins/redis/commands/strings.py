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
EXPIRY_UNIT_MS = {b"EX": 1000, b"PX": 1}  # length in ms of the time unit in SET's options EX and PX


@dataclass(slots=True)
class SetOptions:
    """The options of one SET command."""

    condition: bytes | None = None  # NX if the key must not exist, XX if it must; `None` if it may exist
    expires_at_ms: int | None = None
    keeps_expiry: bool = False
    returns_old_value: bool = False

    def allow(self, exists: bool) -> bool:
        """Whether the condition NX or XX allows SET, given whether the key exists."""
        if self.condition == b"NX":
            return not exists
        return exists or self.condition != b"XX"


def parse_set_options(now_ms: int, options: tuple[bytes, ...]) -> SetOptions:
    """Reads the options of SET; raises CommandError if one is invalid."""
    parsed = SetOptions()
    remaining = [option.upper() for option in options]
    while remaining:
        option = remaining.pop(0)
        if option in (b"NX", b"XX") and parsed.condition is None:
            parsed.condition = option
        elif option in EXPIRY_UNIT_MS and remaining and parsed.expires_at_ms is None:
            duration_ms = parse_integer(remaining.pop(0)) * EXPIRY_UNIT_MS[option]
            if duration_ms <= 0:
                raise GenericError("invalid expire time in 'set' command")
            parsed.expires_at_ms = now_ms + duration_ms
        elif option == b"KEEPTTL":
            parsed.keeps_expiry = True
        elif option == b"GET":
            parsed.returns_old_value = True
        else:
            raise CommandSyntaxError
    return parsed


@COMMANDS.register("GET")
def get(database: Database, key: bytes) -> Reply:
    """Implements GET: returns the string at a key, or nil if the key does not exist."""
    return database.string(key)


@COMMANDS.register("SET", Effect.GROW)
def set_value(database: Database, key: bytes, value: bytes, *options: bytes) -> Reply:
    """Implements SET: sets a key's value. Returns OK, or nil if the condition is not met.

    If the option GET is given, returns the old value instead.
    """
    parsed = parse_set_options(database.now_ms(), options)
    old = database.string(key) if parsed.returns_old_value else database.live_value(key)
    if not parsed.allow(old is not None):
        return old if parsed.returns_old_value else None
    database.store(key, value)
    if parsed.expires_at_ms is not None:
        database.expiries[key] = parsed.expires_at_ms
    elif not parsed.keeps_expiry:
        database.expiries.pop(key, None)
    return old if parsed.returns_old_value else OK


@COMMANDS.register("GETDEL", Effect.SHRINK)
def get_and_delete(database: Database, key: bytes) -> Reply:
    """Implements GETDEL: removes a key and returns its string, or nil if the key does not exist."""
    value = database.string(key)
    if value is not None:
        database.drop(key)
    return value


@COMMANDS.register("INCRBY", Effect.GROW)
def increment_by(database: Database, key: bytes, amount: bytes) -> Reply:
    """Implements INCRBY: adds an amount to the counter at a key. Returns the counter's new value."""
    value = parse_integer(database.string(key) or b"0") + parse_integer(amount)
    if value not in INTEGER_RANGE:
        raise GenericError("increment or decrement would overflow")
    database.store(key, b"%d" % value)
    return value


@COMMANDS.register("INCR", Effect.GROW)
def increment(database: Database, key: bytes) -> Reply:
    """Implements INCR: adds one to the counter at a key. Returns the counter's new value."""
    return increment_by(database, key, b"1")
