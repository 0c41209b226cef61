"""Split a byte stream into server-sent events."""

import re

from attrs import define, field, frozen

from boragespring.forwarding.errors import ReplyBrokenError

__all__ = ["EventSplitter", "StreamEvent"]

#: Maximum size of one event.
EVENT_MAX_BYTES = 2**20
_DELIMITER = re.compile(rb"\n\n|\r\n\r\n")
_DELIMITER_MAX_BYTES = len(b"\r\n\r\n")
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

    Each byte is searched once, however small the pieces are in which it arrives.
    """

    _buffer: bytearray = field(factory=bytearray)

    @property
    def remainder(self) -> bytes:
        """Bytes received after the last complete event."""
        return bytes(self._buffer)

    @property
    def remainder_bytes(self) -> int:
        """Number of these bytes."""
        return len(self._buffer)

    @property
    def is_within_event(self) -> bool:
        """Whether an event has begun and its terminating blank line is missing."""
        return bool(self._buffer.strip(_LINE_BREAKS))

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that are now complete.

        Raises
        ------
        ReplyBrokenError
            If an event is too large to hold.
        """
        search_begin = max(0, len(self._buffer) - _DELIMITER_MAX_BYTES + 1)
        self._buffer += data
        events: list[StreamEvent] = []
        begin = 0
        for found in _DELIMITER.finditer(self._buffer, search_begin):
            events.append(_parse_event(bytes(self._buffer[begin : found.end()])))
            begin = found.end()
        del self._buffer[:begin]
        if len(self._buffer) > EVENT_MAX_BYTES:
            raise ReplyBrokenError(f"an event of more than {EVENT_MAX_BYTES} bytes")
        return events


def _parse_event(data: bytes) -> StreamEvent:
    id_line = next(
        (line for line in data.splitlines() if line.startswith(_ID_FIELD)), b""
    )
    event_id = id_line.removeprefix(_ID_FIELD).strip().decode("latin-1")
    return StreamEvent(data, event_id)
