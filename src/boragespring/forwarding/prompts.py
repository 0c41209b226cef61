"""Prompts of generations, as their requests state them."""

import hashlib
from collections.abc import Iterator, Sequence
from functools import singledispatch
from itertools import islice

from attrs import frozen

__all__ = ["PromptPart", "PromptShape", "part_ids"]

#: Maximum number of parts of one prompt that are logged.
LOGGED_PARTS_MAX = 32
#: Length from which on a digest stands for the identifier of a part. Callers choose
#: identifiers, and gateways send each other those of runs that were open at crashes.
PART_ID_MAX_CHARACTERS = 40
PART_DIGEST_BYTES = 16


@frozen
class PromptPart:
    """Segment of a prompt that can be shared with other requests.

    Parameters
    ----------
    part_id : str
        Identifier of the segment.
    tokens : int
        Length of the segment in tokens.
    """

    part_id: str
    tokens: int


@singledispatch
def part_ids(parts: Sequence[PromptPart]) -> Iterator[str]:
    """Return the identifiers of the parts of a prompt, in order."""
    return (part.part_id for part in parts)


@frozen
class PromptShape:
    """Size of a generation as stated by its request.

    Parameters
    ----------
    prompt_tokens : int
        Length of the prompt in tokens.
    output_max_tokens : int
        Maximum length of the answer in tokens.
    output_hint_tokens : int or None
        Caller's estimate of the length of the answer in tokens. It is accurate at
        the median only; individual answers can deviate widely.
    parts : sequence of PromptPart
        Segments of the prompt in order; the last one is unique to the request.
    """

    prompt_tokens: int
    output_max_tokens: int
    output_hint_tokens: int | None = None
    parts: Sequence[PromptPart] = ()

    @property
    def shared_part_ids(self) -> frozenset[str]:
        """Identifiers of the parts that other requests may have as well.

        They are found anew each time, as a head has room for thousands.
        """
        return frozenset(map(_bounded_id, list(part_ids(self.parts))[:-1]))

    @property
    def logged_part_ids(self) -> list[str]:
        """The first of these identifiers, sorted."""
        first = list(islice(part_ids(self.parts), LOGGED_PARTS_MAX + 1))
        return sorted({_bounded_id(part_id) for part_id in first[:-1]})

    @property
    def output_tokens(self) -> float:
        """Expected length of the answer in tokens."""
        if self.output_hint_tokens is None:
            return float(self.output_max_tokens)
        return float(min(self.output_hint_tokens, self.output_max_tokens))


def _bounded_id(part_id: str) -> str:
    """Return an identifier of bounded length that is equal for equal parts."""
    if len(part_id) <= PART_ID_MAX_CHARACTERS:
        return part_id
    encoded = part_id.encode(errors="surrogateescape")
    return hashlib.blake2b(encoded, digest_size=PART_DIGEST_BYTES).hexdigest()
