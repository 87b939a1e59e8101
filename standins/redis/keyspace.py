"""Keys, their values and ends, scripts: what commands do to data. No sockets; the clock is handed in."""

from __future__ import annotations

import copy
import fnmatch
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import sha1
from typing import Any

from lupa.lua51 import LuaRuntime, lua_type


class Status(str):
    """A simple string of the protocol."""


class Wrong(Exception):
    """An error reply; the text begins with its code."""


WRONGTYPE = "WRONGTYPE Operation against a key holding the wrong kind of value"
NOT_INTEGER, SYNTAX = "ERR value is not an integer or out of range", "ERR syntax error"
OOM = "OOM command not allowed when used memory > 'maxmemory'."
READONLY = "READONLY You can't write against a read only replica."
NOSCRIPT = "NOSCRIPT No matching script. Please use EVAL."
OK = Status("OK")

Reply = Any  # bytes, int, float, None, Status, list, dict; in a transaction Wrong as well
GROWS = frozenset({"SET", "INCR", "INCRBY", "HSET", "HINCRBY", "RPUSH", "LPUSH", "ZADD"})
SHRINKS = frozenset(
    {"DEL", "UNLINK", "HDEL", "ZREM", "EXPIRE", "PEXPIRE", "PERSIST", "GETDEL", "FLUSHALL", "FLUSHDB"}
)


def whole(text: bytes) -> int:
    """A number as the command reference has it, within 64 bits."""
    try:
        value = int(text)
    except ValueError:
        raise Wrong(NOT_INTEGER) from None
    if not -(2**63) <= value < 2**63:
        raise Wrong(NOT_INTEGER)
    return value


def text_of(value: float) -> bytes:
    return b"%d" % value if value == int(value) else repr(value).encode()


