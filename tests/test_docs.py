"""Checks of the documentation: the files, log events, counters and identifiers that it names exist."""

import ast
import re
from collections import defaultdict
from functools import cache
from pathlib import Path
from typing import get_args

import pytest

from olivepost.interface.actions import Action

ROOT = Path(__file__).parents[1]
PAGES = sorted([*ROOT.glob("*.md"), ROOT / "examples" / "README.md", *(ROOT / "docs").rglob("*.md")])
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
NAME = re.compile(r"`([a-z0-9_.*]+)`")
CODE = re.compile(r"`([A-Za-z_][A-Za-z0-9_.]*)(?:\[[a-z_]+\]|\([^)`]*\))?`")
PAGE_PATH = re.compile(r"docs/[A-Za-z0-9_./-]+\.md")
SOURCE_PATH = re.compile(r"`((?:benchmarks|deploy|docs|examples|olivepost|standins|tests)/[A-Za-z0-9_./-]*)`")
# These pages describe past states, so the names on them may no longer exist.
HISTORY = {ROOT / "CHANGELOG.md", ROOT / "docs" / "results.md", *(ROOT / "docs" / "incidents").glob("*.md")}
PRESENT_PAGES = [page for page in PAGES if page not in HISTORY]
FILE = re.compile(r".*\.(py|md|toml|json|yaml|txt)")
SEPARATOR = re.compile(r"[\s|:-]+")
NAME_HEADINGS = ("## Log events", "## Metrics", "### Counters", "### Invariants")
CODE_PAGES = ("architecture", "capacity", "design", "shutdown-and-cancellation", "glossary")
RENAMED_HEADING = ("## Old and new names",)


def prose(text: str) -> str:
    """Returns a page's text without its code blocks and diagrams."""
    return re.sub(r"^```.*?^```", "", text, flags=re.DOTALL | re.MULTILINE)


def relative_links(page: Path) -> list[str]:
    """Returns the targets of a page's links to files."""
    targets = LINK.findall(prose(page.read_text(encoding="utf-8")))
    return [target for target in targets if "://" not in target and not target.startswith("#")]


def table_rows(page: Path, headings: tuple[str, ...]) -> list[list[str]]:
    """Returns all table rows under the given headings, each as a list of cells. Header rows are omitted."""
    rows: list[list[str]] = []
    is_wanted = False
    previous = ""
    for line in page.read_text(encoding="utf-8").splitlines():
        if line.startswith("#"):
            is_wanted = line.startswith(headings)
        is_header_row = not previous.startswith("|")
        if is_wanted and line.startswith("|") and not is_header_row and not SEPARATOR.fullmatch(line):
            rows.append([cell.strip() for cell in line.strip("|").split("|")])
        previous = line
    return rows


def documented_names() -> set[str]:
    """Returns the log events, fields, counters and invariants in the tables of the on-call page.

    The page writes `a_*` for all names with the prefix `a_`.
    """
    page = ROOT / "docs" / "oncall.md"
    present = [row[0] for row in table_rows(page, NAME_HEADINGS)]
    renamed = [row[1] for row in table_rows(page, RENAMED_HEADING)]
    names = [name for cell in [*present, *renamed] for name in NAME.findall(cell)]
    return {part for name in names for part in name.split(".") if part != "*"}


@cache
def modules(*packages: str) -> dict[Path, ast.Module]:
    """Returns the syntax trees of all modules of the given packages, by path."""
    paths = [path for package in packages for path in (ROOT / package).rglob("*.py")]
    return {path: ast.parse(path.read_text(encoding="utf-8")) for path in paths}


def program_nodes() -> list[ast.AST]:
    """Returns all syntax nodes of the package `olivepost`."""
    return [node for tree in modules("olivepost").values() for node in ast.walk(tree)]


def names_in_code() -> set[str]:
    """Returns all strings and keyword arguments of the program, and the values that f-strings may have.

    An f-string is assumed to be a prefix and the lower-case name of an enum member, as in `attempts_error`.
    Each prefix is also returned with `*`, as in `attempts_*`. The documentation uses this notation for all
    names with the prefix.
    """
    names: set[str] = set()
    prefixes: set[str] = set()
    members: set[str] = {"*"}
    for node in program_nodes():
        if isinstance(node, ast.JoinedStr) and isinstance(node.values[0], ast.Constant):
            prefixes.add(str(node.values[0].value))
        elif isinstance(node, ast.Constant) and isinstance(node.value, str):
            names.add(node.value)
        elif isinstance(node, ast.keyword) and node.arg is not None:
            names.add(node.arg)
        elif isinstance(node, ast.Name) and node.id.isupper():
            members.add(node.id.lower())
    name_prefixes = {prefix for prefix in prefixes if re.fullmatch(r"[a-z_]+_", prefix)}
    return names | {prefix + member for prefix in name_prefixes for member in members}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.relative_to(ROOT).as_posix())
