"""Command that reconstructs the timeline of one request from gateway logs."""

import itertools
import sys
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Annotated, Any

import typer
from attrs import frozen

from boragespring.external_values import check_number
from boragespring.json_document import parse_json

__all__ = ["LogLine", "add_commands", "build_timeline", "parse_lines"]

EXIT_NOT_FOUND = 1
#: Time before and after a request in which state changes belong to its timeline.
WINDOW_BEFORE_S = 5.0
WINDOW_AFTER_S = 1.0
#: Fields that every log line has; the timeline does not list them with the others.
STANDARD_FIELDS = frozenset(
    ("event", "level", "process_name", "about", "time", "mono_s", "request_id")
)
#: Changes of a process that tell whether it was running or stopping.
PROCESS_EVENTS = frozenset(("started", "stopping", "drained", "drain_ended", "stopped"))
#: Last lines of a request.
FINAL_EVENTS = frozenset(("answered", "refused"))
#: Fields of a request's log lines that name a server.
SERVER_FIELDS = ("server", "source", "target")


@frozen
class LogLine:
    """One line of a gateway's decision log.

    Parameters
    ----------
    process_name : str
        Name of the process that wrote the line.
    mono_s : float
        Monotonic time of the process, in seconds.
    time : str
        Wall-clock time.
    event : str
        Name of the event.
    about : str
        Category of the event: ``request``, ``belief`` (a state change) or
        ``lifecycle``.
    fields : mapping of str to object
        Other fields of the line.
    """

    process_name: str
    mono_s: float
    time: str
    event: str
    about: str
    fields: Mapping[str, Any]

    def describe(self) -> str:
        """Return the line as printed in the timeline."""
        details = " ".join(f"{name}={value}" for name, value in self.fields.items())
        text = f"{self.time} {self.process_name} {self.event} {details}".rstrip()
        # Callers can send bytes that have no encoding.
        return text.encode(errors="backslashreplace").decode()


def add_commands(app: typer.Typer) -> None:
    """Add the command to the root command."""
    app.command()(explain)


def explain(
    request_id: Annotated[str, typer.Argument(help="ID of the request.")],
    files: Annotated[
        list[Path] | None, typer.Argument(help="Log files; standard input by default.")
    ] = None,
) -> None:
    """Print the events of a request and related state changes of its gateways in order.

    Exits with 1 if no log line names the request.
    """
    timeline = build_timeline(request_id, parse_lines(_read_raw_lines(files or [])))
    if not timeline:
        typer.echo(f"no log line names request {request_id}", err=True)
        raise typer.Exit(EXIT_NOT_FOUND)
    for line in timeline:
        typer.echo(line.describe())


def _read_raw_lines(files: Iterable[Path]) -> Iterator[str]:
    paths = list(files)
    if not paths:
        yield from sys.stdin
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield from file


def parse_lines(raw_lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse lines of the decision log, skipping all other lines."""
    for raw_line in raw_lines:
        # A log collector may have added fields of its own before the JSON object.
        json_start = raw_line.find("{")
        if json_start < 0:
            continue
        try:
            fields = parse_json(raw_line[json_start:])
            mono_s = check_number(fields["mono_s"])
        except (ValueError, LookupError, TypeError):
            continue
        if "event" in fields:
            yield LogLine(
                process_name=str(fields.get("process_name", "")),
                mono_s=mono_s,
                time=str(fields.get("time", "")),
                event=str(fields["event"]),
                about=str(fields.get("about", "")),
                fields={
                    name: value
                    for name, value in fields.items()
                    if name not in STANDARD_FIELDS or name == "request_id"
                },
            )


def build_timeline(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the log lines of a request and those that explain them, by time.

    Included are state changes of the request's servers, and starts, stops and lost
    dependencies of the processes that handled the request. Both must lie within a
    window around the request's own lines and come from the same process. A stop that
    had begun before is included too and, if the request has no final line, all that
    the process did until its next start.

    Parameters
    ----------
    request_id : str
        ID of the request.
    lines : iterable of LogLine
        Log lines of all processes, in any order.
    """
    all_lines = list(lines)
    request_lines = [
        line for line in all_lines if line.fields.get("request_id") == request_id
    ]
    servers = {
        line.fields[name]
        for line in request_lines
        for name in SERVER_FIELDS
        if name in line.fields
    }
    times_by_process = {
        name: [line.mono_s for line in request_lines if line.process_name == name]
        for name in {line.process_name for line in request_lines}
    }

    def is_relevant(line: LogLine) -> bool:
        times_s = times_by_process.get(line.process_name)
        if line.about == "request" or not times_s:
            return line.fields.get("request_id") == request_id
        is_in_window = (
            min(times_s) - WINDOW_BEFORE_S
            <= line.mono_s
            <= max(times_s) + WINDOW_AFTER_S
        )
        names_server = line.fields.get("server") in servers
        return is_in_window and (names_server or line.about == "lifecycle")

    relevant = list(filter(is_relevant, all_lines))
    changes = (
        change
        for name in times_by_process
        for change in _process_changes(
            [line for line in all_lines if line.process_name == name],
            [line for line in request_lines if line.process_name == name],
        )
        if change not in relevant
    )
    return sorted(
        itertools.chain(relevant, changes), key=lambda line: (line.time, line.mono_s)
    )


def _process_changes(
    process_lines: list[LogLine], request_lines: list[LogLine]
) -> Iterator[LogLine]:
    """Yield the changes of one process that tell how a request could end there.

    These are the stop that had begun when the request arrived and, if the request has
    no final line, all further changes until the next start.
    """
    changes = sorted(
        (line for line in process_lines if line.event in PROCESS_EVENTS),
        key=lambda line: line.mono_s,
    )
    first_s = min(line.mono_s for line in request_lines)
    last_s = max(line.mono_s for line in request_lines)
    before = [line for line in changes if line.mono_s < first_s]
    started = [index for index, line in enumerate(before) if line.event == "started"]
    yield from before[started[-1] + 1 if started else 0 :]
    if any(line.event in FINAL_EVENTS for line in request_lines):
        return
    for line in changes:
        if line.mono_s > last_s:
            yield line
        if line.mono_s > last_s and line.event == "started":
            return
