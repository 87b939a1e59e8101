"""Reader of the operator's YAML file.

It rejects duplicate keys and aliases, and reports each fault with its line and key.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

import yaml
from pydantic import ValidationError
from pydantic_core import ErrorDetails

from olivepost.config import ConfigError
from olivepost.operator_config.model import OperatorSettings

MAX_FILE_BYTES = 1 << 20
FIRST_LINE = 1
WHOLE_FILE = "the file"  # shown in place of a key if a fault concerns no single key
STRING_TAG = "tag:yaml.org,2002:str"
# YAML's tag of the key `<<`, which merges another mapping into this one.
MERGE_TAG = "tag:yaml.org,2002:merge"
# Prefixes that Pydantic puts before the text of an error that a validator raises.
MESSAGE_PREFIXES = ("Value error, ", "Assertion failed, ")
MAX_INPUT_LENGTH = 60  # maximum number of characters of a faulty value that a message shows
MESSAGE_BY_ERROR_TYPE = {"extra_forbidden": "no such key", "missing": "is missing"}

KeyPath = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FileFault:
    """One fault of a file.

    Lines are numbered from 1. `line` is None if the fault is not in one line, and `key` is None if the fault
    is not in one key.
    """

    path: str
    message: str
    line: int | None = None
    key: str | None = None

    def __str__(self) -> str:
        place = self.path if self.line is None else f"{self.path}:{self.line}"
        return f"{place}: {self.message}" if self.key is None else f"{place}: {self.key}: {self.message}"


class OperatorConfigError(ConfigError):
    """Error: an operator's file can't be used; the message has one line per distinct fault in `faults`."""

    def __init__(self, *faults: FileFault) -> None:
        super().__init__("\n".join(dict.fromkeys(map(str, faults))))
        self.faults = faults


class ParsedFile(NamedTuple):
    """A YAML document as a node tree, for line numbers, and as plain values.

    Both are None if the document is empty.
    """

    root: yaml.Node | None
    document: Any


class ChildNode(NamedTuple):
    """The value of a mapping's key or of a sequence's index, and the line of that key or value."""

    line: int
    node: yaml.Node


def load(path: str) -> OperatorSettings:
    """Returns the settings in a file; raises OperatorConfigError if it can't be used."""
    root, document = _parse(path, _read_bytes(path))
    if document is None or document == {}:
        sections = ", ".join(OperatorSettings.model_fields)
        message = f"has no section; known sections: {sections}"
        raise OperatorConfigError(FileFault(path, message, FIRST_LINE, WHOLE_FILE))
    try:
        return OperatorSettings.model_validate(document)
    except ValidationError as error:
        details = error.errors(include_url=False)
        faults = (_validation_fault(path, root, detail) for detail in details)
        raise OperatorConfigError(*faults) from error


def schema() -> dict[str, object]:
    """Returns the JSON Schema of the file, for editors.

    In pydantic's mode `serialization`, defaults have the form that the file uses: `10s`, not nanoseconds.
    """
    return OperatorSettings.model_json_schema(mode="serialization")


def _read_bytes(path: str) -> bytes:
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise OperatorConfigError(FileFault(path, f"can't be read: {error.strerror}")) from error
    if len(data) > MAX_FILE_BYTES:
        raise OperatorConfigError(FileFault(path, f"larger than {MAX_FILE_BYTES} bytes"))
    return data


def _parse(path: str, data: bytes) -> ParsedFile:
    """Returns the document; raises OperatorConfigError if it is not YAML or has faulty keys."""
    try:
        _reject_aliases(path, data)
        loader = yaml.SafeLoader(data)
        root = loader.get_single_node()
        faults = tuple(_key_faults(path, root, ()))
        if faults:
            raise OperatorConfigError(*faults)
        document = None if root is None else loader.construct_document(root)
        return ParsedFile(root, document)
    except yaml.MarkedYAMLError as error:
        line = _line(error.problem_mark) if error.problem_mark else FIRST_LINE
        raise OperatorConfigError(FileFault(path, f"not YAML: {error.problem}", line)) from error
    except (yaml.YAMLError, ValueError) as error:
        raise OperatorConfigError(FileFault(path, f"not YAML: {error}")) from error


