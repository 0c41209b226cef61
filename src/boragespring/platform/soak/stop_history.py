"""What a soak run did to its gateways, and what its servers did meanwhile."""

from collections.abc import Mapping, Sequence

from attrs import field, frozen

from boragespring.platform.emulator.server_work import ServerWork
from boragespring.platform.soak.callers import RequestKind
from boragespring.platform.soak.sent_signal import SentSignal

__all__ = ["Span", "StopBounds", "StopHistory"]

#: Monotonic times in seconds of the begin and the end of something.
Span = tuple[float, float]


@frozen
class StopBounds:
    """Times in seconds of the guarantee about planned work."""

    grace_s: float = 8.0
    contact_s: float = 3.0
    loss_slack_s: float = 0.2
    catalog_delay_s: float = 2.0


@frozen
class StopHistory:
    """Course of a run.

    Parameters
    ----------
    works : mapping of str to sequence of ServerWork
        What servers did, in the order of arrival, by request ID.
    signals : sequence of SentSignal
        All signals that stop gateways or let them read their settings again.
    changes : sequence of tuple of float
        Monotonic times in seconds at which the store was sent a configuration, and
        acknowledged it.
    disturbances : sequence of tuple of float
        Unplanned disturbances.
    timeouts_s : mapping of RequestKind to float
        Timeouts of the routes in seconds.
    """

    works: Mapping[str, Sequence[ServerWork]]
    signals: Sequence[SentSignal] = ()
    changes: Sequence[Span] = ()
    disturbances: Sequence[Span] = ()
    timeouts_s: Mapping[RequestKind, float] = field(factory=dict)
