"""Commands that measure the product's parts."""

import importlib
import importlib.util
from enum import StrEnum
from typing import Annotated

import typer

__all__ = ["Measurement", "add_commands"]


class Measurement(StrEnum):
    """Modules of `boragespring.bench` with a function ``run``."""

    RELAY = "relay"
    LISTS = "lists"
    POLICIES = "policies"
    ANSWERS = "answers"
    MEMBERSHIP = "membership"
    GENERATIONS = "generations"


def add_commands(app: typer.Typer) -> None:
    """Add the command to the root."""
    app.command()(bench)


def bench(
    measurements: Annotated[
        list[Measurement] | None,
        typer.Argument(help="What to measure; everything when none is named."),
    ] = None,
) -> None:
    """Measure parts of the product on this machine and print the figures."""
    for name in measurements or tuple(Measurement):
        spec = importlib.util.find_spec(f"boragespring.bench.{name}")
        if spec is None:
            typer.echo(f"== {name}: not part of this release")
            continue
        typer.echo(f"== {name}")
        importlib.import_module(f"boragespring.bench.{name}").run()
