"""Content that crashes every engine that runs it may crash two engines at most in total."""

from collections import Counter

import pytest
from system_group import DRAFTS, POISON, System
from system_oracle import MAX_POISONED_ENGINES

from lentilchute.scheduler.tickets import Outcome, RefusalReason


@pytest.mark.parametrize("seed", range(6))
def test_poison_resent_to_every_entry_costs_two_engines_and_no_innocent_request(seed: int) -> None:
    system = System(seed, Counter())
    for number in range(12):
        system.send(number, DRAFTS, 1, 30.0, None, None)
        if number % 2 == 0:
            system.send(number // 2, DRAFTS, 1, 30.0, None, POISON)
        system.run_for(0.4)
    system.run_for(40.0)
    assert system.oracle.poison_crashes[POISON] <= MAX_POISONED_ENGINES
    poison = [one for one in system.oracle.records.values() if one.is_poison]
    refusals = [one.refusal for one in poison if one.refusal is not None]
    assert any(one.reason is RefusalReason.POISON for one in refusals)
    finals = [one for one in refusals if one.reason is RefusalReason.POISON]
    assert all(one.outcome is Outcome.NOT_RUN for one in finals)
    assert not system.leaks()
