"""What arrives on a connection behind the request that is handled."""

__all__ = ["ReadAhead"]

#: Amount that is read behind a request that is handled. It exceeds what a single read
#: can leave behind, so that reading goes on and shows when the caller leaves.
READ_AHEAD_MAX_BYTES = 64 * 2**10


class ReadAhead:
    """Bytes that wait until the request before them has been handled.

    Some wait in the parser, which does not state how many: what was fed to it and does
    not belong to the request. Framing of a body cannot be told from them, but all that
    was fed before the end of the request arrived belongs to it.
    """

    def __init__(self) -> None:
        self._fed_bytes = 0
        self._last_feed_bytes = 0
        self._carried_bytes = 0
        self._in_parser_bytes = 0
        self._held_back = bytearray()

    @property
    def size_bytes(self) -> int:
        """Number of bytes that wait."""
        return self._in_parser_bytes + len(self._held_back)

    @property
    def is_full(self) -> bool:
        """Whether nothing more may be read."""
        return self.size_bytes >= READ_AHEAD_MAX_BYTES

    def feed(self, size_bytes: int) -> None:
        """Record bytes that are fed to the parser."""
        self._fed_bytes += size_bytes
        self._last_feed_bytes = size_bytes

    def end_request(self, request_bytes: int) -> None:
        """Record the end of a request, of which head and body have the given size."""
        rest_bytes = self._fed_bytes - request_bytes
        most_bytes = self._last_feed_bytes + self._carried_bytes
        self._in_parser_bytes = max(0, min(rest_bytes, most_bytes))

    def hold_back(self, data: bytes) -> None:
        """Keep bytes from the parser until the request has been handled."""
        self._held_back += data

    def take(self) -> bytes:
        """Return the bytes that were held back; the parser goes on with the others."""
        self._carried_bytes = self._fed_bytes = self._in_parser_bytes
        self._in_parser_bytes = 0
        held_back, self._held_back = bytes(self._held_back), bytearray()
        return held_back

    def end_feed_without_request(self) -> int:
        """Return how much the parser may keep as the beginning of a head."""
        kept_bytes, self._fed_bytes, self._carried_bytes = self._fed_bytes, 0, 0
        return kept_bytes
