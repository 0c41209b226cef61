"""Command that runs the benchmarks."""

import importlib
import importlib.util
from enum import StrEnum
from typing import Annotated

import typer

__all__ = ["Measurement", "add_commands"]


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
        importlib.import_module(f"boragespring.bench.{name}").run()
