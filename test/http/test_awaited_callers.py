"""Which connections give way when a server has too many."""

import pytest

from lentilchute.http.awaited_callers import DISPLACED_AFTER_S, AwaitedCallers, Wait


def test_the_connection_that_has_waited_longest_gives_way() -> None:
    awaited = AwaitedCallers[str]()
    for now_s, name in enumerate(("first", "second", "third")):
        awaited.wait_for(name, Wait.INPUT, float(now_s))
    awaited.wait_for("first", Wait.INPUT, 3.0)
    assert awaited.longest(4.0) == "second"
    awaited.forget("second")
    assert awaited.longest(4.0) == "third"
    assert awaited.longest(2.0) is None, "it has only just begun to wait"


@pytest.mark.parametrize("wait", Wait)
def test_a_connection_is_left_alone_at_first(wait: Wait) -> None:
    """Guards against callers with a slow link losing their connections to new ones."""
    awaited = AwaitedCallers[str]()
    awaited.wait_for("only", wait, 1.0)
    assert awaited.longest(1.0 + 0.9 * DISPLACED_AFTER_S[wait]) is None
    assert awaited.longest(1.0 + 1.1 * DISPLACED_AFTER_S[wait]) == "only"


def test_silent_connections_give_way_before_idle_ones_and_answers() -> None:
    """Guards against connections kept between two requests, or answers on their way, being lost to
    callers that send nothing or never finish."""
    awaited = AwaitedCallers[str]()
    awaited.wait_for("answer", Wait.ANSWER, 0.0)
    awaited.wait_for("idle", Wait.IDLE, 1.0)
    awaited.wait_for("silent", Wait.INPUT, 2.0)
    for expected in ("silent", "idle", "answer"):
        assert awaited.longest(5.0) == expected
        awaited.forget(expected)
    assert awaited.longest(5.0) is None


def test_a_connection_waits_for_one_thing() -> None:
    awaited = AwaitedCallers[str]()
    awaited.wait_for("only", Wait.ANSWER, 0.0)
    awaited.wait_for("only", Wait.IDLE, 5.0)
    assert awaited.longest(5.0) is None


def test_stalled_input_is_listed_from_the_longest_wait_on() -> None:
    awaited = AwaitedCallers[str]()
    awaited.wait_for("answer", Wait.ANSWER, 0.0)
    for now_s, name in enumerate(("first", "second", "third")):
        awaited.wait_for(name, Wait.INPUT, float(now_s))
    assert list(awaited.stalled(2.0)) == ["first", "second"]
