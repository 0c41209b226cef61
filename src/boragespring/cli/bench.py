"""Command that runs the benchmarks."""

import importlib
import importlib.util
from enum import StrEnum
from types import ModuleType
from typing import Annotated

import typer

from boragespring.errors import BoragespringError

__all__ = ["Measurement", "MissingPackageError", "add_commands"]


class MissingPackageError(BoragespringError):
    """An optional dependency is not installed."""


class Measurement(StrEnum):
    """Benchmarks: modules of `boragespring.bench` that define a function ``run``."""

    RELAY = "relay"
    LISTS = "lists"
    POLICIES = "policies"
    ANSWERS = "answers"
    MEMBERSHIP = "membership"
    GENERATIONS = "generations"


def add_commands(app: typer.Typer) -> None:
    """Add the command to the root command."""
    app.command()(bench)


def bench(
    measurements: Annotated[
        list[Measurement] | None,
        typer.Argument(help="Benchmarks to run; all by default."),
    ] = None,
) -> None:
    """Run benchmarks on this machine and print the results."""
    for name in measurements or tuple(Measurement):
        spec = importlib.util.find_spec(f"boragespring.bench.{name}")
        if spec is None:
            typer.echo(f"== {name}: not part of this release")
            continue
        typer.echo(f"== {name}")
        _load(spec.name).run()


def _load(module_name: str) -> ModuleType:
    """Import a benchmark, which may need more than the programs that serve.

    Raises
    ------
    MissingPackageError
        The optional dependencies for benchmarks are not installed.
    """
    try:
        return importlib.import_module(module_name)
    except ModuleNotFoundError as error:
        raise MissingPackageError(
            f"benchmarks need the package {error.name}: install boragespring[bench]"
        ) from error
