"""Explores all interleavings of a small system, step by step."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Protocol

MAX_STATES = int(os.environ.get("MAX_STATES", "400"))
"""Limit of each exploration in the tests; ``make soak`` raises it."""

Step = tuple[str, Callable[[], None]]
"""A step that may happen next: its label, and the function that takes it."""


class Model(Protocol):
    """A system whose next step the explorer chooses."""

    def steps(self) -> list[Step]:
        """Returns all steps that may happen now, in a fixed order."""

    def fingerprint(self) -> Hashable:
        """Returns a value that is equal for equal states."""

    def check(self) -> None:
        """Raises ``AssertionError`` if the state breaks a guarantee."""

    def settle(self) -> None:
        """Delivers all that is pending, then checks the final state."""


@dataclass(slots=True)
class Explored:
    """Result of an exploration.

    Attributes:
        states: Number of different states.
        depth: Number of steps of the longest path.
        complete: True if no state was left out because of the limit.
        labels: Labels of all steps that were taken at least once.
    """

    states: int = 0
    depth: int = 0
    complete: bool = True
    labels: set[str] = field(default_factory=set)


class BrokenGuaranteeError(AssertionError):
    """A state breaks a guarantee; the message lists the steps to it."""


def explore(new_model: Callable[[], Model], *, max_states: int) -> Explored:
    """Visits states breadth first, so that a failure has the fewest steps.

    A state is reached by replaying its steps on a new model: the callbacks
    inside a model cannot be copied.

    Args:
        new_model: Returns the model in its initial state.
        max_states: Maximum number of states; each of them is settled.

    Raises:
        BrokenGuaranteeError: A state breaks a guarantee.
    """
    explored = Explored()
    seen: set[Hashable] = set()
    paths: deque[tuple[int, ...]] = deque([()])
    while paths:
        path = paths.popleft()
        model, labels = _replay(new_model, path)
        mark = model.fingerprint()
        if mark in seen:
            continue
        if len(seen) >= max_states:
            explored.complete = False
            break
        seen.add(mark)
        explored.depth = len(path)
        explored.labels.update(labels)
        try:
            model.check()
            paths.extend((*path, index) for index in range(len(model.steps())))
            model.settle()
        except AssertionError as error:
            steps = "\n".join(f"  {label}" for label in labels)
            raise BrokenGuaranteeError(f"{error}\nafter the steps\n{steps}") from error
    explored.states = len(seen)
    return explored


def _replay(
    new_model: Callable[[], Model], path: tuple[int, ...]
) -> tuple[Model, list[str]]:
    model, labels = new_model(), []
    for index in path:
        label, take = model.steps()[index]
        take()
        labels.append(label)
    return model, labels
