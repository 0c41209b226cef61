"""Registry of handlers for messages received on links."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeVar

from boragespring.links.codec import Message

if TYPE_CHECKING:
    from boragespring.links.link import Link

__all__ = ["Dispatcher", "LinkHook"]

M = TypeVar("M")
Handler = Callable[["Link", M], None]
CallHandler = Callable[["Link", M], Awaitable[Message]]
LinkHook = Callable[["Link"], None]


class Dispatcher:
    """Handlers by message class, shared by all links of a process.

    Components register their handlers when the process is assembled. Handlers of
    one-way messages run in the reader of the link and must not block. Call handlers run
    in separate tasks.
    """

    def __init__(self) -> None:
        self.handlers: dict[type[Any], Handler[Any]] = {}
        self.call_handlers: dict[type[Any], CallHandler[Any]] = {}
        self.up_hooks: list[LinkHook] = []
        self.down_hooks: list[LinkHook] = []
        self.tick_hooks: list[LinkHook] = []

    def on(self, cls: type[M], handler: Handler[M]) -> None:
        """Register the handler of a class of one-way messages."""
        self._check_unregistered(cls)
        self.handlers[cls] = handler

    def on_call(self, cls: type[M], handler: CallHandler[M]) -> None:
        """Register the handler of a class of calls; it returns the reply."""
        self._check_unregistered(cls)
        self.call_handlers[cls] = handler

    def on_up(self, hook: LinkHook) -> None:
        """Register a hook that runs when a link comes up."""
        self.up_hooks.append(hook)

    def on_down(self, hook: LinkHook) -> None:
        """Register a hook that runs when a link goes down."""
        self.down_hooks.append(hook)

    def on_tick(self, hook: LinkHook) -> None:
        """Register a hook that runs before each heartbeat of each link."""
        self.tick_hooks.append(hook)

    def _check_unregistered(self, cls: type[Any]) -> None:
        if cls in self.handlers or cls in self.call_handlers:
            raise ValueError(f"{cls.__name__} already has a handler")
