"""Messages of the lists on links. Codes 80 to 89 belong to this slice."""

from boragespring.links import message

__all__ = ["ListsAnnounce", "ListsPull", "ListsUpdate"]


@message(80)
class ListsAnnounce:
    """Version in force at the sender.

    Parameters
    ----------
    number : int
        Number of the version; 0 for none.
    change_id : str
        Id of the change that made it.
    store_age_s : float
        Time since the sender last heard from the store's watch, directly or
        through a sender that had; negative if it never did.
    """

    number: int
    change_id: str
    store_age_s: float


@message(81)
class ListsPull:
    """Call for what follows a version; number 0 asks for a full copy."""

    number: int
    change_id: str


@message(82)
class ListsUpdate:
    """Reply to a pull.

    Parameters
    ----------
    number : int
        Number of the version that the update leads to; 0 for none.
    is_snapshot : bool
        Whether the payload is a full copy or the changes in between.
    digest : int
        Digest of the version that the update leads to.
    payload : bytes
        Compressed content.
    """

    number: int
    is_snapshot: bool
    digest: int
    payload: bytes
