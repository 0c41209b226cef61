"""Build the receiver of orders in an agent."""

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
    """Return the receiver of orders for the engine of an agent.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the agent.
    engine : HttpEngineClient
        Client of the engine that carries out the orders.
    store : KeyValueStore
        Store from which the current fencing numbers are read.
    dispatcher : Dispatcher
        Registry for the message handlers of the receiver.
    """
    duty_name = orders_duty_name(settings.placement.region, settings.server.service)
    guard = FenceGuard(store, duty_name, settings.server.checks_fencing)
    return OrderReceiver(engine, guard, dispatcher)
