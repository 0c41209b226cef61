"""Split a stream of server-sent events at their borders."""

from attrs import define, frozen

__all__ = ["EventSplitter", "StreamEvent"]

_DELIMITERS = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"


@frozen
class StreamEvent:
    """One whole event.

    Parameters
    ----------
    data : bytes
        All bytes of the event with the empty line that ends it.
    event_id : str
        Its id; empty for none.
    """

    data: bytes
    event_id: str


@define
class EventSplitter:
    """Hold back the bytes of an event until it is whole."""

    remainder: bytes = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes; return the events that are whole now."""
        self.remainder += data
        events: list[StreamEvent] = []
        while (end := _first_event_end(self.remainder)) > 0:
            events.append(_parse_event(self.remainder[:end]))
            self.remainder = self.remainder[end:]
        return events


def _first_event_end(data: bytes) -> int:
    ends = [
        data.find(delimiter) + len(delimiter)
        for delimiter in _DELIMITERS
        if data.find(delimiter) >= 0
    ]
    return min(ends, default=0)


def _parse_event(data: bytes) -> StreamEvent:
    found = next(
        (line for line in data.splitlines() if line.startswith(_ID_FIELD)), b""
    )
    event_id = found.removeprefix(_ID_FIELD).strip().decode("latin-1")
    return StreamEvent(data, event_id)
