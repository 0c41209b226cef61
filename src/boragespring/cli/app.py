"""Root command of the command-line interface."""

import sys

import typer

from boragespring import __version__
from boragespring.cli import (
    bench,
    check,
    check_catalog,
    daemons,
    demo,
    explain,
    faults,
    gateway_command,
    leave,
    lists,
    replay,
    soak,
    standin,
    status,
)
from boragespring.errors import BoragespringError

__all__ = ["app", "main"]

app = typer.Typer(
    name="boragespring",
    help="Serve generations of unknown length on heavily loaded engines. The exit "
    "code is 0 on success, 1 if a command finds a problem, and 2 if the command "
    "itself fails.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
bench.add_commands(app)
check.add_commands(app)
check_catalog.add_commands(app)
daemons.add_commands(app)
demo.add_commands(app)
explain.add_commands(app)
faults.add_commands(app)
gateway_command.add_commands(app)
leave.add_commands(app)
replay.add_commands(app)
soak.add_commands(app)
status.add_commands(app)
app.add_typer(lists.app, name="lists")
app.add_typer(standin.app, name="standin")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def main() -> None:
    """Run the command-line interface; exit with 2 on a `BoragespringError`."""
    try:
        app()
    except BoragespringError as error:
        _print_errors(error)
        sys.exit(2)


def _print_errors(error: BoragespringError) -> None:
    if isinstance(error, BaseExceptionGroup):
        for child in error.exceptions:
            typer.echo(f"error: {child}", err=True)
        return
    typer.echo(f"error: {error}", err=True)
