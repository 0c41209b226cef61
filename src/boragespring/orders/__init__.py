"""Orders: models, adapters, versions and roles of the backend servers."""

from boragespring.orders.errors import OrderError, OrderNotTakenError, RefusalCode
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
    "OrderNotTakenError",
    "OrderReceiver",
    "OrderRetries",
    "OrderSettings",
    "OrderStatus",
    "OrderedServer",
    "OrderReconciler",
    "Plan",
    "PlanSettings",
    "PlannedOrder",
    "RefusalCode",
    "RetrySettings",
    "ServerState",
    "orders_duty_name",
    "plan_orders",
]
