"""Commands on hashes."""

from __future__ import annotations

from standins.redis.commands.table import CommandTable, Database, Effect, Reply, parse_integer
from standins.redis.errors import ArgumentCountError

COMMANDS = CommandTable()


@COMMANDS.register("HSET", Effect.GROW)
def hash_set(database: Database, key: bytes, *pairs: bytes) -> Reply:
    """Implements HSET: sets fields. Returns how many of them are new."""
    if not pairs or len(pairs) % 2:
        raise ArgumentCountError("HSET")
    fields = database.writable_collection(key, dict)
    count_before = len(fields)
    fields.update(zip(pairs[::2], pairs[1::2], strict=True))
    return len(fields) - count_before


@COMMANDS.register("HGET")
def hash_get(database: Database, key: bytes, field: bytes) -> Reply:
    """Implements HGET: returns a field's value, or nil if the field does not exist."""
    return database.collection(key, dict).get(field)


@COMMANDS.register("HMGET")
def hash_get_many(database: Database, key: bytes, *fields: bytes) -> Reply:
    """Implements HMGET: returns the values of fields, with nil for each field that does not exist."""
    stored = database.collection(key, dict)
    return [stored.get(field) for field in fields]


@COMMANDS.register("HGETALL")
def hash_get_all(database: Database, key: bytes) -> Reply:
    """Implements HGETALL: returns all fields and values."""
    return dict(database.collection(key, dict))


@COMMANDS.register("HLEN")
def hash_length(database: Database, key: bytes) -> Reply:
    """Implements HLEN: returns the number of fields."""
    return len(database.collection(key, dict))


@COMMANDS.register("HDEL", Effect.SHRINK)
def hash_delete(database: Database, key: bytes, *fields: bytes) -> Reply:
    """Implements HDEL: removes fields. Returns how many of them existed."""
    return database.remove_members(key, dict, fields)


@COMMANDS.register("HINCRBY", Effect.GROW)
def hash_increment_by(database: Database, key: bytes, field: bytes, amount: bytes) -> Reply:
    """Implements HINCRBY: adds an amount to the counter in a field. Returns the counter's new value."""
    fields = database.writable_collection(key, dict)
    value = parse_integer(fields.get(field, b"0")) + parse_integer(amount)
    fields[field] = b"%d" % value
    return value
