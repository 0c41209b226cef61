"""Context shared by all links of a process."""

from attrs import frozen

from boragespring.links.dispatcher import Dispatcher
from boragespring.links.messages import Identity
from boragespring.metrics import LinkMetrics
from boragespring.settings import LinkSettings

__all__ = ["LinkContext"]


@frozen
class LinkContext:
    """Context shared by all links of a process.

    Parameters
    ----------
    local_identity : Identity
        Identity of this process.
    dispatcher : Dispatcher
        Handlers of received messages.
    settings : LinkSettings
        Heartbeat interval, timeouts and reconnect delays.
    metrics : LinkMetrics
        Metrics of the links of this process.
    """

    local_identity: Identity
    dispatcher: Dispatcher
    settings: LinkSettings
    metrics: LinkMetrics
