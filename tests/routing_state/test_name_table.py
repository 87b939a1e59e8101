"""Tests of the bounded table of expiring names."""

from __future__ import annotations

import random
import tracemalloc

from olivepost.routing_state import ExpiringNameTable, NameEntry

CAPACITY = 2_000
RENEWALS = 12


def put_all(table: ExpiringNameTable, now: int) -> None:
    """Puts the same `CAPACITY` names into the table at each call.

    Each call makes new string objects, because each real request brings its name as a new string, too.
    """
    for number in range(CAPACITY):
        table.put(f"{number:016x}.0", NameEntry(now + number, 1, 1.0))


def test_renewed_names_take_no_more_memory_than_new_ones() -> None:
    table = ExpiringNameTable(CAPACITY, 4)
    tracemalloc.start()
    try:
        put_all(table, now=10_000)
        filled, _ = tracemalloc.get_traced_memory()
        put_all(table, now=20_000)
        renewed_once, _ = tracemalloc.get_traced_memory()
        for renewal in range(1, RENEWALS):
            put_all(table, now=20_000 + renewal * CAPACITY)
        renewed, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # Until the first renewal, a name and its queue entry share one expiry time, an integer object of 32
    # bytes. The name then has a second such object. Further renewals add none.
    assert renewed_once < filled + 40 * CAPACITY
    assert renewed < renewed_once + CAPACITY


def test_names_come_and_go_as_in_a_table_that_sorts_them() -> None:
    """Compares the table with a reference while names are renewed, get shorter lifetimes and are evicted.

    The reference is a dictionary of expiry times. Its eviction searches all names for the one that expires
    first.
    """
    random_source = random.Random(7)
    table = ExpiringNameTable(50, 4)
    plain: dict[str, int] = {}
    for now in range(0, 40_000, 2):
        name = f"{random_source.randrange(120)}"
        plain = {known: expires_at for known, expires_at in plain.items() if expires_at > now}
        while len(plain) > 50:
            plain.pop(min(plain, key=lambda known: (plain[known], known)))
        remaining = table.remaining(now, name)
        assert remaining == (plain[name] - now if name in plain else None)
        expires_at = now + random_source.choice((10, 200, 4_000))
        table.put(name, NameEntry(expires_at, random_source.randrange(4), 1.0))
        plain[name] = expires_at
        assert table.total_size() == len(table) == len(plain)
        assert table.queue_length <= 101


def test_shrunk_table_keeps_the_names_that_expire_last() -> None:
    table = ExpiringNameTable(10, 4)
    for number in range(10):
        table.put(f"{number}", NameEntry(100 + number, 1, 1.0))
    table.shrink(3)
    assert [name for name in "0123456789" if table.remaining(0, name) is not None] == ["7", "8", "9"]
