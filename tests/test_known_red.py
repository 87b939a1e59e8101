"""Tests of the reader for the list of known failures."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.known_red import KnownFailure, KnownFailuresError, read_known_failures


def test_entry_names_test_command_observation_and_issue(tmp_path: Path) -> None:
    path = tmp_path / "list.txt"
    path.write_text("# a comment\n\ntests/a.py::test_b[1] | pytest --seed 1 | it is late | 33\n")
    assert read_known_failures(path) == [
        KnownFailure("tests/a.py::test_b[1]", "pytest --seed 1", "it is late", "33")
    ]
    assert read_known_failures(tmp_path / "missing.txt") == []


@pytest.mark.parametrize("text", ["only a test", "a | b", "a | b | 3", "a | b | | 3", "a | b | c | 1\n" * 4])
def test_malformed_or_long_list_is_an_error(text: str, tmp_path: Path) -> None:
    path = tmp_path / "list.txt"
    path.write_text(text)
    with pytest.raises(KnownFailuresError):
        read_known_failures(path)
