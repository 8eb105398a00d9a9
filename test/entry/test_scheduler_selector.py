"""Tests of choosing a shard's scheduler: silence, forgiveness and farewells."""

import math

from lentilchute.entry.scheduler_selector import FINAL_REFRESHES, QUARANTINE_S, SchedulerSelector
from lentilchute.ids import InstanceId

FIRST = InstanceId("entry-1")
SECOND = InstanceId("entry-2")


def new_selector() -> SchedulerSelector:
    selector = SchedulerSelector(timeout_s=1.0)
    assert selector.set_order((FIRST, SECOND), 0.0)
    return selector


def test_a_scheduler_that_owes_an_answer_for_too_long_is_passed_over_for_a_while() -> None:
    selector = new_selector()
    selector.expect_reply(0.0)
    assert selector.next_tick_s() == 1.0
    assert not selector.tick(0.9)
    assert selector.tick(1.0)
    assert selector.current == SECOND
    assert selector.tick(1.0 + QUARANTINE_S)
    assert selector.current == FIRST


def test_an_answer_pays_what_was_owed() -> None:
    selector = new_selector()
    selector.expect_reply(0.0)
    selector.record_reply(FIRST)
    assert selector.next_tick_s() == math.inf
    assert not selector.tick(5.0)


def test_a_sign_of_life_brings_a_passed_over_scheduler_back() -> None:
    selector = new_selector()
    selector.expect_reply(0.0)
    selector.tick(1.0)
    selector.record_reply(FIRST)
    assert selector.tick(1.1)
    assert selector.current == FIRST


def test_without_any_candidate_there_is_no_scheduler() -> None:
    selector = new_selector()
    assert selector.set_order((), 1.0)
    assert selector.current is None


def test_a_former_scheduler_hears_several_farewells_unless_it_comes_back() -> None:
    selector = new_selector()
    selector.set_order((SECOND,), 1.0)
    for _ in range(FINAL_REFRESHES):
        assert selector.pop_former_schedulers() == [FIRST]
    assert not selector.has_former_schedulers
    selector.set_order((FIRST,), 2.0)
    selector.set_order((SECOND,), 3.0)
    assert selector.pop_former_schedulers() == [FIRST]
