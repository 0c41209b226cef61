"""Encoding of keys and values for the JSON gateway of the key-value service."""

import base64

__all__ = ["decode_bytes", "decode_key", "encode_bytes", "encode_key", "prefix_end"]


def encode_bytes(value: bytes) -> str:
    """Encode bytes as base64 text."""
    return base64.b64encode(value).decode("ascii")


def decode_bytes(text: str) -> bytes:
    """Decode base64 text."""
    return base64.b64decode(text)


def encode_key(key: str) -> str:
    """Encode a key as base64 text of its UTF-8 bytes."""
    return encode_bytes(key.encode())


def decode_key(text: str) -> str:
    """Decode a key from base64 text."""
    return decode_bytes(text).decode()


def prefix_end(prefix: str) -> str:
    """Return the end of the range of keys with an ASCII prefix.

    The end is the first key after all of them. It is empty, which means no upper
    bound, if the prefix is empty.
    """
    if not prefix:
        return ""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
