"""Checks across entries of the document: references, key hashes and capacity."""

import itertools
import re
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping

from attrs import frozen

from boragespring.lists.model import Allowance, ListKind, ListsDocument, ServiceEntry
from boragespring.settings import FieldError

__all__ = ["CapacityWarning", "capacity_warnings", "check_document"]

_HEX_HASH = re.compile(r"[0-9a-f]{64}")
_NAMES_SHOWN_MAX = 8
_ENGINE_SERVICE_FIELDS = ("models", "roles")
_PLAIN_SERVICE_FIELDS = ("non_idempotent_routes", "idempotent_routes")


@frozen
class CapacityWarning:
    """Warning that plans promise more than the declared capacity of a service.

    Parameters
    ----------
    path : str
        Path of the capacity field in the document.
    promised : float
        Sum over all workspaces whose plan includes the service.
    capacity : float
        Declared capacity.
    """

    path: str
    promised: float
    capacity: float

    def __str__(self) -> str:
        return f"{self.path}: plans promise {self.promised:g} of {self.capacity:g}"


def check_document(
    document: ListsDocument, names: Mapping[ListKind, set[str]], source_name: str
) -> Iterator[FieldError]:
    """Yield the errors that the types and ranges of the fields cannot express.

    Parameters
    ----------
    document : ListsDocument
        Document of the entries that are valid by themselves.
    names : mapping
        Names of all entries by kind, including invalid ones.
    source_name : str
        Name of the source, used in error messages.
    """
    invalid_values = itertools.chain(
        _reference_errors(document, names),
        _model_errors(document),
        _hash_errors(document),
        _service_errors(document),
    )
    for path, value, allowed in invalid_values:
        yield FieldError(source_name, path, repr(value), allowed)


def capacity_warnings(document: ListsDocument) -> list[CapacityWarning]:
    """Return a warning for each declared capacity that the plans exceed in total."""
    workspace_counts = Counter(
        entry.plan for entry in document.plan_list.workspaces.values()
    )
    plans = document.allowance_list.plans
    warnings = (
        warning
        for name, service in document.allowance_list.services.items()
        for warning in _service_warnings(
            name,
            service,
            [(p, workspace_counts[n]) for n, p in plans.items() if name in p.services],
        )
    )
    return list(warnings)


def _service_warnings(
    name: str, service: ServiceEntry, plans: list[tuple[Allowance, int]]
) -> Iterator[CapacityWarning]:
    path = f"{ListKind.SERVICE}[{name!r}]"
    tokens_per_s = sum(plan.tokens_per_s * count for plan, count in plans)
    concurrency = sum(plan.concurrency_max * count for plan, count in plans)
    capacities = (
        ("capacity_tokens_per_s", tokens_per_s, service.capacity_tokens_per_s),
        ("capacity_concurrency", concurrency, service.capacity_concurrency),
    )
    for field, promised, capacity in capacities:
        if capacity and promised > capacity:
            yield CapacityWarning(f"{path}.{field}", promised, capacity)


InvalidValue = tuple[str, object, str]


def _describe_choices(names: set[str]) -> str:
    shown = sorted(names)[:_NAMES_SHOWN_MAX]
    more = ", ..." if len(names) > len(shown) else ""
    return f"one of {', '.join(shown)}{more}" if names else "none is defined"


def _reference_errors(
    document: ListsDocument, names: Mapping[ListKind, set[str]]
) -> Iterator[InvalidValue]:
    plans, services = names[ListKind.PLAN], names[ListKind.SERVICE]
    for name, workspace in document.plan_list.workspaces.items():
        if workspace.plan not in plans:
            path = f"{ListKind.WORKSPACE}[{name!r}].plan"
            yield path, workspace.plan, _describe_choices(plans)
    for name, plan in document.allowance_list.plans.items():
        for index, service in enumerate(plan.services):
            if service not in services:
                path = f"{ListKind.PLAN}[{name!r}].services[{index}]"
                yield path, service, _describe_choices(services)


def _model_errors(document: ListsDocument) -> Iterator[InvalidValue]:
    """Yield models that no service of the plan serves, and empty priority classes."""
    services = document.allowance_list.services
    for name, plan in document.allowance_list.plans.items():
        served = {m for s in plan.services if s in services for m in services[s].models}
        all_known = all(service in services for service in plan.services)
        for index, model in enumerate(plan.models):
            if all_known and model not in served:
                path = f"{ListKind.PLAN}[{name!r}].models[{index}]"
                yield path, model, _describe_choices(served)
        if not plan.priority_classes:
            path = f"{ListKind.PLAN}[{name!r}].priority_classes"
            yield path, [], "at least one class"


def _hash_errors(document: ListsDocument) -> Iterator[InvalidValue]:
    paths_by_hash: defaultdict[str, list[str]] = defaultdict(list)
    for name, workspace in document.plan_list.workspaces.items():
        for index, key_hash in enumerate(workspace.key_hashes):
            path = f"{ListKind.WORKSPACE}[{name!r}].key_hashes[{index}]"
            paths_by_hash[key_hash].append(path)
            if not _HEX_HASH.fullmatch(key_hash):
                yield path, key_hash, "64 lowercase hexadecimal digits"
    for key_hash, paths in paths_by_hash.items():
        for path in paths[1:]:
            yield path, key_hash, f"a key hash that {paths[0]} does not use"


def _service_errors(document: ListsDocument) -> Iterator[InvalidValue]:
    for name, service in document.allowance_list.services.items():
        path = f"{ListKind.SERVICE}[{name!r}]"
        fields = (
            _ENGINE_SERVICE_FIELDS if service.kind == "plain" else _PLAIN_SERVICE_FIELDS
        )
        for field in fields:
            if getattr(service, field):
                yield f"{path}.{field}", "entries", f"none for kind {service.kind}"
        for field in _PLAIN_SERVICE_FIELDS:
            for index, route in enumerate(getattr(service, field)):
                if not route.path.startswith("/"):
                    route_path = f"{path}.{field}[{index}].path"
                    yield route_path, route.path, "a path that starts with /"
