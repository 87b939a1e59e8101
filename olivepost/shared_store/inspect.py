"""The commands `olivepost sharing ...`, which read the records of the stores or delete them.

They are for operators at a terminal and don't involve a running proxy. With `--json`, the commands print
their rows as JSON objects, whose keys are the keys of the rows in this module.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice
from typing import Any, NamedTuple

import msgspec
import orjson
import redis
from rich.console import Console
from rich.table import Table

from olivepost.routing.selection import rendezvous_order
from olivepost.shared_store import client
from olivepost.shared_store.operations import AdvanceGeneration
from olivepost.shared_store.records import (
    CacheLocation,
    FillLease,
    InvalidationKey,
    RecordError,
    decode_record,
)
from olivepost.shared_store.settings import SharedStoreSettings, StoreSettings

MAX_KEYS = 100_000  # largest number of keys that one command reads from a store
SCAN_COUNT = 1_000  # approximate number of keys that the server examines in one SCAN command
# Text that these commands send to the scripts in place of the incarnation (id) of a proxy's process.
OPERATOR_INCARNATION = "operator"
ENVELOPE_FIELDS = ("type", "v")  # stored names of the type's tag and the version, which every record has

LEASE_KIND = "c"  # first part of a fill lease's key, after the generation's prefix
LOCATION_KIND = "h"  # first part of a cache location's key
NAME_PATTERN = f"[{LEASE_KIND}{LOCATION_KIND}]:*"
# Values of `kind` in the rows that the commands print.
LABELS = {LEASE_KIND: "claim", LOCATION_KIND: "holder"}

Row = dict[str, object]


class Verb(Enum):
    """A command of `olivepost sharing`. The value is the command's name on the command line."""

    PING = "ping"
    CLAIMS = "claims"
    PURGES = "purges"
    FORGET = "forget"


class StoreContentError(Exception):
    """Error for a value that a store has under `key` and that no proxy writes."""

    def __init__(self, key: str, value: bytes) -> None:
        super().__init__(f"{key} must be a whole number, not {value[:40]!r}")
        self.key = key
        self.value = value


class StoreFault(NamedTuple):
    """The name of a store that could not be used, and the reason."""

    store: str
    fault: str


@dataclass(slots=True)
class Report:
    """The result of a command: the rows that it prints, and the stores that could not be used."""

    verb: Verb
    rows: list[Row] = field(default_factory=list)
    faults: list[StoreFault] = field(default_factory=list)


def run(settings: SharedStoreSettings, verb: Verb, names: list[str], store_name: str | None) -> Report:
    """Runs a command on one store, or on all stores if `store_name` is `None`.

    `names` are the names that `forget` deletes; if there are none, `forget` makes all records unreachable.
    """
    report = Report(verb)
    for store in settings.stores:
        if store_name and store.name != store_name:
            continue
        try:
            with client.create_client(settings, store) as connection:
                rows = StoreInspector(settings, store, connection).run(verb, names)
        except (redis.RedisError, OSError, StoreContentError) as error:
            report.faults.append(StoreFault(store.name, f"{type(error).__name__}: {error}"))
        else:
            report.rows.extend({"store": store.name, **row} for row in rows)
    return report


def print_report(report: Report, as_json: bool) -> None:
    """Prints a report as one JSON object, or as a table with the faults on standard error."""
    if as_json:
        faults = [fault._asdict() for fault in report.faults]
        fields = {"verb": report.verb.value, "rows": report.rows, "faults": faults}
        print(orjson.dumps(fields).decode())
        return
    _print_table(report.rows)
    for fault in report.faults:
        print(f"olivepost: store {fault.store}: {fault.fault}", file=sys.stderr)


