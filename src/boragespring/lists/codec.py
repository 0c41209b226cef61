"""Serialization of the lists for the store and for links: zlib-compressed JSON."""

import json
import zlib
from collections.abc import Iterable
from typing import Any

import cattrs

from boragespring.lists.changes import Change, EntryChange
from boragespring.lists.errors import ListsCorruptError, ListsTooLargeError
from boragespring.lists.model import ListKind
from boragespring.lists.state import ListsState

__all__ = [
    "VALUE_MAX_BYTES",
    "decode_changes",
    "decode_state",
    "encode_changes",
    "encode_state",
    "truncate_to_fit",
]

#: Maximum size of a value written to the store, which accepts about one megabyte.
VALUE_MAX_BYTES = 1_000_000

_UNCOMPRESSED_MAX_BYTES = 64 * 1024 * 1024
_STORED_FORMAT = 1
_CONVERTER = cattrs.Converter()


def encode_state(state: ListsState) -> bytes:
    """Serialize a version together with its history."""
    return _compress_json(
        {
            "stored_format": _STORED_FORMAT,
            "number": state.number,
            "change_id": state.change_id,
            "digest": state.digest,
            "entries": [
                [kind, name, text] for (kind, name), text in _sorted_entries(state)
            ],
            "history": _CONVERTER.unstructure(state.history),
        }
    )


def decode_state(value: bytes) -> ListsState:
    """Deserialize a version.

    Raises
    ------
    ListsCorruptError
        The value is malformed, or its digest does not match its entries.
    """
    data = _decompress_json(value)
    try:
        if data["stored_format"] != _STORED_FORMAT:
            raise ListsCorruptError(f"unknown stored format {data['stored_format']!r}")
        state = ListsState(
            number=int(data["number"]),
            change_id=str(data["change_id"]),
            texts={(ListKind(k), str(n)): str(t) for k, n, t in data["entries"]},
            history=_structure_changes(data["history"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise ListsCorruptError(f"malformed lists: {error!r}") from error
    if state.digest != data.get("digest"):
        raise ListsCorruptError("the digest does not match the entries")
    return state


def encode_changes(changes: Iterable[Change]) -> bytes:
    """Serialize a sequence of changes."""
    return _compress_json(_CONVERTER.unstructure(tuple(changes)))


def decode_changes(value: bytes) -> tuple[Change, ...]:
    """Deserialize a sequence of changes.

    Raises
    ------
    ListsCorruptError
        The value is malformed.
    """
    return _structure_changes(_decompress_json(value))


def truncate_to_fit(state: ListsState) -> tuple[ListsState, bytes]:
    """Truncate the history until the serialized version fits into the store.

    Returns
    -------
    state : ListsState
        The version with the history that fits.
    value : bytes
        Its serialized form.

    Raises
    ------
    ListsTooLargeError
        The version does not fit even with only its last change as history.
    """
    change_count = len(state.history)
    while True:
        value = encode_state(state)
        if len(value) <= VALUE_MAX_BYTES:
            return state, value
        if change_count <= 1:
            raise ListsTooLargeError(
                f"{len(value)} bytes compressed exceed the limit of {VALUE_MAX_BYTES}"
            )
        change_count //= 2
        state = state.with_truncated_history(change_count)


def _sorted_entries(state: ListsState) -> list[tuple[tuple[ListKind, str], str]]:
    return sorted(state.texts.items())


def _structure_changes(data: Any) -> tuple[Change, ...]:
    try:
        return _CONVERTER.structure(data, tuple[Change, ...])
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        raise ListsCorruptError(f"malformed changes: {error!r}") from error


def _compress_json(data: Any) -> bytes:
    text = json.dumps(data, separators=(",", ":"), ensure_ascii=False)
    return zlib.compress(text.encode())


def _decompress_json(value: bytes) -> Any:
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(value, _UNCOMPRESSED_MAX_BYTES)
        if decompressor.unconsumed_tail or not decompressor.eof:
            raise ListsCorruptError("truncated or too large")
        return json.loads(text)
    except (zlib.error, ValueError, RecursionError) as error:
        raise ListsCorruptError(f"unreadable lists: {error}") from error


_CONVERTER.register_structure_hook(
    EntryChange,
    lambda data, _: EntryChange(
        ListKind(data["kind"]),
        str(data["name"]),
        str(data["before"]),
        str(data["after"]),
    ),
)
