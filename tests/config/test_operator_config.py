"""Tests of the operator's file: accepted values, error messages and its JSON Schema."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from examples.toy_server import CONFIG
from olivepost.cli import main
from olivepost.operator_config.loader import OperatorConfigError, load, schema
from olivepost.operator_config.units import format_duration, parse_address, parse_duration, read_secret

EXAMPLE = Path(__file__).parents[2] / "deploy" / "examples" / "sharing.yaml"
KeyPath = tuple[Any, ...]
STORE = "  stores: [{name: s, address: '127.0.0.1:1'}]\n"


def load_error(tmp_path: Path, text: str) -> str:
    path = tmp_path / "operator.yaml"
    path.write_text(text)
    with pytest.raises(OperatorConfigError) as raised:
        load(str(path))
    return str(raised.value)


def test_example_file_is_read() -> None:
    sharing = load(str(EXAMPLE)).sharing

    assert sharing is not None
    assert sharing.wait == 10_000_000
    assert sharing.stores[0].address == ("127.0.0.1", 7379)


def test_example_file_can_be_used(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["check", "--config", str(CONFIG), "--operator", str(EXAMPLE)]) == 0
    assert main(["check", "--operator", str(EXAMPLE)]) == 0
    assert "can be used" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (
            "sharing:\n  branch: w\n" + STORE + "  wait: 3\n",
            ":4: sharing.wait: must be from 1ms to 100ms, not 3",
        ),
        (
            "sharing:\n  branch: w\n" + STORE + "  wait: soon\n",
            ":4: sharing.wait: must be a duration like 250ms",
        ),
        ("sharing:\n  branch: w\n" + STORE + "  riddle: 1\n", ":4: sharing.riddle: no such key"),
        ("sharing:\n" + STORE, ":1: sharing.branch: is missing"),
        (
            "sharing:\n  branch: w\n  stores:\n    - name: s\n      address: nowhere\n",
            ":5: sharing.stores.0.address: must be an address like 10.0.0.4:6379",
        ),
        ("sharing:\n  branch: w\n  branch: x\n" + STORE, ":3: sharing.branch: duplicate key"),
        ("a: &x 1\nb: *x\n", ":2: aliases are not allowed"),
        ("sharing: [\n", "not YAML"),
        ("sharing:\n  branch: w\n  stores: []\n", ":3: sharing.stores: "),
        (
            "sharing:\n  branch: w\n" + STORE + "  budgets: {loan: 3s}\n",
            ":4: sharing.budgets.loan: must be from",
        ),
        ("sharing:\n  branch: w\n  stores: [{name: s, address: 'h:1'}, {name: s, address: 'h:2'}]\n", "same"),
        ("sharing:\n  branch: w\n  stores: [{name: s, address: 'h:1', user: u}]\n", "needs a password_file"),
        ("sharing:\n  branch: w\n" + STORE + "  trials: {first: 2s, most: 1s}\n", ":4: sharing.trials: most"),
        (
            "sharing:\n  branch: w\n" + STORE + "  claims:\n    on: false\n",
            ":5: sharing.claims.on: a key must be a string, and YAML reads this one as bool",
        ),
        ("sharing:\n  7: w\n", ":2: sharing.7: a key must be a string, and YAML reads this one as int"),
        ("sharing:\n  ? [a]\n  : w\n", ":2: sharing.a sequence: a key must be a string"),
    ],
)
def test_fault_has_its_file_line_key_and_what_is_allowed(tmp_path: Path, text: str, message: str) -> None:
    assert message in load_error(tmp_path, text)
    assert "operator.yaml" in load_error(tmp_path, text)


@pytest.mark.parametrize("section", ["claims", "holders", "purges", "budgets", "suspicions"])
@pytest.mark.parametrize(
    ("text", "is_enabled"), [("false", False), ("off", False), ("true", True), ("on", True)]
)
def test_each_kind_of_sharing_can_be_switched_on_and_off(
    tmp_path: Path, section: str, text: str, is_enabled: bool
) -> None:
    path = tmp_path / "operator.yaml"
    path.write_text(f"sharing:\n  branch: w\n{STORE}  {section}:\n    enabled: {text}\n")

    sharing = load(str(path)).sharing
    assert sharing is not None
    assert getattr(sharing, section).enabled is is_enabled


def test_all_faulty_keys_are_reported_at_once(tmp_path: Path) -> None:
    text = load_error(tmp_path, "sharing:\n  on: 1\n  no: 2\n  branch: w\n  branch: x\n")

    keys = [line.split(": ")[1] for line in text.splitlines()]
    assert keys == ["sharing.on", "sharing.no", "sharing.branch"]


@pytest.mark.parametrize("text", ["", "\n", "# sharing:\n#   branch: west\n", "---\n...\n", "null\n", "{}\n"])
def test_file_without_a_section_is_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str
) -> None:
    path = tmp_path / "operator.yaml"
    path.write_text(text)

    assert main(["check", "--operator", str(path)]) == 2
    assert (
        capsys.readouterr().err == f"olivepost: {path}:1: the file: has no section; known sections: sharing\n"
    )


def test_faulty_file_ends_the_command_with_code_2(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "operator.yaml"
    path.write_text("sharing: {}\n")

    assert main(["check", "--operator", str(path)]) == 2
    assert "sharing.branch: is missing" in capsys.readouterr().err


def test_missing_file_ends_the_command_with_code_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["serve", "--config", str(CONFIG), "--operator", str(tmp_path / "none")]) == 2
    assert "can't be read" in capsys.readouterr().err


def test_schema_has_every_section(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["schema"]) == 0
    assert "sharing" in json.loads(capsys.readouterr().out)["properties"]


def definition_of(field: dict[str, Any]) -> dict[str, Any]:
    """Returns the schema that a field, its items or an alternative refers to; an empty one if none does."""
    for branch in (field, field.get("items", {}), *field.get("anyOf", ())):
        if "$ref" in branch:
            return DEFINITIONS[branch["$ref"].rpartition("/")[2]]
    return {}


def defaults_of(section: dict[str, Any], path: KeyPath) -> Iterator[tuple[KeyPath, dict[str, Any]]]:
    """Yields the path and the schema of each key below a section, if the key has a default."""
    for key, field in section.get("properties", {}).items():
        if "default" in field:
            yield (*path, key), field
        below = (*path, key, 0) if "items" in field else (*path, key)
        yield from defaults_of(definition_of(field), below)


DEFINITIONS = cast("dict[str, dict[str, Any]]", schema()["$defs"])
DEFAULTS = list(defaults_of(schema(), ()))


def test_schema_has_a_default_for_every_optional_key() -> None:
    assert len(DEFAULTS) == 30, [".".join(map(str, path)) for path, _ in DEFAULTS]


@pytest.mark.parametrize(("path", "field"), DEFAULTS, ids=[".".join(map(str, path)) for path, _ in DEFAULTS])
def test_default_of_the_schema_can_be_put_into_a_file(
    tmp_path: Path, path: KeyPath, field: dict[str, Any]
) -> None:
    """Guards against schema defaults that the file does not accept, such as nanoseconds without a unit."""
    store = {"name": "s", "address": "127.0.0.1:1", "tls": {"ca_file": "/ca.pem"}}
    document: dict[str, Any] = {"sharing": {"branch": "w", "stores": [store]}}
    section: Any = document
    for key in path[:-1]:
        section = section.setdefault(key, {}) if isinstance(section, dict) else section[key]
    section[path[-1]] = field["default"]
    file = tmp_path / "operator.yaml"
    file.write_text(yaml.safe_dump(document))

    settings: Any = load(str(file))
    for key in path[:-1]:
        settings = settings[key] if isinstance(key, int) else getattr(settings, key)
    assert getattr(settings, path[-1]) == type(settings).model_fields[path[-1]].default


@pytest.mark.parametrize("field", [field for _, field in DEFAULTS])
def test_default_of_the_schema_has_the_form_that_the_schema_allows(field: dict[str, Any]) -> None:
    default = field["default"]
    if isinstance(default, dict):
        keys = definition_of(field)["properties"]
        assert default == {key: keys[key]["default"] for key in keys}
    elif "pattern" in field:
        assert re.search(field["pattern"], default)
    else:
        kinds = {branch.get("type") for branch in (field, *field.get("anyOf", ()))}
        assert {type(None): "null", bool: "boolean", int: "integer"}[type(default)] in kinds


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.integers(1, 10**13))
def test_formatted_duration_is_parsed_to_the_same_value(duration: int) -> None:
    duration -= duration % 1_000
    assert parse_duration(format_duration(duration)) == duration


@pytest.mark.parametrize(
    ("value", "duration"),
    [("250ms", 250_000_000), ("1.5s", 1_500_000_000), ("2m", 120_000_000_000), ("3us", 3_000), (7, 7)],
)
def test_duration_is_parsed_to_nanoseconds(value: object, duration: int) -> None:
    assert parse_duration(value) == duration


@pytest.mark.parametrize("value", ["", "5", "5 s", "-5s", "1.s", "5d", True, 1.5, None])
def test_value_that_is_not_a_duration_is_rejected(value: object) -> None:
    with pytest.raises(ValueError, match=r"must be a duration like 250ms, 1\.5s or 2m"):
        parse_duration(value)


@pytest.mark.parametrize(
    ("value", "address"),
    [
        ("10.0.0.4:6379", ("10.0.0.4", 6379)),
        ("store.example:1", ("store.example", 1)),
        ("[::1]:65535", ("::1", 65_535)),
    ],
)
def test_address_is_parsed_to_host_and_port(value: str, address: tuple[str, int]) -> None:
    assert parse_address(value) == address


@pytest.mark.parametrize("value", ["", ":1", "h", "h:", "h:0", "h:65536", "h:x", "-h:1", "::1:1", "[h]:1", 5])
def test_value_that_is_not_an_address_is_rejected(value: object) -> None:
    with pytest.raises(ValueError, match="must be an address like"):
        parse_address(value)


def test_secret_is_read_without_its_line_end(tmp_path: Path) -> None:
    path = tmp_path / "secret"
    path.write_bytes(b"hush\n")

    assert read_secret(path) == "hush"


def test_message_of_a_faulty_secret_does_not_contain_the_secret(tmp_path: Path) -> None:
    path = tmp_path / "secret"
    path.write_bytes(b"hush\nhush\n")

    with pytest.raises(ValueError, match="more than one line") as raised:
        read_secret(path)

    assert "hush" not in str(raised.value)


def test_packages_of_the_operators_file_are_not_imported_without_one() -> None:
    """Guards against needless imports in a proxy without an operator's file.

    The packages that read this file take memory and lengthen the start.
    """
    code = (
        "import sys, olivepost.cli, olivepost.proxy.server\n"
        "sys.exit(olivepost.cli.main(['check', '--config', sys.argv[1]]) or\n"
        " any(name.split('.')[0] in ('redis', 'hiredis', 'yaml', 'pydantic', 'msgspec', 'crc32c')\n"
        "     or name.startswith(('olivepost.shared_store', 'olivepost.operator_config'))"
        "     for name in sys.modules))"
    )
    command = [sys.executable, "-c", code, str(CONFIG)]

    done = subprocess.run(command, capture_output=True, text=True, timeout=60)

    assert done.returncode == 0, done.stderr
