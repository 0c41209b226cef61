"""HTTP handler for calls to plain services."""

from aiohttp import web

from boragespring.answers import AnswerError, RequestRunner
from boragespring.answers.messages import ServiceAnswered, SubmitCall
from boragespring.claims import ClaimedCalls, KeyReusedError
from boragespring.entry.accounts import Accounts, Caller, authenticate
from boragespring.entry.keys import read_idempotency_key
from boragespring.entry.problems import Problem
from boragespring.limits import LimitExceededError, RequestLimiter
from boragespring.metrics import AnswerMetrics

__all__ = ["ServiceHandlers"]

#: Headers that are not forwarded: those of one connection and the caller's API key.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class ServiceHandlers:
    """Serve ``/services/NAME/...``.

    Parameters
    ----------
    accounts : Accounts
        API keys and permissions of workspaces.
    runner : RequestRunner
        Runs calls that are idempotent or have no idempotency key.
    claims : ClaimedCalls
        Runs other calls, at most once for each idempotency key.
    metrics : AnswerMetrics
        Counters of answers.
    limits : RequestLimiter
        Request, token and concurrency limits of workspaces.
    """

    def __init__(
        self,
        accounts: Accounts,
        runner: RequestRunner,
        claims: ClaimedCalls,
        metrics: AnswerMetrics,
        limits: RequestLimiter,
    ) -> None:
        self._limits = limits
        self._accounts = accounts
        self._runner = runner
        self._claims = claims
        self._metrics = metrics

    def add_routes(self, app: web.Application) -> None:
        """Add the routes to an application."""
        app.router.add_route("*", "/services/{service}/{path:.*}", self.call)

    async def call(self, request: web.Request) -> web.Response:
        """Forward a call to a plain service."""
        caller = authenticate(request, self._accounts)
        service = request.match_info["service"]
        if not self._accounts.is_call_allowed(caller.workspace, service):
            message = f"service {service!r} is not in the plan"
            raise Problem(404, "unknown_service", message)
        key = read_idempotency_key(request)
        submit = await self._build_submit(request, caller, service)
        code = "cancelled"
        try:
            with await self._limits.admit(caller.workspace):
                answer = await self._send(service, key, submit)
            code = "ok"
        except LimitExceededError as error:
            code = error.kind.value
            raise
        except AnswerError as error:
            code = error.code
            raise
        finally:
            self._metrics.count_request(caller.workspace, caller.traffic_class, code)
        headers = _without_hop_by_hop_headers(answer.headers)
        return web.Response(status=answer.status, headers=headers, body=answer.body)

    async def _send(
        self, service: str, key: str, submit: SubmitCall
    ) -> ServiceAnswered:
        if submit.idempotent or not key:
            return await self._runner.call(service, submit)
        try:
            return await self._claims.call(service, key, submit)
        except KeyReusedError as error:
            raise Problem(422, "key_reused", str(error)) from error

    async def _build_submit(
        self, request: web.Request, caller: Caller, service: str
    ) -> SubmitCall:
        path = "/" + request.match_info["path"]
        if request.query_string:
            path = f"{path}?{request.query_string}"
        return SubmitCall(
            answer_id=b"",
            incarnation=0,
            workspace=caller.workspace,
            traffic_class=caller.traffic_class,
            priority=caller.priority,
            weight=caller.weight,
            method=request.method,
            path=path,
            headers=_without_hop_by_hop_headers(dict(request.headers)),
            body=await request.read(),
            deadline_in_s=caller.deadline_s,
            idempotent=self._accounts.is_idempotent(service, request.method, path),
        )


def _without_hop_by_hop_headers(headers: dict[str, str]) -> dict[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    }
