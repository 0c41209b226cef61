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
    RawLoadReport,
    load_report_path,
    parse_load_report,
)
from boragespring.engines.orders import EngineOrder, OrderRefusedError
from boragespring.engines.vendors import (
    Vendor,
    VendorName,
    build_engine_call,
    create_vendor,
    parse_token_batch,
)
from boragespring.http.bounded_reply import (
    NOT_CONNECTED_ERRORS,
    NotConnectedError,
    create_connector,
    read_body,
)
from boragespring.http.client_session import create_single_send_session
from boragespring.json_document import parse_json

__all__ = [
    "EngineClientSettings",
    "HttpEngineClient",
    "RequestRejectedError",
    "create_engine_client",
]

MAX_ERROR_DETAIL_CHARACTERS = 200
#: Maximum size of a load report, list of models or error reply.
REPORT_MAX_BYTES = 2**20


class RequestRejectedError(CallNotRunError):
    """The engine rejected the request as invalid; other engines would reject it too."""


@frozen
class EngineClientSettings:
    """Timeouts of an engine client.

    Parameters
    ----------
    connect_timeout_s : float
        Timeout for opening a connection, in seconds.
    read_timeout_s : float
        Time in seconds without data from the engine after which a generation
        fails.
    report_timeout_s : float
        Timeout for fetching a load report or the list of models, or for sending
        an order, in seconds.
    """

    connect_timeout_s: float = 2.0
    read_timeout_s: float = 60.0
    report_timeout_s: float = 2.0


@frozen
class HttpEngineClient:
    """HTTP implementation of `EngineClient`.

    Every generation opens its own connection. If a reused connection were closed
    by the engine while a request is being sent, the client could not tell whether
    the engine had accepted the request.

    Parameters
    ----------
    vendor : Vendor
        Vendor of the engine.
    base_url : str
        Base URL of the engine's HTTP API, without a trailing slash.
    settings : EngineClientSettings
        Timeouts.
    session : aiohttp.ClientSession
        HTTP session for the connections to the engine.
    """

    vendor: Vendor
    base_url: str
    settings: EngineClientSettings
    session: aiohttp.ClientSession

    async def generate(
        self, request: GenerationRequest
    ) -> AsyncGenerator[TokenBatch, None]:
        """Run a generation and yield its tokens.

        Closing the iterator cancels the generation at the engine.

        Raises
        ------
        CallNotRunError
            If the engine refused the connection or rejected the request.
        GenerationFailedError
            If the stream ends before the generation is complete.
        """
        response = await self._start_stream(request)
        splitter = EventSplitter()
        try:
            while chunk := await self._read_chunk(response):
                payloads = splitter.feed(chunk)
                if not payloads:
                    continue
                batch = parse_token_batch(self.vendor, payloads)
                if batch.texts or batch.finish_reason:
                    yield batch
                if batch.finish_reason:
                    return
        finally:
            # This closes the connection if the stream has not ended, which
            # cancels the generation at the engine.
            response.release()
        raise GenerationFailedError(
            "engine closed the stream before the generation was complete"
        )

    async def fetch_load_report(self) -> LoadReport:
        """Fetch and parse the engine's load report.

        Raises
        ------
        LoadReportError
            If the report cannot be fetched or is unusable.
        """
        timeout = aiohttp.ClientTimeout(total=self.settings.report_timeout_s)
        url = self.base_url + load_report_path(self.vendor)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                response.raise_for_status()
                text = (await read_body(response, REPORT_MAX_BYTES)).decode()
        except (aiohttp.ClientError, TimeoutError, UnicodeDecodeError) as error:
            raise LoadReportError(LoadReportFault.UNREACHABLE, str(error)) from error
        raw = RawLoadReport(text, response.headers, time.monotonic())
        return parse_load_report(self.vendor, raw)

    async def models(self) -> tuple[str, ...]:
        """Return the names of the loaded models.

        Raises
        ------
        EngineError
            If the list cannot be fetched or is malformed.
        """
        timeout = aiohttp.ClientTimeout(total=self.settings.report_timeout_s)
        try:
            async with self.session.get(
                f"{self.base_url}/v1/models", timeout=timeout
            ) as response:
                response.raise_for_status()
                body = await read_body(response, REPORT_MAX_BYTES)
                entries = parse_json(body)["data"]
                return tuple(str(entry["id"]) for entry in entries)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise EngineError(f"cannot list models: {error}") from error
        except (LookupError, TypeError) as error:
            raise EngineError("the list of models is malformed") from error

    async def order(self, order: EngineOrder) -> None:
        """Send an order to the engine.

        Raises
        ------
        OrderRefusedError
            If the engine refused the order or the connection.
        TimeoutError
            If the outcome is unknown; the order can safely be sent again.
        """
        timeout = aiohttp.ClientTimeout(total=self.settings.report_timeout_s)
        url = f"{self.base_url}/orders"
        try:
            async with self.session.post(
                url, json=asdict(order), timeout=timeout
            ) as response:
                if response.status >= HTTPStatus.BAD_REQUEST:
                    body = await read_body(response, REPORT_MAX_BYTES)
                    text = body.decode(errors="replace")
                    detail = text[:MAX_ERROR_DETAIL_CHARACTERS]
                    raise OrderRefusedError(f"{response.status}: {detail}")
        except (aiohttp.ClientConnectorError, NotConnectedError) as error:
            raise OrderRefusedError(str(error)) from error
        except aiohttp.ClientError as error:
            raise TimeoutError(str(error)) from error

    async def close(self) -> None:
        """Close the connections to the engine."""
        await self.session.close()

    async def _start_stream(self, request: GenerationRequest) -> aiohttp.ClientResponse:
        call = build_engine_call(self.vendor, request)
        headers = {**call.headers, "Content-Type": "application/json"}
        try:
            response = await self.session.post(
                self.base_url + call.path, data=call.body, headers=headers
            )
        except NOT_CONNECTED_ERRORS as error:
            raise CallNotRunError(f"cannot connect to the engine: {error}") from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise GenerationFailedError(f"engine sent no response: {error}") from error
        if response.status != HTTPStatus.OK:
            raise await _error_from_status(response)
        return response

    async def _read_chunk(self, response: aiohttp.ClientResponse) -> bytes:
        try:
            return await response.content.readany()
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            raise GenerationFailedError(
                f"connection to the engine was lost: {error}"
            ) from error


async def _error_from_status(
    response: aiohttp.ClientResponse,
) -> CallNotRunError | GenerationFailedError:
    try:
        body = await read_body(response, REPORT_MAX_BYTES)
        detail = body.decode(errors="replace")[:MAX_ERROR_DETAIL_CHARACTERS]
    except (aiohttp.ClientError, TimeoutError) as error:
        detail = str(error)
    finally:
        response.release()
    message = f"engine responded with status {response.status}: {detail}"
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
    """Create the client of one engine.

    The event loop must be running, because the HTTP session is created here.

    Parameters
    ----------
    vendor : Vendor or VendorName
        Vendor of the engine.
    base_url : str
        Base URL of the engine's HTTP API.
    settings : EngineClientSettings or None, default=None
        Timeouts; the defaults if None.
    """
    settings = settings or EngineClientSettings()
    if isinstance(vendor, VendorName):
        vendor = create_vendor(vendor)
    timeout = aiohttp.ClientTimeout(
        total=None,
        sock_connect=settings.connect_timeout_s,
        sock_read=settings.read_timeout_s,
    )
    connector = create_connector(limit=0, force_close=True)
    session = create_single_send_session(connector=connector, timeout=timeout)
    return HttpEngineClient(vendor, base_url.rstrip("/"), settings, session)
