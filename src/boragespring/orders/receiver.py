"""Receive orders at an agent and carry them out on its backend server."""

import asyncio
from typing import Protocol

from absl import logging

from boragespring.engines import EngineError, EngineOrder, OrderKind
from boragespring.links import Dispatcher, Link
from boragespring.orders.errors import OrderRejectedError, RefusalCode
from boragespring.orders.fencing import FenceGuard
from boragespring.orders.messages import (
    OrderReply,
    OrderRequest,
    ServerReport,
    ServerReportQuery,
)

__all__ = ["OrderReceiver", "OrderedServer"]


class OrderedServer(Protocol):
    """Backend server that carries out orders."""

    async def order(self, order: EngineOrder) -> None:
        """Carry out an order; raise `EngineError` or `TimeoutError`."""
        ...

    async def models(self) -> tuple[str, ...]:
        """Return the names of the loaded models; raise `EngineError`."""
        ...


class OrderReceiver:
    """Receive orders for one backend server and carry them out one at a time.

    The names of the loaded models are read from the server. Versions, adapters
    and roles are known only from orders received since the agent started. After
    the agent restarts, the holder of the duty sends these orders again, which
    has no further effect on the server.

    Parameters
    ----------
    server : OrderedServer
        The backend server.
    fence_guard : FenceGuard
        Rejects orders that are not from the current holder of the duty.
    dispatcher : Dispatcher
        Dispatcher of the links on which orders arrive.
    """

    def __init__(
        self, server: OrderedServer, fence_guard: FenceGuard, dispatcher: Dispatcher
    ) -> None:
        self._server = server
        self._fence_guard = fence_guard
        self._models: dict[str, str] = {}
        self._adapters: dict[str, str] = {}
        self._role = ""
        self._failure = ""
        self._lists_version = 0
        self._current: EngineOrder | None = None
        self._task: asyncio.Task[None] | None = None
        dispatcher.on_call(ServerReportQuery, self._on_report_query)
        dispatcher.on_call(OrderRequest, self._on_order_request)

    def report(self) -> ServerReport:
        """Return the known state of the backend server."""
        return ServerReport(
            models=dict(self._models),
            adapters=dict(self._adapters),
            role=self._role,
            loading=self._current.name if self._current is not None else "",
            highest_fence=self._fence_guard.highest_fence,
            failure=self._failure,
        )

    async def close(self) -> None:
        """Cancel the order that is being carried out."""
        if self._task is not None:
            self._task.cancel()

    async def _on_report_query(
        self, _: Link, message: ServerReportQuery
    ) -> ServerReport:
        await self._refresh_models()
        return self.report()

    async def _refresh_models(self) -> None:
        """Update the names of the loaded models from the server.

        The version of a model that was not loaded by an order stays empty.
        """
        try:
            names = await self._server.models()
        except EngineError:
            return
        self._models = {name: self._models.get(name, "") for name in names}

    async def _on_order_request(self, _: Link, message: OrderRequest) -> OrderReply:
        try:
            order = _parse_order(message)
            await self._fence_guard.check(message.fencing_number)
            self._check_lists(message)
            if not self._is_done(order):
                self._start(order)
        except OrderRejectedError as error:
            return OrderReply(False, str(error.code.value), str(error))
        return OrderReply(True, "", "")

    def _check_lists(self, message: OrderRequest) -> None:
        if message.lists_version < self._lists_version:
            raise OrderRejectedError(
                RefusalCode.OLD_LISTS,
                f"lists version {message.lists_version} is below {self._lists_version}",
            )
        self._lists_version = message.lists_version

    def _is_done(self, order: EngineOrder) -> bool:
        match order.kind:
            case OrderKind.SET_ROLE:
                return self._role == order.name
            case OrderKind.LOAD_ADAPTER:
                return self._adapters.get(order.name) == order.version
            case _:
                return self._models.get(order.name) == order.version

    def _start(self, order: EngineOrder) -> None:
        if self._current is not None:
            if _identity(self._current) == _identity(order):
                return
            raise OrderRejectedError(
                RefusalCode.BUSY, f"{self._current.name} is being loaded"
            )
        self._current = order
        self._task = asyncio.create_task(self._carry_out(order))

    async def _carry_out(self, order: EngineOrder) -> None:
        try:
            await self._server.order(order)
        except (EngineError, TimeoutError) as error:
            self._failure = f"{order.kind} {order.name}: {error}"
            logging.warning(
                "event=order_failed kind=%s name=%s error=%r",
                order.kind,
                order.name,
                error,
            )
        else:
            self._record_done(order)
        finally:
            self._current = None

    def _record_done(self, order: EngineOrder) -> None:
        self._failure = ""
        match order.kind:
            case OrderKind.SET_ROLE:
                self._role = order.name
            case OrderKind.LOAD_ADAPTER:
                self._adapters[order.name] = order.version
            case _:
                self._models[order.name] = order.version
        logging.info(
            "event=order_done kind=%s name=%s version=%s fence=%d",
            order.kind,
            order.name,
            order.version,
            order.fencing_number,
        )


def _identity(order: EngineOrder) -> tuple[str, str, str]:
    return str(order.kind), order.name, order.version


def _parse_order(message: OrderRequest) -> EngineOrder:
    try:
        kind = OrderKind(message.kind)
    except ValueError as error:
        raise OrderRejectedError(RefusalCode.MALFORMED, str(error)) from error
    return EngineOrder(kind, message.name, message.version, message.fencing_number)