@dataclass
class Keyspace:
    """One database."""

    now_ms: Callable[[], int]
    data: dict[bytes, Any] = field(default_factory=dict)
    ends: dict[bytes, int] = field(default_factory=dict)
    versions: dict[bytes, int] = field(default_factory=dict)  # what WATCH compares
    scripts: dict[str, str] = field(default_factory=dict)
    lives: int = 1  # how often it has begun, empty or from a snapshot
    full: bool = False
    read_only: bool = False
    _clock: int = 0
    _snapshots: list[tuple[int, dict[bytes, Any], dict[bytes, int]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._compiled: dict[str, Any] = {}
        self._lua: Any = LuaRuntime(
            encoding=None,
            unpack_returned_tuples=True,
            register_eval=False,
            attribute_filter=self._nothing_of_python,
        )
        self._prepare()

    # Life

    def snapshot(self) -> None:
        """Notes the state, for `go_back`; the last minute of them is kept."""
        now = self.now_ms()
        self._snapshots = [kept for kept in self._snapshots if kept[0] > now - 60_000]
        self._snapshots.append((now, copy.deepcopy(self.data), dict(self.ends)))

    def go_back(self, age_ms: int) -> None:
        """Comes back as a process that loads its last snapshot of at least this age, or empty."""
        old = [kept for kept in self._snapshots if kept[0] <= self.now_ms() - age_ms]
        self.lose()
        if old:
            self.data, self.ends = copy.deepcopy(old[-1][1]), dict(old[-1][2])
        self._snapshots = old

    def lose(self) -> None:
        """Comes back empty: data, ends and scripts are gone."""
        self.lives += 1
        for key in [*self.data]:
            self._touch(key)
        self.data, self.ends = {}, {}
        self.scripts.clear()
        self._compiled.clear()

    # Keys

    def _touch(self, key: bytes) -> None:
        self._clock += 1
        self.versions[key] = self._clock

    def _live(self, key: bytes) -> Any:
        if key in self.ends and self.ends[key] <= self.now_ms():
            self._drop(key)
        return self.data.get(key)

    def _drop(self, key: bytes) -> bool:
        self.ends.pop(key, None)
        self._touch(key)
        return self.data.pop(key, None) is not None

    def _of(self, key: bytes, kind: type, make: bool = False) -> Any:
        value = self._live(key)
        if value is None:
            value = kind()
            if make:
                self.data[key] = value
        if not isinstance(value, kind):
            raise Wrong(WRONGTYPE)
        if make:
            self._touch(key)
        return value

    def _tidy(self, key: bytes) -> None:
        """A collection that is empty is no key."""
        if key in self.data and not self.data[key]:
            self._drop(key)

    def version(self, key: bytes) -> int:
        """Changes whenever the key does; its end by time counts."""
        self._live(key)
        return self.versions.get(key, 0)

    # Commands

    def call(self, words: list[bytes]) -> Reply:
        """Runs one command; raises Wrong."""
        name = words[0].decode(errors="replace").upper()
        how = getattr(self, f"do_{name.lower()}", None) if name.isalpha() else None
        if how is None:
            raise Wrong(f"ERR unknown command '{name}', with args beginning with: ")
        if self.read_only and name in GROWS | SHRINKS:
            raise Wrong(READONLY)
        if self.full and name in GROWS:
            raise Wrong(OOM)
        try:
            return how(*words[1:])
        except TypeError:
            raise Wrong(f"ERR wrong number of arguments for '{name.lower()}' command") from None

    def do_ping(self, text: bytes = b"") -> Reply:
        return text or Status("PONG")

    def do_echo(self, text: bytes) -> Reply:
        return text

    def do_time(self) -> Reply:
        now = self.now_ms()
        return [b"%d" % (now // 1000), b"%d" % (now % 1000 * 1000)]

    def do_get(self, key: bytes) -> Reply:
        value = self._live(key)
        if value is not None and not isinstance(value, bytes):
            raise Wrong(WRONGTYPE)
        return value

    def do_set(self, key: bytes, value: bytes, *options: bytes) -> Reply:
        words, end, only, keep, get = [option.upper() for option in options], None, b"", False, False
        while words:
            word = words.pop(0)
            if word in (b"NX", b"XX") and not only:
                only = word
            elif word in (b"PX", b"EX") and words and end is None:
                span = whole(words.pop(0)) * (1000 if word == b"EX" else 1)
                if span <= 0:
                    raise Wrong("ERR invalid expire time in 'set' command")
                end = self.now_ms() + span
            elif word == b"KEEPTTL":
                keep = True
            elif word == b"GET":
                get = True
            else:
                raise Wrong(SYNTAX)
        old = self.do_get(key) if get else self._live(key)
        if (only == b"NX" and old is not None) or (only == b"XX" and old is None):
            return old if get else None
        self.data[key] = value
        self._touch(key)
        if end is not None:
            self.ends[key] = end
        elif not keep:
            self.ends.pop(key, None)
        return old if get else OK

    def do_getdel(self, key: bytes) -> Reply:
        value = self.do_get(key)
        if value is not None:
            self._drop(key)
        return value

    def do_del(self, *keys: bytes) -> Reply:
        return sum(self._live(key) is not None and self._drop(key) for key in keys)

    do_unlink = do_del

    def do_exists(self, *keys: bytes) -> Reply:
        return sum(self._live(key) is not None for key in keys)

    def do_type(self, key: bytes) -> Reply:
        kinds: dict[type, str] = {bytes: "string", dict: "hash", list: "list", Scores: "zset"}
        return Status(kinds.get(type(self._live(key)), "none"))

    def do_incrby(self, key: bytes, by: bytes) -> Reply:
        value = whole(self.do_get(key) or b"0") + whole(by)
        if not -(2**63) <= value < 2**63:
            raise Wrong("ERR increment or decrement would overflow")
        self.data[key] = b"%d" % value
        self._touch(key)
        return value

    def do_incr(self, key: bytes) -> Reply:
        return self.do_incrby(key, b"1")

    def _expire(self, key: bytes, at: int) -> int:
        if self._live(key) is None:
            return 0
        self.ends[key] = at
        self._touch(key)
        self._live(key)
        return 1

    def do_expire(self, key: bytes, span: bytes) -> Reply:
        return self._expire(key, self.now_ms() + 1000 * whole(span))

    def do_pexpire(self, key: bytes, span: bytes) -> Reply:
        return self._expire(key, self.now_ms() + whole(span))

    def do_expireat(self, key: bytes, at: bytes) -> Reply:
        return self._expire(key, 1000 * whole(at))

    def do_pexpireat(self, key: bytes, at: bytes) -> Reply:
        return self._expire(key, whole(at))

    def do_persist(self, key: bytes) -> Reply:
        return int(self._live(key) is not None and self.ends.pop(key, None) is not None)

    def do_pttl(self, key: bytes) -> Reply:
        if self._live(key) is None:
            return -2
        return self.ends[key] - self.now_ms() if key in self.ends else -1

    def do_ttl(self, key: bytes) -> Reply:
        left = self.do_pttl(key)
        return left if left < 0 else (left + 500) // 1000

    def do_hset(self, key: bytes, *pairs: bytes) -> Reply:
        if not pairs or len(pairs) % 2:
            raise Wrong("ERR wrong number of arguments for 'hset' command")
        kept, before = self._of(key, dict, True), len(self._of(key, dict))
        kept.update(zip(pairs[::2], pairs[1::2], strict=True))
        return len(kept) - before

    def do_hget(self, key: bytes, name: bytes) -> Reply:
        return self._of(key, dict).get(name)

    def do_hmget(self, key: bytes, *names: bytes) -> Reply:
        kept = self._of(key, dict)
        return [kept.get(name) for name in names]

    def do_hgetall(self, key: bytes) -> Reply:
        return dict(self._of(key, dict))

    def do_hlen(self, key: bytes) -> Reply:
        return len(self._of(key, dict))

    def do_hdel(self, key: bytes, *names: bytes) -> Reply:
        kept = self._of(key, dict, key in self.data)
        gone = sum(kept.pop(name, None) is not None for name in names)
        self._tidy(key)
        return gone

    def do_hincrby(self, key: bytes, name: bytes, by: bytes) -> Reply:
        kept = self._of(key, dict, True)
        kept[name] = b"%d" % (whole(kept.get(name, b"0")) + whole(by))
        return int(kept[name])

    def do_rpush(self, key: bytes, *values: bytes) -> Reply:
        kept = self._of(key, list, True)
        kept.extend(values)
        return len(kept)

    def do_lrange(self, key: bytes, first: bytes, last: bytes) -> Reply:
        kept, start, end = self._of(key, list), whole(first), whole(last)
        start, end = max(0, start + len(kept) * (start < 0)), end + len(kept) * (end < 0)
        return kept[start : end + 1]

    def do_llen(self, key: bytes) -> Reply:
        return len(self._of(key, list))

    def do_zadd(self, key: bytes, *pairs: bytes) -> Reply:
        if not pairs or len(pairs) % 2:
            raise Wrong(SYNTAX)
        kept, before = self._of(key, Scores, True), len(self._of(key, Scores))
        kept.update((name, float(score)) for score, name in zip(pairs[::2], pairs[1::2], strict=True))
        return len(kept) - before

    def do_zcard(self, key: bytes) -> Reply:
        return len(self._of(key, Scores))

    def do_zrem(self, key: bytes, *names: bytes) -> Reply:
        kept = self._of(key, Scores, key in self.data)
        gone = sum(kept.pop(name, None) is not None for name in names)
        self._tidy(key)
        return gone

    def do_zrangebyscore(self, key: bytes, low: bytes, high: bytes, *options: bytes) -> Reply:
        def edge(text: bytes) -> tuple[float, bool]:
            return float(text.lstrip(b"(")), text.startswith(b"(")

        (least, above), (most, below) = edge(low), edge(high)
        rows = sorted((score, name) for name, score in self._of(key, Scores).items())
        rows = [
            row
            for row in rows
            if (least < row[0] if above else least <= row[0]) and (row[0] < most if below else row[0] <= most)
        ]
        words, scored = [option.upper() for option in options], False
        while words:
            word = words.pop(0)
            if word == b"WITHSCORES":
                scored = True
            elif word == b"LIMIT" and len(words) >= 2:
                start, count = whole(words.pop(0)), whole(words.pop(0))
                rows = rows[start:] if count < 0 else rows[start : start + count]
            else:
                raise Wrong(SYNTAX)
        return [word for score, name in rows for word in ((name, text_of(score)) if scored else (name,))]

    def do_scan(self, cursor: bytes, *options: bytes) -> Reply:
        given = dict(zip([o.upper() for o in options[::2]], options[1::2], strict=True))
        pattern, count = given.get(b"MATCH", b"*").decode(errors="replace"), whole(given.get(b"COUNT", b"10"))
        keys, start = sorted(key for key in [*self.data] if self._live(key) is not None), whole(cursor)
        found = [
            key
            for key in keys[start : start + count]
            if fnmatch.fnmatchcase(key.decode(errors="replace"), pattern)
        ]
        return [b"%d" % (start + count if start + count < len(keys) else 0), found]

    def do_dbsize(self) -> Reply:
        return sum(self._live(key) is not None for key in [*self.data])

    def do_flushall(self, *_: bytes) -> Reply:
        for key in [*self.data]:
            self._drop(key)
        return OK

    do_flushdb = do_flushall

    # Scripts

    def do_script(self, verb: bytes, *rest: bytes) -> Reply:
        if verb.upper() == b"LOAD" and len(rest) == 1:
            digest = sha1(rest[0]).hexdigest()
            self.scripts[digest] = rest[0].decode()
            return digest.encode()
        if verb.upper() == b"EXISTS":
            return [int(digest.decode().lower() in self.scripts) for digest in rest]
        if verb.upper() == b"FLUSH":
            self.scripts.clear()
            self._compiled.clear()
            return OK
        raise Wrong("ERR unknown subcommand or wrong number of arguments for 'SCRIPT'")

    def do_eval(self, text: bytes, count: bytes, *words: bytes) -> Reply:
        return self.do_evalsha(self.do_script(b"LOAD", text), count, *words)

    def do_evalsha(self, digest: bytes, count: bytes, *words: bytes) -> Reply:
        known = digest.decode(errors="replace").lower()
        if known not in self.scripts:
            raise Wrong(NOSCRIPT)
        if not 0 <= whole(count) <= len(words):
            raise Wrong("ERR Number of keys can't be greater than number of args")
        # As the real one: a script that may write is refused as a whole, before it has run.
        if self.read_only:
            raise Wrong(READONLY)
        if self.full:
            raise Wrong(OOM)
        if known not in self._compiled:
            # Its own keys and arguments come as locals, so that no script sees another's.
            source = f"return function(KEYS, ARGV) {self.scripts[known]}\nend"
            self._compiled[known] = self._lua.execute(source.encode())
        keys, rest = words[: whole(count)], words[whole(count) :]
        try:
            made = self._compiled[known](self._lua.table(*keys), self._lua.table(*rest))
        except Wrong:
            raise
        except Exception as fault:
            inner = fault.args[0] if fault.args else fault
            raise Wrong(f"ERR {inner!s:.200} script: {known}") from fault
        return self._from_lua(made)

    @staticmethod
    def _nothing_of_python(thing: object, name: object, setting: bool) -> Any:
        raise AttributeError("scripts see nothing of Python")

    def _prepare(self) -> None:
        """The `redis` table; an error of a called command ends the script, as `redis.call` does."""
        self._lua.execute(b"redis = {}; os = nil; io = nil; python = nil; require = nil; dofile = nil")
        self._lua.globals()[b"redis"][b"call"] = self._call

    def _call(self, *words: Any) -> Any:
        plain = [word if isinstance(word, bytes) else text_of(word) for word in words]
        return self._to_lua(self.call(plain))

    def _to_lua(self, reply: Reply) -> Any:
        if reply is None:
            return False
        if isinstance(reply, Status):
            return self._lua.table_from({b"ok": reply.encode()})
        if isinstance(reply, dict):
            reply = [word for pair in reply.items() for word in pair]
        if isinstance(reply, list):
            return self._lua.table(*(self._to_lua(item) for item in reply))
        return reply

    def _from_lua(self, value: Any) -> Reply:
        if value is None or value is False:
            return None
        if value is True:
            return 1
        if isinstance(value, float):
            return math.trunc(value)
        if lua_type(value) == "table":
            if (status := value[b"ok"]) is not None:
                return Status(status.decode())
            if (error := value[b"err"]) is not None:
                raise Wrong(error.decode())
            made, at = [], 1
            while (item := value[at]) is not None:  # a list ends at its first nil
                made.append(self._from_lua(item))
                at += 1
            return made
        return value


class Scores(dict[bytes, float]):
    """A sorted set: scores by member."""
