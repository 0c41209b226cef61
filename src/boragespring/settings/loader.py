"""Load settings from JSON with comments into `attrs` classes."""

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

from boragespring.external_values import UnusableValueError, excerpt
from boragespring.settings.errors import (
    FieldError,
    FieldErrorGroup,
    SettingsFileError,
)
from boragespring.settings.types import Check, Range

__all__ = ["load_document", "load_settings", "parse_settings", "structure"]

T = TypeVar("T")


def _structure_int(value: object, _: type) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    raise UnusableValueError(value, "an integer")


def _structure_float(value: object, _: type) -> float:
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        return float(value)
    raise UnusableValueError(value, "a number")


def _structure_str(value: object, _: type) -> str:
    if isinstance(value, str):
        return value
    raise UnusableValueError(value, "a string")


def _structure_bool(value: object, _: type) -> bool:
    if isinstance(value, bool):
        return value
    raise UnusableValueError(value, "true or false")


def _structure_literal(value: object, literal: Any) -> object:
    choices = get_args(literal)
    if value in choices:
        return value
    names = ", ".join(map(str, choices))
    raise UnusableValueError(value, f"one of {names}")


def _is_annotated(type_hint: object) -> bool:
    return get_origin(type_hint) is Annotated


def _is_literal(type_hint: object) -> bool:
    return get_origin(type_hint) is Literal


def _build_converter(forbid_unknown: bool) -> Converter:
    converter = Converter(forbid_extra_keys=forbid_unknown, detailed_validation=True)
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook_func(_is_literal, _structure_literal)

    def structure_annotated(value: object, type_hint: Any) -> object:
        base, *metadata = get_args(type_hint)
        result = converter.structure(value, base)
        for constraint in metadata:
            if isinstance(constraint, Range):
                _check_range(result, constraint)
            if isinstance(constraint, Check):
                result = constraint.apply(result)
        return result

    converter.register_structure_hook_func(_is_annotated, structure_annotated)
    return converter


def _check_range(value: Any, allowed: Range) -> None:
    if isinstance(value, str):
        if not allowed.low <= len(value) <= allowed.high:
            raise UnusableValueError(value, f"{allowed.describe()} characters")
        return
    if not allowed.low <= value <= allowed.high:
        raise UnusableValueError(value, allowed.describe())


_STRICT = _build_converter(forbid_unknown=True)
_LENIENT = _build_converter(forbid_unknown=False)


def _path_segment(notes: list[Any]) -> str:
    for note in notes:
        if isinstance(note, AttributeValidationNote):
            return f".{note.name}"
        if isinstance(note, IterableValidationNote):
            return f"[{note.index!r}]"
    return ""


def _flatten_errors(
    error: Exception, path: str, found: object, source: str
) -> Iterator[FieldError]:
    """Yield one `FieldError` for each leaf of a nested validation error."""
    if isinstance(error, BaseValidationError):
        for child in error.exceptions:
            segment = _path_segment(getattr(child, "__notes__", []))
            child_value = _child_value(found, segment)
            yield from _flatten_errors(child, path + segment, child_value, source)
        return
    field_path = path.removeprefix(".") or "the document"
    if isinstance(error, ForbiddenExtraKeysError):
        extra = ", ".join(sorted(map(str, error.extra_fields)))
        known = ", ".join(error.cl.__annotations__)
        yield FieldError(source, field_path, f"unknown fields {extra}", f"only {known}")
        return
    if isinstance(error, KeyError):
        yield FieldError(source, field_path, "nothing", "a value (required field)")
        return
    if isinstance(error, UnusableValueError):
        yield FieldError(source, field_path, error.found, error.allowed)
        return
    yield FieldError(
        source, field_path, excerpt(found), str(error) or "a value of another type"
    )


def _child_value(parent: object, segment: str) -> object:
    name: object = segment.removeprefix(".")
    if isinstance(parent, Mapping):
        return parent.get(name, parent.get(segment.strip("[]'\""), parent))
    if isinstance(parent, list) and segment.startswith("["):
        index = int(segment.strip("[]"))
        return parent[index]
    return parent


def structure(
    data: object, cls: type[T], source: str, ignore_unknown: bool = False
) -> T:
    """Build an `attrs` object from a decoded JSON document.

    Parameters
    ----------
    data : object
        Decoded JSON document.
    cls : type
        `attrs` class to build.
    source : str
        Name of the document's source, for error messages.
    ignore_unknown : bool, default=False
        Whether to ignore fields that the class does not have.

    Returns
    -------
    object
        Instance of ``cls``.

    Raises
    ------
    FieldErrorGroup
        If any field is invalid, with one `FieldError` for each.
    """
    try:
        if not isinstance(data, Mapping):
            raise UnusableValueError(data, "an object")
        converter = _LENIENT if ignore_unknown else _STRICT
        return converter.structure(data, cls)
    except (BaseValidationError, IterableValidationError, ValueError) as error:
        errors = list(_flatten_errors(error, "", data, source))
        message = f"{source}: {len(errors)} invalid field(s)"
        raise FieldErrorGroup(message, errors) from None


def parse_settings(text: str, cls: type[T], source: str) -> T:
    """Build settings from a string of JSON with comments.

    Parameters
    ----------
    text : str
        Contents of the settings file.
    cls : type
        `attrs` class to build.
    source : str
        Name of the source, for error messages.

    Returns
    -------
    object
        Instance of ``cls``.

    Raises
    ------
    SettingsFileError
        If the string is not valid JSON with comments.
    FieldErrorGroup
        If fields are missing or unknown, or hold values that are not allowed.
    """
    return structure(_decode(text, source), cls, source)


def load_settings(path: Path, cls: type[T]) -> T:
    """Load settings from a file of JSON with comments.

    Raises
    ------
    SettingsFileError
        If the file cannot be read or is not valid JSON with comments.
    FieldErrorGroup
        If fields are missing or unknown, or hold values that are not allowed.
    """
    return structure(load_document(path), cls, str(path))


def load_document(path: Path) -> Any:
    """Read a file of JSON with comments and return the decoded document.

    Raises
    ------
    SettingsFileError
        If the file cannot be read or is not valid JSON with comments.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        message = f"{path}: cannot be read: {error}; expected a readable UTF-8 file"
        raise SettingsFileError(message) from error
    return _decode(text, str(path))


def _decode(text: str, source: str) -> Any:
    try:
        return pyjson5.decode(text)
    except (pyjson5.Json5Exception, RecursionError, ValueError) as error:
        message = f"{source}: invalid JSON with comments: {error}; fix the syntax there"
        raise SettingsFileError(message) from error
