"""Validate callers' requests against the catalog and turn them into jobs."""

import random
import time
from collections.abc import Callable
from functools import cached_property

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
from boragespring.forwarding.progress import RequestProgress
from boragespring.quarantine import CrashEvidence, RequestIdentity, Traits

__all__ = ["Job", "RequestValidator", "RequestValidatorSettings", "traits_of"]

URGENCY_MAX = 9
NO_PROMPT: Traits = frozenset()


@frozen
class RequestValidatorSettings:
    """Limits on the age of the catalog, retry delays and timing of a shutdown.

    Parameters
    ----------
    catalog_age_max_s : float
        Catalog age in seconds beyond which every request is refused. Finite where
        revoked keys must stop working even during an outage of the store;
        infinite otherwise.
    uncertain_age_s : float
        Catalog age in seconds beyond which a missing route or key is refused as
        `STALE_CATALOG` instead of as unknown, because a newer catalog may
        contain it.
    retry_after_s : float
        Delay in seconds after which a retry can reach another gateway or a newer
        catalog.
    start_retry_after_s : float
        Retry delay in seconds while this gateway has not loaded a catalog yet.
    leaving_retry_after_s : float
        Retry delay in seconds while this gateway is shutting down. It is short
        because any other gateway can serve the retry at once.
    stop_leniency_s : float
        Period in seconds from the start of a shutdown during which a stream that no
        other gateway could serve is accepted if it is expected to end in time.
        Outside it, only the deadline counts.
    first_event_max_s, token_interval_max_s : float
        Upper ends of the normal range, in seconds, of the time to the first event
        of a stream and of the interval between two tokens. They are used to
        estimate whether a stream ends before the shutdown.
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
    """Request that has been validated against the catalog.

    Parameters
    ----------
    request : CallerRequest
        Request as received from the caller.
    route : Route
        Route that matches the request.
    service : Service
        Service selected to process the request.
    workspace : str
        Workspace of the caller; empty for a public route.
    urgency : int
        Priority from 0, the most urgent, to `URGENCY_MAX`.
    deadline_s : float
        Monotonic time in seconds by which the request must be answered.
    catalog_version : int
        Version of the catalog that the request was validated against.
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
        """Identifier of the request."""
        return self.request.request_id

    @property
    def progress(self) -> RequestProgress:
        """Progress of the request."""
        return self.request.progress

    @property
    def shared_prompt(self) -> Traits:
        """Parts of the prompt that other requests may share; empty if none."""
        prompt = self.request.prompt
        return prompt.shared_part_ids if prompt is not None else NO_PROMPT

    @property
    def logged_prompt(self) -> list[str]:
        """The first of these parts, for the log."""
        prompt = self.request.prompt
        return prompt.logged_part_ids if prompt is not None else []

    @cached_property
    def identity(self) -> RequestIdentity:
        """What makes other requests the same."""
        request = self.request
        return RequestIdentity(
            request.host,
            request.path,
            self.workspace,
            request.body,
            request.method,
            request.query,
            request.constant_headers,
        )

    @property
    def last_event_id(self) -> str:
        """Identifier of the event after which the stream starts; empty for all."""
        return self.request.last_event_id if self.route.is_resumable else ""

    def attempt(self, resume: ResumePoint | None = None) -> Attempt:
        """Build one attempt to run the job on a backend server.

        Parameters
        ----------
        resume : ResumePoint, optional
            Copy from which the server continues a moved run.
        """
        return Attempt(
            request=self.request,
            workspace=self.workspace,
            deadline_s=self.deadline_s,
            urgency=self.urgency if self.service.engine is not None else None,
            resume=resume,
            last_event_id=self.last_event_id,
        )


def traits_of(job: Job, evidence: CrashEvidence) -> Traits:
    """Return the traits of a job that may be implicated in crashes."""
    if not evidence.has_crashes:
        return NO_PROMPT
    return evidence.known_traits(job.shared_prompt, job.identity)


def _always_true() -> bool:
    return True


class RequestValidator:
    """Validate requests against the active catalog.

    Parameters
    ----------
    holder : CatalogHolder
        Active catalog and its age.
    settings : RequestValidatorSettings
        Limits and retry delays.
    rng : random.Random, optional
        Selects a service of a route that is split among several.
    clock : callable, default=time.monotonic
        Source of monotonic time in seconds.
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
        #: Monotonic time in seconds at which this gateway exits; None while it
        #: is not shutting down.
        self.stops_at_s: float | None = None
        self._stopping_since_s = 0.0
        #: Returns whether another gateway is known that is not shutting down.
        self.has_other_gateway: Callable[[], bool] = _always_true

    def apply(self, settings: RequestValidatorSettings) -> None:
        """Replace the settings."""
        self._settings = settings

    def stop_at(self, stops_at_s: float) -> None:
        """Begin the shutdown: refuse requests whose reply it could interrupt.

        Parameters
        ----------
        stops_at_s : float
            Monotonic time in seconds at which this gateway exits.
        """
        self.stops_at_s = stops_at_s
        self._stopping_since_s = self._clock()

    @property
    def is_catalog_usable(self) -> bool:
        """Whether a catalog is loaded and recent enough to serve requests."""
        return (
            self._holder.catalog is not None
            and self._holder.age_s <= self._settings.catalog_age_max_s
        )

    def validate(self, request: CallerRequest) -> Job | Refusal:
        """Return the job for a request, or the refusal to send to the caller."""
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
        service = catalog.services.get(self._choose_service(route))
        if service is None:
            return self._refuse_retryable(RefusalReason.NO_SERVER)
        rank = route.priority if priority is None else priority
        deadline_s = min(request.deadline_s, request.arrived_at_s + route.timeout_s)
        if deadline_s <= self._clock():
            return Refusal(RefusalReason.TOO_LATE, was_not_run=True)
        if self._could_outlive_gateway(request, route, deadline_s):
            return Refusal(RefusalReason.LEAVING, True, self.leaving_retry_after_s())
        return Job(
            request=request,
            route=route,
            service=service,
            workspace=workspace,
            urgency=min(max(rank, 0), URGENCY_MAX),
            deadline_s=deadline_s,
            catalog_version=catalog.version,
        )

    def _choose_service(self, route: Route) -> str:
        """Return the name of one of the services of a route; empty if it has none."""
        weights = [share.weight for share in route.shares]
        if not any(weights):
            return ""
        return self._rng.choices(route.shares, weights)[0].service

    def _could_outlive_gateway(
        self, request: CallerRequest, route: Route, deadline_s: float
    ) -> bool:
        """Return whether the shutdown could interrupt the reply."""
        if self.stops_at_s is None or deadline_s <= self.stops_at_s:
            return False
        # How long a stream takes depends on what waits at its server, which delays it
        # without limit. An estimate is used only where a refusal would help no caller.
        now_s, prompt, settings = self._clock(), request.prompt, self._settings
        is_early = now_s - self._stopping_since_s < settings.stop_leniency_s
        is_stream = route.kind is RequestKind.STREAMING
        if prompt is None or not (is_stream and is_early) or self.has_other_gateway():
            return True
        events_s = prompt.output_tokens * settings.token_interval_max_s
        return now_s + settings.first_event_max_s + events_s > self.stops_at_s

    def leaving_retry_after_s(self) -> float:
        """Return the delay in seconds until any gateway accepts a retry.

        That is another gateway or, if all are shutting down, this one after its
        restart.
        """
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
