"""Replies that are no HTTP (RFC 9110, 9112), made of sound ones."""

__all__ = ["UNSOUND_FIELD", "make_unsound"]

#: Name of a field that each of them has, so that it shows who was sent one.
UNSOUND_FIELD = "X-Unsound"
_SOUND_LINE = b"HTTP/1.1 200 Reason\r\n"
_STATUS_LINES = (
    b"HTTP/1.1 000 Reason\r\n",
    b"HTTP/1.1 2000 Reason\r\n",
    b"HTTP/1.1 600 Reason\r\n",
    b"HTTP/1.1  200 Reason\r\n",
    b"HTTP/1.1 200 Reason\n",
    b"HTTP/3.1 200 Reason\r\n",
)
#: Lines behind a sound first line. The body has another length than these state.
_FIELD_LINES = (
    b"X Y: 1\r\n",
    b"X\x01Y: 1\r\n",
    b"X-Y : 1\r\n",
    b"X-Y: \x01\r\n",
    b"X-Y: 1\r\n 2\r\n",
    b"X-Y\r\n",
    b"Content-Length: 1\r\n",
    b"Content-Length: +1\r\n",
    b"Transfer-Encoding: chunked\r\n",
)
_BEGINNINGS = (*_STATUS_LINES, *(_SOUND_LINE + line for line in _FIELD_LINES))


def make_unsound(reply: bytes, number: int) -> bytes:
    """Return a sound reply with a fault in its head, another one for each number."""
    beginning = _BEGINNINGS[number % len(_BEGINNINGS)]
    field_line = f"{UNSOUND_FIELD}: {number}\r\n".encode()
    return beginning + field_line + reply.removeprefix(_SOUND_LINE)
