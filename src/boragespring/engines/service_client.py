"""HTTP client of plain services."""

import time

import aiohttp
from attrs import frozen

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
    RawReport,
    load_report,
)
from boragespring.engines.vendors import Orca

__all__ = ["HttpServiceClient", "ServiceClientSettings", "create_service_client"]


@frozen
class ServiceClientSettings:
    """Timeouts of a service client.

    Parameters
    ----------
    connect_timeout_s : float
        Time to open a connection.
    call_timeout_s : float
        Time of a whole call.
    report_timeout_s : float
        Time to read a load report.
    report_path : str
        Path that is asked for the load while no call brings it.
    """

    connect_timeout_s: float = 2.0
    call_timeout_s: float = 60.0
    report_timeout_s: float = 2.0
    report_path: str = "/health"


@frozen
class HttpServiceClient:
    """`ServiceClient` for services that serve HTTP.

    Every call opens its own connection: on a kept one, a send that meets the
    service's close could not be told from a call that ran.
    """

    base_url: str
    settings: ServiceClientSettings
    session: aiohttp.ClientSession

    async def call(self, call: ServiceCall) -> ServiceReply:
        """Send one call; never repeats it."""
        try:
            async with self.session.request(
                call.method,
                self.base_url + call.path,
                headers=call.headers,
                data=call.body,
                allow_redirects=False,
            ) as response:
                body = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise CallNotRunError(f"service refused the connection: {error}") from error
        except aiohttp.InvalidURL as error:
            raise CallNotRunError(f"path of the call is invalid: {error}") from error
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            raise CallOutcomeUnknownError(f"answer was lost: {error}") from error
        return ServiceReply(response.status, dict(response.headers), body)

    async def fetch_load_report(self) -> LoadReport:
        """Read the service's load report."""
        timeout = aiohttp.ClientTimeout(total=self.settings.report_timeout_s)
        url = self.base_url + self.settings.report_path
        try:
            async with self.session.get(url, timeout=timeout) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise LoadReportError(LoadReportFault.UNREACHABLE, str(error)) from error
        raw = RawReport("", response.headers, time.monotonic())
        return load_report(Orca(), raw)

    async def close(self) -> None:
        """Close the connections to the service."""
        await self.session.close()


def create_service_client(
    base_url: str, settings: ServiceClientSettings | None = None
) -> HttpServiceClient:
    """Return a client of one service; call it while the event loop runs."""
    settings = settings or ServiceClientSettings()
    timeout = aiohttp.ClientTimeout(
        total=settings.call_timeout_s, sock_connect=settings.connect_timeout_s
    )
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    session = aiohttp.ClientSession(
        connector=connector, timeout=timeout, auto_decompress=False
    )
    return HttpServiceClient(base_url.rstrip("/"), settings, session)
