"""Link messages of the lists. Codes 80 to 89 are reserved for this package."""

from boragespring.links import message

__all__ = ["ListsAnnounce", "ListsPull", "ListsUpdate"]


@message(80)
class ListsAnnounce:
    """Announcement of the sender's active version.

    Parameters
    ----------
    number : int
        Number of the version; 0 for none.
    change_id : str
        ID of the change that created the version.
    store_age_s : float
        Seconds since the sender last had contact with the store, directly or as
        announced by a peer; negative if there was none.
    """

    number: int
    change_id: str
    store_age_s: float


@message(81)
class ListsPull:
    """Request for the changes since a version.

    Parameters
    ----------
    number : int
        Number of the requester's version; 0 requests a snapshot.
    change_id : str
        ID of the change that created that version.
    """

    number: int
    change_id: str


@message(82)
class ListsUpdate:
    """Reply to a pull.

    Parameters
    ----------
    number : int
        Number of the version that the update results in; 0 for none.
    is_snapshot : bool
        Whether the payload is a snapshot; otherwise it holds the missing changes.
    digest : int
        Digest of the version that the update results in.
    payload : bytes
        Serialized and compressed content.
    """

    number: int
    is_snapshot: bool
    digest: int
    payload: bytes
