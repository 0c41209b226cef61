"""Settings of an agent."""

from typing import Literal

from attrs import Factory, frozen

from boragespring.settings.common import (
    AddressSettings,
    LinkSettings,
    PlacementSettings,
    PlatformSettings,
    WeightSettings,
)
from boragespring.settings.types import Bytes, Count, Name, Seconds, Text, Vendor

__all__ = ["AgentSettings", "AnswerSettings", "QueueSettings", "ServerSettings"]


@frozen
class ServerSettings:
    """The backend server that the agent manages.

    Parameters
    ----------
    service : str
        Service to which the backend server belongs.
    vendor : str
        Vendor whose API the server implements; ``plain`` for a plain service.
    url : str
        Base URL of the server's HTTP API.
    memory_tokens : int
        Memory for running generations, in tokens.
    concurrency_max : int
        Maximum number of requests that run at the same time.
    checks_fencing : bool
        Whether the server itself refuses orders with an outdated fencing number.
    cache_events_url : str
        URL of the server's cache events; empty if it publishes none.
    load_report_interval_s : float
        Interval between two reads of the server's load report, in seconds.
    """

    service: Name
    vendor: Vendor
    url: Name
    memory_tokens: Count = 100_000
    concurrency_max: Count = 256
    checks_fencing: bool = False
    cache_events_url: Text = ""
    load_report_interval_s: Seconds = 1.0


@frozen
class AnswerSettings:
    """Limits on the answers that an agent keeps.

    Parameters
    ----------
    buffer_max_tokens : int
        Maximum number of tokens of one answer that are buffered for a slow caller.
    replay_min_tokens, replay_max_tokens : int
        Acknowledged tokens of one answer that are kept so that a caller that
        lost them can resume: the number kept while memory is short, and the
        maximum number.
    resume_timeout_s : float
        Time in seconds for which a running answer waits for its entry or caller
        to reconnect before its generation is cancelled.
    retention_s : float
        Time in seconds for which a finished answer can be resumed.
    memory_max_bytes : int
        Memory limit of all kept answers. While it is reached, generations that
        are ahead of their callers are paused.
    run_once_retention_s : float
        Time in seconds for which the agent remembers the IDs of answers that
        ran or that it guaranteed not to run.
    run_once_ids_max : int
        Maximum number of such IDs; beyond it, calls that must not be retried are
        refused.
    """

    buffer_max_tokens: Count = 4096
    replay_min_tokens: Count = 512
    replay_max_tokens: Count = 16_384
    resume_timeout_s: Seconds = 10.0
    retention_s: Seconds = 60.0
    memory_max_bytes: Bytes = 32 * 2**20
    run_once_retention_s: Seconds = 3600.0
    run_once_ids_max: Count = 100_000


@frozen
class QueueSettings:
    """Admission policy and limits of the agent's queue.

    Parameters
    ----------
    policy : str
        Admission policy: ``bounded_chance`` limits the probability that the
        engine's memory overflows, ``worst_case`` reserves ``max_tokens`` for
        each request, ``none`` sends every request to the engine at once.
    waiting_max : int
        Maximum number of waiting requests of one workspace.
    ageing_time_s : float
        Waiting time in seconds that raises a request by one traffic class.
    prefill_max_tokens : int
        Maximum number of prompt tokens of admitted requests that have not
        produced their first token yet.
    """

    policy: Literal["bounded_chance", "worst_case", "none"] = "bounded_chance"
    waiting_max: Count = 512
    ageing_time_s: Seconds = 120.0
    prefill_max_tokens: Count = 8192


@frozen
class AgentSettings:
    """Settings of one agent.

    Parameters
    ----------
    name : str
        Name of the instance, unique in the deployment.
    placement : PlacementSettings
        Deployment, region and availability zone.
    http : AddressSettings
        Address that serves metrics, health checks and status.
    link : AddressSettings
        Address that accepts links from entries.
    platform : PlatformSettings
        The platform's services.
    server : ServerSettings
        The backend server that the agent manages.
    links : LinkSettings
        Heartbeats and timeouts of the links.
    answers : AnswerSettings
        Limits on the answers that are kept.
    weights : WeightSettings
        Relative weights from which the accepted probability of a memory overflow
        is derived.
    queue : QueueSettings
        Admission policy and limits of the queue.
    stop_timeout_s : float
        Maximum time in seconds for which a stopping agent waits for running
        requests.
    """

    name: Name
    placement: PlacementSettings
    http: AddressSettings
    link: AddressSettings
    platform: PlatformSettings
    server: ServerSettings
    links: LinkSettings = Factory(LinkSettings)
    answers: AnswerSettings = Factory(AnswerSettings)
    weights: WeightSettings = Factory(WeightSettings)
    queue: QueueSettings = Factory(QueueSettings)
    stop_timeout_s: Seconds = 3600.0
