"""Split a byte stream into server-sent events."""

from attrs import define, frozen

from boragespring.forwarding.errors import ReplyBrokenError

__all__ = ["EventSplitter", "StreamEvent"]

#: Maximum size of one event.
EVENT_MAX_BYTES = 2**20
_DELIMITERS = (b"\n\n", b"\r\n\r\n")
_LINE_BREAKS = b"\r\n"
_ID_FIELD = b"id:"


@frozen
class StreamEvent:
    """Complete server-sent event.

    Parameters
    ----------
    data : bytes
        All bytes of the event, including the blank line that terminates it.
    event_id : str
        Value of the ``id`` field; empty if there is none.
    """

    data: bytes
    event_id: str


@define
class EventSplitter:
    """Buffer bytes until they form complete events.

    Parameters
    ----------
    remainder : bytes
        Bytes received after the last complete event.
    """

    remainder: bytes = b""

    @property
    def is_within_event(self) -> bool:
        """Whether an event has begun and its terminating blank line is missing."""
        return bool(self.remainder.strip(_LINE_BREAKS))

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that are now complete.

        Raises
        ------
        ReplyBrokenError
            If an event is too large to hold.
        """
        self.remainder += data
        events: list[StreamEvent] = []
        while (end := _first_event_end(self.remainder)) > 0:
            events.append(_parse_event(self.remainder[:end]))
            self.remainder = self.remainder[end:]
        if len(self.remainder) > EVENT_MAX_BYTES:
            raise ReplyBrokenError(f"an event of more than {EVENT_MAX_BYTES} bytes")
        return events


def _first_event_end(data: bytes) -> int:
    ends = [
        data.find(delimiter) + len(delimiter)
        for delimiter in _DELIMITERS
        if data.find(delimiter) >= 0
    ]
    return min(ends, default=0)


def _parse_event(data: bytes) -> StreamEvent:
    id_line = next(
        (line for line in data.splitlines() if line.startswith(_ID_FIELD)), b""
    )
    event_id = id_line.removeprefix(_ID_FIELD).strip().decode("latin-1")
    return StreamEvent(data, event_id)
