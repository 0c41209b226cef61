"""Settings of a gateway: an entry that sends to backend servers directly."""

from attrs import frozen

from boragespring.settings.common import AddressSettings, LinkSettings

__all__ = ["GatewayBounds", "GatewaySettings", "GatewayStoreSettings"]


@frozen
class GatewayBounds:
    """Times by which the deployment judges a gateway.

    Parameters
    ----------
    catalog_delay_s : float
        Longest time until an acknowledged change is in force.
    revocation_age_max_s : float
        Age of a catalog from which requests are refused; infinite where an
        outage of the store does not end service.
    stop_grace_s : float
        Time between the signal to stop and the end of the process.
    retry_ratio : float
        Repeats that a service may get for each request.
    retry_slack : float
        Repeats that a service may get beyond that, in one window.
    retry_window_s : float
        Length of that window.
    """

    catalog_delay_s: float = 2.0
    revocation_age_max_s: float = float("inf")
    stop_grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0


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
    seeds: tuple[AddressSettings, ...] = ()
    links: LinkSettings = LinkSettings()
