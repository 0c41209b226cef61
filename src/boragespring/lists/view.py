"""Read-only lookups in one version of the lists."""

from attrs import frozen

from boragespring.lists.model import (
    Allowance,
    ListsDocument,
    ServiceEntry,
    hash_api_key,
)

__all__ = ["ListsView", "Workspace"]


@frozen
class Workspace:
    """Workspace of a caller.

    Parameters
    ----------
    name : str
        Name of the workspace.
    plan : str
        Name of the workspace's plan.
    """

    name: str
    plan: str


class ListsView:
    """Immutable view of one version of both lists.

    Parameters
    ----------
    document : ListsDocument
        The validated document.
    version : int
        Number of the version; later versions have higher numbers.
    """

    def __init__(self, document: ListsDocument, version: int) -> None:
        self.document = document
        self.version = version
        self._workspaces = {
            name: Workspace(name, entry.plan)
            for name, entry in document.plan_list.workspaces.items()
        }
        self._workspace_by_hash = {
            key_hash: self._workspaces[name]
            for name, entry in document.plan_list.workspaces.items()
            for key_hash in entry.key_hashes
        }

    def workspace_for_key(self, api_key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to, or None if unknown."""
        return self._workspace_by_hash.get(hash_api_key(api_key))

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace by name, or None if unknown."""
        return self._workspaces.get(name)

    def workspaces(self) -> tuple[Workspace, ...]:
        """Return all workspaces."""
        return tuple(self._workspaces.values())

    def allowance(self, workspace: Workspace) -> Allowance:
        """Return the allowance of a workspace's plan."""
        return self.document.allowance_list.plans[workspace.plan]

    def service(self, name: str) -> ServiceEntry | None:
        """Return a service by name, or None if unknown."""
        return self.document.allowance_list.services.get(name)

    def services(self) -> dict[str, ServiceEntry]:
        """Return all services by name."""
        return dict(self.document.allowance_list.services)
