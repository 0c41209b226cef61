"""Request of an application whose body the connection collects."""

from aiohttp import web

from boragespring.http.caller_connection import CallerConnection

__all__ = ["CollectedRequest", "caller_connection"]


def caller_connection(request: web.BaseRequest) -> CallerConnection:
    """Return the connection on which a request arrived."""
    connection = request.protocol
    assert isinstance(connection, CallerConnection)
    return connection


class CollectedRequest(web.Request):
    """Request whose body counts against the budget of all callers."""

    async def read(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        UploadError
            If it cannot be had.
        """
        if self._read_bytes is None:
            self._read_bytes = await caller_connection(self).upload.read()
        return self._read_bytes
