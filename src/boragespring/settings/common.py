"""Settings sections shared by several programs."""

from attrs import frozen

from boragespring.settings.types import (
    Bytes,
    Count,
    Fraction,
    Name,
    PerSecond,
    Port,
    Seconds,
    Text,
)

__all__ = [
    "AddressSettings",
    "LinkSettings",
    "PlacementSettings",
    "PlatformSettings",
    "ProcessSettings",
    "WeightSettings",
]


@frozen
class AddressSettings:
    """Address to listen on.

    Parameters
    ----------
    host : str
        Host name or IP address.
    port : int, default=0
        TCP port; 0 lets the operating system choose a free one.
    """

    host: Name
    port: Port = 0


@frozen
class PlacementSettings:
    """Deployment, region and availability zone in which the process runs."""

    deployment: Name
    region: Name
    availability_zone: Name


@frozen
class PlatformSettings:
    """Addresses of the platform's services and limits on the calls to them.

    Parameters
    ----------
    store_urls : list of str
        Base URLs of the JSON gateway of the key-value store.
    instances_url : str
        Base URL of the service that lists the instances.
    weight_store_url : str
        Base URL of the weight store; empty if the deployment has none.
    call_timeout_s : float
        Timeout of one call, in seconds.
    instance_poll_interval_s : float
        Interval between two reads of the instance list, in seconds.
    store_silence_timeout_s : float
        Time in seconds after which a watch that has delivered nothing is
        replaced. It must exceed the interval at which the store sends progress
        notifications.
    store_writes_per_s, store_reads_per_s : float
        Maximum number of writes and reads per second that this process sends to
        the store.
    """

    store_urls: list[Name]
    instances_url: Name
    weight_store_url: Text = ""
    call_timeout_s: Seconds = 2.0
    instance_poll_interval_s: Seconds = 2.0
    store_silence_timeout_s: Seconds = 4.0
    store_writes_per_s: PerSecond = 50.0
    store_reads_per_s: PerSecond = 100.0


@frozen
class ProcessSettings:
    """What a process may use of its machine.

    Parameters
    ----------
    memory_bytes : int
        Memory in bytes beyond which the process is ended.
    file_descriptors : int
        Maximum number of open descriptors.
    """

    memory_bytes: Bytes = 512 * 10**6
    file_descriptors: Count = 4096


@frozen
class LinkSettings:
    """Heartbeats and timeouts of the links between processes.

    Parameters
    ----------
    heartbeat_interval_s : float
        Interval between two heartbeats, in seconds.
    heartbeat_deadline_s : float
        Time in seconds without a heartbeat after which the link is closed at the
        latest; it is closed earlier if heartbeats have arrived regularly.
    connect_timeout_s : float
        Timeout for opening a connection, in seconds.
    reconnect_delay_s, reconnect_delay_max_s : float
        Initial and maximum delay before a closed link is reopened, in seconds.
    """

    heartbeat_interval_s: Seconds = 0.5
    heartbeat_deadline_s: Seconds = 2.0
    connect_timeout_s: Seconds = 2.0
    reconnect_delay_s: Seconds = 0.1
    reconnect_delay_max_s: Seconds = 5.0


@frozen
class WeightSettings:
    """Relative weights of the three measures that the deployment minimizes.

    The memory overflow probability that the agents accept is derived from them.

    Parameters
    ----------
    preemption : float
        Weight of preemptions at the engines.
    stall : float
        Weight of stalled generations.
    tail_latency : float
        Weight of the tail latency.
    """

    preemption: Fraction = 0.4
    stall: Fraction = 0.3
    tail_latency: Fraction = 0.3
