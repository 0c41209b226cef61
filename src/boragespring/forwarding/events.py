"""Split a stream of server-sent events at their borders."""

from attrs import define, frozen

__all__ = ["EventSplitter", "StreamEvent"]

_BORDERS = (b"\n\n", b"\r\n\r\n")
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

    rest: bytes = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes; return the events that are whole now."""
        self.rest += data
        events: list[StreamEvent] = []
        while (end := _border_end(self.rest)) > 0:
            events.append(_event(self.rest[:end]))
            self.rest = self.rest[end:]
        return events


def _border_end(data: bytes) -> int:
    ends = [
        data.find(border) + len(border) for border in _BORDERS if data.find(border) >= 0
    ]
    return min(ends, default=0)


def _event(data: bytes) -> StreamEvent:
    found = next(
        (line for line in data.splitlines() if line.startswith(_ID_FIELD)), b""
    )
    event_id = found.removeprefix(_ID_FIELD).strip().decode("latin-1")
    return StreamEvent(data, event_id)
