"""Incremental parsing of a stream of server-sent events."""

from boragespring.engines.client import GenerationFailedError

__all__ = ["EventSplitter"]

MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    """Split a stream of server-sent events into the data of its events.

    Chunks may end anywhere in an event; the incomplete end of the stream is
    buffered until the next chunk.
    """

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Add a chunk of the stream and return the data of the completed events.

        Parameters
        ----------
        chunk : bytes
            Next bytes of the stream.

        Returns
        -------
        list of bytes
            Data of each completed event; events without data are left out.

        Raises
        ------
        GenerationFailedError
            If an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        data = self._buffer + chunk
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        *events, self._buffer = data.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise GenerationFailedError("engine sent an event larger than 1 MiB")
        payloads = (_event_data(event) for event in events)
        return [payload for payload in payloads if payload]


def _event_data(event: bytes) -> bytes:
    if event.startswith(b"data:") and b"\n" not in event:
        return event[5:].strip()
    lines = (line for line in event.split(b"\n") if line.startswith(b"data:"))
    return b"\n".join(line[5:].strip() for line in lines)
