"""Stand-in for a plain service: an HTTP server that records every call."""

import asyncio
import json

import attrs
from aiohttp import web
from attrs import Factory, define, field, frozen

__all__ = [
    "RecordedCall",
    "ServiceFaults",
    "ServiceStandIn",
    "ServiceStandInSettings",
]

KEY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "X-Request-Id"


@frozen
class ServiceStandInSettings:
    """Settings of the stand-in for a plain service.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port to listen on; 0 selects a free one.
    latency_s : float
        Processing time of each call in seconds.
    """

    host: str = "127.0.0.1"
    port: int = 0
    latency_s: float = 0.002


@define
class ServiceFaults:
    """Faults that a `ServiceStandIn` injects; ``POST /faults`` changes them.

    Parameters
    ----------
    loses_answers : bool
        Whether the connection of a call is aborted after the call has run and before
        its response is sent.
    status : int
        HTTP status of the responses.
    latency_s : float or None
        Processing time of each call in seconds; None uses the settings.
    """

    loses_answers: bool = False
    status: int = 200
    latency_s: float | None = None


@frozen
class RecordedCall:
    """One call that the service received.

    Parameters
    ----------
    method, path : str
        HTTP method and path.
    key : str
        Value of the ``Idempotency-Key`` header; empty without one.
    body : str
        Request body.
    request_id : str
        Value of the ``X-Request-Id`` header; empty without one.
    """

    method: str
    path: str
    key: str
    body: str
    request_id: str = ""


@define(eq=False)
class ServiceStandIn:
    """Plain service that answers every call and records it in a ledger.

    ``GET /ledger`` returns the recorded calls and the number of calls for each
    idempotency key.

    Parameters
    ----------
    settings : ServiceStandInSettings
        Address and processing time.
    faults : ServiceFaults
        Faults to inject.

    Attributes
    ----------
    ledger : list of RecordedCall
        Received calls, in order.
    port : int
        TCP port that the server listens on; 0 before the first start.
    """

    settings: ServiceStandInSettings = Factory(ServiceStandInSettings)
    faults: ServiceFaults = Factory(ServiceFaults)
    ledger: list[RecordedCall] = field(init=False, factory=list)
    port: int = field(init=False, default=0)
    _running_calls: int = field(init=False, default=0)
    _runner: web.AppRunner | None = field(init=False, default=None)

    @property
    def url(self) -> str:
        """Base URL of the service."""
        return f"http://{self.settings.host}:{self.port}"

    async def start(self) -> None:
        """Start to listen; after `stop`, on the same port as before."""
        app = web.Application()
        app.router.add_get("/ledger", self._handle_ledger)
        app.router.add_get("/health", self._handle_health)
        app.router.add_post("/faults", self._handle_faults)
        app.router.add_route("*", "/{path:.*}", self._handle_call)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        port = self.port or self.settings.port
        await web.TCPSite(self._runner, self.settings.host, port).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop the server and close its connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _handle_call(self, request: web.Request) -> web.Response:
        body = await request.text()
        key = request.headers.get(KEY_HEADER, "")
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        self.ledger.append(
            RecordedCall(request.method, request.path, key, body, request_id)
        )
        call_number = len(self.ledger)
        self._running_calls += 1
        try:
            latency_s = self.faults.latency_s
            await asyncio.sleep(
                self.settings.latency_s if latency_s is None else latency_s
            )
        finally:
            self._running_calls -= 1
        if self.faults.loses_answers and request.transport is not None:
            request.transport.abort()
        body_fields = {"call": call_number, "path": request.path, "key": key}
        return web.json_response(
            body_fields, status=self.faults.status, headers=self._load_headers()
        )

    async def _handle_ledger(self, request: web.Request) -> web.Response:
        keys = [call.key for call in self.ledger if call.key]
        runs_by_key = {key: keys.count(key) for key in set(keys)}
        calls = [attrs.asdict(call) for call in self.ledger]
        return web.json_response({"calls": calls, "runs_by_key": runs_by_key})

    async def _handle_health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok", headers=self._load_headers())

    def _load_headers(self) -> dict[str, str]:
        metrics = {
            "num_requests_running": self._running_calls,
            "num_requests_waiting": 0,
        }
        load_report = json.dumps({"named_metrics": metrics})
        return {"endpoint-load-metrics": f"JSON {load_report}"}

    async def _handle_faults(self, request: web.Request) -> web.Response:
        self.faults = attrs.evolve(self.faults, **await request.json())
        return web.json_response(attrs.asdict(self.faults))
