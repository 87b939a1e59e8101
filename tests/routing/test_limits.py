"""Checks of the policy modules: their size, their imports and the place of tuned values."""

import ast
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
POLICY_MODULES = {path: (ROOT / path).read_text(encoding="utf-8") for path in DEPLOY["policy"]}
MECHANISM_MODULES = [
    ROOT / "olivepost" / "router.py",
    ROOT / "olivepost" / "request_lifecycle.py",
    ROOT / "olivepost" / "attempt_lifecycle.py",
    ROOT / "olivepost" / "action_emitter.py",
    *(ROOT / "olivepost" / "routing_state").glob("*.py"),
]
ALLOWED_PACKAGES = ("olivepost.routing", "olivepost.routing_state", "olivepost.units")


@pytest.mark.parametrize("path", POLICY_MODULES)
def test_each_decision_module_has_one_job_and_a_length_to_read_at_once(path: str) -> None:
    lines = POLICY_MODULES[path].splitlines()
    assert len(lines) <= 300
    assert max(map(len, lines)) <= 110
    functions = [
        node for node in ast.walk(ast.parse(POLICY_MODULES[path])) if isinstance(node, ast.FunctionDef)
    ]
    assert all((node.end_lineno or node.lineno) - node.lineno < 40 for node in functions)


def test_policy_is_the_whole_routing_package() -> None:
    package = ROOT / "olivepost" / "routing"
    modules = {path.relative_to(ROOT).as_posix() for path in package.glob("**/*.py")}
    assert modules - set(POLICY_MODULES) == {"olivepost/routing/__init__.py"}
    # The docstring is the only statement.
    assert len(ast.parse((package / "__init__.py").read_text(encoding="utf-8")).body) == 1


def test_router_names_its_interface_at_the_top() -> None:
    docstring = ast.get_docstring(ast.parse(MECHANISM_MODULES[0].read_text(encoding="utf-8")))
    assert docstring is not None
    assert "olivepost/interface" in docstring


@pytest.mark.parametrize("path", POLICY_MODULES)
def test_policy_imports_only_the_standard_library_the_interface_and_its_state(path: str) -> None:
    for node in ast.walk(ast.parse(POLICY_MODULES[path])):
        if isinstance(node, ast.Import):
            assert all(alias.name in sys.stdlib_module_names for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            module = node.module or ""
            top = module.partition(".")[0]
            assert top == "olivepost" or top in sys.stdlib_module_names
            if module == "olivepost":
                assert [alias.name for alias in node.names] == ["interface"]
            elif top == "olivepost":
                assert module.startswith(ALLOWED_PACKAGES)


@pytest.mark.parametrize("path", POLICY_MODULES)
def test_policy_uses_no_clock_and_no_unstable_hash(path: str) -> None:
    names = {node.id for node in ast.walk(ast.parse(POLICY_MODULES[path])) if isinstance(node, ast.Name)}
    assert not names & {"hash", "print", "time", "globals"}


@pytest.mark.parametrize("path", MECHANISM_MODULES, ids=lambda path: path.stem)
def test_no_tuned_value_stands_outside_the_policy(path: Path) -> None:
    """Checks that the router and its state contain no numbers except -1, 0 and 1.

    Steps and sizes come from the policy. Only the name table also contains 2, a factor of its queue's size.
    """
    numbers = {
        node.value
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
        if isinstance(node, ast.Constant) and isinstance(node.value, (int, float))
    }
    queue_size_factor = {2} if path.stem == "name_table" else set()
    assert numbers - queue_size_factor <= {-1, 0, 1}


def test_what_run_imports_is_compiled_by_build() -> None:
    """Guards against the compilation of all modules at each start of a process.

    A process can't write the platform's files, so it can't keep what it has compiled for the next start.
    The build must therefore compile the modules, with the `-O` that the process runs with.
    """
    assert " -O " in DEPLOY["run"]
    assert "-O -m compileall -q olivepost" in DEPLOY["build"]
