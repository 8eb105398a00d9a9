"""Tests of choosing a shard's scheduler: silence, forgiveness and farewells."""

import math

from lentilchute.entry.scheduler_choice import FAREWELLS, SILENT_FOR_S, SchedulerChoice
from lentilchute.ids import InstanceId

FIRST = InstanceId("entry-1")
SECOND = InstanceId("entry-2")


def choice() -> SchedulerChoice:
    made = SchedulerChoice(timeout_s=1.0)
    assert made.set_order((FIRST, SECOND), 0.0)
    return made


def test_a_scheduler_that_owes_an_answer_for_too_long_is_passed_over_for_a_while() -> None:
    made = choice()
    made.asked(0.0)
    assert made.next_tick_s() == 1.0
    assert not made.tick(0.9)
    assert made.tick(1.0)
    assert made.current == SECOND
    assert made.tick(1.0 + SILENT_FOR_S)
    assert made.current == FIRST


def test_an_answer_pays_what_was_owed() -> None:
    made = choice()
    made.asked(0.0)
    made.heard(FIRST)
    assert made.next_tick_s() == math.inf
    assert not made.tick(5.0)


def test_a_sign_of_life_brings_a_passed_over_scheduler_back() -> None:
    made = choice()
    made.asked(0.0)
    made.tick(1.0)
    made.heard(FIRST)
    assert made.tick(1.1)
    assert made.current == FIRST


def test_without_any_candidate_there_is_no_scheduler() -> None:
    made = choice()
    assert made.set_order((), 1.0)
    assert made.current is None


def test_a_former_scheduler_hears_several_farewells_unless_it_comes_back() -> None:
    made = choice()
    made.set_order((SECOND,), 1.0)
    for _ in range(FAREWELLS):
        assert made.take_farewells() == [FIRST]
    assert not made.has_farewells
    made.set_order((FIRST,), 2.0)
    made.set_order((SECOND,), 3.0)
    assert made.take_farewells() == [FIRST]
