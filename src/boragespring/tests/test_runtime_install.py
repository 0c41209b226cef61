"""The package runs with its run-time dependencies alone."""

import ast
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

REPOSITORY = Path(__file__).parents[3]
PACKAGE = REPOSITORY / "src" / "boragespring"
DECLARED_NAMES = {
    "absl-py": "absl",
    "python-json-logger": "pythonjsonlogger",
    "pyzmq": "zmq",
}
COMMANDS = (
    "agent",
    "bench",
    "check",
    "demo",
    "entry",
    "explain",
    "faults",
    "gateway",
    "leave",
    "lists",
    "replay",
    "soak",
    "standin",
    "status",
    "trace",
    "version",
)
SETUP_TIMEOUT_S = 400


def project():
    return tomllib.loads((REPOSITORY / "pyproject.toml").read_text())["project"]


def imported_packages(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name.partition(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield (node.module or "").partition(".")[0]


def test_every_imported_package_is_declared():
    extra = project()["optional-dependencies"]["bench"]
    declared = {
        DECLARED_NAMES.get(name, name) for name in (*project()["dependencies"], *extra)
    }
    known = declared | sys.stdlib_module_names | {"boragespring"}
    sources = (path for path in PACKAGE.rglob("*.py") if "tests" not in path.parts)
    missing = {
        f"{path.relative_to(PACKAGE)}: {name}"
        for path in sources
        for name in imported_packages(path)
        if name not in known
    }
    assert missing == set()


def test_lock_file_has_every_dependency():
    lines = (REPOSITORY / "requirements.lock").read_text().splitlines()
    locked = {line.partition("==")[0].lower() for line in lines}
    assert {name.lower() for name in project()["dependencies"]} <= locked


@pytest.fixture(scope="module")
def program(tmp_path_factory):
    """Install the lock file and the package into an empty environment."""
    directory = tmp_path_factory.mktemp("runtime")
    run(sys.executable, "-m", "venv", directory)
    install = (directory / "bin" / "python", "-m", "pip", "install", "--quiet")
    run(*install, "--requirement", REPOSITORY / "requirements.lock")
    run(*install, "--no-deps", "--editable", REPOSITORY)
    return directory / "bin" / "boragespring"


def run(*command):
    result = subprocess.run(
        [str(word) for word in command],
        cwd=REPOSITORY,
        capture_output=True,
        text=True,
        timeout=SETUP_TIMEOUT_S,
    )
    assert result.returncode == 0, f"{command}\n{result.stdout}\n{result.stderr}"
    return result.stdout


@pytest.mark.timeout(SETUP_TIMEOUT_S)
def test_commands_run_without_development_packages(program):
    listed = re.findall(r"^. (\w+) ", run(program, "--help"), flags=re.MULTILINE)
    assert set(listed) == set(COMMANDS)
    for command in COMMANDS:
        assert "Usage" in run(program, command, "--help")
    examples = sorted((REPOSITORY / "examples").glob("*/*.json"))
    run(program, "check", *examples, REPOSITORY / "deploy" / "system.toml")
    output = run(program, "demo")
    assert "confirmation" in output
