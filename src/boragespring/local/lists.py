"""Accounts of a local deployment: fixed ones, or lists for the store."""

from boragespring.entry.accounts import Caller
from boragespring.lists import (
    Allowance,
    AllowanceList,
    ListsDocument,
    ModelEntry,
    PlanList,
    ServiceEntry,
    WorkspaceEntry,
    hash_api_key,
)
from boragespring.lists.editor import Edit, ListsEditor
from boragespring.lists.state import EMPTY_STATE, difference
from boragespring.store import MemoryStore
from boragespring.store.keyspace import Keyspace

__all__ = [
    "LOCAL_API_KEY",
    "LOCAL_MODEL",
    "LocalAccounts",
    "local_document",
    "put_lists",
]

LOCAL_API_KEY = "local-key"
LOCAL_MODEL = "rutas-1"
ENGINE_SERVICE = "asistente-rutas"
PLAIN_SERVICE = "app-transporte"
WORKSPACES = {LOCAL_API_KEY: "coop-norte", "other-key": "coop-sur"}
DEADLINE_S = 600.0


class LocalAccounts:
    """Fixed accounts of two workspaces that are allowed to use every service."""

    version = 1

    def caller(self, api_key: str, traffic_class: str) -> Caller | None:
        """Return the caller with an API key, or None if the key is unknown."""
        workspace = WORKSPACES.get(api_key)
        if workspace is None:
            return None
        return Caller(workspace, traffic_class or "interactive", 1, 1.0, DEADLINE_S)

    def service_of_model(self, workspace: str, model: str) -> str | None:
        """Return the service of a model, or None if there is no such model."""
        return ENGINE_SERVICE if model == LOCAL_MODEL else None

    def models(self, workspace: str) -> tuple[str, ...]:
        """Return the names of the models that a workspace is allowed to use."""
        return (LOCAL_MODEL,)

    def is_call_allowed(self, workspace: str, service: str) -> bool:
        """Return whether a workspace is allowed to call a plain service."""
        return service == PLAIN_SERVICE

    def is_idempotent(self, service: str, method: str, path: str) -> bool:
        """Return whether a call to a plain service is safe to retry."""
        return method in ("GET", "HEAD")


def local_document() -> ListsDocument:
    """Return lists that allow both workspaces every service, with high limits."""
    plan = Allowance(
        services=[ENGINE_SERVICE, PLAIN_SERVICE],
        models=[LOCAL_MODEL],
        priority_classes=["interactive", "standard", "batch"],
        concurrency_max=10_000,
        requests_per_s=100_000.0,
        request_burst=100_000,
        tokens_per_s=10_000_000.0,
        deadline_s=DEADLINE_S,
    )
    services = {
        ENGINE_SERVICE: ServiceEntry(kind="engine", models={LOCAL_MODEL: ModelEntry()}),
        PLAIN_SERVICE: ServiceEntry(kind="plain"),
    }
    workspaces = {
        name: WorkspaceEntry(plan="all", key_hashes=[hash_api_key(key)])
        for key, name in WORKSPACES.items()
    }
    return ListsDocument(
        plan_list=PlanList(workspaces),
        allowance_list=AllowanceList({"all": plan}, services),
    )


async def put_lists(keyspace: Keyspace, document: ListsDocument) -> None:
    """Write the first version of the lists to the keyspace of a store stand-in."""
    editor = ListsEditor(MemoryStore(keyspace))
    entries = difference(EMPTY_STATE, document)
    await editor.submit(Edit(entries, "local", "start of the deployment"))
