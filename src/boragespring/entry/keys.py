"""Idempotency keys and body digests of requests."""

import hashlib

from aiohttp import web

from boragespring.entry.problems import Problem

__all__ = ["KEY_HEADER", "read_idempotency_key", "request_digest"]

KEY_HEADER = "Idempotency-Key"
KEY_LENGTH_MAX = 255
DIGEST_BYTES = 16


def read_idempotency_key(request: web.Request) -> str:
    """Return the idempotency key of a request, or an empty string.

    Raises
    ------
    Problem
        If the key is too long.
    """
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > KEY_LENGTH_MAX:
        message = f"{KEY_HEADER} must not exceed {KEY_LENGTH_MAX} characters"
        raise Problem(400, "invalid_key", message)
    return key


async def request_digest(request: web.Request) -> bytes:
    """Return a digest of the path and body of a request.

    It detects an idempotency key that is reused for a different request.
    """
    hasher = hashlib.blake2b(request.path.encode(), digest_size=DIGEST_BYTES)
    hasher.update(b"\0")
    hasher.update(await request.read())
    return hasher.digest()
