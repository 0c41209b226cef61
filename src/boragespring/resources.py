"""Interface of resources that a process closes when it stops."""

from typing import Protocol

__all__ = ["Closable"]


class Closable(Protocol):
    """Object that holds connections open."""

    async def close(self) -> None:
        """Close the connections."""
        ...
