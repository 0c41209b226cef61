"""Messages between gateways; they use the codes 140 to 159."""

from typing import Any

from boragespring.external_values import check_integer, check_text
from boragespring.fleet import ServerProcess
from boragespring.links import message

__all__ = [
    "SnapshotAge",
    "SnapshotReply",
    "GatewayLeaving",
    "GatewayLoads",
    "JoinRelay",
    "LeavingRunEnded",
    "LeavingRuns",
    "PermitReply",
    "PermitRequest",
    "ServerCrashes",
    "ReadSnapshot",
    "ServerLeaving",
    "ServerObservations",
    "ServerRate",
    "ServerUnreachable",
    "StoreChanges",
    "read_process",
]


def read_process(server_id: object, started_at_ms: object) -> ServerProcess:
    """Return the process of a server that a row names."""
    return ServerProcess(check_text(server_id), check_integer(started_at_ms))


@message(141)
class SnapshotAge:
    """Age of the sender's snapshot of the store's content.

    Parameters
    ----------
    content_revision : int
        Revision of the last change that the snapshot contains.
    age_ms : int
        Time in milliseconds since the snapshot was known to be complete.
    era : int
        Era of the store to which the revision belongs.
    """

    content_revision: int
    age_ms: int
    era: int = 0


@message(142)
class ReadSnapshot:
    """Request for the receiver's full snapshot."""


@message(143)
class SnapshotReply:
    """Reply to `ReadSnapshot`.

    Parameters
    ----------
    revision : int
        Store revision of the snapshot.
    content_revision : int
        Revision of the last change that the snapshot contains.
    age_ms : int
        Time in milliseconds since the snapshot was known to be complete.
    items : list
        One row for each key: key, value and revision of its last change.
    era : int
        Era of the store to which all revisions belong.
    """

    revision: int
    content_revision: int
    age_ms: int
    items: list[Any]
    era: int = 0


@message(144)
class LeavingRuns:
    """Runs that the sender has to move off a leaving server.

    Parameters
    ----------
    server_id : str
        Identifier of the server.
    runs : list
        One row for each run: identifier of the request, memory in tokens, value,
        time in milliseconds until it is expected to end by itself, and number
        of unsuccessful attempts to move it.
    """

    server_id: str
    runs: list[Any]


@message(145)
class LeavingRunEnded:
    """The sender no longer has to move a run off a leaving server.

    The next run can then be copied over the server's link.

    Parameters
    ----------
    server_id : str
        Identifier of the server.
    run_id : str
        Identifier of the request.
    """

    server_id: str
    run_id: str


@message(146)
class ServerLeaving:
    """A server has stated to the sender that it is leaving.

    Parameters
    ----------
    server_id : str
        Identifier of the server.
    started_at_ms : int
        Start time by the server's clock, which tells its processes apart.
    is_final : bool
        Whether the server stated it in a reply, so that no entry takes it back.
    """

    server_id: str
    started_at_ms: int
    is_final: bool


@message(147)
class ServerUnreachable:
    """The sender could not reach a server to fetch its load report."""

    server_id: str


@message(148)
class StoreChanges:
    """Changes that the sender received from its watch of the store.

    Parameters
    ----------
    after_revision : int
        Store revision that the changes follow on without a gap.
    revision : int
        Store revision up to which the changes are complete.
    rows : list
        One row for each change: key, value (nil if the key was removed), and
        revision.
    era : int
        Era of the store to which all revisions belong.
    """

    after_revision: int
    revision: int
    rows: list[Any]
    era: int = 0


@message(149)
class JoinRelay:
    """The sender joins the receiver as its relay, or no longer does.

    Parameters
    ----------
    is_joined : bool
        Whether the receiver shall pass messages on between the sender and others.
    """

    is_joined: bool


@message(150)
class GatewayLoads:
    """Loads that the sender knows and the receiver gets from no other gateway.

    Parameters
    ----------
    loads : list
        One row for each server whose load has changed: its identifier, the number of
        runs, the memory in tokens that they are expected to hold, and the prompt
        tokens that still wait for prefill. Without runs the server has no load.
    is_complete : bool
        Whether servers without a row have no load.
    """

    loads: list[Any]
    is_complete: bool


@message(151)
class GatewayLeaving:
    """A gateway is stopping."""

    name: str


@message(152)
class ServerCrashes:
    """Crashes of servers that the sender knows, with the runs that were open there.

    Parameters
    ----------
    crashes : list
        One row for each crash: identifier of the server, its start time in
        milliseconds by its clock, its service, the age of the crash in milliseconds,
        and three lists of runs: starting, without a reply, and writing for longer. A
        run is the list of its traits.
    clearances : list
        One row for each trait that did not cause some crashes: service, trait, and a
        row for each crashed process with its server and start time.
    """

    crashes: list[Any]
    clearances: list[Any]


@message(153)
class ServerRate:
    """A server has named to the sender the rate of requests that it takes.

    Parameters
    ----------
    server_id : str
        Identifier of the server.
    started_at_ms : int
        Start time by the server's clock; compared for equality only.
    is_limited : bool
        Whether there is a limit.
    rate_per_s : float
        Requests per second from all gateways together, if there is a limit.
    """

    server_id: str
    started_at_ms: int
    is_limited: bool
    rate_per_s: float


@message(154)
class PermitRequest:
    """Query of a gateway whether it may send one request to a server.

    Parameters
    ----------
    asker : str
        Name of the gateway that asks.
    number : int
        Number of the query there.
    server_id : str
        Identifier of the server.
    started_at_ms : int
        Start time by the server's clock; compared for equality only.
    rate_per_s : float
        Requests per second that it takes.
    max_wait_ms : int
        Maximum time in milliseconds until the request may be sent.
    """

    asker: str
    number: int
    server_id: str
    started_at_ms: int
    rate_per_s: float
    max_wait_ms: int


@message(155)
class PermitReply:
    """Reply to `PermitRequest`.

    Parameters
    ----------
    asker : str
        Name of the gateway that asked.
    number : int
        Number of its query.
    is_granted : bool
        Whether one request may be sent.
    in_ms : int
        Time in milliseconds until it may be sent or, without a permit, until one would
        be free.
    """

    asker: str
    number: int
    is_granted: bool
    in_ms: int


@message(156)
class ServerObservations:
    """What was observed of backend servers and the receiver has not been sent.

    Parameters
    ----------
    rows : list
        One row for each server: identifier, start time in milliseconds by its clock,
        numbers of requests that have ended and that have failed, units of work and the
        time in milliseconds that they took, latest stated slowdown in percent (0 for
        none) and its age in milliseconds.
    """

    rows: list[Any]
