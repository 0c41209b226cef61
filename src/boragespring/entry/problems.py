"""Errors as callers see them."""

import math

from aiohttp import web
from aiohttp.typedefs import Handler

from boragespring.answers import AnswerError, NotRunError, RepeatDiffersError
from boragespring.errors import BoragespringError
from boragespring.limits import LimitExceededError

__all__ = ["CallerTooSlowError", "Problem", "problem_middleware", "problem_from_error"]

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
    """An error that is told to the caller.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Kind of the error for programs.
    message : str
        What was wrong and how to mend it.
    not_run : bool
        Whether the request surely did not run.
    retry_after_s : float or None
        When to come back.
    field : str
        Field of the body in error.
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
        """Return the body of the response."""
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
    """The caller took nothing for too long and was cut off."""

    code = "caller_too_slow"


def problem_from_error(error: AnswerError) -> Problem:
    """Turn an error of an answer into one for the caller."""
    not_run = isinstance(error, (NotRunError, RepeatDiffersError))
    status = STATUS_BY_CODE.get(error.code, 503 if not_run else 502)
    retry_after_s = error.retry_after_s if isinstance(error, NotRunError) else None
    return Problem(
        status, error.code, str(error), not_run=not_run, retry_after_s=retry_after_s
    )


@web.middleware
async def problem_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Turn errors of handlers into JSON responses."""
    try:
        _check_headers(request)
        return await handler(request)
    except Problem as problem:
        return problem.to_response()
    except LimitExceededError as error:
        return Problem(
            429, error.kind.value, str(error), retry_after_s=error.retry_after_s
        ).to_response()
    except AnswerError as error:
        return problem_from_error(error).to_response()
    except web.HTTPRequestEntityTooLarge as error:
        message = f"the body is too large: {error.text}"
        return Problem(413, "body_too_large", message).to_response()
    except web.HTTPException as error:
        return Problem(error.status, "http_error", error.reason).to_response()


def _check_headers(request: web.Request) -> None:
    try:
        "".join(request.headers.values()).encode()
    except UnicodeEncodeError as error:
        message = "a header holds bytes that are no UTF-8; percent-encode them"
        raise Problem(400, "invalid_header", message) from error
