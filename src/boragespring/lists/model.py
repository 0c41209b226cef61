"""Data model of the plan list and the allowance list."""

import hashlib
from enum import StrEnum
from typing import Annotated, Literal

from attrs import Factory, frozen

from boragespring.settings import Range
from boragespring.settings.types import (
    Count,
    Fraction,
    Name,
    OptionalCount,
    PerSecond,
    Seconds,
)

__all__ = [
    "FORMAT",
    "Allowance",
    "AllowanceList",
    "EngineRole",
    "ListKind",
    "ListsDocument",
    "ModelEntry",
    "PlanList",
    "PriorityClass",
    "RouteEntry",
    "ServiceEntry",
    "WorkspaceEntry",
    "hash_api_key",
]

#: Document format that this release writes.
FORMAT = 2

PriorityClass = Literal["interactive", "standard", "batch"]
EngineRole = Literal["mixed", "prefill", "decode"]
Weight = Annotated[float, Range(0.01, 1000.0)]
KeyHash = Annotated[str, Range(64, 64)]
Contact = Annotated[str, Range(1, 320)]
Note = Annotated[str, Range(0, 1000)]
Path = Annotated[str, Range(1, 500)]


class ListKind(StrEnum):
    """Kind of a named entry; the value is its path in the document."""

    WORKSPACE = "plan_list.workspaces"
    PLAN = "allowance_list.plans"
    SERVICE = "allowance_list.services"


@frozen
class WorkspaceEntry:
    """Plan, API keys and contacts of one workspace.

    Parameters
    ----------
    plan : str
        Name of the workspace's plan in the allowance list.
    key_hashes : list of str
        SHA-256 hash of each of its API keys, as lowercase hexadecimal digits.
    contacts : list of str
        Contacts of record of the customer.
    note : str
        Free-form note for operators.
    """

    plan: Name
    key_hashes: list[KeyHash] = Factory(list)
    contacts: list[Contact] = Factory(list)
    note: Note = ""


@frozen
class Allowance:
    """Services, models and limits of one plan.

    Parameters
    ----------
    services : list of str
        Services that callers on this plan are allowed to call.
    models : list of str
        Models that callers on this plan are allowed to use.
    priority_classes : list of str
        Priority classes that a request can select; the first is the default.
    weight : float
        Share of an overloaded backend server, relative to the other plans.
    concurrency_max : int
        Maximum number of concurrent requests of a workspace.
    requests_per_s : float
        Sustained request rate of a workspace.
    request_burst : int
        Maximum burst of requests.
    tokens_per_s : float
        Sustained token rate of a workspace.
    token_burst_s : float
        Maximum burst of tokens, in seconds of the token rate.
    deadline_s : float
        Default deadline of a request in seconds, and the longest deadline that a
        request can set.
    queue_max : int
        Maximum number of requests of a workspace that wait at one agent.
    retry_ratio : float
        Maximum ratio of internal retries to requests.
    note : str
        Free-form note for operators.
    """

    services: list[Name]
    models: list[Name] = Factory(list)
    priority_classes: list[PriorityClass] = Factory(lambda: ["standard"])
    weight: Weight = 1.0
    concurrency_max: Count = 16
    requests_per_s: PerSecond = 10.0
    request_burst: Count = 10
    tokens_per_s: PerSecond = 5000.0
    token_burst_s: Seconds = 10.0
    deadline_s: Seconds = 3600.0
    queue_max: OptionalCount = 100
    retry_ratio: Fraction = 0.1
    note: Note = ""


@frozen
class RouteEntry:
    """Route of a plain service: an HTTP method and a path pattern.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path relative to the service. ``*`` matches one segment; a trailing
        ``**`` matches any number of segments.
    """

    method: Literal["GET", "POST", "PUT", "PATCH", "DELETE"]
    path: Path


@frozen
class ModelEntry:
    """Desired state of one model on the backend servers of a service.

    Parameters
    ----------
    version : str
        Version to serve; if empty, the engine chooses.
    adapters : dict
        Version of each adapter, by adapter name.
    servers_min : int
        Minimum number of backend servers that keep the model loaded.
    """

    version: Annotated[str, Range(0, 100)] = ""
    adapters: dict[Name, Name] = Factory(dict)
    servers_min: Count = 1


@frozen
class ServiceEntry:
    """One service and the desired state of its backend servers.

    Parameters
    ----------
    kind : str
        ``engine`` or ``plain``.
    models : dict
        Desired state of each model, by model name.
    roles : dict
        Desired number of backend servers by role; if empty, roles are not managed.
    non_idempotent_routes : list of RouteEntry
        Routes of a plain service whose requests must run at most once. POST and
        PATCH routes are non-idempotent by default.
    idempotent_routes : list of RouteEntry
        POST and PATCH routes whose requests are safe to retry.
    capacity_tokens_per_s : float
        Declared capacity in tokens per second, used for warnings; 0 if undeclared.
    capacity_concurrency : int
        Declared number of concurrent requests, used for warnings; 0 if undeclared.
    note : str
        Free-form note for operators.
    """

    kind: Literal["engine", "plain"]
    models: dict[Name, ModelEntry] = Factory(dict)
    roles: dict[EngineRole, OptionalCount] = Factory(dict)
    non_idempotent_routes: list[RouteEntry] = Factory(list)
    idempotent_routes: list[RouteEntry] = Factory(list)
    capacity_tokens_per_s: Annotated[float, Range(0.0, 1e9)] = 0.0
    capacity_concurrency: OptionalCount = 0
    note: Note = ""


@frozen
class PlanList:
    """Plans that the customers have bought, by workspace."""

    workspaces: dict[Name, WorkspaceEntry] = Factory(dict)


@frozen
class AllowanceList:
    """Allowances of the plans, and the available services."""

    plans: dict[Name, Allowance] = Factory(dict)
    services: dict[Name, ServiceEntry] = Factory(dict)


@frozen
class ListsDocument:
    """Both lists in one document, so that references between them can be validated."""

    format: Literal[2] = 2
    plan_list: PlanList = Factory(PlanList)
    allowance_list: AllowanceList = Factory(AllowanceList)


def hash_api_key(api_key: str) -> str:
    """Return the hash under which the plan list stores an API key."""
    return hashlib.sha256(api_key.encode()).hexdigest()
