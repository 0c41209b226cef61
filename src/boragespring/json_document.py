"""Parse JSON documents that other programs wrote, with a limit on their nesting."""

import json
from collections.abc import Iterable
from functools import singledispatch
from typing import Any

__all__ = ["NestingTooDeepError", "parse_json"]

#: Maximum number of levels of objects and arrays. Code that walks a parsed document
#: recursively, such as ``repr``, stays far from the interpreter's limit.
DEPTH_MAX = 64


class NestingTooDeepError(ValueError):
    """Objects and arrays of a document are nested too deeply."""

    def __init__(self) -> None:
        super().__init__(f"more than {DEPTH_MAX} levels of nesting")


def parse_json(data: str | bytes) -> Any:
    """Parse a JSON document.

    Parameters
    ----------
    data : str or bytes
        Document; bytes in UTF-8, UTF-16 or UTF-32.

    Returns
    -------
    object
        Parsed document, whose values may have any type.

    Raises
    ------
    ValueError
        If the data is not JSON, or is nested too deeply (`NestingTooDeepError`).
    """
    try:
        document = json.loads(data)
    except RecursionError:
        raise NestingTooDeepError from None
    if _is_deeper_than(document, DEPTH_MAX):
        raise NestingTooDeepError
    return document


def _is_deeper_than(document: object, depth_max: int) -> bool:
    level = [document]
    for _ in range(depth_max):
        level = [child for value in level for child in _children(value)]
        if not level:
            return False
    return True


@singledispatch
def _children(value: object) -> Iterable[object]:
    return ()


@_children.register
def _(value: dict) -> Iterable[object]:  # type: ignore[type-arg]
    return value.values()


@_children.register
def _(value: list) -> Iterable[object]:  # type: ignore[type-arg]
    return value
