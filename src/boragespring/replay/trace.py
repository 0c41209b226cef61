"""Request traces: JSON Lines files with one request per line, ordered by time."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path

from attrs import asdict, frozen
from cattrs import BaseValidationError, Converter, transform_error

from boragespring.replay.errors import TraceError

__all__ = ["TraceRequest", "read_trace", "write_trace"]

_converter = Converter(forbid_extra_keys=True)


@frozen
class TraceRequest:
    """One request of a trace.

    Parameters
    ----------
    time_s : float
        Time since the start of the trace in seconds.
    workspace : str
        Workspace that sends the request.
    traffic_class : str
        Traffic class of the request.
    service : str
        Name of the plain service that is called; empty for a generation.
    prompt_tokens : int
        Length of the prompt in tokens.
    prefix : str
        Name of the prefix that the prompt shares with other prompts.
    prefix_tokens : int
        Length of that prefix in tokens.
    output_tokens : int
        Length of the answer in tokens.
    max_tokens : int
        Limit that the caller sets on the length of the answer.
    is_streamed : bool
        Whether the answer is streamed.
    is_idempotent : bool
        Whether the request is safe to retry.
    deadline_s : float
        Time in seconds within which the answer must be complete; 0 for no
        deadline.
    """

    time_s: float
    workspace: str
    traffic_class: str = "standard"
    service: str = ""
    prompt_tokens: int = 0
    prefix: str = ""
    prefix_tokens: int = 0
    output_tokens: int = 0
    max_tokens: int = 0
    is_streamed: bool = True
    is_idempotent: bool = True
    deadline_s: float = 0.0

    def prompt(self, index: int) -> str:
        """Return a prompt of the recorded length that starts with the shared prefix.

        Parameters
        ----------
        index : int
            Index of the request; the rest of the prompt is unique to it.
        """
        shared = _filler_text(self.prefix or "none", self.prefix_tokens)
        return shared + _filler_text(
            f"r{index}", self.prompt_tokens - self.prefix_tokens
        )


def _filler_text(name: str, tokens: int) -> str:
    """Return text with the given number of tokens, at four characters each."""
    length = 4 * max(0, tokens)
    word = f"{name} "
    return (word * (length // len(word) + 1))[:length]


def read_trace(path: Path) -> Iterator[TraceRequest]:
    """Read the requests of a trace one by one.

    Raises
    ------
    TraceError
        When a line is not a valid request; the message contains the line number.
    """
    with path.open(encoding="utf-8") as lines:
        for line_number, line in enumerate(lines, start=1):
            if line.strip():
                yield _parse_line(line, f"{path}:{line_number}")


def _parse_line(line: str, location: str) -> TraceRequest:
    try:
        return _converter.structure(json.loads(line), TraceRequest)
    except json.JSONDecodeError as error:
        raise TraceError(f"{location}: {error}") from error
    except BaseValidationError as error:
        raise TraceError(f"{location}: {'; '.join(transform_error(error))}") from error


def write_trace(path: Path, requests: Iterable[TraceRequest]) -> None:
    """Write requests to a trace file."""
    with path.open("w", encoding="utf-8") as lines:
        for request in requests:
            lines.write(json.dumps(asdict(request)) + "\n")
