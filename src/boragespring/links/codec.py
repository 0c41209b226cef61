"""Encoding of messages on links: `attrs` classes as msgpack arrays.

A message is encoded as ``[code, call_id, field, ...]``. ``call_id`` is 0 for a
message that expects no reply, positive for a call and negative for its reply.
"""

from collections.abc import Callable, Iterator
from operator import attrgetter
from typing import Any, TypeVar, dataclass_transform, get_origin, get_type_hints

import attrs
import msgpack

from boragespring.links.errors import LinkProtocolError

__all__ = [
    "FRAME_MAX_BYTES",
    "FrameDecoder",
    "Message",
    "MessageRegistry",
    "encode",
    "evolve",
    "message",
]

#: Maximum size of one message on a link.
FRAME_MAX_BYTES = 8 * 2**20

Message = Any
T = TypeVar("T")


@attrs.frozen
class _MessageType:
    """Encoding of one message class."""

    code: int
    cls: type[Any]
    get_fields: Callable[[Any], tuple[Any, ...]]
    field_types: tuple[tuple[type, ...], ...]
    #: Combinations of field types that have already passed the check.
    accepted: set[tuple[type, ...]] = attrs.Factory(set)

    def validate_fields(self, fields: list[Any]) -> None:
        """Raise `LinkProtocolError` unless the fields match the class."""
        actual_types = tuple(map(type, fields))
        if actual_types in self.accepted:
            return
        name = self.cls.__name__
        if len(actual_types) != len(self.field_types):
            raise LinkProtocolError(f"{name} has the wrong number of fields")
        for field_type, accepted in zip(actual_types, self.field_types, strict=True):
            if field_type not in accepted:
                raise LinkProtocolError(
                    f"{name} has a field of unexpected type {field_type.__name__}"
                )
        self.accepted.add(actual_types)


class MessageRegistry:
    """Registry of message types by code and by class."""

    def __init__(self) -> None:
        self._by_code: dict[int, _MessageType] = {}
        self._by_class: dict[type[Any], _MessageType] = {}

    def add(self, code: int, cls: type[Any]) -> None:
        """Register a class under a unique code."""
        if code in self._by_code:
            other = self._by_code[code].cls.__name__
            raise ValueError(f"message code {code} is already used by {other}")
        message_type = _MessageType(code, cls, _field_getter(cls), _field_types(cls))
        self._by_code[code] = message_type
        self._by_class[cls] = message_type

    def type_for_code(self, code: object) -> _MessageType:
        """Return the message type with a code; raise `LinkProtocolError` if unknown."""
        message_type = self._by_code.get(code) if isinstance(code, int) else None
        if message_type is None:
            raise LinkProtocolError(f"unknown message code {code!r}")
        return message_type

    def type_for_class(self, cls: type[Any]) -> _MessageType:
        """Return the message type of a registered class."""
        return self._by_class[cls]


REGISTRY = MessageRegistry()


@dataclass_transform(frozen_default=True, field_specifiers=(attrs.field,))
def message(code: int) -> Callable[[type[T]], type[T]]:
    """Return a decorator that defines a message class and registers it.

    The type checker treats messages as frozen. At run time they are not, since
    creating a frozen object takes twice as long and one is created for every token.

    Parameters
    ----------
    code : int
        Code that identifies the class on the wire.
    """

    def decorate(cls: type[T]) -> type[T]:
        built = attrs.define(cls, unsafe_hash=True)
        REGISTRY.add(code, built)
        return built

    return decorate


def evolve(instance: T, **changes: object) -> T:
    """Return a copy of a message with some fields changed."""
    copy: T = attrs.evolve(instance, **changes)  # type: ignore[misc]
    return copy


def _field_getter(cls: type[Any]) -> Callable[[Any], tuple[Any, ...]]:
    names = [field.name for field in attrs.fields(cls)]
    if not names:
        return lambda _: ()
    get_fields = attrgetter(*names)
    if len(names) == 1:
        return lambda instance: (get_fields(instance),)
    return get_fields


def _field_types(cls: type[Any]) -> tuple[tuple[type, ...], ...]:
    hints = get_type_hints(cls)
    return tuple(_wire_types(hints[field.name]) for field in attrs.fields(cls))


def _wire_types(hint: Any) -> tuple[type, ...]:
    """Return the decoded msgpack types that a field accepts."""
    origin = get_origin(hint) or hint
    if origin is float:
        return (float, int)
    if origin in (tuple, list):
        return (list,)
    if origin in (int, str, bytes, bool, dict):
        return (origin,)
    raise TypeError(f"messages cannot have a field of type {hint!r}")


def encode(instance: Message, call_id: int = 0) -> bytes:
    """Encode a message, with the ID of the call that it belongs to, if any."""
    message_type = REGISTRY.type_for_class(type(instance))
    fields = (message_type.code, call_id, *message_type.get_fields(instance))
    # Texts of callers may contain bytes that are no UTF-8. They must not fail what else
    # the message says.
    packed: bytes = msgpack.packb(fields, unicode_errors="replace")
    return packed


class FrameDecoder:
    """Incremental decoder of a stream of messages."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False,
            max_buffer_size=FRAME_MAX_BYTES,
            strict_map_key=True,
        )

    def feed(self, data: bytes) -> Iterator[tuple[Message, int]]:
        """Yield each complete message with its call ID.

        Raises
        ------
        LinkProtocolError
            The bytes are not a valid message.
        """
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                yield _decode(frame)
        except LinkProtocolError:
            raise
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise LinkProtocolError(f"invalid msgpack: {error}") from error


def _decode(frame: object) -> tuple[Message, int]:
    if not isinstance(frame, list) or len(frame) < 2:
        raise LinkProtocolError("a frame is not an array of code, call ID and fields")
    code, call_id, *fields = frame
    message_type = REGISTRY.type_for_code(code)
    if type(call_id) is not int:
        raise LinkProtocolError(f"{message_type.cls.__name__} has an invalid call ID")
    message_type.validate_fields(fields)
    return message_type.cls(*fields), call_id
