"""The bounded table of names that expire."""

from __future__ import annotations

import tracemalloc

from olivepost.routing_state import ExpiringNameTable, NameEntry

CAPACITY = 2_000
RENEWALS = 12


def put_all(table: ExpiringNameTable, now: int) -> None:
    """Requests each name once, each time by a string of its own, as requests bring them."""
    for number in range(CAPACITY):
        table.put(f"{number:016x}.0", NameEntry(now + number, 1, 1.0))


def test_renewed_names_take_no_more_memory_than_new_ones() -> None:
    table = ExpiringNameTable(CAPACITY, 4)
    tracemalloc.start()
    try:
        put_all(table, now=10_000)
        filled, _ = tracemalloc.get_traced_memory()
        for renewal in range(RENEWALS):
            put_all(table, now=20_000 + renewal * CAPACITY)
        renewed, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert renewed < 1.1 * filled
