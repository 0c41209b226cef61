"""Who calls, and what the lists allow."""

from typing import Protocol

from aiohttp import web
from attrs import frozen

from boragespring.entry.problems import Problem

__all__ = ["Accounts", "Caller", "authenticate"]

CLASS_HEADER = "X-Traffic-Class"
BEARER = "Bearer "


@frozen
class Caller:
    """A workspace's caller with what the lists allow for one class.

    Parameters
    ----------
    workspace, traffic_class : str
        Whose request it is and which class it belongs to.
    priority : int
        Priority of the class; a smaller number is served earlier.
    weight : float
        Share of the workspace's plan.
    deadline_s : float
        Time within which an answer must be complete.
    """

    workspace: str
    traffic_class: str
    priority: int
    weight: float
    deadline_s: float


class Accounts(Protocol):
    """The lists in force, as an entry asks them."""

    @property
    def version(self) -> int:
        """Version of the lists in force; 0 for none."""
        ...

    def caller(self, api_key: str, traffic_class: str) -> Caller | None:
        """Return the caller of a key; None for an unknown key."""
        ...

    def service_of_model(self, workspace: str, model: str) -> str | None:
        """Return the service of a model that the workspace may use."""
        ...

    def models(self, workspace: str) -> tuple[str, ...]:
        """Return the models that a workspace may use."""
        ...

    def is_call_allowed(self, workspace: str, service: str) -> bool:
        """Return whether a workspace may call a plain service."""
        ...

    def is_idempotent(self, service: str, method: str, path: str) -> bool:
        """Return whether a call to a plain service may be repeated."""
        ...


def authenticate(request: web.Request, accounts: Accounts) -> Caller:
    """Return the caller of a request; raise `Problem` for a wrong key."""
    header = request.headers.get("Authorization", "")
    if accounts.version == 0:
        raise Problem(503, "not_ready", "no lists are in force yet", retry_after_s=1.0)
    if not header.startswith(BEARER):
        message = "send the API key as 'Authorization: Bearer KEY'"
        raise Problem(401, "missing_api_key", message)
    traffic_class = request.headers.get(CLASS_HEADER, "")
    caller = accounts.caller(header.removeprefix(BEARER), traffic_class)
    if caller is None:
        raise Problem(401, "wrong_api_key", "the API key belongs to no workspace")
    return caller
