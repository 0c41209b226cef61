"""Check the head of an HTTP reply against RFC 9110 and RFC 9112.

The library's parser accepts heads that these forbid, and mends some of them on the way.
A head about which anything is in doubt is refused here instead, as what follows it may
not be the body that its server meant.
"""

import re

import aiohttp
from attrs import define, field, frozen

from boragespring.external_values import excerpt
from boragespring.http.reply_end import ReplyFraming

__all__ = [
    "HEAD_FIELDS_MAX",
    "HEAD_MAX_BYTES",
    "HeadCheck",
    "ReplyHeadFields",
    "UnsoundReplyError",
    "check_field_line",
]

#: Maximum size of a head, and number of its fields.
HEAD_MAX_BYTES = 64 * 2**10
HEAD_FIELDS_MAX = 128
#: Maximum number of digits of a length; 10**15 bytes.
LENGTH_MAX_DIGITS = 16
_VERSION = b"HTTP/1."
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2}) " + _TEXT)
_FIELD_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):(" + _TEXT + rb")")
_LENGTH = re.compile(rb"[0-9]{1,%d}" % LENGTH_MAX_DIGITS)
_CONTENT_LENGTH = b"content-length"
_TRANSFER_ENCODING = b"transfer-encoding"
#: Fields of which a second line contradicts the first one.
_SINGLE_FIELDS = frozenset((_CONTENT_LENGTH, _TRANSFER_ENCODING, b"content-type"))
_SWITCHING_PROTOCOLS = 101
_NO_CONTENT = 204
_NOT_MODIFIED = 304


class UnsoundReplyError(aiohttp.ClientError):
    """A server sent bytes that are no HTTP reply."""


@frozen
class ReplyHeadFields:
    """What a head says about the body that follows.

    Parameters
    ----------
    status : int
        HTTP status code.
    framing : ReplyFraming
        How the end of the body is marked.
    length_bytes : int
        Length of the body if it has a length.
    """

    status: int
    framing: ReplyFraming
    length_bytes: int = 0

    @property
    def is_informational(self) -> bool:
        """Whether the final head is still to come."""
        return self.status < 200


@define
class HeadCheck:
    """Check of one head, line by line."""

    _minor_version: int = 0
    _status: int = 0
    _fields: int = 0
    _size_bytes: int = 0
    _single_fields: dict[bytes, bytes] = field(factory=dict)

    def check_beginning(self, line: bytes) -> None:
        """Check a line of which the end has not arrived.

        Raises
        ------
        UnsoundReplyError
            If it cannot become a line of a head.
        """
        self._check_size(line)
        is_version = line[: len(_VERSION)] == _VERSION[: len(line)]
        if not self._status and not is_version:
            raise UnsoundReplyError(f"no status line: {excerpt(line)}")

    def add_line(self, line: bytes) -> ReplyHeadFields | None:
        """Check a line; return what the head says if it is the last one.

        Parameters
        ----------
        line : bytes
            Line without its end.

        Raises
        ------
        UnsoundReplyError
            If the line, or the head as a whole, is in doubt.
        """
        self._check_size(line)
        self._size_bytes += len(line)
        if not self._status:
            self._check_status_line(line)
        elif line:
            self._check_field(line)
        else:
            return self._summarize()
        return None

    def _check_size(self, line: bytes) -> None:
        if self._size_bytes + len(line) > HEAD_MAX_BYTES:
            raise UnsoundReplyError(f"a head of more than {HEAD_MAX_BYTES} bytes")

    def _check_status_line(self, line: bytes) -> None:
        found = _STATUS_LINE.fullmatch(line)
        if found is None:
            raise UnsoundReplyError(f"no status line: {excerpt(line)}")
        self._minor_version, self._status = int(found[1]), int(found[2])
        if self._status == _SWITCHING_PROTOCOLS:
            raise UnsoundReplyError(
                "status 101, though no other protocol was asked for"
            )

    def _check_field(self, line: bytes) -> None:
        self._fields += 1
        if self._fields > HEAD_FIELDS_MAX:
            raise UnsoundReplyError(f"a head of more than {HEAD_FIELDS_MAX} fields")
        name, value = check_field_line(line)
        if name not in _SINGLE_FIELDS:
            return
        if name in self._single_fields:
            raise UnsoundReplyError(f"more than one field {name.decode()}")
        self._single_fields[name] = value

    def _summarize(self) -> ReplyHeadFields:
        coding = self._single_fields.get(_TRANSFER_ENCODING)
        length = self._single_fields.get(_CONTENT_LENGTH)
        length_bytes = 0 if length is None else _parse_length(length)
        if coding is not None:
            self._check_coding(coding)
        if self._has_no_body:
            if coding is not None or length_bytes:
                raise UnsoundReplyError(f"status {self._status} with a body")
            return ReplyHeadFields(self._status, ReplyFraming.LENGTH)
        if self._status == _NOT_MODIFIED:
            return ReplyHeadFields(self._status, ReplyFraming.LENGTH)
        if coding is not None:
            return ReplyHeadFields(self._status, ReplyFraming.CHUNKS)
        if length is not None:
            return ReplyHeadFields(self._status, ReplyFraming.LENGTH, length_bytes)
        return ReplyHeadFields(self._status, ReplyFraming.CONNECTION)

    @property
    def _has_no_body(self) -> bool:
        return self._status < 200 or self._status == _NO_CONTENT

    def _check_coding(self, coding: bytes) -> None:
        if _CONTENT_LENGTH in self._single_fields:
            raise UnsoundReplyError("both a length and a transfer coding")
        if not self._minor_version:
            raise UnsoundReplyError("a transfer coding in HTTP/1.0")
        if coding.lower() != b"chunked":
            raise UnsoundReplyError(f"transfer coding {excerpt(coding)}")


def check_field_line(line: bytes) -> tuple[bytes, bytes]:
    """Return the name, in lower case, and the value of a field.

    Raises
    ------
    UnsoundReplyError
        If the line is no field, or if its value could not be passed on unchanged. Only
        the name is quoted, as values may be secret.
    """
    found = _FIELD_LINE.fullmatch(line)
    name, separator, value = line.partition(b":")
    if found is None:
        part = "value" if separator and _FIELD_LINE.fullmatch(name + b":") else "name"
        raise UnsoundReplyError(f"{part} of a field in doubt: {excerpt(name)}")
    if not value.isascii():
        _check_encoding(name, value)
    return name.lower(), value.strip(b" \t")


def _check_encoding(name: bytes, value: bytes) -> None:
    try:
        value.decode()
    except UnicodeDecodeError as error:
        message = f"value of a field that is no UTF-8: {excerpt(name)}"
        raise UnsoundReplyError(message) from error


def _parse_length(text: bytes) -> int:
    if _LENGTH.fullmatch(text) is None:
        raise UnsoundReplyError(f"content length {excerpt(text)}")
    return int(text)
