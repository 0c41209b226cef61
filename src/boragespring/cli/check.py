"""Command that validates settings, lists and instance lists."""

import json
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Annotated, Any

import typer
from attrs import Factory, asdict, frozen

from boragespring.lists import (
    ListsInvalidError,
    capacity_warnings,
    structure_document,
)
from boragespring.platform.deploy_file import check_deploy_file, is_deploy_file
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

EXIT_INVALID = 1


@frozen
class InstancesDocument:
    """Contents of an instance list file."""

    instances: list[Instance]


@frozen
class InvalidField:
    """One invalid field.

    Parameters
    ----------
    field : str
        Path of the field.
    found : str
        Description of the value that was found.
    allowed : str
        Description of the allowed values.
    """

    field: str
    found: str
    allowed: str


@frozen
class FileReport:
    """Result of checking one file.

    Parameters
    ----------
    file : str
        Path of the file.
    kind : str
        ``entry``, ``agent``, ``gateway``, ``deploy``, ``lists`` or ``instances``.
    errors : list of InvalidField
        All invalid fields.
    warnings : list of str
        Descriptions of values that are valid but likely to cause problems.
    """

    file: str
    kind: str
    errors: list[InvalidField] = Factory(list)
    warnings: list[str] = Factory(list)


def add_commands(app: typer.Typer) -> None:
    """Add the command to the root command."""
    app.command()(check)


def check(
    files: Annotated[
        list[Path],
        typer.Argument(help="Settings, lists or instance lists; the kind is detected."),
    ],
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Check files and print each invalid field with its value and allowed values.

    Exits with 0 if all files are valid, with 1 if any field is invalid, and with 2
    if a file cannot be read.
    """
    reports = [check_file(path) for path in files]
    if as_json:
        typer.echo(json.dumps([asdict(report) for report in reports], indent=2))
    else:
        for report in reports:
            _print_report(report)
    if any(report.errors for report in reports):
        raise typer.Exit(EXIT_INVALID)


def check_file(path: Path) -> FileReport:
    """Check one file.

    Raises
    ------
    SettingsFileError
        If the file cannot be read or parsed.
    """
    if path.suffix == ".toml":
        if is_deploy_file(path):
            return _check_toml(path, "deploy", check_deploy_file)
        return _check_toml(path, "gateway", load_gateway_settings)
    data = load_document(path)
    kind = _detect_kind(data)
    report = FileReport(str(path), kind)
    try:
        if kind == "lists":
            document = structure_document(data, str(path))
            report.warnings.extend(map(str, capacity_warnings(document)))
        else:
            structure(data, _CLASS_BY_KIND[kind], str(path))
    except (FieldErrorGroup, ListsInvalidError) as error_group:
        report.errors.extend(_invalid_fields(error_group.exceptions))
    return report


def _check_toml(path: Path, kind: str, load: Callable[[Path], object]) -> FileReport:
    """Check a file in the platform's format by loading it."""
    report = FileReport(str(path), kind)
    try:
        load(path)
    except FieldErrorGroup as error_group:
        report.errors.extend(_invalid_fields(error_group.exceptions))
    return report


_CLASS_BY_KIND: Mapping[str, type[Any]] = {
    "entry": EntrySettings,
    "agent": AgentSettings,
    "instances": InstancesDocument,
}


def _detect_kind(data: Any) -> str:
    """Detect the kind of a document from a field that only this kind has."""
    if not isinstance(data, Mapping):
        return "entry"
    if "format" in data or "plan_list" in data:
        return "lists"
    if "instances" in data:
        return "instances"
    return "agent" if "server" in data else "entry"


def _invalid_fields(errors: Iterable[Exception]) -> list[InvalidField]:
    return [
        InvalidField(error.path, error.found, error.allowed)
        for error in errors
        if isinstance(error, FieldError)
    ]


def _print_report(report: FileReport) -> None:
    if not report.errors:
        typer.echo(f"{report.file}: ok ({report.kind})")
    for error in report.errors:
        details = f"found {error.found}; allowed: {error.allowed}"
        typer.echo(f"{report.file}: {error.field}: {details}")
    for warning in report.warnings:
        typer.echo(f"{report.file}: warning: {warning}")
