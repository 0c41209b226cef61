"""Orders that bring backend servers to their desired models, adapters and roles."""

from boragespring.orders.errors import OrderError, OrderRejectedError, RefusalCode
from boragespring.orders.fencing import FenceGuard, orders_duty_name
from boragespring.orders.plan import (
    Gap,
    GapReason,
    Plan,
    PlannedOrder,
    PlanSettings,
    ServerState,
    plan_orders,
)
from boragespring.orders.receiver import OrderedServer, OrderReceiver
from boragespring.orders.reconciler import (
    DesiredState,
    OrderReconciler,
    OrderSettings,
    OrderStatus,
)
from boragespring.orders.retries import OrderRetries, RetrySettings

__all__ = [
    "DesiredState",
    "FenceGuard",
    "Gap",
    "GapReason",
    "OrderError",
    "OrderReceiver",
    "OrderReconciler",
    "OrderRejectedError",
    "OrderRetries",
    "OrderSettings",
    "OrderStatus",
    "OrderedServer",
    "Plan",
    "PlanSettings",
    "PlannedOrder",
    "RefusalCode",
    "RetrySettings",
    "ServerState",
    "orders_duty_name",
    "plan_orders",
]
