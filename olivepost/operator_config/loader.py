"""Reads an operator's file: safe YAML, no key twice, no aliases, each fault with its file, line and key."""

from __future__ import annotations

from pathlib import Path

import yaml
from pydantic import ValidationError

from olivepost.config import ConfigError
from olivepost.operator_config.model import OperatorSettings

MOST_BYTES = 1 << 20


class OperatorError(ConfigError):
    """The file can't be used; one line for each fault."""


def load(path: str) -> OperatorSettings:
    """The settings of a file, or OperatorError with every fault that was found."""
    where = Path(path)
    try:
        with where.open("rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as fault:
        raise OperatorError(f"{path}: can't be read: {fault.strerror}") from fault
    if len(data) > MOST_BYTES:
        raise OperatorError(f"{path}: larger than {MOST_BYTES} bytes")
    try:
        for event in yaml.parse(data, Loader=yaml.SafeLoader):
            if isinstance(event, yaml.AliasEvent):  # a small file must not grow into a large one
                raise OperatorError(f"{path}:{_line(event.start_mark)}: aliases are not allowed")
        reader = yaml.SafeLoader(data)
        root = reader.get_single_node()
        _no_key_twice(path, root, ())
        plain = None if root is None else reader.construct_document(root)
    except yaml.MarkedYAMLError as fault:
        line = _line(fault.problem_mark) if fault.problem_mark else 1
        raise OperatorError(f"{path}:{line}: not YAML: {fault.problem}") from fault
    except (yaml.YAMLError, ValueError) as fault:
        raise OperatorError(f"{path}: not YAML: {fault}") from fault
    try:
        return OperatorSettings.model_validate({} if plain is None else plain)
    except ValidationError as fault:
        lines = [_fault(path, root, dict(error)) for error in fault.errors(include_url=False)]
        raise OperatorError("\n".join(dict.fromkeys(lines))) from fault


def schema() -> dict[str, object]:
    """The JSON Schema of the file."""
    return OperatorSettings.model_json_schema()


def _line(mark: object) -> int:
    return int(getattr(mark, "line", 0)) + 1


def _no_key_twice(path: str, node: yaml.Node | None, at: tuple[str, ...]) -> None:
    """YAML's own reader takes the last of two; which was meant can't be known."""
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, value in node.value:
            name = str(key.value)
            if name in seen:
                raise OperatorError(f"{path}:{_line(key.start_mark)}: {'.'.join((*at, name))}: stands twice")
            seen.add(name)
            _no_key_twice(path, value, (*at, name))
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            _no_key_twice(path, value, (*at, str(index)))


def _fault(path: str, root: yaml.Node | None, error: dict[str, object]) -> str:
    """One fault as a line: file, line, key, what was found, what is allowed."""
    where = error["loc"]
    keys = [str(key) for key in where] if isinstance(where, tuple) else []
    line, node = 1, root
    for key in keys:
        found = _inner(node, key)
        if found is None:
            break
        line, node = found
    why = str(error["msg"]).removeprefix("Value error, ").removeprefix("Assertion failed, ")
    allowed = {"extra_forbidden": "no such key", "missing": "is missing"}.get(str(error["type"]), why)
    given = error.get("input")
    told = f", not {given!r:.60}" if isinstance(given, (str, int, float, bool)) or given is None else ""
    told = "" if error["type"] in ("extra_forbidden", "missing") else told
    return f"{path}:{line}: {'.'.join(keys) or 'the file'}: {allowed}{told}"


def _inner(node: yaml.Node | None, key: str) -> tuple[int, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for name, value in node.value:
            if str(name.value) == key:
                return _line(name.start_mark), value
    if isinstance(node, yaml.SequenceNode) and key.isdigit() and int(key) < len(node.value):
        value = node.value[int(key)]
        return _line(value.start_mark), value
    return None
