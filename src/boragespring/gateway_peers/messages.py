"""Messages between gateways. Codes 140 to 149 belong to this slice."""

from typing import Any

from boragespring.links import message

__all__ = [
    "SnapshotAge",
    "SnapshotReply",
    "GatewayLoads",
    "LeavingRunEnded",
    "LeavingRuns",
    "ReadSnapshot",
    "ServerLeaving",
    "ServerUnreachable",
    "StoreChanges",
]


@message(140)
class GatewayLoads:
    """All requests that one gateway has at backend servers.

    Parameters
    ----------
    loads : list
        One row for each server: its identity, number of runs, memory that
        they are expected to hold in tokens, and prompt tokens to be read.
    is_leaving : bool
        Whether the gateway stops.
    """

    loads: list[Any]
    is_leaving: bool


@message(141)
class SnapshotAge:
    """How recent a gateway's copy of the store's content is.

    Parameters
    ----------
    content_revision : int
        Revision of the last change that the copy has.
    age_ms : int
        Time since the copy was known to be complete.
    """

    content_revision: int
    age_ms: int


@message(142)
class ReadSnapshot:
    """Call for all keys, as the other end has them."""


@message(143)
class SnapshotReply:
    """Reply to `ReadSnapshot`.

    Parameters
    ----------
    revision : int
        Store revision of the copy.
    content_revision : int
        Revision of the last change that the copy has.
    age_ms : int
        Time since the copy was known to be complete.
    items : list
        One row for each key: key, value, revision.
    """

    revision: int
    content_revision: int
    age_ms: int
    items: list[Any]


@message(144)
class LeavingRuns:
    """Runs that a gateway has to move off a leaving server.

    Parameters
    ----------
    server_id : str
        The server.
    runs : list
        One row for each run: request, memory in tokens, value, time in
        milliseconds until it is expected to end by itself, and number of turns
        that it has had in vain.
    """

    server_id: str
    runs: list[Any]


@message(145)
class LeavingRunEnded:
    """A run of a leaving server needs no more time on its link."""

    server_id: str
    run_id: str


@message(146)
class ServerLeaving:
    """A server has told a gateway that it leaves."""

    server_id: str


@message(147)
class ServerUnreachable:
    """A gateway that asked a server for its report did not reach it."""

    server_id: str


@message(148)
class StoreChanges:
    """Changes that a gateway's watch of the store brought.

    Parameters
    ----------
    after_revision : int
        Store revision that they follow on without a gap.
    revision : int
        Store revision up to which they are complete.
    rows : list
        One row for each change: key, value or nil where the key was removed,
        revision.
    """

    after_revision: int
    revision: int
    rows: list[Any]
