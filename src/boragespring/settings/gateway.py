"""Settings of a gateway: an entry that connects to backend servers directly."""

from attrs import frozen

from boragespring.settings.common import (
    AddressSettings,
    LinkSettings,
    ProcessSettings,
)

__all__ = ["GatewayBounds", "GatewaySettings", "GatewayStoreSettings"]


@frozen
class GatewayBounds:
    """Time limits and retry budget that the deployment sets for a gateway.

    Parameters
    ----------
    catalog_delay_s : float
        Maximum time in seconds until an acknowledged change takes effect.
    revocation_age_max_s : float
        Age of the catalog in seconds from which requests are rejected; infinite
        if an outage of the store must not end service.
    stop_grace_s : float
        Time in seconds between the stop signal and the end of the process.
    retry_ratio : float
        Retries that are allowed to a service for each of its requests.
    retry_slack : float
        Retries that are allowed to a service in addition, in each window.
    retry_window_s : float
        Length of the window over which retries are counted, in seconds.
    """

    catalog_delay_s: float = 2.0
    revocation_age_max_s: float = float("inf")
    stop_grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0


@frozen
class GatewayStoreSettings:
    """The platform's store and its rate limits.

    Parameters
    ----------
    url : str
        Base URL of the store.
    writes_per_s, reads_per_s : float
        Maximum number of writes and reads per second, for all gateways together.
    """

    url: str
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0


@frozen
class GatewaySettings:
    """Settings of one gateway.

    Parameters
    ----------
    name : str
        Name of the instance.
    availability_zone, region : str
        Availability zone and region in which the instance runs.
    callers : AddressSettings
        Address that accepts requests.
    readiness : AddressSettings
        Address that serves the readiness check.
    peers : AddressSettings
        Address that accepts links from other gateways.
    metrics : AddressSettings
        Address that serves the metrics.
    store : GatewayStoreSettings
        The platform's store.
    bounds : GatewayBounds
        Time limits and retry budget.
    seeds : tuple of AddressSettings
        Link addresses of a few gateways to contact first, any of which may be
        down.
    links : LinkSettings
        Heartbeats and timeouts of the links between gateways.
    cpu_cores : float
        Processing capacity of the instance, in cores of the reference machine.
    process : ProcessSettings
        Memory and descriptors of the instance.
    ejects_outliers : bool
        Whether backend servers are judged by the outcomes of their requests, as their
        health checks cannot be relied on.
    """

    name: str
    availability_zone: str
    region: str
    callers: AddressSettings
    readiness: AddressSettings
    peers: AddressSettings
    metrics: AddressSettings
    store: GatewayStoreSettings
    bounds: GatewayBounds = GatewayBounds()
    seeds: tuple[AddressSettings, ...] = ()
    links: LinkSettings = LinkSettings()
    cpu_cores: float = 1.0
    process: ProcessSettings = ProcessSettings()
    ejects_outliers: bool = False
