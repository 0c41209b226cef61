"""Operator-managed configuration: the plan list and the allowance list.

The plan list maps each workspace to the plan that it has bought. The allowance list
defines the services and what each plan is allowed to use of them. Both are stored,
versioned and distributed to all processes as one document.
"""

from boragespring.lists.checks import CapacityWarning, capacity_warnings
from boragespring.lists.document import parse_document, structure_document
from boragespring.lists.errors import ListsError, ListsInvalidError, ListsSyntaxError
from boragespring.lists.model import (
    Allowance,
    AllowanceList,
    ListKind,
    ListsDocument,
    ModelEntry,
    PlanList,
    RouteEntry,
    ServiceEntry,
    WorkspaceEntry,
    hash_api_key,
)
from boragespring.lists.replica import ListsReplica
from boragespring.lists.view import ListsView, Workspace

__all__ = [
    "Allowance",
    "AllowanceList",
    "CapacityWarning",
    "ListKind",
    "ListsDocument",
    "ListsError",
    "ListsInvalidError",
    "ListsReplica",
    "ListsSyntaxError",
    "ListsView",
    "ModelEntry",
    "PlanList",
    "RouteEntry",
    "ServiceEntry",
    "Workspace",
    "WorkspaceEntry",
    "capacity_warnings",
    "hash_api_key",
    "parse_document",
    "structure_document",
]
