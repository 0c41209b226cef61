"""Follow the bytes of a reply from its first line to its end."""

import re
from functools import singledispatch

from attrs import define, field

from boragespring.external_values import excerpt
from boragespring.http.reply_end import ReplyFraming
from boragespring.http.reply_head import (
    HeadCheck,
    ReplyHeadFields,
    UnsoundReplyError,
    check_field_line,
)

__all__ = ["ReplyScan"]

#: Maximum number of informational heads (status 1xx) before the final one.
INFORMATIONAL_HEADS_MAX = 8
#: Maximum length of a line in the framing of chunks, and of all trailers.
CHUNK_LINE_MAX_BYTES = 4096
TRAILERS_MAX_BYTES = 16 * 2**10
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?")
#: Line of a chunk without extensions that is not the last one.
_PLAIN_CHUNK_LINE = re.compile(rb"(?!0+\r)([0-9A-Fa-f]{1,16})\r\n")
_LINE_END = b"\r\n"


@define
class _Lines:
    """Lines of which the end may arrive later."""

    beginning: bytes = b""

    def take(self, data: bytes, begin: int) -> tuple[bytes | None, int]:
        """Return the next line without its end, or None, and where it ends."""
        end = data.find(b"\n", begin)
        if end < 0:
            self.beginning += data[begin:]
            return None, len(data)
        line = self.beginning + data[begin : end + 1]
        self.beginning = b""
        if not line.endswith(_LINE_END):
            raise UnsoundReplyError("a line that does not end with CR LF")
        return line.removesuffix(_LINE_END), end + 1


@define
class _LengthBody:
    """Body of a known length."""

    left_bytes: int

    @property
    def is_complete(self) -> bool:
        return not self.left_bytes


@define
class _OpenBody:
    """Body that ends with its connection."""

    is_complete: bool = False


@define
class _ChunkedBody:
    """Body in chunks, and the trailers behind it."""

    lines: _Lines = field(factory=_Lines)
    left_bytes: int = 0
    #: Whether the end of a chunk is due before the next one begins.
    is_after_chunk: bool = False
    is_in_trailers: bool = False
    trailer_bytes: int = 0
    is_complete: bool = False
    #: Number of chunks that have begun.
    chunks: int = 0

    @property
    def is_between_chunks(self) -> bool:
        """Whether the next byte begins a chunk."""
        return not (
            self.left_bytes
            or self.is_after_chunk
            or self.is_in_trailers
            or self.lines.beginning
        )


_Body = _LengthBody | _OpenBody | _ChunkedBody


@singledispatch
def _scan_body(body: _Body, data: bytes, begin: int) -> int:
    """Return where the part of some data that belongs to a body ends."""
    raise NotImplementedError(type(body).__name__)


@_scan_body.register
def _scan_length_body(body: _LengthBody, data: bytes, begin: int) -> int:
    size_bytes = min(body.left_bytes, len(data) - begin)
    body.left_bytes -= size_bytes
    return begin + size_bytes


@_scan_body.register
def _scan_open_body(body: _OpenBody, data: bytes, begin: int) -> int:
    return len(data)


@_scan_body.register
def _scan_chunked_body(body: _ChunkedBody, data: bytes, begin: int) -> int:
    while begin < len(data) and not body.is_complete:
        if body.left_bytes:
            size_bytes = min(body.left_bytes, len(data) - begin)
            body.left_bytes -= size_bytes
            begin += size_bytes
            continue
        if body.is_between_chunks:
            begin = _skip_whole_chunks(body, data, begin)
            if begin == len(data):
                break
        line, begin = body.lines.take(data, begin)
        if line is not None:
            _add_chunk_line(body, line)
        elif len(body.lines.beginning) > CHUNK_LINE_MAX_BYTES:
            raise UnsoundReplyError("too long a line between chunks")
    return begin


