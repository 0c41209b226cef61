"""Follow the bytes of a reply from its first line to its end."""

from attrs import define, field

from boragespring.http.reply_head import (
    HeadCheck,
    ReplyHeadFields,
    UnsoundReplyError,
)

__all__ = ["ReplyScan"]

#: Maximum number of informational heads (status 1xx) before the final one.
INFORMATIONAL_HEADS_MAX = 8
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
class ReplyScan:
    """Check of one reply while it arrives; informational heads are left out."""

    _head: bytearray = field(factory=bytearray)
    _check: HeadCheck = field(factory=HeadCheck)
    _lines: _Lines = field(factory=_Lines)
    _informational_heads: int = 0
    _has_final_head: bool = False

    def feed(self, data: bytes) -> bytes:
        """Check received bytes; return those of the reply that may be parsed.

        Nothing of a head is returned before it is complete.

        Raises
        ------
        UnsoundReplyError
            If they are no HTTP reply.
        """
        if self._has_final_head:
            return data
        begin = self._scan_heads(data)
        if not self._has_final_head:
            return b""
        head, self._head = bytes(self._head), bytearray()
        return head + data[begin:]

    def _scan_heads(self, data: bytes) -> int:
        """Check heads up to the final one; return where that ends."""
        begin = 0
        while begin < len(data) and not self._has_final_head:
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
            self._has_final_head = True
            return
        self._informational_heads += 1
        if self._informational_heads > INFORMATIONAL_HEADS_MAX:
            message = f"more than {INFORMATIONAL_HEADS_MAX} informational heads"
            raise UnsoundReplyError(message)
        self._head.clear()
        self._check = HeadCheck()
