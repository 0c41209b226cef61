"""HTTP client of model engines of any vendor."""

import time
from collections.abc import AsyncGenerator
from http import HTTPStatus

import aiohttp
from attrs import asdict, frozen

from boragespring.engines.client import (
    CallNotRunError,
    EngineError,
    GenerationFailedError,
    GenerationRequest,
    LoadReport,
    TokenBatch,
)
from boragespring.engines.event_stream import EventSplitter
from boragespring.engines.load_reports import (
    LoadReportError,
    LoadReportFault,
    RawReport,
    load_report,
    report_path,
)
from boragespring.engines.orders import EngineOrder, OrderRefusedError
from boragespring.engines.vendors import (
    Vendor,
    VendorName,
    create_vendor,
    engine_call,
    token_batch,
)

__all__ = [
    "EngineClientSettings",
    "HttpEngineClient",
    "RequestRejectedError",
    "create_engine_client",
]

SHOWN_ERROR_LENGTH = 200


class RequestRejectedError(CallNotRunError):
    """The engine found the request itself wrong; no other engine will take it."""


@frozen
class EngineClientSettings:
    """Timeouts of an engine client.

    Parameters
    ----------
    connect_timeout_s : float
        Time to open a connection.
    silence_timeout_s : float
        Longest time without a token before a generation is given up.
    report_timeout_s : float
        Time to read a load report or to send an order.
    """

    connect_timeout_s: float = 2.0
    silence_timeout_s: float = 60.0
    report_timeout_s: float = 2.0


@frozen
class HttpEngineClient:
    """`EngineClient` for engines that serve HTTP.

    Every generation opens its own connection: on a kept one, a send that meets
    the engine's close could not be told from a generation that was taken.

    Parameters
    ----------
    vendor : Vendor
        Vendor of the engine.
    base_url : str
        Where the engine listens.
    settings : EngineClientSettings
        Timeouts.
    session : aiohttp.ClientSession
        Connections to the engine.
    """

    vendor: Vendor
    base_url: str
    settings: EngineClientSettings
    session: aiohttp.ClientSession

    async def generate(
        self, request: GenerationRequest
    ) -> AsyncGenerator[TokenBatch, None]:
        """Run a generation and yield its tokens; closing cancels it."""
        response = await self._open(request)
        splitter = EventSplitter()
        try:
            while chunk := await self._read(response):
                payloads = splitter.feed(chunk)
                if not payloads:
                    continue
                batch = token_batch(self.vendor, payloads)
                if batch.texts or batch.finish_reason:
                    yield batch
                if batch.finish_reason:
                    return
        finally:
            # A connection whose stream is not at its end is closed here, by
            # which the engine learns that the generation is cancelled.
            response.release()
        raise GenerationFailedError("engine closed the stream before its end")

    async def fetch_load_report(self) -> LoadReport:
        """Read the engine's load report."""
        timeout = aiohttp.ClientTimeout(total=self.settings.report_timeout_s)
        url = self.base_url + report_path(self.vendor)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                response.raise_for_status()
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError, UnicodeDecodeError) as error:
            raise LoadReportError(LoadReportFault.UNREACHABLE, str(error)) from error
        raw = RawReport(text, response.headers, time.monotonic())
        return load_report(self.vendor, raw)

    async def models(self) -> tuple[str, ...]:
        """Return the names of the loaded models; raise `EngineError`."""
        timeout = aiohttp.ClientTimeout(total=self.settings.report_timeout_s)
        try:
            async with self.session.get(
                f"{self.base_url}/v1/models", timeout=timeout
            ) as response:
                response.raise_for_status()
                entries = (await response.json())["data"]
                return tuple(str(entry["id"]) for entry in entries)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise EngineError(f"cannot list models: {error}") from error
        except (LookupError, TypeError) as error:
            raise EngineError("the list of models is malformed") from error

    async def order(self, order: EngineOrder) -> None:
        """Send an order; raise `OrderRefusedError` when it was not taken.

        A timeout raises `TimeoutError`, after which the order may be repeated.
        """
        timeout = aiohttp.ClientTimeout(total=self.settings.report_timeout_s)
        url = f"{self.base_url}/orders"
        try:
            async with self.session.post(
                url, json=asdict(order), timeout=timeout
            ) as response:
                if response.status >= HTTPStatus.BAD_REQUEST:
                    detail = (await response.text())[:SHOWN_ERROR_LENGTH]
                    raise OrderRefusedError(f"{response.status}: {detail}")
        except aiohttp.ClientConnectorError as error:
            raise OrderRefusedError(str(error)) from error
        except aiohttp.ClientError as error:
            raise TimeoutError(str(error)) from error

    async def close(self) -> None:
        """Close the connections to the engine."""
        await self.session.close()

    async def _open(self, request: GenerationRequest) -> aiohttp.ClientResponse:
        call = engine_call(self.vendor, request)
        headers = {**call.headers, "Content-Type": "application/json"}
        try:
            response = await self.session.post(
                self.base_url + call.path, data=call.body, headers=headers
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise CallNotRunError(f"engine refused the connection: {error}") from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise GenerationFailedError(f"engine gave no answer: {error}") from error
        if response.status != HTTPStatus.OK:
            raise await _status_error(response)
        return response

    async def _read(self, response: aiohttp.ClientResponse) -> bytes:
        try:
            return await response.content.readany()
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            raise GenerationFailedError(f"engine's stream broke: {error}") from error


async def _status_error(
    response: aiohttp.ClientResponse,
) -> CallNotRunError | GenerationFailedError:
    try:
        detail = (await response.text(errors="replace"))[:SHOWN_ERROR_LENGTH]
    except (aiohttp.ClientError, TimeoutError):
        detail = ""
    finally:
        response.release()
    message = f"engine answered {response.status}: {detail}"
    match response.status:
        case HTTPStatus.TOO_MANY_REQUESTS | HTTPStatus.SERVICE_UNAVAILABLE:
            return CallNotRunError(message)
        case status if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return RequestRejectedError(message)
        case _:
            return GenerationFailedError(message)


def create_engine_client(
    vendor: Vendor | VendorName,
    base_url: str,
    settings: EngineClientSettings | None = None,
) -> HttpEngineClient:
    """Return a client of one engine; call it while the event loop runs."""
    settings = settings or EngineClientSettings()
    if isinstance(vendor, VendorName):
        vendor = create_vendor(vendor)
    timeout = aiohttp.ClientTimeout(
        total=None,
        sock_connect=settings.connect_timeout_s,
        sock_read=settings.silence_timeout_s,
    )
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    session = aiohttp.ClientSession(connector=connector, timeout=timeout)
    return HttpEngineClient(vendor, base_url.rstrip("/"), settings, session)
