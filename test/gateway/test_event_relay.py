"""Streams over one or several runs."""

from hypothesis import given
from hypothesis import strategies as st

from lentilchute.gateway.event_relay import EventRelay


def event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def test_only_whole_events_are_passed_on() -> None:
    relay = EventRelay(None)
    assert relay.feed(event(1) + event(2)[:7]).unwrap() == event(1)
    assert relay.has_partial_event
    assert relay.feed(event(2)[7:]).unwrap() == event(2)
    assert relay.last_event_id == 2
    assert not relay.has_partial_event


def test_a_new_run_drops_the_unfinished_event_and_repeats() -> None:
    relay = EventRelay(None)
    relay.feed(event(1) + event(2)[:5])
    relay.start_run()
    assert relay.feed(event(1) + event(2)).unwrap() == event(2)


def test_a_caller_that_has_events_already_gets_later_ones_only() -> None:
    relay = EventRelay(4)
    assert relay.feed(event(4) + event(5)).unwrap() == event(5)


def test_an_event_with_an_unreadable_id_is_an_error() -> None:
    assert EventRelay(None).feed(b"id: x\ndata: y\n\n").is_err()


@given(
    total=st.integers(1, 12),
    cuts=st.lists(st.integers(0, 400), max_size=4),
    step=st.integers(1, 50),
)
def test_any_cuts_and_resumes_give_the_whole_stream(total: int, cuts: list[int], step: int) -> None:
    """Runs that are cut anywhere and resumed after the last whole event add up to one stream."""
    relay = EventRelay(None)
    passed = b""
    for cut in [*cuts, None]:
        relay.start_run()
        first = (relay.last_event_id or 0) + 1
        run = b"".join(event(number) for number in range(first, total + 1))[:cut]
        for at in range(0, len(run), step):
            passed += relay.feed(run[at : at + step]).unwrap()
    assert passed == b"".join(event(number) for number in range(1, total + 1))
