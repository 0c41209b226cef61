"""Bounds on the bodies of HTTP servers that may never end them."""

import aiohttp

__all__ = ["BodyTooLargeError", "read_body"]


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """The body of a reply is larger than allowed; its rest was not read."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of a reply, and close the connection if it is too large.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Reply whose head has been received.
    max_bytes : int
        Maximum size of the body in bytes.

    Raises
    ------
    BodyTooLargeError
        If the body is larger.
    """
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > max_bytes:
            response.close()
            raise BodyTooLargeError(f"body of more than {max_bytes} bytes")
    return bytes(body)
