"""Model of duties: two processes that can hold a duty, and one receiver of orders.

A process acquires the duty if no lease in the store holds it. The store deletes
the key when the lease expires. A holder that is paused past its lease does not
notice the expiry and continues to send orders. The receiver remembers the highest
fencing number. It can lose that number in a restart, and then rejects all orders
until it has read the current number from the store.
"""

from collections.abc import Iterator

from attrs import evolve, frozen

from boragespring.modelcheck.explorer import Model, Step

__all__ = ["DutyGuards", "DutyState", "duty_model"]

#: Limits of the model, which keep its state space finite.
PROCESSES = 2
REVISION_MAX = 4
RESTARTS_MAX = 1


@frozen
class Order:
    """Order in transit; ``revision`` is its fencing number."""

    revision: int


@frozen
class DutyState:
    """State of the model.

    Parameters
    ----------
    revision : int
        Revision of the store.
    held_revision : int
        Revision at which the current holder acquired the duty; 0 for no holder.
    assumed_revisions : tuple of int
        For each process, the revision at which it last acquired the duty and which
        it assumes to be current; 0 for none.
    network : frozenset of Order
        Orders that can still arrive.
    fence : int
        Highest fencing number that the receiver knows; -1 after a restart until the
        number is read from the store.
    restarts : int
        Number of restarts of the receiver so far.
    applied : tuple of int
        Fencing numbers of the orders that took effect, in order.
    """

    revision: int = 0
    held_revision: int = 0
    assumed_revisions: tuple[int, ...] = (0,) * PROCESSES
    network: frozenset[Order] = frozenset()
    fence: int = 0
    restarts: int = 0
    applied: tuple[int, ...] = ()


@frozen
class DutyGuards:
    """Checks of the receiver.

    Each check can be disabled to show that the protocol needs it.

    Parameters
    ----------
    compares_fence : bool
        Whether orders with a lower fencing number are rejected.
    reads_after_restart : bool
        Whether a restarted receiver reads the current fencing number before it
        accepts orders.
    """

    compares_fence: bool = True
    reads_after_restart: bool = True


def duty_model(guards: DutyGuards | None = None) -> Model[DutyState]:
    """Return the model with the given guards; None enables all of them."""
    active_guards = guards or DutyGuards()
    return Model(DutyState(), lambda state: _steps(state, active_guards), _violation)


def _violation(state: DutyState) -> str:
    pairs = zip(state.applied, state.applied[1:], strict=False)
    for earlier, later in pairs:
        if later < earlier:
            return f"order with fencing number {later} took effect after {earlier}"
    return ""


def _steps(state: DutyState, guards: DutyGuards) -> Iterator[Step[DutyState]]:
    for index in range(PROCESSES):
        yield from _process_steps(state, index)
    if state.held_revision:
        yield Step("the lease expires", evolve(state, held_revision=0))
    yield from _receiver_steps(state, guards)


def _process_steps(state: DutyState, index: int) -> Iterator[Step[DutyState]]:
    assumed_revision = state.assumed_revisions[index]
    if not state.held_revision and state.revision < REVISION_MAX:
        revision = state.revision + 1
        assumed_revisions = list(state.assumed_revisions)
        assumed_revisions[index] = revision
        acquired = evolve(
            state,
            revision=revision,
            held_revision=revision,
            assumed_revisions=tuple(assumed_revisions),
        )
        yield Step(f"process {index} acquires the duty", acquired)
    if assumed_revision:
        # A paused holder also sends orders, since it has not noticed that its
        # lease has expired.
        sent = state.network | {Order(assumed_revision)}
        yield Step(f"process {index} sends an order", evolve(state, network=sent))


def _receiver_steps(state: DutyState, guards: DutyGuards) -> Iterator[Step[DutyState]]:
    for order in state.network:
        if guards.reads_after_restart and state.fence < 0:
            continue
        if guards.compares_fence and order.revision < state.fence:
            continue
        if state.applied and state.applied[-1] == order.revision:
            # Applying the same order again has no effect.
            continue
        if len(state.applied) < REVISION_MAX:
            yield Step(
                f"order {order.revision} takes effect",
                evolve(
                    state,
                    fence=max(state.fence, order.revision),
                    applied=(*state.applied, order.revision),
                ),
            )
    if state.restarts < RESTARTS_MAX:
        restarted = evolve(state, fence=-1, restarts=state.restarts + 1)
        yield Step("the receiver restarts", restarted)
    if state.fence < 0:
        yield Step(
            "the receiver reads the fencing number", evolve(state, fence=state.revision)
        )
