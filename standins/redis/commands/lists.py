"""Commands on lists."""

from __future__ import annotations

from standins.redis.commands.table import CommandTable, Database, Effect, Reply, parse_integer

COMMANDS = CommandTable()


@COMMANDS.register("RPUSH", Effect.GROW)
def list_append(database: Database, key: bytes, *values: bytes) -> Reply:
    """Implements RPUSH: appends values to a list. Returns the list's new length."""
    stored = database.writable_collection(key, list)
    stored.extend(values)
    return len(stored)


@COMMANDS.register("LRANGE")
def list_range(database: Database, key: bytes, first: bytes, last: bytes) -> Reply:
    """Implements LRANGE: returns the values from one index to another, including both.

    A negative index counts from the end of the list.
    """
    stored = database.collection(key, list)
    start = parse_integer(first)
    end = parse_integer(last)
    if start < 0:
        start = max(0, start + len(stored))
    if end < 0:
        end += len(stored)
    return stored[start : end + 1]


@COMMANDS.register("LLEN")
def list_length(database: Database, key: bytes) -> Reply:
    """Implements LLEN: returns the length of a list."""
    return len(database.collection(key, list))
