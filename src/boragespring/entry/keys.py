"""Idempotency keys of requests."""

import hashlib

from aiohttp import web

from boragespring.entry.problems import Problem

__all__ = ["KEY_HEADER", "request_digest", "read_idempotency_key"]

KEY_HEADER = "Idempotency-Key"
KEY_LENGTH_MAX = 255
DIGEST_BYTES = 16


def read_idempotency_key(request: web.Request) -> str:
    """Return the idempotency key of a request, or an empty text."""
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > KEY_LENGTH_MAX:
        message = f"{KEY_HEADER} may have at most {KEY_LENGTH_MAX} characters"
        raise Problem(400, "invalid_key", message)
    return key


async def request_digest(request: web.Request) -> bytes:
    """Return a digest of a request's path and body."""
    hasher = hashlib.blake2b(request.path.encode(), digest_size=DIGEST_BYTES)
    hasher.update(b"\0")
    hasher.update(await request.read())
    return hasher.digest()
