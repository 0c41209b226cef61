"""Rendezvous hashing: choose one process for a key without coordination."""

from collections.abc import Iterable

import xxhash

__all__ = ["is_responsible"]


def is_responsible(key: str, local_name: str, peer_names: Iterable[str]) -> bool:
    """Return whether this process is the one that is responsible for a key.

    Parameters
    ----------
    key : str
        Key to assign to one process.
    local_name : str
        Name of this process.
    peer_names : iterable of str
        Names of the other processes.
    """

    def rank(name: str) -> int:
        return xxhash.xxh32_intdigest(f"{key} {name}".encode())

    return all(rank(local_name) <= rank(name) for name in peer_names)
