"""Wire the orders of an agent."""

from boragespring.engines import HttpEngineClient
from boragespring.links import Dispatcher
from boragespring.orders import FenceGuard, OrderReceiver, orders_duty_name
from boragespring.settings import AgentSettings
from boragespring.store import KeyValueStore

__all__ = ["build_order_receiver"]


def build_order_receiver(
    settings: AgentSettings,
    engine: HttpEngineClient,
    store: KeyValueStore,
    dispatcher: Dispatcher,
) -> OrderReceiver:
    """Return the receiver of orders to the engine beside the agent."""
    duty_name = orders_duty_name(settings.placement.region, settings.server.service)
    guard = FenceGuard(store, duty_name, settings.server.checks_fencing)
    return OrderReceiver(engine, guard, dispatcher)