def test_relative_links_lead_to_files(page: Path) -> None:
    targets = {target: (page.parent / target.partition("#")[0]) for target in relative_links(page)}
    assert [target for target, path in targets.items() if not path.exists()] == []


@pytest.mark.parametrize("page", PRESENT_PAGES, ids=lambda page: page.relative_to(ROOT).as_posix())
def test_paths_that_a_page_names_exist(page: Path) -> None:
    named = SOURCE_PATH.findall(prose(page.read_text(encoding="utf-8")))
    assert [path for path in named if not (ROOT / path).exists()] == []


def test_pages_that_the_code_names_exist() -> None:
    folders = ("olivepost", "tests", "benchmarks", "standins", "examples")
    sources = [path for folder in folders for path in (ROOT / folder).rglob("*.py")]
    named = {page for path in sources for page in PAGE_PATH.findall(path.read_text(encoding="utf-8"))}
    assert len(named) > 1, "no page was found"
    assert sorted(page for page in named if not (ROOT / page).exists()) == []


def test_log_events_and_counters_of_the_on_call_page_occur_in_the_code() -> None:
    documented = documented_names()
    assert len(documented) > 60, "the tables were not found"
    assert sorted(documented - names_in_code()) == []


def defined_in(tree: ast.AST) -> set[str]:
    """Returns the names of the functions, classes, fields and attributes that a module or class defines."""
    names: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, (ast.FunctionDef, ast.ClassDef)):
            names.add(node.name)
        elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
            names.add(node.id)
        elif isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store):
            names.add(node.attr)
    return names


def members_by_owner() -> dict[str, set[str]]:
    """Returns the names that the program's modules and classes define, by the name of the module or class."""
    members: dict[str, set[str]] = defaultdict(set)
    for path, tree in modules("olivepost").items():
        members[path.stem] |= defined_in(tree)
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef):
                members[node.name] |= defined_in(node)
    return members


def names_of_tests() -> set[str]:
    """Returns the names of all test functions."""
    trees = modules("tests").values()
    defined = {node.name for tree in trees for node in ast.walk(tree) if isinstance(node, ast.FunctionDef)}
    return {name for name in defined if name.startswith("test_")}


def code_names(page: Path) -> set[str]:
    """Returns the identifiers that a page sets in code type.

    On the glossary page, only the identifiers in the last column of a table are returned.
    """
    text = prose(page.read_text(encoding="utf-8"))
    if page.stem == "glossary":
        rows = [line.strip("|").split("|") for line in text.splitlines() if line.startswith("|")]
        text = "\n".join(row[-1] for row in rows)
    return {name for name in CODE.findall(text) if not FILE.fullmatch(name)}


@pytest.mark.parametrize("stem", CODE_PAGES)
def test_parts_of_the_code_that_a_page_names_exist(stem: str) -> None:
    members = members_by_owner()
    tests = " ".join(names_of_tests())
    known = set(members).union(*members.values()) | names_in_code()
    missing = set()
    for name in code_names(ROOT / "docs" / f"{stem}.md"):
        owner, _, member = name.partition(".")
        # A single word that is all in lower case or all in upper case may be a word of a wire format. It need
        # not be defined in the code.
        is_word = name in (name.lower(), name.upper()) and "_" not in name
        if "." in name:
            is_known = member in members.get(owner, ())
        else:
            is_known = is_word or name in known or name in tests
        if not is_known:
            missing.add(name)
    assert sorted(missing) == []


def test_architecture_lists_every_action_with_its_emitter() -> None:
    rows = table_rows(ROOT / "docs" / "architecture.md", ("## Actions",))
    listed = [name for row in rows for name in CODE.findall(row[0])]
    assert sorted(listed) == sorted(action.__name__ for action in get_args(Action))


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.relative_to(ROOT).as_posix())
def test_diagrams_hold_no_semicolon(page: Path) -> None:
    """Guards against diagrams that are not drawn.

    Mermaid reads a semicolon as the end of a line, and then draws no part of the diagram.
    """
    diagrams = re.findall(r"^```mermaid$.*?^```$", page.read_text(encoding="utf-8"), re.DOTALL | re.MULTILINE)
    assert [diagram for diagram in diagrams if ";" in diagram] == []
