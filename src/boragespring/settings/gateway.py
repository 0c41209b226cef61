"""Settings of a gateway: an entry that sends to backend servers directly."""

from attrs import frozen

from boragespring.settings.common import AddressSettings, LinkSettings

__all__ = ["GatewayBounds", "GatewaySettings", "GatewayStoreSettings"]


@frozen
class GatewayBounds:
    """Times by which the deployment judges a gateway.

    Parameters
    ----------
    contact_s : float
        Time after a disturbance until the other bounds hold again.
    catalog_delay_s : float
        Longest time until an acknowledged change is in force.
    catalog_delay_outage_s : float
        Time added to that while the store is disturbed.
    revocation_age_max_s : float
        Age of a catalog from which requests are refused; infinite where an
        outage of the store does not end service.
    leaving_delay_s : float
        Longest time until a leaving server gets no new request.
    stop_grace_s : float
        Time between the signal to stop and the end of the process.
    stop_read_s : float
        Time within which an accepted connection's request must be answered
        while stopping.
    retry_ratio : float
        Repeats that a service may get for each request.
    retry_slack : float
        Repeats that a service may get beyond that, in one window.
    retry_window_s : float
        Length of that window.
    relay_delay_s : float
        Longest time that an event may take through the gateway.
    """

    contact_s: float = 3.0
    catalog_delay_s: float = 2.0
    catalog_delay_outage_s: float = 5.0
    revocation_age_max_s: float = float("inf")
    leaving_delay_s: float = 2.0
    stop_grace_s: float = 8.0
    stop_read_s: float = 0.2
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    relay_delay_s: float = 0.12


@frozen
class GatewayStoreSettings:
    """The platform's store and its rates, for all gateways together."""

    url: str
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0


@frozen
class GatewaySettings:
    """What a gateway needs to know before it starts.

    Parameters
    ----------
    name : str
        Name of the instance.
    availability_zone, region : str
        Where it runs.
    callers : AddressSettings
        Address for requests.
    readiness : AddressSettings
        Address of the readiness check.
    peers : AddressSettings
        Address for links from other gateways.
    metrics : AddressSettings
        Address of the metrics.
    store : GatewayStoreSettings
        The platform's store.
    bounds : GatewayBounds
        Times by which the gateway is judged.
    memory_mb : int
        Memory that the process may take.
    seeds : tuple of AddressSettings
        Addresses for links of a few gateways, any of which may be down.
    links : LinkSettings
        Heartbeats of the links between gateways.
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
    memory_mb: int = 128
    seeds: tuple[AddressSettings, ...] = ()
    links: LinkSettings = LinkSettings()
