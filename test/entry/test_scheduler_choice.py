"""Tests of choosing a shard's scheduler: timeouts, quarantine and final refreshes."""

import math

from lentilchute.entry.scheduler_choice import FINAL_REFRESHES, QUARANTINE_S, SchedulerChoice
from lentilchute.ids import InstanceId

FIRST = InstanceId("entry-1")
SECOND = InstanceId("entry-2")


def new_choice() -> SchedulerChoice:
    choice = SchedulerChoice(timeout_s=1.0)
    assert choice.set_order((FIRST, SECOND), 0.0)
    return choice


def test_a_scheduler_that_does_not_reply_in_time_is_quarantined() -> None:
    choice = new_choice()
    choice.expect_reply(0.0)
    assert choice.next_tick_s() == 1.0
    assert not choice.tick(0.9)
    assert choice.tick(1.0)
    assert choice.current == SECOND
    assert choice.tick(1.0 + QUARANTINE_S)
    assert choice.current == FIRST


def test_a_reply_resets_the_timeout() -> None:
    choice = new_choice()
    choice.expect_reply(0.0)
    choice.record_reply(FIRST)
    assert choice.next_tick_s() == math.inf
    assert not choice.tick(5.0)


def test_a_reply_ends_the_quarantine_of_a_scheduler() -> None:
    choice = new_choice()
    choice.expect_reply(0.0)
    choice.tick(1.0)
    choice.record_reply(FIRST)
    assert choice.tick(1.1)
    assert choice.current == FIRST


def test_without_any_candidate_there_is_no_scheduler() -> None:
    choice = new_choice()
    assert choice.set_order((), 1.0)
    assert choice.current is None


def test_a_former_scheduler_gets_several_final_refreshes_unless_chosen_again() -> None:
    choice = new_choice()
    choice.set_order((SECOND,), 1.0)
    for _ in range(FINAL_REFRESHES):
        assert choice.pop_former_schedulers() == [FIRST]
    assert not choice.has_former_schedulers
    choice.set_order((FIRST,), 2.0)
    choice.set_order((SECOND,), 3.0)
    assert choice.pop_former_schedulers() == [FIRST]
