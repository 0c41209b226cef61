"""Link messages of the limits, which use the message codes 130 to 139."""

from boragespring.limits.allocator import ShareDemand
from boragespring.limits.shares import Share
from boragespring.links import LinkProtocolError, message

__all__ = [
    "ShareReply",
    "ShareRequest",
    "pack_demand",
    "pack_share",
    "unpack_demand",
    "unpack_share",
]


@message(130)
class ShareRequest:
    """Request of an entry for shares of one partition.

    Parameters
    ----------
    partition : int
        Partition that contains the workspaces.
    sequence : int
        Number that increases with each request within one incarnation of the
        entry.
    demands : list
        One item per workspace, as returned by `pack_demand`.
    """

    partition: int
    sequence: int
    demands: list[list[object]]


@message(131)
class ShareReply:
    """Reply of the holder, or of an entry that does not hold the partition.

    Parameters
    ----------
    fence : int
        Fencing number of the holder; 0 if no shares were granted because the
        replying entry does not hold the partition or the request is outdated.
    holder_name : str
        Name of the holder as known to the replying entry; empty if unknown.
    is_recovering : bool
        Whether leases of a previous holder may still be active. The holder then
        grants no more than each entry reports to hold and reserves the fallback
        shares.
    shares : list
        One item per requested workspace, as returned by `pack_share`.
    """

    fence: int
    holder_name: str
    is_recovering: bool
    shares: list[list[object]]


def pack_share(workspace: str, share: Share) -> list[object]:
    """Return a share as a list of primitive values."""
    return [workspace, share.concurrency, share.requests_per_s, share.tokens_per_s]


def unpack_share(packed: list[object]) -> tuple[str, Share]:
    """Parse a packed share; raise `LinkProtocolError` if it is malformed."""
    try:
        workspace, concurrency, requests_per_s, tokens_per_s = packed
    except (TypeError, ValueError) as error:
        raise LinkProtocolError("malformed share") from error
    if not isinstance(workspace, str) or not isinstance(concurrency, int):
        raise LinkProtocolError("malformed share")
    return workspace, Share(concurrency, _number(requests_per_s), _number(tokens_per_s))


def pack_demand(workspace: str, demand: ShareDemand) -> list[object]:
    """Return a demand as a list of primitive values."""
    return [
        workspace,
        demand.running,
        pack_share("", demand.held),
        pack_share("", demand.wanted),
    ]


def unpack_demand(packed: list[object]) -> tuple[str, ShareDemand]:
    """Parse a packed demand; raise `LinkProtocolError` if it is malformed."""
    try:
        workspace, running, held, wanted = packed
    except (TypeError, ValueError) as error:
        raise LinkProtocolError("malformed share demand") from error
    if not (isinstance(workspace, str) and isinstance(running, int)):
        raise LinkProtocolError("malformed share demand")
    if not (isinstance(held, list) and isinstance(wanted, list)):
        raise LinkProtocolError("malformed share demand")
    return workspace, ShareDemand(
        running, unpack_share(held)[1], unpack_share(wanted)[1]
    )


def _number(value: object) -> float:
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise LinkProtocolError("a rate in a share is not a number")
    return float(value)
