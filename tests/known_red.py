"""Reader for KNOWN-RED.txt, the list of tests that fail because of a real fault that is not fixed yet."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"
MAX_ENTRIES = 3
COMMENT = "#"
SEPARATOR = "|"


class KnownFailure(NamedTuple):
    """One entry of the list."""

    test: str  # pytest's id of the test
    command: str  # command and seed that reproduce the fault
    observed: str  # how the test fails
    issue: str


class KnownFailuresError(Exception):
    """Error for an unusable list of known failures.

    The message names the malformed line or the exceeded limit.
    """


def read_known_failures(path: Path = LIST) -> list[KnownFailure]:
    """Returns the entries of the list, or no entries if the file does not exist."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines()]
    entries = [_parse(line) for line in lines if line and not line.startswith(COMMENT)]
    if len(entries) > MAX_ENTRIES:
        raise KnownFailuresError(f"{path.name} has {len(entries)} entries; {MAX_ENTRIES} are allowed")
    return entries


def _parse(line: str) -> KnownFailure:
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != len(KnownFailure._fields) or not all(parts):
        raise KnownFailuresError(
            f"line '{line}' must be 'test | command and seed | observed failure | issue'"
        )
    return KnownFailure(*parts)
