"""Accounts of callers, read from the active lists."""

from boragespring.entry.accounts import Caller
from boragespring.entry.problems import Problem
from boragespring.lists import Allowance, ListsReplica, ListsView
from boragespring.lists.routes import is_idempotent

__all__ = ["ListsAccounts"]

#: Priority of each class; a smaller number is served earlier.
PRIORITY_BY_CLASS = {"interactive": 0, "standard": 1, "batch": 2}


class ListsAccounts:
    """Implement `Accounts` with the entry's replica of the lists.

    Parameters
    ----------
    replica : ListsReplica
        Holds the active version of the lists.
    """

    def __init__(self, replica: ListsReplica) -> None:
        self._replica = replica

    @property
    def version(self) -> int:
        """Version of the active lists; 0 when none are active."""
        return self._replica.state.number

    def caller(self, api_key: str, traffic_class: str) -> Caller | None:
        """Return the caller that an API key belongs to, or None if unknown.

        Raises
        ------
        Problem
            If the workspace's plan does not include the traffic class.
        """
        view = self._replica.view
        workspace = view.workspace_for_key(api_key)
        if workspace is None:
            return None
        allowance = view.allowance(workspace)
        classes = allowance.priority_classes
        chosen = traffic_class or classes[0]
        if chosen not in classes:
            message = f"class {chosen!r} is not in the plan, which has {classes}"
            raise Problem(403, "class_not_in_plan", message)
        return Caller(
            workspace=workspace.name,
            traffic_class=chosen,
            priority=PRIORITY_BY_CLASS[chosen],
            weight=allowance.weight,
            deadline_s=allowance.deadline_s,
        )

    def service_of_model(self, workspace: str, model: str) -> str | None:
        """Return the service of a model, or None if the workspace cannot use it."""
        view = self._replica.view
        allowance = _find_allowance(view, workspace)
        if allowance is None or model not in allowance.models:
            return None
        services = view.services()
        serving = (
            name for name in allowance.services if model in services[name].models
        )
        return next(serving, None)

    def models(self, workspace: str) -> tuple[str, ...]:
        """Return the models that a workspace is allowed to use."""
        allowance = _find_allowance(self._replica.view, workspace)
        return tuple(allowance.models) if allowance is not None else ()

    def is_call_allowed(self, workspace: str, service: str) -> bool:
        """Return whether a workspace is allowed to call a plain service."""
        view = self._replica.view
        allowance = _find_allowance(view, workspace)
        service_entry = view.service(service)
        if allowance is None or service_entry is None or service_entry.kind != "plain":
            return False
        return service in allowance.services

    def is_idempotent(self, service: str, method: str, path: str) -> bool:
        """Return whether a call to a plain service can be retried safely."""
        service_entry = self._replica.view.service(service)
        return service_entry is not None and is_idempotent(service_entry, method, path)


def _find_allowance(view: ListsView, workspace_name: str) -> Allowance | None:
    workspace = view.workspace(workspace_name)
    return view.allowance(workspace) if workspace is not None else None
