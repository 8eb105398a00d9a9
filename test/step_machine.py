"""Base of the state machines whose steps are drawn by weight from one list.

Hypothesis switches rules off for whole examples and favours the first choices; with many rules that
must work together few examples get far. Here it draws the seeds of short runs of steps: the runs
reach deep states, and a failing example names its seeds.
"""

import random
from collections.abc import Callable, Sequence
from typing import Any, ClassVar

import hypothesis.strategies as st
from hypothesis import Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

Draw = Callable[[Sequence[Any]], Any]
"""Picks one item of a sequence that is not empty."""


class StepMachine(RuleBasedStateMachine):
    """``WEIGHTS`` maps names of methods ``do_<name>(draw)`` to how often they are drawn."""

    WEIGHTS: ClassVar[dict[str, int]] = {}

    @rule(seed=st.integers(0, 2**40), count=st.integers(1, 20))
    def steps(self, seed: int, count: int) -> None:
        rng = random.Random(seed)
        names = list(self.WEIGHTS)
        weights = list(self.WEIGHTS.values())
        for name in rng.choices(names, weights, k=count):
            getattr(self, f"do_{name}")(rng.choice)
            self.check()

    def check(self) -> None:
        """Assert what must hold after each step."""


def run_steps(machine: type[StepMachine], max_examples: int, runs: int = 25) -> None:
    """Try a machine with up to ``runs`` runs of steps in each example.

    Examples are not shrunk: a failure prints the seeds, and is found again by them.
    """
    phases = (Phase.explicit, Phase.generate)
    run_state_machine_as_test(
        machine,
        settings=settings(max_examples=max_examples, stateful_step_count=runs, phases=phases),
    )
