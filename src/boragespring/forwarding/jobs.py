"""Turn a caller's request into a job, or refuse it."""

import random
import time
from collections.abc import Callable

from attrs import frozen

from boragespring.catalog import (
    Catalog,
    CatalogHolder,
    RequestKind,
    Route,
    Service,
)
from boragespring.forwarding.messages import (
    Attempt,
    CallerRequest,
    Refusal,
    RefusalReason,
    ResumePoint,
)

__all__ = ["Job", "RequestValidator", "RequestValidatorSettings"]

URGENCY_MAX = 9


@frozen
class RequestValidatorSettings:
    """When the gate trusts the catalog.

    Parameters
    ----------
    catalog_age_max_s : float
        Age from which no request is served by a catalog, where keys that were
        taken away must not be served during an outage of the store; else
        infinite.
    uncertain_age_s : float
        Age from which an unknown route or key is not said to be unknown, as a
        newer catalog may have it.
    retry_after_s : float
        When a repeat reaches another gateway or a newer catalog.
    start_retry_after_s : float
        When to come back to a gateway that has no catalog yet.
    leaving_retry_after_s : float
        When to come back after a gateway that stops; any other one will do.
    stop_leniency_s : float
        Time from the begin of a stop in which a stream counts by its expected
        length, where no other gateway would serve it.
    first_event_max_s, token_interval_max_s : float
        Longest usual time to the first event of a stream, and between two of
        its tokens; a stop counts on them.
    """

    catalog_age_max_s: float = float("inf")
    uncertain_age_s: float = 1.5
    retry_after_s: float = 0.2
    start_retry_after_s: float = 2.5
    leaving_retry_after_s: float = 0.05
    stop_leniency_s: float = 2.5
    first_event_max_s: float = 1.0
    token_interval_max_s: float = 0.012


@frozen
class Job:
    """Request that the catalog allows.

    Parameters
    ----------
    request : CallerRequest
        The request.
    route : Route
        Route that it takes.
    service : Service
        Service that answers it.
    workspace : str
        Workspace of the caller; empty for a public route.
    urgency : int
        Rank, 0 the most urgent.
    deadline_s : float
        Monotonic time of the final answer.
    catalog_version : int
        Version that allowed it.
    """

    request: CallerRequest
    route: Route
    service: Service
    workspace: str
    urgency: int
    deadline_s: float
    catalog_version: int

    @property
    def request_id(self) -> str:
        """Identity of the request."""
        return self.request.request_id

    def attempt(self, resume: ResumePoint | None = None) -> Attempt:
        """Return a dispatch of the job."""
        return Attempt(
            request=self.request,
            workspace=self.workspace,
            deadline_s=self.deadline_s,
            urgency=self.urgency if self.service.engine is not None else None,
            resume=resume,
        )


def _always_true() -> bool:
    return True


class RequestValidator:
    """Check requests against the catalog in force.

    Parameters
    ----------
    holder : CatalogHolder
        Catalog in force and its age.
    settings : RequestValidatorSettings
        Trust in the catalog.
    rng : random.Random
        Chooses among the services of a split route.
    clock : callable, default=time.monotonic
        Source of time in seconds.
    """

    def __init__(
        self,
        holder: CatalogHolder,
        settings: RequestValidatorSettings,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._holder = holder
        self._settings = settings
        self._rng = rng or random.Random()
        self._clock = clock
        #: Monotonic time at which this gateway ends; None while it serves.
        self.stops_at_s: float | None = None
        self._stopping_since_s = 0.0
        #: Whether a gateway is known that is not stopping.
        self.has_other_gateway: Callable[[], bool] = _always_true

    def apply(self, settings: RequestValidatorSettings) -> None:
        """Put new settings in force."""
        self._settings = settings

    def stop_at(self, stops_at_s: float) -> None:
        """Take only what ends before a monotonic time from now on."""
        self.stops_at_s = stops_at_s
        self._stopping_since_s = self._clock()

    @property
    def is_catalog_usable(self) -> bool:
        """Whether requests can be served by the catalog in force."""
        return (
            self._holder.catalog is not None
            and self._holder.age_s <= self._settings.catalog_age_max_s
        )

    def validate(self, request: CallerRequest) -> Job | Refusal:
        """Return the job of a request, or why there is none."""
        catalog = self._holder.catalog
        if catalog is None:
            return Refusal(
                RefusalReason.NO_CATALOG, True, self._settings.start_retry_after_s
            )
        if not self.is_catalog_usable:
            return self._refuse_retryable(RefusalReason.STALE_CATALOG)
        route = catalog.find_route(request.host, request.path)
        if route is None:
            return self._refuse_unknown(RefusalReason.NO_ROUTE)
        workspace, priority = "", None
        if catalog.needs_key(route):
            matched = catalog.find_workspace(request.credential)
            if matched is None:
                return self._refuse_unknown(RefusalReason.UNKNOWN_KEY)
            workspace, priority = matched.name, matched.priority
        return self._build_job(request, catalog, route, workspace, priority)

    def _build_job(
        self,
        request: CallerRequest,
        catalog: Catalog,
        route: Route,
        workspace: str,
        priority: int | None,
    ) -> Job | Refusal:
        weights = [share.weight for share in route.shares]
        name = self._rng.choices(route.shares, weights)[0].service
        service = catalog.services.get(name)
        if service is None:
            return self._refuse_retryable(RefusalReason.NO_SERVER)
        rank = route.priority if priority is None else priority
        deadline_s = min(request.deadline_s, request.arrived_at_s + route.timeout_s)
        if deadline_s <= self._clock():
            return Refusal(RefusalReason.TOO_LATE, was_not_run=True)
        if self._could_outlive_gateway(request, route, deadline_s):
            return Refusal(RefusalReason.LEAVING, True, self._leaving_retry_after_s())
        return Job(
            request=request,
            route=route,
            service=service,
            workspace=workspace,
            urgency=min(max(rank, 0), URGENCY_MAX),
            deadline_s=deadline_s,
            catalog_version=catalog.version,
        )

    def _could_outlive_gateway(
        self, request: CallerRequest, route: Route, deadline_s: float
    ) -> bool:
        """Return whether the stop of this gateway might cut the answer."""
        if self.stops_at_s is None:
            return False
        now_s, end_s = self._clock(), deadline_s
        if route.kind is RequestKind.STREAMING and request.prompt is not None:
            is_early = now_s - self._stopping_since_s < self._settings.stop_leniency_s
            is_lenient = is_early and not self.has_other_gateway()
            prompt, settings = request.prompt, self._settings
            tokens = prompt.output_tokens if is_lenient else prompt.output_max_tokens
            duration_s = (
                settings.first_event_max_s + tokens * settings.token_interval_max_s
            )
            end_s = min(deadline_s, now_s + duration_s)
        return end_s > self.stops_at_s

    def _leaving_retry_after_s(self) -> float:
        """Return when another gateway, or the next start of this one, serves."""
        if self.stops_at_s is None or self.has_other_gateway():
            return self._settings.leaving_retry_after_s
        left_s = max(0.0, self.stops_at_s - self._clock())
        return left_s + self._settings.start_retry_after_s

    def _refuse_unknown(self, reason: RefusalReason) -> Refusal:
        if self._holder.age_s > self._settings.uncertain_age_s:
            return self._refuse_retryable(RefusalReason.STALE_CATALOG)
        return Refusal(reason, was_not_run=True)

    def _refuse_retryable(self, reason: RefusalReason) -> Refusal:
        return Refusal(reason, True, self._settings.retry_after_s)
