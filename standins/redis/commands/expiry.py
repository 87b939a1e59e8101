"""Commands on the expiry of keys."""

from __future__ import annotations

from standins.redis.commands.table import CommandTable, Database, Effect, Reply, parse_integer

COMMANDS = CommandTable()
NO_SUCH_KEY = -2  # reply of TTL and PTTL if the key does not exist
NO_EXPIRY = -1  # reply of TTL and PTTL if the key does not expire


@COMMANDS.register("EXPIRE", Effect.SHRINK)
def expire(database: Database, key: bytes, seconds: bytes) -> Reply:
    """Implements EXPIRE: sets a key's time to live in seconds. Returns 1, or 0 if the key does not exist."""
    return int(database.expire_at(key, database.now_ms() + 1000 * parse_integer(seconds)))


@COMMANDS.register("PEXPIRE", Effect.SHRINK)
def expire_ms(database: Database, key: bytes, milliseconds: bytes) -> Reply:
    """Implements PEXPIRE: sets a key's time to live in milliseconds.

    Returns 1, or 0 if the key does not exist.
    """
    return int(database.expire_at(key, database.now_ms() + parse_integer(milliseconds)))


@COMMANDS.register("EXPIREAT")
def expire_at(database: Database, key: bytes, unix_seconds: bytes) -> Reply:
    """Implements EXPIREAT: makes a key expire at a Unix time in seconds.

    Returns 1, or 0 if the key does not exist.
    """
    return int(database.expire_at(key, 1000 * parse_integer(unix_seconds)))


@COMMANDS.register("PEXPIREAT")
def expire_at_ms(database: Database, key: bytes, unix_ms: bytes) -> Reply:
    """Implements PEXPIREAT: makes a key expire at a Unix time in milliseconds.

    Returns 1, or 0 if the key does not exist.
    """
    return int(database.expire_at(key, parse_integer(unix_ms)))


@COMMANDS.register("PERSIST", Effect.SHRINK)
def persist(database: Database, key: bytes) -> Reply:
    """Implements PERSIST: removes a key's expiry. Returns 1, or 0 if the key had no expiry."""
    if database.live_value(key) is None:
        return 0
    return int(database.expiries.pop(key, None) is not None)


@COMMANDS.register("PTTL")
def time_to_live_ms(database: Database, key: bytes) -> int:
    """Implements PTTL: returns the number of milliseconds until a key expires.

    Returns NO_SUCH_KEY if the key does not exist, and NO_EXPIRY if it does not expire.
    """
    if database.live_value(key) is None:
        return NO_SUCH_KEY
    if key not in database.expiries:
        return NO_EXPIRY
    return database.expiries[key] - database.now_ms()


@COMMANDS.register("TTL")
def time_to_live(database: Database, key: bytes) -> int:
    """Implements TTL: returns the number of seconds until a key expires, rounded to the nearest integer.

    Returns NO_SUCH_KEY if the key does not exist, and NO_EXPIRY if it does not expire.
    """
    remaining_ms = time_to_live_ms(database, key)
    return remaining_ms if remaining_ms < 0 else (remaining_ms + 500) // 1000
