"""Command that tells the story of one request from the logs of processes."""

import json
import sys
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Annotated, Any

import typer
from attrs import frozen

__all__ = ["LogLine", "add_commands", "read_lines", "story_of"]

EXIT_NOT_FOUND = 1
#: Time around a request in which changes of belief are told with it.
BEFORE_S = 5.0
AFTER_S = 1.0
#: Fields that each line has and that the story shows by itself.
COMMON_FIELDS = frozenset(
    ("event", "level", "process_name", "about", "time", "mono_s", "request_id")
)
#: Fields of a request's lines that name a server.
SERVER_FIELDS = ("server", "source", "target")


@frozen
class LogLine:
    """One line of a gateway's log."""

    process_name: str
    mono_s: float
    time: str
    event: str
    about: str
    fields: Mapping[str, Any]

    def describe(self) -> str:
        """Return the line as the story shows it."""
        inputs = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time} {self.process_name} {self.event} {inputs}".rstrip()


def add_commands(app: typer.Typer) -> None:
    """Add the command to the root."""
    app.command()(explain)


def explain(
    request_id: Annotated[str, typer.Argument(help="Identity of the request.")],
    files: Annotated[
        list[Path] | None, typer.Argument(help="Logs; standard input without any.")
    ] = None,
) -> None:
    """Print what happened to a request, and what its gateway believed, in order.

    Exits with 1 when no line names the request.
    """
    story = story_of(request_id, read_lines(_texts(files or [])))
    if not story:
        typer.echo(f"no line names request {request_id}", err=True)
        raise typer.Exit(EXIT_NOT_FOUND)
    for line in story:
        typer.echo(line.describe())


def _texts(files: Iterable[Path]) -> Iterator[str]:
    chosen = list(files)
    if not chosen:
        yield from sys.stdin
    for path in chosen:
        with path.open(encoding="utf-8", errors="replace") as opened:
            yield from opened


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines among texts; other texts are passed over."""
    for text in texts:
        # A collector may have put its own fields before the line.
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            fields = json.loads(text[begin:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields and "mono_s" in fields:
            yield LogLine(
                process_name=str(fields.get("process_name", "")),
                mono_s=float(fields["mono_s"]),
                time=str(fields.get("time", "")),
                event=str(fields["event"]),
                about=str(fields.get("about", "")),
                fields={
                    name: value
                    for name, value in fields.items()
                    if name not in COMMON_FIELDS or name == "request_id"
                },
            )


def story_of(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines of a request with what its process believed meanwhile.

    Of the beliefs those are taken that name one of the request's servers, and
    the process's own starts, stops and lost dependencies.
    """
    known = list(lines)
    own = [line for line in known if line.fields.get("request_id") == request_id]
    servers = {
        line.fields[name]
        for line in own
        for name in SERVER_FIELDS
        if name in line.fields
    }
    spans = {
        name: [line.mono_s for line in own if line.process_name == name]
        for name in {line.process_name for line in own}
    }

    def belongs(line: LogLine) -> bool:
        times_s = spans.get(line.process_name)
        if line.about == "request" or not times_s:
            return line.fields.get("request_id") == request_id
        is_near = min(times_s) - BEFORE_S <= line.mono_s <= max(times_s) + AFTER_S
        names_server = line.fields.get("server") in servers
        return is_near and (names_server or line.about == "lifecycle")

    return sorted(filter(belongs, known), key=lambda line: (line.time, line.mono_s))
