"""What `olivepost sharing` shows and does: looks into stores by their keys, or has them forget."""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from typing import Any, cast

import msgspec
import orjson
import redis
from rich.console import Console
from rich.table import Table

from olivepost.routing.selection import rendezvous_order
from olivepost.shared_store import client
from olivepost.shared_store import messages as ev
from olivepost.shared_store.records import (
    CacheLocation,
    FillLease,
    InvalidationKey,
    RecordError,
    decode_record,
)
from olivepost.shared_store.settings import SharedStoreSettings, StoreSettings

MOST_KEYS = 100_000  # read by one call
ROWS = list[dict[str, object]]


def run(settings: SharedStoreSettings, verb: str, names: list[str], only: str, as_json: bool) -> int:
    """Does one verb on all stores, or on one; 1 where a store could not be used."""
    rows: ROWS = []
    faults: ROWS = []
    for store in settings.stores:
        if only and store.name != only:
            continue
        prefix = f"olivepost:{settings.branch}"
        try:
            with client.connect(settings, store) as made:
                found = _do(settings, made, store, prefix, verb, names)
                rows += [{"store": store.name, **row} for row in found]
        except (redis.RedisError, OSError) as fault:
            faults.append({"store": store.name, "fault": f"{type(fault).__name__}: {fault}"})
    if as_json:
        print(orjson.dumps({"verb": verb, "rows": rows, "faults": faults}).decode())
    else:
        _show(rows)
        for row in faults:
            print(f"olivepost: store {row['store']}: {row['fault']}", file=sys.stderr)
    return 1 if faults else 0


def _do(
    settings: SharedStoreSettings,
    made: redis.Redis,
    store: StoreSettings,
    prefix: str,
    verb: str,
    names: list[str],
) -> ROWS:
    generation = cast("bytes | None", made.get(f"{prefix}:generation")) or b"0"
    if not generation.isdigit():
        raise redis.RedisError(f"the generation is no number: {generation[:40]!r}")
    under = f"{prefix}:{generation.decode()}:"
    match verb:
        case "ping":
            return [_ping(made, generation, under)]
        case "claims":
            return [*_names(made, under)]
        case "purges":
            return [*_purges(made, under)]
    return _forget(settings, made, store, prefix, int(generation), under, names)


def _ping(made: redis.Redis, generation: bytes, under: str) -> dict[str, object]:
    began = time.perf_counter()
    made.ping()
    took = time.perf_counter() - began
    fronts = sum(1 for _ in _keys(made, f"{under}seen:*"))
    return {
        "answers_ms": round(took * 1000, 3),
        "generation": int(generation),
        "processes": fronts,
        "keys": made.dbsize(),
    }


def _keys(made: redis.Redis, pattern: str) -> Iterator[bytes]:
    for count, key in enumerate(made.scan_iter(pattern, 1_000)):
        if count >= MOST_KEYS:
            return
        yield key


def _names(made: Any, under: str) -> Iterator[dict[str, object]]:
    """Claims that run and holders that are known; what can't be read is shown as such."""
    for key in sorted(_keys(made, f"{under}[ch]:*")):
        kind, _, name = key[len(under) :].decode(errors="replace").partition(":")
        row: dict[str, object] = {"name": name, "kind": {"c": "claim", "h": "holder"}[kind]}
        try:
            row["ends_ms"] = made.pttl(key)
            if kind == "c":
                number, _, record = (made.get(key) or b"").partition(b" ")
                row |= {"number": number.decode(errors="replace")} | _stored_fields(
                    decode_record(FillLease, record)
                )
            else:
                row |= _stored_fields(decode_record(CacheLocation, made.hget(key, "rec")))
        except (RecordError, redis.ResponseError) as fault:
            row["odd"] = str(fault)
        yield row


def _stored_fields(record: msgspec.Struct) -> dict[str, object]:
    """A record's own fields by their stored names."""
    fields: dict[str, object] = msgspec.to_builtins(record)
    return {name: value for name, value in fields.items() if name not in ("type", "v")}


def _purges(made: Any, under: str) -> Iterator[dict[str, object]]:
    for key, at in sorted(made.hgetall(f"{under}purges").items(), key=lambda pair: pair[1]):
        try:
            what = InvalidationKey.read(key)
            yield {"object": what.object, "group": what.group, "at_ms": int(at)}
        except (RecordError, ValueError) as fault:
            yield {"odd": str(fault)}


def _forget(
    settings: SharedStoreSettings,
    made: Any,
    store: StoreSettings,
    prefix: str,
    generation: int,
    under: str,
    names: list[str],
) -> ROWS:
    """Names by deleting what is known of them, everything by a new generation."""
    if names:
        stores = tuple(other.name for other in settings.stores)
        here = [name for name in names if rendezvous_order(name, stores)[0] == store.name]
        return [
            {"name": name, "forgotten": made.delete(f"{under}c:{name}", f"{under}h:{name}")} for name in here
        ]
    (reply,) = client.run(made, [ev.AdvanceGeneration(generation, generation)], prefix, "operator", False)
    if isinstance(reply, Exception):
        raise reply
    return [{"generation": int(cast("list[bytes]", reply)[0]), "before": generation}]


def _show(rows: ROWS) -> None:
    if not rows:
        print("nothing there")
        return
    columns = list(dict.fromkeys(key for row in rows for key in row))
    table = Table(*columns)
    for row in rows:
        table.add_row(*("" if row.get(key) is None else str(row[key]) for key in columns))
    Console().print(table)
