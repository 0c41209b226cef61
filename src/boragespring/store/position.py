"""Position of data that was read from the store."""

from attrs import evolve, frozen

__all__ = ["StorePosition"]


@frozen(order=True)
class StorePosition:
    """Position in the history of the store; positions are ordered.

    A store that returns from a copy has lost the changes since the copy was made. It
    then begins a new era and assigns their revisions a second time, so a revision
    alone does not tell which of two changes is newer.

    Parameters
    ----------
    era : int
        Number that rises with each such loss; 0 for a store that has none.
    revision : int
        Store revision within the era.
    """

    era: int = 0
    revision: int = 0

    @property
    def next(self) -> "StorePosition":
        """Position of the change that follows."""
        return evolve(self, revision=self.revision + 1)

    @property
    def previous(self) -> "StorePosition":
        """Position of the change before."""
        return evolve(self, revision=self.revision - 1)
