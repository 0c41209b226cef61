"""Dependencies shared by the classes that forward requests."""

import random
import time
from collections.abc import Callable, Collection

from attrs import field, frozen

from boragespring.decisions import DecisionLog
from boragespring.fleet import BackendServer, Fleet, ServerPaces
from boragespring.forwarding.crash_detection import CrashDetector
from boragespring.forwarding.jobs import Job, traits_of
from boragespring.forwarding.messages import BackendCalls, Refusal, RefusalReason
from boragespring.forwarding.pauses import first_return_s, spread_return_s
from boragespring.forwarding.placement import PlacementSettings
from boragespring.forwarding.retry_budget import RetryBudget
from boragespring.forwarding.unanswered import UnansweredRequests
from boragespring.metrics.gateway import GatewayMetrics
from boragespring.outliers import OutlierDetector
from boragespring.quarantine import RequestQuarantine, Traits
from boragespring.server_rates import ServerRateLimiter

__all__ = ["ForwardingContext"]


#: Fraction of the remaining time for which a request waits for a permit; the rest is
#: left to its execution.
MAX_WAIT_SHARE = 0.5
#: Retry delay if the server for which a request waited takes none any longer.
RETRY_AFTER_S = 0.25


def _notify_nobody() -> None:
    """Do nothing; the default for a gateway without peers."""


@frozen
class ForwardingContext:
    """Dependencies shared by the classes that forward requests.

    Parameters
    ----------
    fleet : Fleet
        Known backend servers and their load.
    calls : BackendCalls
        Client for the backend servers.
    budget : RetryBudget
        Limit on the number of retries.
    crash_detector : CrashDetector
        Detects crashes of the servers on which runs are starting.
    rates : ServerRateLimiter
        Keeps the rates that servers take.
    paces : ServerPaces
        Pace of each server.
    outliers : OutlierDetector
        Ejects servers that fail more requests than others.
    quarantine : RequestQuarantine
        Decides which requests are not sent as their prompts crash servers.
    log : DecisionLog
        Log of forwarding decisions.
    zone : str
        Availability zone of this gateway.
    placement : PlacementSettings
        Weights used to choose a server.
    metrics : GatewayMetrics
        Counters and histograms.
    notify_loads : callable
        Called after the load of a server has changed, to update other gateways.
    unanswered : UnansweredRequests
        Requests that wait for their answer.
    """

    fleet: Fleet
    calls: BackendCalls
    budget: RetryBudget
    crash_detector: CrashDetector
    rates: ServerRateLimiter
    paces: ServerPaces
    outliers: OutlierDetector
    quarantine: RequestQuarantine
    log: DecisionLog
    zone: str
    placement: PlacementSettings
    metrics: GatewayMetrics
    notify_loads: Callable[[], None] = _notify_nobody
    unanswered: UnansweredRequests = field(factory=UnansweredRequests)

    async def wait_for_server(
        self, job: Job, excluded: Collection[str], rng: random.Random
    ) -> BackendServer | Refusal | None:
        """Wait until a server takes one more request, if only its rate is in the way.

        Parameters
        ----------
        job : Job
            Request that no server takes now.
        excluded : collection of str
            Identifiers of the servers that the request was sent to.
        rng : random.Random
            Spreads the delays of refused requests.

        Returns
        -------
        BackendServer, Refusal or None
            Server to send the request to at once, a refusal if that would be too late,
            or None if no server is held back by its rate.
        """
        now_s = time.monotonic()
        servers = [
            server
            for server in self.fleet.candidates(job.service.name)
            if server.is_rate_limited(now_s)
            and not server.is_paused(now_s)
            and server.server_id not in excluded
        ]
        if not servers:
            return None
        max_wait_s = MAX_WAIT_SHARE * (job.deadline_s - now_s)
        found = await self.rates.wait_for_permit(
            servers, excluded, max_wait_s, job.urgency
        )
        if isinstance(found, BackendServer):
            is_drained = found.availability_zone in self.fleet.drained_zones
            if found.is_leaving or is_drained or found.is_paused(time.monotonic()):
                retry_after_s = self.retry_after_s(job, RETRY_AFTER_S, rng)
                return Refusal(RefusalReason.NO_SERVER, True, retry_after_s)
            return found
        self.log.failure(
            "all_servers_rate_limited",
            job.request_id,
            servers=len(servers),
            next_permit_s=round(found, 3),
            max_wait_s=round(max_wait_s, 3),
        )
        retry_after_s = spread_return_s(found, rng)
        return Refusal(RefusalReason.RATE_LIMITED, True, retry_after_s)

    def prefetch_permits(self, job: Job) -> None:
        """Ask for permits of the servers that only their rates hold back."""
        now_s = time.monotonic()
        servers = self.fleet.candidates(job.service.name)
        limited = [server for server in servers if server.rate_per_s(now_s) is not None]
        if any(server.cold_left_s(now_s) and not server.permits for server in limited):
            self.metrics.record_held_back()
        self.rates.prefetch(limited)

    def refuse_quarantined(self, job: Job) -> Refusal | None:
        """Return a refusal if a job is held to crash its servers."""
        decision = self.quarantine.check(
            job.service.name, self._traits(job), job.request_id
        )
        if decision is None:
            return None
        return Refusal(RefusalReason.QUARANTINED, True, decision.trial_in_s)

    async def must_not_repeat(self, job: Job, server: BackendServer) -> bool:
        """Return whether a job whose connection broke may crash the next server too."""
        name = job.service.name
        if not self.quarantine.evidence.is_implicated(name, self._traits(job)):
            # One crash says too little, so that it need not be waited for.
            return False
        has_crashed = await self.crash_detector.has_crashed(server)
        return has_crashed and bool(self.quarantine.suspects(name, self._traits(job)))

    def must_stay(self, server: BackendServer, job: Job) -> bool:
        """Return whether a run must not go on elsewhere, as it may crash servers."""
        suspects = self.quarantine.suspects(job.service.name, self._traits(job))
        is_starting = self.crash_detector.is_starting(server, job.request_id)
        return any(suspect.is_request or is_starting for suspect in suspects)

    def _traits(self, job: Job) -> Traits:
        return traits_of(job, self.quarantine.evidence)

    def retry_after_s(self, job: Job, default_s: float, rng: random.Random) -> float:
        """Return the retry delay in seconds for a request that no server accepts.

        Parameters
        ----------
        job : Job
            Request that is refused.
        default_s : float
            Delay in seconds unless all servers of the service are paused.
        rng : random.Random
            Spreads the delays of refused requests.
        """
        servers = self.fleet.candidates(job.service.name)
        wait_s = first_return_s(servers, time.monotonic())
        if wait_s is None:
            return default_s
        self.log.failure(
            "all_servers_paused",
            job.request_id,
            servers=len(servers),
            first_return_s=round(wait_s, 3),
        )
        return max(default_s, spread_return_s(wait_s, rng))
