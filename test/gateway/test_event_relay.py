"""Relaying a stream across one or more attempts."""

from hypothesis import given
from hypothesis import strategies as st

from lentilchute.gateway.event_relay import EventRelay


def event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def test_only_complete_events_are_relayed() -> None:
    relay = EventRelay(None)
    assert relay.feed(event(1) + event(2)[:7]).unwrap() == event(1)
    assert relay.has_partial_event
    assert relay.feed(event(2)[7:]).unwrap() == event(2)
    assert relay.last_event_id == 2
    assert not relay.has_partial_event


def test_a_new_attempt_drops_the_partial_event_and_duplicates() -> None:
    relay = EventRelay(None)
    relay.feed(event(1) + event(2)[:5])
    relay.restart_stream()
    assert relay.feed(event(1) + event(2)).unwrap() == event(2)


def test_a_caller_that_has_events_already_gets_later_ones_only() -> None:
    relay = EventRelay(4)
    assert relay.feed(event(4) + event(5)).unwrap() == event(5)


def test_an_event_with_an_unreadable_id_is_an_error() -> None:
    assert EventRelay(None).feed(b"id: x\ndata: y\n\n").is_err()


@given(
    event_count=st.integers(1, 12),
    cuts=st.lists(st.integers(0, 400), max_size=4),
    step=st.integers(1, 50),
)
def test_any_cuts_and_resumes_give_the_whole_stream(
    event_count: int, cuts: list[int], step: int
) -> None:
    """Streams that are cut anywhere and resumed after the last complete event add up to one."""
    relay = EventRelay(None)
    relayed = b""
    for cut in [*cuts, None]:
        relay.restart_stream()
        first = (relay.last_event_id or 0) + 1
        stream = b"".join(event(number) for number in range(first, event_count + 1))[:cut]
        for at in range(0, len(stream), step):
            relayed += relay.feed(stream[at : at + step]).unwrap()
    assert relayed == b"".join(event(number) for number in range(1, event_count + 1))


def test_events_that_the_caller_has_count_for_their_attempt() -> None:
    relay = EventRelay(resume_after=2)
    assert relay.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n").unwrap() == b""
    assert (relay.attempt_events, relay.relayed_events) == (2, 0)
    relay.restart_stream()
    assert relay.attempt_events == 0
