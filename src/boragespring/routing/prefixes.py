"""Prompt prefix hashes and the digest of the prefixes that an engine caches."""

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
#: Maximum number of prefixes in a digest; each takes four bytes.
DIGEST_PREFIXES_MAX = 224
_HASH_TYPECODE = "I"


@frozen
class PrefixHash:
    """Hash of a prefix of a prompt.

    Parameters
    ----------
    digest : int
        32-bit hash of the prefix.
    tokens : int
        Estimated length of the prefix in tokens.
    """

    digest: int
    tokens: int


def prefix_hashes(prompt: str) -> tuple[PrefixHash, ...]:
    """Return the hashes of a prompt's prefixes, longest first.

    Only prefixes of 1, 2, 4, ... chunks are hashed, so that a small digest
    covers both short and long prefixes.
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
    """Hashes of the prompt prefixes that an engine probably caches.

    The hashes are packed as native unsigned 32-bit integers.

    Parameters
    ----------
    confirmed : bytes
        Hashes of prefixes used since the last loss of cache events.
    unconfirmed : bytes
        Hashes of older prefixes, whose eviction event may have been lost.
    """

    confirmed: bytes = b""
    unconfirmed: bytes = b""

    def confirmed_hashes(self) -> frozenset[int]:
        """Return the hashes of the confirmed prefixes."""
        return _unpack(self.confirmed)

    def unconfirmed_hashes(self) -> frozenset[int]:
        """Return the hashes of the unconfirmed prefixes."""
        return _unpack(self.unconfirmed)


def _unpack(packed: bytes) -> frozenset[int]:
    hashes = array(_HASH_TYPECODE)
    # A malformed message may end in an incomplete hash, which is ignored.
    usable_bytes = len(packed) - len(packed) % hashes.itemsize
    hashes.frombytes(packed[:usable_bytes])
    return frozenset(hashes)


@define
class _CachedPrefix:
    """Cached prefix of a prompt.

    Parameters
    ----------
    tokens : int
        Tokens beyond the next shorter prefix of the same prompt.
    gap_count : int
        Number of event gaps before the prefix was last used. The prefix is
        unconfirmed if there has been a gap since then.
    """

    tokens: int
    gap_count: int


@define
class CacheIndex:
    """Approximate index of the prefix cache of an agent's engine.

    The engine evicts its least recently used blocks. The index keeps the
    prefixes of the prompts that the agent sent in the same order, and evicts as
    many tokens as the engine reports in its events.

    Parameters
    ----------
    capacity_tokens : int
        Size of the engine's cache in tokens. It bounds the index if the engine
        publishes no events.
    """

    capacity_tokens: int
    _prefixes: OrderedDict[int, _CachedPrefix] = field(init=False, factory=OrderedDict)
    _cached_tokens: int = field(init=False, default=0)
    _gap_count: int = field(init=False, default=0)

    def record_prompt(self, prompt: str) -> None:
        """Mark the prefixes of a prompt sent to the engine as most recently used."""
        covered_tokens = 0
        for prefix in reversed(prefix_hashes(prompt)):
            cached = self._prefixes.pop(prefix.digest, None)
            if cached is None:
                # Shorter prefixes of the same prompt share their blocks with
                # this one, so only the remaining tokens are added.
                cached = _CachedPrefix(prefix.tokens - covered_tokens, self._gap_count)
                self._cached_tokens += cached.tokens
            cached.gap_count = self._gap_count
            covered_tokens = prefix.tokens
            self._prefixes[prefix.digest] = cached
        self._evict_down_to(self.capacity_tokens)

    def record_eviction(self, tokens: int) -> None:
        """Evict least recently used prefixes until they cover the given tokens."""
        while tokens > 0 and self._prefixes:
            tokens -= self._evict()

    def record_clear(self) -> None:
        """Remove all prefixes after the engine cleared its cache."""
        self._prefixes.clear()
        self._cached_tokens = 0

    def record_gap(self) -> None:
        """Record that events were lost, which makes all prefixes unconfirmed."""
        self._gap_count += 1

    def digest(self) -> CacheDigest:
        """Return a digest of the most recently used prefixes."""
        recent = list(self._prefixes.items())[-DIGEST_PREFIXES_MAX:]
        confirmed = [
            key for key, cached in recent if cached.gap_count == self._gap_count
        ]
        unconfirmed = [
            key for key, cached in recent if cached.gap_count < self._gap_count
        ]
        return CacheDigest(
            array(_HASH_TYPECODE, confirmed).tobytes(),
            array(_HASH_TYPECODE, unconfirmed).tobytes(),
        )

    def _evict_down_to(self, capacity_tokens: int) -> None:
        while self._cached_tokens > capacity_tokens:
            self._evict()

    def _evict(self) -> int:
        """Evict the least recently used prefix and return its tokens."""
        _, cached = self._prefixes.popitem(last=False)
        self._cached_tokens -= cached.tokens
        return cached.tokens
