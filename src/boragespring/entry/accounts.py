"""Authentication of callers and the permissions of their workspaces."""

from typing import Protocol

from aiohttp import web
from attrs import frozen

from boragespring.entry.problems import Problem

__all__ = ["Accounts", "Caller", "authenticate"]

CLASS_HEADER = "X-Traffic-Class"
BEARER = "Bearer "


@frozen
class Caller:
    """Authenticated caller and its limits for one traffic class.

    Parameters
    ----------
    workspace : str
        Name of the workspace that the API key belongs to.
    traffic_class : str
        Traffic class of the request.
    priority : int
        Priority of the class; a smaller number is served earlier.
    weight : float
        Weight of the workspace in fair scheduling, from its plan.
    deadline_s : float
        Time in seconds within which an answer must be complete.
    """

    workspace: str
    traffic_class: str
    priority: int
    weight: float
    deadline_s: float


class Accounts(Protocol):
    """Workspaces, keys and permissions that an entry checks requests against."""

    @property
    def version(self) -> int:
        """Version of the active lists; 0 when none are active."""
        ...

    def caller(self, api_key: str, traffic_class: str) -> Caller | None:
        """Return the caller that an API key belongs to, or None if unknown."""
        ...

    def service_of_model(self, workspace: str, model: str) -> str | None:
        """Return the service of a model, or None if the workspace cannot use it."""
        ...

    def models(self, workspace: str) -> tuple[str, ...]:
        """Return the models that a workspace is allowed to use."""
        ...

    def is_call_allowed(self, workspace: str, service: str) -> bool:
        """Return whether a workspace is allowed to call a plain service."""
        ...

    def is_idempotent(self, service: str, method: str, path: str) -> bool:
        """Return whether a call to a plain service can be retried safely."""
        ...


def authenticate(request: web.Request, accounts: Accounts) -> Caller:
    """Return the caller of a request.

    Raises
    ------
    Problem
        If no lists are active yet, or if the API key is missing or unknown.
    """
    header = request.headers.get("Authorization", "")
    if accounts.version == 0:
        raise Problem(
            503,
            "not_ready",
            "the entry has not loaded any lists yet",
            retry_after_s=1.0,
        )
    if not header.startswith(BEARER):
        message = "send the API key as 'Authorization: Bearer KEY'"
        raise Problem(401, "missing_api_key", message)
    traffic_class = request.headers.get(CLASS_HEADER, "")
    caller = accounts.caller(header.removeprefix(BEARER), traffic_class)
    if caller is None:
        raise Problem(
            401, "wrong_api_key", "the API key does not belong to any workspace"
        )
    return caller
