"""Read settings from JSON with comments into `attrs` classes."""

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar, get_args, get_origin

import pyjson5
from cattrs import (
    BaseValidationError,
    Converter,
    ForbiddenExtraKeysError,
    IterableValidationError,
)
from cattrs.errors import AttributeValidationNote, IterableValidationNote

from boragespring.settings.errors import (
    FieldError,
    FieldErrorGroup,
    SettingsFileError,
)
from boragespring.settings.types import Range

__all__ = ["load_document", "load_settings", "parse_settings", "structure"]

T = TypeVar("T")

FOUND_MAX_CHARACTERS = 80


class _ValueNotAllowedError(ValueError):
    """A value was refused; says what was found and what is allowed."""

    def __init__(self, found: object, allowed: str) -> None:
        self.found = _describe(found)
        self.allowed = allowed
        super().__init__(allowed)


def _describe(value: object) -> str:
    text = repr(value)
    if len(text) <= FOUND_MAX_CHARACTERS:
        return text
    return text[:FOUND_MAX_CHARACTERS] + "..."


def _structure_int(value: object, _: type) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    raise _ValueNotAllowedError(value, "a whole number")


def _structure_float(value: object, _: type) -> float:
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        return float(value)
    raise _ValueNotAllowedError(value, "a number")


def _structure_str(value: object, _: type) -> str:
    if isinstance(value, str):
        return value
    raise _ValueNotAllowedError(value, "a text")


def _structure_bool(value: object, _: type) -> bool:
    if isinstance(value, bool):
        return value
    raise _ValueNotAllowedError(value, "true or false")


def _structure_literal(value: object, literal: Any) -> object:
    choices = get_args(literal)
    if value in choices:
        return value
    names = ", ".join(map(str, choices))
    raise _ValueNotAllowedError(value, f"one of {names}")


def _is_annotated(kind: object) -> bool:
    return get_origin(kind) is Annotated


def _is_literal(kind: object) -> bool:
    return get_origin(kind) is Literal


def _build_converter(refuse_unknown: bool) -> Converter:
    converter = Converter(forbid_extra_keys=refuse_unknown, detailed_validation=True)
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook_func(_is_literal, _structure_literal)

    def structure_annotated(value: object, kind: Any) -> object:
        base, *marks = get_args(kind)
        result = converter.structure(value, base)
        for mark in marks:
            if isinstance(mark, Range):
                _check_range(result, mark)
        return result

    converter.register_structure_hook_func(_is_annotated, structure_annotated)
    return converter


def _check_range(value: Any, allowed: Range) -> None:
    if isinstance(value, str):
        if not allowed.low <= len(value) <= allowed.high:
            raise _ValueNotAllowedError(value, f"{allowed.describe()} characters")
        return
    if not allowed.low <= value <= allowed.high:
        raise _ValueNotAllowedError(value, allowed.describe())


_STRICT = _build_converter(refuse_unknown=True)
_LENIENT = _build_converter(refuse_unknown=False)


def _step(notes: list[Any]) -> str:
    for note in notes:
        if isinstance(note, AttributeValidationNote):
            return f".{note.name}"
        if isinstance(note, IterableValidationNote):
            return f"[{note.index!r}]"
    return ""


def _field_errors(
    error: Exception, path: str, found: object, source: str
) -> Iterator[FieldError]:
    """Flatten a validation error into one error for each field."""
    if isinstance(error, BaseValidationError):
        for child in error.exceptions:
            step = _step(getattr(child, "__notes__", []))
            child_found = _child_value(found, step)
            yield from _field_errors(child, path + step, child_found, source)
        return
    where = path.removeprefix(".") or "the document"
    if isinstance(error, ForbiddenExtraKeysError):
        extra = ", ".join(sorted(map(str, error.extra_fields)))
        known = ", ".join(error.cl.__annotations__)
        yield FieldError(source, where, f"unknown fields {extra}", f"only {known}")
        return
    if isinstance(error, KeyError):
        yield FieldError(source, where, "nothing", "a value, it is required")
        return
    if isinstance(error, _ValueNotAllowedError):
        yield FieldError(source, where, error.found, error.allowed)
        return
    yield FieldError(source, where, _describe(found), str(error) or "another type")


def _child_value(parent: object, step: str) -> object:
    name: object = step.removeprefix(".")
    if isinstance(parent, Mapping):
        return parent.get(name, parent.get(step.strip("[]'\""), parent))
    if isinstance(parent, list) and step.startswith("["):
        index = int(step.strip("[]"))
        return parent[index]
    return parent


def structure(
    data: object, cls: type[T], source: str, ignore_unknown: bool = False
) -> T:
    """Build an `attrs` object from plain data.

    Parameters
    ----------
    data : object
        Plain data, as read from JSON.
    cls : type
        `attrs` class to build.
    source : str
        Name of the source, for the errors.
    ignore_unknown : bool, default=False
        Whether fields that the class does not have are passed over.

    Returns
    -------
    object
        Instance of ``cls``.

    Raises
    ------
    FieldErrorGroup
        With one `FieldError` for each field in error.
    """
    try:
        if not isinstance(data, Mapping):
            raise _ValueNotAllowedError(data, "an object")
        converter = _LENIENT if ignore_unknown else _STRICT
        return converter.structure(data, cls)
    except (BaseValidationError, IterableValidationError, ValueError) as error:
        errors = list(_field_errors(error, "", data, source))
        message = f"{source}: {len(errors)} field(s) in error"
        raise FieldErrorGroup(message, errors) from None


def parse_settings(text: str, cls: type[T], source: str) -> T:
    """Build settings from a text of JSON with comments.

    Raises
    ------
    SettingsFileError
        When the text is no JSON with comments.
    FieldErrorGroup
        When fields are missing, unknown or not allowed.
    """
    return structure(_decode(text, source), cls, source)


def load_settings(path: Path, cls: type[T]) -> T:
    """Read settings from a file; see `parse_settings`."""
    return structure(load_document(path), cls, str(path))


def load_document(path: Path) -> Any:
    """Read plain data from a file of JSON with comments.

    Raises
    ------
    SettingsFileError
        When the file cannot be read or is no JSON with comments.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        message = f"{path}: cannot be read: {error}; name a readable UTF-8 file"
        raise SettingsFileError(message) from error
    return _decode(text, str(path))


def _decode(text: str, source: str) -> Any:
    try:
        return pyjson5.decode(text)
    except (pyjson5.Json5Exception, RecursionError, ValueError) as error:
        message = f"{source}: not JSON with comments: {error}; mend the text there"
        raise SettingsFileError(message) from error
