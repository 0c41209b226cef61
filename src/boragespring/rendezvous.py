"""Rendezvous hashing: choose one process for a key without coordination."""

from collections.abc import Iterable

import xxhash

__all__ = ["choose_responsible", "is_responsible"]


def choose_responsible(key: str, names: Iterable[str]) -> str:
    """Return the process that is responsible for a key.

    Parameters
    ----------
    key : str
        Key to assign to one process.
    names : iterable of str
        Names of all processes; at least one.
    """

    def rank(name: str) -> int:
        return xxhash.xxh32_intdigest(f"{key} {name}".encode())

    return min(names, key=rank)


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
    return choose_responsible(key, [local_name, *peer_names]) == local_name
