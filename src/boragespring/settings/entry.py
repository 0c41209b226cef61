"""Settings of an entry."""

from typing import Literal

from attrs import Factory, frozen

from boragespring.settings.common import (
    AddressSettings,
    LinkSettings,
    PlacementSettings,
    PlatformSettings,
    ProcessSettings,
    WeightSettings,
)
from boragespring.settings.types import Bytes, Count, Name, Seconds

__all__ = ["CallerSettings", "ClaimSettings", "EntrySettings", "RoutingSettings"]


@frozen
class CallerSettings:
    """Limits on the requests and the pace of one caller.

    Parameters
    ----------
    body_max_bytes : int
        Maximum size of a request body, in bytes.
    header_max_bytes : int
        Maximum size of the request line and the headers, in bytes.
    header_timeout_s : float
        Maximum time in seconds from the first byte of a request to the end of its
        headers.
    idle_timeout_s : float
        Time in seconds without a request after which a connection is closed.
    max_tokens_max : int
        Maximum value of ``max_tokens`` that a request is allowed to specify.
    max_tokens_default : int
        Value of ``max_tokens`` for a request that does not specify it.
    deadline_default_s : float
        Time limit in seconds of a request for which the lists set none.
    window_tokens : int
        Flow-control window: tokens that an agent is allowed to send before the
        caller has received them.
    resume_timeout_s : float
        Time in seconds to wait for a lost link to be restored when the answer
        cannot restart. Agents should keep answers for longer than this.
    write_timeout_s : float
        Time in seconds without the caller receiving anything after which its
        connection is closed.
    """

    body_max_bytes: Bytes = 4 * 2**20
    header_max_bytes: Bytes = 64 * 2**10
    header_timeout_s: Seconds = 60.0
    idle_timeout_s: Seconds = 3600.0
    max_tokens_max: Count = 131_072
    max_tokens_default: Count = 1024
    deadline_default_s: Seconds = 3600.0
    window_tokens: Count = 256
    resume_timeout_s: Seconds = 8.0
    write_timeout_s: Seconds = 60.0


@frozen
class RoutingSettings:
    """Policy by which an agent is selected for a request.

    Parameters
    ----------
    policy : str
        ``predicted_wait``, ``least_requests`` or ``round_robin``.
    zone_penalty_s : float
        Waiting time in seconds that an agent in another availability zone must
        save to be preferred.
    zone_links_max, spill_links_max : int
        Maximum number of agents of each service to which an entry keeps links:
        in its own availability zone, and in all other zones of its region
        together.
    """

    policy: Literal["predicted_wait", "least_requests", "round_robin"] = (
        "predicted_wait"
    )
    zone_penalty_s: Seconds = 0.25
    zone_links_max: Count = 24
    spill_links_max: Count = 12


@frozen
class ClaimSettings:
    """Claims of requests that must run at most once.

    Parameters
    ----------
    store_timeout_s : float
        Time in seconds to resolve a claim in the store before the request is
        refused as not run.
    outcome_timeout_s : float
        Time in seconds for which recording an outcome is retried.
    retention_s : float
        Minimum time in seconds for which an idempotency key stays claimed.
    lease_window_s : float
        Time in seconds for which new claims share one lease of the store.
    group_interval_s : float
        Minimum time in seconds between two writes of claims to the store.
    outcome_body_max_bytes : int
        Maximum size in bytes of a response body that is recorded with an outcome.
    """

    store_timeout_s: Seconds = 3.0
    outcome_timeout_s: Seconds = 30.0
    retention_s: Seconds = 3600.0
    lease_window_s: Seconds = 600.0
    group_interval_s: Seconds = 0.02
    outcome_body_max_bytes: Bytes = 4096


@frozen
class EntrySettings:
    """Settings of one entry.

    Parameters
    ----------
    name : str
        Name of the instance, unique in the deployment.
    placement : PlacementSettings
        Deployment, region and availability zone.
    http : AddressSettings
        Address that serves callers, metrics and health checks.
    link : AddressSettings
        Address that accepts links from other entries.
    platform : PlatformSettings
        The platform's services.
    links : LinkSettings
        Heartbeats and timeouts of the links.
    callers : CallerSettings
        Limits on the requests and the pace of one caller.
    process : ProcessSettings
        Memory and descriptors of the process, half of which callers may use.
    claims : ClaimSettings
        Claims of requests that must run at most once.
    weights : WeightSettings
        Relative weights of the measures that the deployment minimizes; only
        agents use them.
    routing : RoutingSettings
        Policy by which an agent is selected for a request.
    leave_grace_s : float
        Time in seconds for which a leaving entry keeps accepting requests, so
        that the load balancer can remove it first.
    stop_timeout_s : float
        Maximum time in seconds for which a leaving entry waits for running
        requests.
    """

    name: Name
    placement: PlacementSettings
    http: AddressSettings
    link: AddressSettings
    platform: PlatformSettings
    links: LinkSettings = Factory(LinkSettings)
    callers: CallerSettings = Factory(CallerSettings)
    process: ProcessSettings = Factory(ProcessSettings)
    claims: ClaimSettings = Factory(ClaimSettings)
    weights: WeightSettings = Factory(WeightSettings)
    routing: RoutingSettings = Factory(RoutingSettings)
    leave_grace_s: Seconds = 5.0
    stop_timeout_s: Seconds = 3600.0
