"""Command that checks settings, lists and instance lists."""

import json
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Annotated, Any

import typer
from attrs import Factory, asdict, frozen

from boragespring.lists import (
    ListsInvalidError,
    capacity_warnings,
    structure_document,
)
from boragespring.platform.settings_file import load_gateway_settings
from boragespring.settings import (
    AgentSettings,
    EntrySettings,
    FieldError,
    FieldErrorGroup,
    load_document,
    structure,
)
from boragespring.store.instances import Instance

__all__ = ["FileReport", "add_commands", "check_file"]

EXIT_ERRORS_FOUND = 1


@frozen
class InstancesDocument:
    """Instance list as a file."""

    instances: list[Instance]


@frozen
class FoundError:
    """One field in error."""

    field: str
    found: str
    allowed: str


@frozen
class FileReport:
    """What a check found in one file.

    Parameters
    ----------
    file, kind : str
        Path, and ``entry``, ``agent``, ``gateway``, ``lists`` or ``instances``.
    errors : list of FoundError
        Every field in error.
    warnings : list of str
        What is allowed and yet doubtful.
    """

    file: str
    kind: str
    errors: list[FoundError] = Factory(list)
    warnings: list[str] = Factory(list)


def add_commands(app: typer.Typer) -> None:
    """Add the command to the root."""
    app.command()(check)


def check(
    files: Annotated[
        list[Path],
        typer.Argument(help="Settings, lists or instance lists; the kind is found."),
    ],
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Check files and print every error with field, value and what is allowed.

    Exits with 0 when all files are right, with 1 when fields are in error, and
    with 2 when a file cannot be read.
    """
    reports = [check_file(path) for path in files]
    if as_json:
        typer.echo(json.dumps([asdict(report) for report in reports], indent=2))
    else:
        for report in reports:
            _print(report)
    if any(report.errors for report in reports):
        raise typer.Exit(EXIT_ERRORS_FOUND)


def check_file(path: Path) -> FileReport:
    """Check one file; raise `SettingsFileError` when it cannot be read."""
    if path.suffix == ".toml":
        return _check_gateway(path)
    data = load_document(path)
    kind = _kind_of(data)
    report = FileReport(str(path), kind)
    try:
        if kind == "lists":
            document = structure_document(data, str(path))
            report.warnings.extend(map(str, capacity_warnings(document)))
        else:
            structure(data, _CLASS_BY_KIND[kind], str(path))
    except (FieldErrorGroup, ListsInvalidError) as group:
        report.errors.extend(_found_errors(group.exceptions))
    return report


def _check_gateway(path: Path) -> FileReport:
    """Check the settings file that the platform writes for a gateway."""
    report = FileReport(str(path), "gateway")
    try:
        load_gateway_settings(path)
    except FieldErrorGroup as group:
        report.errors.extend(_found_errors(group.exceptions))
    return report


_CLASS_BY_KIND: Mapping[str, type[Any]] = {
    "entry": EntrySettings,
    "agent": AgentSettings,
    "instances": InstancesDocument,
}


def _kind_of(data: Any) -> str:
    """Tell the kind of a document by a field that only this kind has."""
    if not isinstance(data, Mapping):
        return "entry"
    if "format" in data or "plan_list" in data:
        return "lists"
    if "instances" in data:
        return "instances"
    return "agent" if "server" in data else "entry"


def _found_errors(errors: Iterable[Exception]) -> list[FoundError]:
    return [
        FoundError(error.path, error.found, error.allowed)
        for error in errors
        if isinstance(error, FieldError)
    ]


def _print(report: FileReport) -> None:
    if not report.errors:
        typer.echo(f"{report.file}: ok ({report.kind})")
    for error in report.errors:
        allowed = f"found {error.found}; allowed: {error.allowed}"
        typer.echo(f"{report.file}: {error.field}: {allowed}")
    for warning in report.warnings:
        typer.echo(f"{report.file}: warning: {warning}")