class StoreInspector:
    """The commands of `olivepost sharing`, as they run on one store.

    The commands use the records of the generation that the store had when the inspector was created.
    """

    def __init__(self, settings: SharedStoreSettings, store: StoreSettings, connection: Any) -> None:
        self._settings = settings
        self._store = store
        # A redis.Redis, typed as `Any` because the library's stubs don't tell sync replies from async ones.
        self._connection = connection
        self._generation = self._read_generation()
        self._prefix = f"{settings.key_prefix}:{self._generation}:"

    def run(self, verb: Verb, names: list[str]) -> list[Row]:
        """Runs a command and returns its rows."""
        match verb:
            case Verb.PING:
                return [self._ping()]
            case Verb.CLAIMS:
                return [self._describe_name(key) for key in sorted(self._scan(NAME_PATTERN))]
            case Verb.PURGES:
                return list(self._invalidations())
            case Verb.FORGET if names:
                return self._forget_names(names)
            case Verb.FORGET:
                return [self._advance_generation()]

    def _read_generation(self) -> int:
        key = f"{self._settings.key_prefix}:generation"
        value = self._connection.get(key) or b"0"
        if not value.isdigit():
            raise StoreContentError(key, value)
        return int(value)

    def _scan(self, pattern: str) -> Iterator[bytes]:
        keys = self._connection.scan_iter(self._prefix + pattern, SCAN_COUNT)
        return islice(keys, MAX_KEYS)

    def _ping(self) -> Row:
        began = time.perf_counter()
        self._connection.ping()
        round_trip_s = time.perf_counter() - began
        return {
            "answers_ms": round(round_trip_s * 1000, 3),
            "generation": self._generation,
            "processes": sum(1 for _ in self._scan("seen:*")),
            "keys": self._connection.dbsize(),
        }

    def _describe_name(self, key: bytes) -> Row:
        """Returns the printed row about the fill lease or the cache location that is stored under `key`.

        If the record is malformed, the row's field `odd` has the reason.
        """
        kind, _, name = key[len(self._prefix) :].decode(errors="replace").partition(":")
        row: Row = {"name": name, "kind": LABELS[kind]}
        try:
            row["ends_ms"] = self._connection.pttl(key)
            row |= self._lease_fields(key) if kind == LEASE_KIND else self._location_fields(key)
        except (RecordError, redis.ResponseError) as error:
            row["odd"] = str(error)
        return row

    def _lease_fields(self, key: bytes) -> Row:
        number, _, record = (self._connection.get(key) or b"").partition(b" ")
        return {"number": number.decode(errors="replace"), **_stored_fields(decode_record(FillLease, record))}

    def _location_fields(self, key: bytes) -> Row:
        return _stored_fields(decode_record(CacheLocation, self._connection.hget(key, "rec")))

    def _invalidations(self) -> Iterator[Row]:
        """Yields the rows of invalidations, the oldest first.

        If an invalidation is malformed, its row's only field `odd` has the reason.
        """
        times = self._connection.hgetall(f"{self._prefix}purges")
        for key, at_ms in sorted(times.items(), key=lambda item: item[1]):
            try:
                invalidated = InvalidationKey.read(key)
                yield {"object": invalidated.object, "group": invalidated.group, "at_ms": int(at_ms)}
            except (RecordError, ValueError) as error:
                yield {"odd": str(error)}

    def _forget_names(self, names: list[str]) -> list[Row]:
        """Deletes the leases and locations of the names that belong to this store; returns a row per name."""
        stores = tuple(store.name for store in self._settings.stores)
        return [
            {"name": name, "forgotten": self._delete_name(name)}
            for name in names
            if rendezvous_order(name, stores)[0] == self._store.name
        ]

    def _delete_name(self, name: str) -> object:
        keys = [f"{self._prefix}{kind}:{name}" for kind in (LEASE_KIND, LOCATION_KIND)]
        return self._connection.delete(*keys)

    def _advance_generation(self) -> Row:
        """Advances the store's generation, which makes all records in the store unreachable."""
        operation = AdvanceGeneration(self._generation, self._generation)
        prefix = self._settings.key_prefix
        (reply,) = client.run_operations(
            self._connection, [operation], prefix, OPERATOR_INCARNATION, is_transaction=False
        )
        if isinstance(reply, Exception):
            raise reply
        values: Any = reply
        return {"generation": int(values[0]), "before": self._generation}


def _stored_fields(record: msgspec.Struct) -> Row:
    """Returns a record's fields by their stored names, without `ENVELOPE_FIELDS`."""
    fields: Row = msgspec.to_builtins(record)
    return {name: value for name, value in fields.items() if name not in ENVELOPE_FIELDS}


def _print_table(rows: list[Row]) -> None:
    if not rows:
        print("no records found")
        return
    columns = list(dict.fromkeys(key for row in rows for key in row))
    table = Table(*columns)
    for row in rows:
        cells = (row.get(column) for column in columns)
        table.add_row(*("" if cell is None else str(cell) for cell in cells))
    Console().print(table)
