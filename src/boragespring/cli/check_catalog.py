"""Command that checks a catalog before it is sent."""

import json
import sys
from pathlib import Path
from typing import Annotated

import attrs
import typer

from boragespring.catalog import Catalog
from boragespring.catalog.changes import Change, compare_catalogs
from boragespring.catalog.checks import Finding, Severity, check_catalog
from boragespring.platform.catalog_codec import decode_catalog
from boragespring.settings import SettingsFileError

__all__ = ["add_commands"]

EXIT_INVALID = 1
STANDARD_INPUT = Path("-")


def add_commands(app: typer.Typer) -> None:
    """Add the command to the root command."""
    app.command("check-catalog")(check)


def check(
    file: Annotated[
        Path, typer.Argument(help="Configuration to send; - for standard input.")
    ],
    in_force: Annotated[
        Path | None,
        typer.Option(help="Configuration in force, to show what differs."),
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Check a configuration of routes, services and workspaces before it is sent.

    Prints errors, entries that can never match, limits that contradict each other, and
    what differs from the version in force. Exits with 0 if there is no error, with 1 if
    there is one, and with 2 if a file cannot be read.
    """
    catalog = _load(file)
    findings = check_catalog(catalog)
    changes = compare_catalogs(_load(in_force), catalog) if in_force else []
    if as_json:
        document = {
            "findings": [attrs.asdict(finding) for finding in findings],
            "changes": [attrs.asdict(change) for change in changes],
        }
        typer.echo(json.dumps(document, indent=2))
    else:
        _print(file, findings, changes)
    if any(finding.severity is Severity.ERROR for finding in findings):
        raise typer.Exit(EXIT_INVALID)


def _load(path: Path) -> Catalog:
    try:
        data = sys.stdin.buffer.read() if path == STANDARD_INPUT else path.read_bytes()
    except OSError as error:
        message = f"{path}: cannot be read: {error}; expected a readable file"
        raise SettingsFileError(message) from error
    return decode_catalog(data)


def _print(file: Path, findings: list[Finding], changes: list[Change]) -> None:
    if not findings:
        typer.echo(f"{file}: ok")
    for finding in findings:
        typer.echo(
            f"{file}: {finding.severity}: {finding.entry}: {finding.problem}; "
            f"remedy: {finding.remedy}"
        )
    for change in changes:
        effect = f"; {change.effect}" if change.effect else ""
        typer.echo(f"{file}: change: {change.entry}: {change.what}{effect}")
