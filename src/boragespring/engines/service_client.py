"""HTTP client of plain services."""

import asyncio
import time

import aiohttp
from attrs import frozen
from yarl import URL

from boragespring.engines.client import (
    CallNotRunError,
    CallOutcomeUnknownError,
    LoadReport,
    ServiceCall,
    ServiceReply,
)
from boragespring.engines.load_reports import (
    LoadReportError,
    LoadReportFault,
    RawLoadReport,
    parse_load_report,
)
from boragespring.engines.vendors import Orca
from boragespring.http.bounded_reply import (
    NOT_CONNECTED_ERRORS,
    create_connector,
    read_body,
)
from boragespring.http.client_session import create_single_send_session
from boragespring.http.connection_watch import watch_connection
from boragespring.http.reply_end import ReplyEnd, ReplyFraming

__all__ = ["HttpServiceClient", "ServiceClientSettings", "create_service_client"]

#: Maximum size of a reply, and of the body that comes with a load report.
BODY_MAX_BYTES = 8 * 2**20
REPORT_MAX_BYTES = 2**20


@frozen
class ServiceClientSettings:
    """Timeouts of a service client.

    Parameters
    ----------
    connect_timeout_s : float
        Timeout for opening a connection, in seconds.
    call_timeout_s : float
        Timeout of a complete call, in seconds.
    report_timeout_s : float
        Timeout for fetching a load report, in seconds.
    report_path : str
        URL path from which the load report is fetched.
    """

    connect_timeout_s: float = 2.0
    call_timeout_s: float = 60.0
    report_timeout_s: float = 2.0
    report_path: str = "/health"


@frozen
class HttpServiceClient:
    """HTTP implementation of `ServiceClient`.

    Every call opens its own connection. If a reused connection were closed by the
    service while a request is being sent, the client could not tell whether the
    call had run.

    Parameters
    ----------
    base_url : str
        Base URL of the service, without a trailing slash.
    settings : ServiceClientSettings
        Timeouts and the path of the load report.
    session : aiohttp.ClientSession
        HTTP session for the connections to the service.
    """

    base_url: str
    settings: ServiceClientSettings
    session: aiohttp.ClientSession

    async def call(self, call: ServiceCall) -> ServiceReply:
        """Send one request without ever retrying it.

        Raises
        ------
        CallNotRunError
            If the service refused the connection or the path is invalid.
        CallOutcomeUnknownError
            If the reply was lost, or ended with its service.
        """
        try:
            async with self.session.request(
                call.method,
                self.base_url + call.path,
                headers=call.headers,
                data=call.body,
                allow_redirects=False,
            ) as response:
                reply_end = ReplyEnd(response)
                body = await read_body(response, BODY_MAX_BYTES)
                await reply_end.check()
                if reply_end.framing is ReplyFraming.CONNECTION:
                    await self._check_still_listens(response.url)
        except NOT_CONNECTED_ERRORS as error:
            raise CallNotRunError(f"cannot connect to the service: {error}") from error
        except aiohttp.InvalidURL as error:
            raise CallNotRunError(f"invalid request path: {error}") from error
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            raise CallOutcomeUnknownError(f"reply was lost: {error}") from error
        return ServiceReply(response.status, dict(response.headers), body)

    async def _check_still_listens(self, url: URL) -> None:
        """Raise `CallOutcomeUnknownError` if the service ended with its reply.

        The connections of a service that crashes are closed in order as well.
        """
        try:
            async with asyncio.timeout(self.settings.connect_timeout_s):
                watch = await watch_connection(url.host or "", url.port or 0)
        except OSError as error:
            raise CallOutcomeUnknownError(f"the service is gone: {error}") from error
        watch.close()

    async def fetch_load_report(self) -> LoadReport:
        """Fetch and parse the service's load report.

        Raises
        ------
        LoadReportError
            If the report cannot be fetched or is unusable.
        """
        timeout = aiohttp.ClientTimeout(total=self.settings.report_timeout_s)
        url = self.base_url + self.settings.report_path
        try:
            async with self.session.get(url, timeout=timeout) as response:
                await read_body(response, REPORT_MAX_BYTES)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise LoadReportError(LoadReportFault.UNREACHABLE, str(error)) from error
        raw = RawLoadReport("", response.headers, time.monotonic())
        return parse_load_report(Orca(), raw)

    async def close(self) -> None:
        """Close the connections to the service."""
        await self.session.close()


def create_service_client(
    base_url: str, settings: ServiceClientSettings | None = None
) -> HttpServiceClient:
    """Create the client of one service.

    The event loop must be running, because the HTTP session is created here.

    Parameters
    ----------
    base_url : str
        Base URL of the service.
    settings : ServiceClientSettings or None, default=None
        Timeouts and the path of the load report; the defaults if None.
    """
    settings = settings or ServiceClientSettings()
    timeout = aiohttp.ClientTimeout(
        total=settings.call_timeout_s, sock_connect=settings.connect_timeout_s
    )
    connector = create_connector(limit=0, force_close=True)
    session = create_single_send_session(
        connector=connector, timeout=timeout, auto_decompress=False
    )
    return HttpServiceClient(base_url.rstrip("/"), settings, session)