def _skip_whole_chunks(body: _ChunkedBody, data: bytes, begin: int) -> int:
    """Return where the chunks end that are plain and arrived as a whole.

    A server can send many small chunks, so that each must take little time.
    """
    match_line = _PLAIN_CHUNK_LINE.match
    chunks = 0
    while (found := match_line(data, begin)) is not None:
        end = found.end() + int(found[1], 16)
        if data[end : end + len(_LINE_END)] != _LINE_END:
            break
        begin = end + len(_LINE_END)
        chunks += 1
    body.chunks += chunks
    return begin


def _add_chunk_line(body: _ChunkedBody, line: bytes) -> None:
    if body.is_after_chunk:
        body.is_after_chunk = False
        if line:
            raise UnsoundReplyError("a chunk that does not end where it should")
        return
    if body.is_in_trailers:
        _add_trailer(body, line)
        return
    found = _CHUNK_LINE.fullmatch(line)
    if found is None:
        raise UnsoundReplyError(f"no size of a chunk: {excerpt(line)}")
    body.chunks += 1
    body.left_bytes = int(found[1], 16)
    body.is_after_chunk = bool(body.left_bytes)
    body.is_in_trailers = not body.left_bytes


def _add_trailer(body: _ChunkedBody, line: bytes) -> None:
    body.trailer_bytes += len(line)
    if body.trailer_bytes > TRAILERS_MAX_BYTES:
        raise UnsoundReplyError("too many trailers")
    if line:
        check_field_line(line)
    body.is_complete = not line


@define
class ReplyScan:
    """Check of one reply while it arrives.

    Informational heads are left out, and so is what comes after the reply.

    Parameters
    ----------
    has_body : bool
        Whether the method of the request allows a body.

    Attributes
    ----------
    has_excess : bool
        Whether bytes have arrived behind the end of the reply.
    """

    has_body: bool
    has_excess: bool = False
    _head: bytearray = field(factory=bytearray)
    _check: HeadCheck = field(factory=HeadCheck)
    _lines: _Lines = field(factory=_Lines)
    _informational_heads: int = 0
    _body: _Body | None = None

    @property
    def is_complete(self) -> bool:
        """Whether all of the reply has arrived."""
        return self._body is not None and self._body.is_complete

    @property
    def chunks(self) -> int:
        """Number of chunks of the body that have begun."""
        return self._body.chunks if isinstance(self._body, _ChunkedBody) else 0

    def feed(self, data: bytes) -> bytes:
        """Check received bytes; return those of the reply that may be parsed.

        Nothing of a head is returned before it is complete.

        Raises
        ------
        UnsoundReplyError
            If they are no HTTP reply.
        """
        begin = 0
        head = b""
        if self._body is None:
            begin = self._scan_heads(data)
            if self._body is None:
                return b""
            head, self._head = bytes(self._head), bytearray()
        end = _scan_body(self._body, data, begin)
        self.has_excess = self.has_excess or end < len(data)
        return head + data[begin:end]

    def _scan_heads(self, data: bytes) -> int:
        """Check heads up to the final one; return where that ends."""
        begin = 0
        while begin < len(data) and self._body is None:
            line, begin = self._lines.take(data, begin)
            if line is None:
                self._check.check_beginning(self._lines.beginning)
                break
            self._head += line + _LINE_END
            fields = self._check.add_line(line)
            if fields is not None:
                self._end_head(fields)
        return begin

    def _end_head(self, fields: ReplyHeadFields) -> None:
        if not fields.is_informational:
            self._body = _create_body(fields, self.has_body)
            return
        self._informational_heads += 1
        if self._informational_heads > INFORMATIONAL_HEADS_MAX:
            message = f"more than {INFORMATIONAL_HEADS_MAX} informational heads"
            raise UnsoundReplyError(message)
        self._head.clear()
        self._check = HeadCheck()


def _create_body(fields: ReplyHeadFields, has_body: bool) -> _Body:
    if not has_body:
        return _LengthBody(0)
    match fields.framing:
        case ReplyFraming.CHUNKS:
            return _ChunkedBody()
        case ReplyFraming.CONNECTION:
            return _OpenBody()
        case _:
            return _LengthBody(fields.length_bytes)
