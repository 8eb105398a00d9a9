"""Base class of state machines that draw their steps by weight from one list.

Hypothesis disables rules for entire examples and favours the first choices, so machines with many
interacting rules rarely reach deep states. Here Hypothesis draws only the seeds of short sequences
of steps: these reach deep states, and a failing example prints its seeds.
"""

import random
from collections.abc import Callable, Sequence
from typing import Any, ClassVar

import hypothesis.strategies as st
from hypothesis import Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

Draw = Callable[[Sequence[Any]], Any]
"""Picks one item of a non-empty sequence."""


class StepMachine(RuleBasedStateMachine):
    """Runs methods ``do_<name>(draw)``; ``WEIGHTS`` maps each name to its relative frequency."""

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
        """Assert the invariants; called after each step."""


def run_steps(machine: type[StepMachine], max_examples: int, runs: int = 25) -> None:
    """Run a machine with up to ``runs`` sequences of steps per example.

    Examples are not shrunk: a failure prints the seeds, which reproduce it.
    """
    phases = (Phase.explicit, Phase.generate)
    run_state_machine_as_test(
        machine,
        settings=settings(max_examples=max_examples, stateful_step_count=runs, phases=phases),
    )
