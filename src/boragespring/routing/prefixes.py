"""Hashes of prompt prefixes, and the digest of those that an engine caches."""

from array import array
from collections import OrderedDict

import xxhash
from attrs import define, field, frozen

from boragespring.links import message

__all__ = ["CacheDigest", "CacheIndex", "PrefixHash", "prefix_hashes"]

CHUNK_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4
CHUNK_TOKENS = CHUNK_CHARACTERS // CHARACTERS_PER_TOKEN
MAX_DEPTH_CHUNKS = 64
#: Largest number of prefixes in a digest; four bytes each.
DIGEST_PREFIXES_MAX = 224
_HASH_TYPECODE = "I"


@frozen
class PrefixHash:
    """Hash of the first chunks of a prompt."""

    digest: int
    tokens: int


def prefix_hashes(prompt: str) -> tuple[PrefixHash, ...]:
    """Return the hashes of a prompt's prefixes, the longest first.

    Only prefixes of 1, 2, 4 and so on chunks are taken, so that a digest of
    few hashes covers short and long prefixes.
    """
    data = prompt[: CHUNK_CHARACTERS * MAX_DEPTH_CHUNKS].encode()
    hashes = []
    depth = 1
    while depth * CHUNK_CHARACTERS <= len(data):
        digest = xxhash.xxh32_intdigest(data[: depth * CHUNK_CHARACTERS])
        hashes.append(PrefixHash(digest, depth * CHUNK_TOKENS))
        depth *= 2
    return tuple(reversed(hashes))


@message(91)
class CacheDigest:
    """Prefixes that an engine probably caches, in packed form.

    Parameters
    ----------
    confirmed : bytes
        Hashes of prefixes that no lost event puts in doubt.
    unconfirmed : bytes
        Hashes of prefixes that a lost event may have removed.
    """

    confirmed: bytes = b""
    unconfirmed: bytes = b""

    def confirmed_hashes(self) -> frozenset[int]:
        """Return the hashes without doubt."""
        return _unpack(self.confirmed)

    def unconfirmed_hashes(self) -> frozenset[int]:
        """Return the hashes in doubt."""
        return _unpack(self.unconfirmed)


def _unpack(packed: bytes) -> frozenset[int]:
    hashes = array(_HASH_TYPECODE)
    whole = len(packed) - len(packed) % hashes.itemsize
    hashes.frombytes(packed[:whole])
    return frozenset(hashes)


@define
class _CachedPrefix:
    """Cached prefix; it is in doubt since a gap unless seen after it."""

    tokens: int
    gap_count: int


@define
class CacheIndex:
    """What an agent knows of the prefix cache of its engine.

    The engine evicts the least recently used blocks. The index keeps the same
    order over the prompts that the agent sent, and follows the engine by the
    number of blocks in its events.

    Parameters
    ----------
    capacity_tokens : int
        Size of the engine's cache, for engines that publish no events.
    """

    capacity_tokens: int
    _entries: OrderedDict[int, _CachedPrefix] = field(init=False, factory=OrderedDict)
    _cached_tokens: int = field(init=False, default=0)
    _gap_count: int = field(init=False, default=0)

    def record_prompt(self, prompt: str) -> None:
        """Record that a prompt was sent to the engine."""
        covered_tokens = 0
        for prefix in reversed(prefix_hashes(prompt)):
            entry = self._entries.pop(prefix.digest, None)
            if entry is None:
                # A prefix shares the blocks of the shorter ones before it.
                entry = _CachedPrefix(prefix.tokens - covered_tokens, self._gap_count)
                self._cached_tokens += entry.tokens
            entry.gap_count = self._gap_count
            covered_tokens = prefix.tokens
            self._entries[prefix.digest] = entry
        self._evict_down_to(self.capacity_tokens)

    def record_eviction(self, tokens: int) -> None:
        """Record that the engine evicted so many tokens, the oldest first."""
        while tokens > 0 and self._entries:
            tokens -= self._evict()

    def record_clear(self) -> None:
        """Record that the engine dropped its cache."""
        self._entries.clear()
        self._cached_tokens = 0

    def record_gap(self) -> None:
        """Record that events were lost; what was known becomes unconfirmed."""
        self._gap_count += 1

    def digest(self) -> CacheDigest:
        """Return the most recently used prefixes."""
        recent = list(self._entries.items())[-DIGEST_PREFIXES_MAX:]
        confirmed = [key for key, entry in recent if entry.gap_count == self._gap_count]
        unconfirmed = [
            key for key, entry in recent if entry.gap_count < self._gap_count
        ]
        return CacheDigest(
            array(_HASH_TYPECODE, confirmed).tobytes(),
            array(_HASH_TYPECODE, unconfirmed).tobytes(),
        )

    def _evict_down_to(self, capacity_tokens: int) -> None:
        while self._cached_tokens > capacity_tokens:
            self._evict()

    def _evict(self) -> int:
        _, entry = self._entries.popitem(last=False)
        self._cached_tokens -= entry.tokens
        return entry.tokens
