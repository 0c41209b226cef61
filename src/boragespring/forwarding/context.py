"""Dependencies shared by the classes that forward requests."""

import random
import time
from collections.abc import Callable

from attrs import frozen

from boragespring.decisions import DecisionLog
from boragespring.fleet import BackendServer, Fleet
from boragespring.forwarding.crash_detection import CrashDetector
from boragespring.forwarding.jobs import Job
from boragespring.forwarding.messages import BackendCalls, Refusal, RefusalReason
from boragespring.forwarding.pauses import first_return_s, spread_return_s
from boragespring.forwarding.placement import PlacementSettings
from boragespring.forwarding.retry_budget import RetryBudget
from boragespring.metrics.gateway import GatewayMetrics
from boragespring.quarantine import PromptQuarantine

__all__ = ["ForwardingContext"]


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
    quarantine : PromptQuarantine
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
    """

    fleet: Fleet
    calls: BackendCalls
    budget: RetryBudget
    crash_detector: CrashDetector
    quarantine: PromptQuarantine
    log: DecisionLog
    zone: str
    placement: PlacementSettings
    metrics: GatewayMetrics
    notify_loads: Callable[[], None] = _notify_nobody

    def refuse_prompt(self, job: Job) -> Refusal | None:
        """Return a refusal if the prompt of a job is held to crash servers."""
        decision = self.quarantine.check(
            job.service.name, job.shared_prompt, job.request_id
        )
        if decision is None:
            return None
        return Refusal(RefusalReason.QUARANTINED, True, decision.trial_in_s)

    def must_not_repeat(self, job: Job) -> bool:
        """Return whether a run of a job may crash the next server as well."""
        return self.quarantine.is_suspected(job.service.name, job.shared_prompt)

    def must_stay(self, server: BackendServer, job: Job) -> bool:
        """Return whether a run must not go on elsewhere, as it is still starting."""
        is_starting = self.crash_detector.is_starting(server, job.request_id)
        return is_starting and self.must_not_repeat(job)

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
