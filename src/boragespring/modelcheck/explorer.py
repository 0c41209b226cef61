"""Breadth-first search through all reachable states of a model."""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import Generic, TypeVar

from attrs import frozen

from boragespring.errors import BoragespringError

__all__ = ["Model", "ModelCheckError", "Report", "Step", "explore"]

S = TypeVar("S", bound=Hashable)


class ModelCheckError(BoragespringError):
    """The model has more reachable states than the exploration allows."""


@frozen
class Step(Generic[S]):
    """One possible transition.

    Parameters
    ----------
    action : str
        Description of what happens.
    state : object
        State after the transition.
    """

    action: str
    state: S


@frozen
class Model(Generic[S]):
    """A protocol as an initial state and the possible steps from each state.

    Parameters
    ----------
    initial : object
        Initial state; it must be hashable.
    steps : callable
        Returns all possible steps from a state.
    violation : callable
        Returns a description of the invariant that a state violates; empty if it
        violates none.
    """

    initial: S
    steps: Callable[[S], Iterable[Step[S]]]
    violation: Callable[[S], str]


@frozen
class Report:
    """Result of an exploration.

    Parameters
    ----------
    states : int
        Number of distinct states that were reached.
    depth : int
        Number of steps from the initial state to the last explored one.
    violation : str
        Violation of the first violating state; empty if there is none.
    trace : tuple of str
        Actions that lead from the initial state to the violating one.
    """

    states: int
    depth: int
    violation: str = ""
    trace: tuple[str, ...] = ()


def explore(model: Model[S], states_max: int = 2_000_000) -> Report:
    """Explore all reachable states and stop at the first violation.

    Parameters
    ----------
    model : Model
        Model to explore.
    states_max : int
        Maximum number of states.

    Returns
    -------
    Report
        Result; if a state violates the model's invariant, with a shortest trace.

    Raises
    ------
    ModelCheckError
        When more than ``states_max`` states are reachable.
    """
    parents: dict[S, tuple[S, str] | None] = {model.initial: None}
    frontier = deque([(model.initial, 0)])
    depth = 0
    while frontier:
        state, depth = frontier.popleft()
        violation = model.violation(state)
        if violation:
            return Report(len(parents), depth, violation, _trace(parents, state))
        for step in model.steps(state):
            if step.state in parents:
                continue
            parents[step.state] = (state, step.action)
            frontier.append((step.state, depth + 1))
        if len(parents) > states_max:
            raise ModelCheckError(f"more than {states_max} states are reachable")
    return Report(len(parents), depth)


def _trace(parents: dict[S, tuple[S, str] | None], state: S) -> tuple[str, ...]:
    actions: list[str] = []
    parent = parents[state]
    while parent is not None:
        state, action = parent
        actions.append(action)
        parent = parents[state]
    return tuple(reversed(actions))
