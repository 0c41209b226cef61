"""HTTP sessions of all programs that read replies."""

from typing import Any

import aiohttp

from boragespring.http.bounded_reply import create_connector

__all__ = ["create_session", "create_single_send_session"]


def create_session(
    connector: aiohttp.TCPConnector | None = None, **options: Any
) -> aiohttp.ClientSession:
    """Return a session that reads only replies that are HTTP beyond doubt.

    Parameters
    ----------
    connector : aiohttp.TCPConnector, optional
        Result of `create_connector`; one with the library's defaults otherwise.
    **options
        Parameters of `aiohttp.ClientSession`.
    """
    return aiohttp.ClientSession(connector=connector or create_connector(), **options)


def create_single_send_session(
    connector: aiohttp.TCPConnector | None = None, **options: Any
) -> aiohttp.ClientSession:
    """Return such a session that never repeats a request.

    By default, aiohttp sends a request again whose connection broke if its method is
    idempotent by the HTTP standard, also on a connection that was opened for it. The
    server may have run the request by then, and what the second try meets, such as a
    refused connection, would be reported as the outcome of the request.

    Parameters
    ----------
    connector : aiohttp.TCPConnector, optional
        Result of `create_connector`; one with the library's defaults otherwise.
    **options
        Parameters of `aiohttp.ClientSession`.
    """
    session = create_session(connector, **options)
    # aiohttp has no public way to switch its retry off.
    session._retry_connection = False
    return session
