"""Messages of the limits on links. Codes 130 to 139 belong to this slice."""

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
    """Call of an entry to the holder of a partition.

    Parameters
    ----------
    partition : int
        Partition of the workspaces.
    sequence : int
        Number that grows with each request of one start of the entry.
    demands : list
        One item for each workspace, as `pack_demand` makes it.
    """

    partition: int
    sequence: int
    demands: list[list[object]]


@message(131)
class ShareReply:
    """Reply of the holder, or of an entry that is not the holder.

    Parameters
    ----------
    fence : int
        Fencing number of the holder; 0 if the answering entry is none.
    holder_name : str
        Holder as the answering entry knows it.
    is_recovering : bool
        Whether shares of an earlier holder may be in force, so that the holder
        gives no more than it is told, and sets the floors aside.
    shares : list
        One item for each workspace of the request, as `pack_share` makes it.
    """

    fence: int
    holder_name: str
    is_recovering: bool
    shares: list[list[object]]


def pack_share(workspace: str, share: Share) -> list[object]:
    """Return a share as packed values."""
    return [workspace, share.concurrency, share.requests_per_s, share.tokens_per_s]


def unpack_share(packed: list[object]) -> tuple[str, Share]:
    """Read a share; raise `LinkProtocolError` when it is none."""
    try:
        workspace, concurrency, requests_per_s, tokens_per_s = packed
    except (TypeError, ValueError) as error:
        raise LinkProtocolError("not a share") from error
    if not isinstance(workspace, str) or not isinstance(concurrency, int):
        raise LinkProtocolError("not a share")
    return workspace, Share(concurrency, _number(requests_per_s), _number(tokens_per_s))


def pack_demand(workspace: str, demand: ShareDemand) -> list[object]:
    """Return an demand as packed values."""
    return [
        workspace,
        demand.running,
        pack_share("", demand.held),
        pack_share("", demand.wanted),
    ]


def unpack_demand(packed: list[object]) -> tuple[str, ShareDemand]:
    """Read an demand; raise `LinkProtocolError` when it is none."""
    try:
        workspace, running, held, wanted = packed
    except (TypeError, ValueError) as error:
        raise LinkProtocolError("not an demand") from error
    if not (isinstance(workspace, str) and isinstance(running, int)):
        raise LinkProtocolError("not an demand")
    if not (isinstance(held, list) and isinstance(wanted, list)):
        raise LinkProtocolError("not an demand")
    return workspace, ShareDemand(
        running, unpack_share(held)[1], unpack_share(wanted)[1]
    )


def _number(value: object) -> float:
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise LinkProtocolError("not a number")
    return float(value)
