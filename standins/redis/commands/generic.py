"""Commands on connections, on keys of any type, and on the whole database."""

from __future__ import annotations

import fnmatch

from standins.redis.commands.table import CommandTable, Database, Effect, Reply, parse_integer
from standins.redis.database import SortedSet
from standins.redis.resp import OK, Status

COMMANDS = CommandTable()
TYPE_NAMES: dict[type, str] = {bytes: "string", dict: "hash", list: "list", SortedSet: "zset"}
DEFAULT_SCAN_COUNT = b"10"


@COMMANDS.register("PING")
def ping(_database: Database, text: bytes = b"") -> Reply:
    """Implements PING: returns the given text, or PONG if no text is given."""
    return text or Status("PONG")


@COMMANDS.register("ECHO")
def echo(_database: Database, text: bytes) -> Reply:
    """Implements ECHO: returns the given text."""
    return text


@COMMANDS.register("TIME")
def time(database: Database) -> Reply:
    """Implements TIME: returns the Unix time in seconds, and the microseconds since that second began."""
    seconds, milliseconds = divmod(database.now_ms(), 1000)
    return [b"%d" % seconds, b"%d" % (milliseconds * 1000)]


@COMMANDS.register("UNLINK", Effect.SHRINK)
@COMMANDS.register("DEL", Effect.SHRINK)
def delete(database: Database, *keys: bytes) -> Reply:
    """Implements DEL and UNLINK: removes keys. Returns how many of them existed."""
    removed = 0
    for key in keys:
        if database.live_value(key) is not None and database.drop(key):
            removed += 1
    return removed


@COMMANDS.register("EXISTS")
def exists(database: Database, *keys: bytes) -> Reply:
    """Implements EXISTS: returns how many of the keys exist."""
    return sum(database.live_value(key) is not None for key in keys)


@COMMANDS.register("TYPE")
def type_of(database: Database, key: bytes) -> Reply:
    """Implements TYPE: returns the type of a key's value, or `none` if the key does not exist."""
    return Status(TYPE_NAMES.get(type(database.live_value(key)), "none"))


@COMMANDS.register("SCAN")
def scan(database: Database, cursor: bytes, *options: bytes) -> Reply:
    """Implements SCAN: returns some keys, and the cursor for the next call, which is 0 after the last key."""
    names = [option.upper() for option in options[::2]]
    settings = dict(zip(names, options[1::2], strict=True))
    pattern = settings.get(b"MATCH", b"*").decode(errors="replace")
    count = parse_integer(settings.get(b"COUNT", DEFAULT_SCAN_COUNT))
    keys = sorted(database.live_keys())
    start = parse_integer(cursor)
    end = start + count
    found = [key for key in keys[start:end] if fnmatch.fnmatchcase(key.decode(errors="replace"), pattern)]
    return [b"%d" % (end if end < len(keys) else 0), found]


@COMMANDS.register("DBSIZE")
def count_keys(database: Database) -> Reply:
    """Implements DBSIZE: returns the number of keys."""
    return len(database.live_keys())


@COMMANDS.register("FLUSHDB", Effect.SHRINK)
@COMMANDS.register("FLUSHALL", Effect.SHRINK)
def flush(database: Database, *_options: bytes) -> Reply:
    """Implements FLUSHDB and FLUSHALL: removes all keys."""
    for key in list(database.data):
        database.drop(key)
    return OK
