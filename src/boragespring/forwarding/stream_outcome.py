"""Result of a stream that was started."""

from enum import Enum, auto

from attrs import frozen

from boragespring.http.reply_end import ReplyFraming

__all__ = ["StreamEnd", "StreamOutcome"]


class StreamEnd(Enum):
    """Way in which the reply to the caller ended."""

    COMPLETE = auto()
    CUT = auto()


@frozen
class StreamOutcome:
    """Result of a stream that was started, as written to the log.

    Parameters
    ----------
    end : StreamEnd
        Way in which the reply to the caller ended.
    reason : str
        Reason for an interruption, or the status of an error reply; empty if the
        stream is complete.
    server_id : str
        Last server on which the run executed.
    events, moves : int
        Number of events received and of moves completed.
    longest_pause_s : float
        Longest time in seconds between two consecutive events.
    framing : ReplyFraming
        How the last server's reply marks its end.
    unterminated_bytes : int
        Number of bytes after the last complete event of that reply.
    """

    end: StreamEnd
    reason: str
    server_id: str
    events: int = 0
    moves: int = 0
    longest_pause_s: float = 0.0
    framing: ReplyFraming = ReplyFraming.LENGTH
    unterminated_bytes: int = 0
