"""A planned stop must serve callers until the last answer that named the node has expired."""

from collections import Counter

import pytest
from system_group import ANSWER_LIFETIME_S, DRAFTS, Lookup, System

MARGIN_S = 0.05
BEFORE_WAKE_S = 0.001


@pytest.mark.parametrize("pause_s", [0.1, 1.4, 3.0, 4.8])
def test_an_address_given_by_a_node_that_just_woke_is_still_served(pause_s: float) -> None:
    system = System(3, Counter())
    leaving, asked = system.nodes["entry-1"], system.nodes["entry-2"]
    asked.frozen_until_s = system.world.now_s + pause_s
    leaving.stop()
    # The node answers the caller as it resumes, before it has received any message.
    system.run_for(pause_s - BEFORE_WAKE_S)
    names = [info.instance for info in asked.membership.alive(system.world.now_s)]
    system.lookup = Lookup(list(names), system.world.now_s)
    system.run_for(ANSWER_LIFETIME_S - MARGIN_S)
    if leaving.name in names:
        system.send(names.index(leaving.name), DRAFTS, 0, 10.0, None, None)
    system.run_for(10.0)
    assert all(one.end == "complete" for one in system.oracle.records.values())
    assert leaving.ended_by_stop