def _reject_aliases(path: str, data: bytes) -> None:
    """Rejects aliases, since a small file that repeats them could expand to a very large document."""
    for event in yaml.parse(data, Loader=yaml.SafeLoader):
        if isinstance(event, yaml.AliasEvent):
            raise OperatorConfigError(FileFault(path, "aliases are not allowed", _line(event.start_mark)))


def _line(mark: Any) -> int:
    """Returns the line of a mark, which is PyYAML's position in a file, counted from 1.

    The parameter is `Any` because the type in PyYAML's stubs is a union that includes None.
    """
    return int(mark.line) + 1


def _key_faults(path: str, node: yaml.Node | None, parents: KeyPath) -> Iterator[FileFault]:
    """Yields a fault for each key that is not a string and for each duplicate key.

    Without this check, PyYAML's loader would use the last of two equal keys. It would also read the keys
    `on`, `yes` or `1` as a boolean or a number.
    """
    if isinstance(node, yaml.MappingNode):
        names: set[str] = set()
        for key, value in node.value:
            name = _key_text(key)
            key_path = (*parents, name)
            if name in names:
                yield FileFault(path, "duplicate key", _line(key.start_mark), ".".join(key_path))
            elif key.tag not in (STRING_TAG, MERGE_TAG):
                yield FileFault(path, _key_type_message(key), _line(key.start_mark), ".".join(key_path))
            names.add(name)
            yield from _key_faults(path, value, key_path)
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            yield from _key_faults(path, value, (*parents, str(index)))


def _key_text(key: yaml.Node) -> str:
    """Returns a key as the file has it; `a sequence` or `a mapping` if the key is not a scalar."""
    if isinstance(key, yaml.ScalarNode):
        return str(key.value)
    return "a sequence" if isinstance(key, yaml.SequenceNode) else "a mapping"


def _key_type_message(key: yaml.Node) -> str:
    kind = key.tag.rpartition(":")[2]
    return f"a key must be a string, and YAML reads this one as {kind}"


def _validation_fault(path: str, root: yaml.Node | None, detail: ErrorDetails) -> FileFault:
    """Converts an error of pydantic to a fault: its line, its key, what is allowed and what the file has."""
    key_path = tuple(str(key) for key in detail["loc"])
    message = MESSAGE_BY_ERROR_TYPE.get(detail["type"]) or _validation_message(detail)
    return FileFault(path, message, _line_of(root, key_path), ".".join(key_path) or WHOLE_FILE)


def _validation_message(detail: ErrorDetails) -> str:
    message = detail["msg"]
    for prefix in MESSAGE_PREFIXES:
        message = message.removeprefix(prefix)
    value = detail.get("input")
    if value is None or isinstance(value, (str, int, float, bool)):
        return f"{message}, not {repr(value)[:MAX_INPUT_LENGTH]}"
    return message


def _line_of(root: yaml.Node | None, key_path: KeyPath) -> int:
    """Returns the line of a value in the document `root`, or of the nearest enclosing value that exists.

    `key_path` has the keys that lead from the document to the value. If the document lacks even the first of
    them, the result is the first line of the file.
    """
    line = FIRST_LINE
    node = root
    for key in key_path:
        child = _child(node, key)
        if child is None:
            break
        line = child.line
        node = child.node
    return line


def _child(node: yaml.Node | None, key: str) -> ChildNode | None:
    """Returns the value at `key` of a mapping, or at that index of a sequence; None if there is none."""
    if isinstance(node, yaml.MappingNode):
        for name, value in node.value:
            if str(name.value) == key:
                return ChildNode(_line(name.start_mark), value)
    if isinstance(node, yaml.SequenceNode) and key.isdigit() and int(key) < len(node.value):
        value = node.value[int(key)]
        return ChildNode(_line(value.start_mark), value)
    return None
