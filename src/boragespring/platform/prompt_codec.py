"""Decode what the head of a request says about its prompt."""

from collections.abc import Iterator, Sequence
from typing import overload

from attrs import frozen
from multidict import CIMultiDictProxy

from boragespring.forwarding import PromptPart, PromptShape, part_ids
from boragespring.platform import names

__all__ = ["decode_prompt", "parse_number"]

#: Longest number in a header that is used.
NUMBER_MAX_DIGITS = 12


def parse_number(text: str | None) -> int | None:
    """Return a number that is not negative, or None if the text is no usable one."""
    digits = (text or "").strip()
    is_usable = digits.isdecimal() and len(digits) <= NUMBER_MAX_DIGITS
    return int(digits) if is_usable else None


def decode_prompt(headers: CIMultiDictProxy[str]) -> PromptShape | None:
    """Return the token counts of a prompt, or None if they are missing or invalid."""
    counts = [
        parse_number(text) for text in headers.get(names.TOKEN_COUNTS, "").split(",")
    ]
    if len(counts) != 2 or counts[0] is None or counts[1] is None:
        return None
    return PromptShape(
        prompt_tokens=counts[0],
        output_max_tokens=counts[1],
        output_hint_tokens=parse_number(headers.get(names.OUTPUT_LENGTH_HINT)),
        parts=_HeaderParts(",".join(headers.getall(names.PROMPT_PARTS, ()))),
    )


@frozen
class _HeaderParts(Sequence[PromptPart]):
    """Parts of a prompt, read from the header each time they are needed.

    A head has room for thousands, which would take ten times its size as objects.

    Parameters
    ----------
    text : str
        Value of the header; entries without a usable number of tokens are left out.
    """

    text: str

    def __iter__(self) -> Iterator[PromptPart]:
        """Yield the parts in order."""
        for entry in self.text.split(","):
            part_id, _, count = entry.strip().partition(":")
            tokens = parse_number(count)
            if tokens is not None:
                yield PromptPart(part_id, tokens)

    def __len__(self) -> int:
        """Return the number of parts."""
        return sum(1 for _ in self)

    @overload
    def __getitem__(self, index: int) -> PromptPart: ...

    @overload
    def __getitem__(self, index: slice) -> Sequence[PromptPart]: ...

    def __getitem__(self, index: int | slice) -> PromptPart | Sequence[PromptPart]:
        """Return one part, or several."""
        return tuple(self)[index]


@part_ids.register
def _(parts: _HeaderParts) -> Iterator[str]:
    entries = (entry.partition(":") for entry in parts.text.split(","))
    return (part_id.lstrip() for part_id, _, count in entries if _is_number(count))


def _is_number(text: str) -> bool:
    if text.isdecimal():
        return len(text) <= NUMBER_MAX_DIGITS
    return parse_number(text) is not None
