"""What all links of a process share."""

from attrs import frozen

from boragespring.links.dispatcher import Dispatcher
from boragespring.links.messages import Identity
from boragespring.metrics import LinkMetrics
from boragespring.settings import LinkSettings

__all__ = ["LinkContext"]


@frozen
class LinkContext:
    """What all links of a process share.

    Parameters
    ----------
    local_identity : Identity
        Identity of this process.
    dispatcher : Dispatcher
        Handlers of what arrives.
    settings : LinkSettings
        Heartbeats and reconnect delays.
    metrics : LinkMetrics
        Counters of this process's links.
    """

    local_identity: Identity
    dispatcher: Dispatcher
    settings: LinkSettings
    metrics: LinkMetrics
