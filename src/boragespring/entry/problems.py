"""Errors that are returned to callers as JSON responses."""

import math
from collections.abc import Callable
from functools import singledispatch

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from boragespring.answers import AnswerError, NotRunError, RequestMismatchError
from boragespring.errors import BoragespringError
from boragespring.http.raw_refusal import EVICTED_RETRY_AFTER_S
from boragespring.http.upload import (
    UploadEvictedError,
    UploadMalformedError,
    UploadTooLargeError,
)
from boragespring.limits import LimitExceededError

__all__ = [
    "CallerTooSlowError",
    "Problem",
    "build_problem_middleware",
    "out_of_memory",
    "problem_from_error",
    "problem_of",
]

STATUS_BY_CODE = {
    "answer_lost": 502,
    "outcome_unknown": 504,
    "deadline_exceeded": 504,
    "unknown_answer": 404,
    "answer_gone": 410,
    "answer_trimmed": 410,
    "resumed_elsewhere": 409,
    "key_reused": 422,
    "leaving": 503,
    "queue_full": 429,
}


class Problem(BoragespringError):
    """Error that is returned to the caller.

    Parameters
    ----------
    status : int
        HTTP status code.
    code : str
        Machine-readable error code.
    message : str
        Description of the error and how to fix it.
    not_run : bool
        Whether the request is known not to have run.
    retry_after_s : float or None
        Time in seconds after which to retry; None to send no ``Retry-After`` header.
    field : str
        Name of the invalid field in the body; empty if the error is elsewhere.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        *,
        not_run: bool = True,
        retry_after_s: float | None = None,
        field: str = "",
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.not_run = not_run
        self.retry_after_s = retry_after_s
        self.field = field

    def to_body(self) -> dict[str, object]:
        """Return the JSON body of the response."""
        error: dict[str, object] = {
            "message": self.message,
            "type": "invalid_request_error" if self.status < 500 else "server_error",
            "code": self.code,
            "not_run": self.not_run,
            "retry_after_s": self.retry_after_s,
        }
        if self.field:
            error["param"] = self.field
        return {"error": error}

    def to_response(self) -> web.Response:
        """Return the HTTP response."""
        headers = {}
        if self.retry_after_s is not None:
            headers["Retry-After"] = str(math.ceil(self.retry_after_s))
        return web.json_response(self.to_body(), status=self.status, headers=headers)


class CallerTooSlowError(AnswerError):
    """The caller stopped reading for too long and was disconnected."""

    code = "caller_too_slow"


def problem_from_error(error: AnswerError) -> Problem:
    """Convert the error of an answer to one for the caller."""
    not_run = isinstance(error, (NotRunError, RequestMismatchError))
    status = STATUS_BY_CODE.get(error.code, 503 if not_run else 502)
    retry_after_s = error.retry_after_s if isinstance(error, NotRunError) else None
    return Problem(
        status, error.code, str(error), not_run=not_run, retry_after_s=retry_after_s
    )


def out_of_memory() -> Problem:
    """Return the refusal of a request for which callers hold too much memory."""
    return Problem(
        503,
        "out_of_memory",
        "callers hold too much memory at this entry; retry later",
        retry_after_s=EVICTED_RETRY_AFTER_S,
    )


@singledispatch
def problem_of(error: Exception) -> Problem:
    """Return the error response for an exception; raise one that is not expected."""
    raise error


@problem_of.register
def _(error: Problem) -> Problem:
    return error


@problem_of.register
def _(error: LimitExceededError) -> Problem:
    return Problem(429, error.kind.value, str(error), retry_after_s=error.retry_after_s)


@problem_of.register
def _(error: AnswerError) -> Problem:
    return problem_from_error(error)


@problem_of.register
def _(error: UploadTooLargeError) -> Problem:
    return Problem(413, "body_too_large", f"the body is too large: {error}")


@problem_of.register
def _(error: UploadMalformedError) -> Problem:
    return Problem(400, "invalid_body", f"the body cannot be read: {error}")


@problem_of.register
def _(_: UploadEvictedError) -> Problem:
    return out_of_memory()


@problem_of.register
def _(error: web.HTTPException) -> Problem:
    return Problem(error.status, "http_error", error.reason)


def build_problem_middleware(record: Callable[[Problem], None]) -> Middleware:
    """Return a middleware that converts exceptions of handlers to JSON responses.

    Parameters
    ----------
    record : callable
        Called with each error response.
    """

    @web.middleware
    async def convert_problems(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            _check_headers(request)
            return await handler(request)
        except Exception as error:
            problem = problem_of(error)
            record(problem)
            return problem.to_response()

    return convert_problems


def _check_headers(request: web.Request) -> None:
    try:
        "".join(request.headers.values()).encode()
    except UnicodeEncodeError as error:
        message = "a header contains bytes that are not UTF-8; percent-encode them"
        raise Problem(400, "invalid_header", message) from error
