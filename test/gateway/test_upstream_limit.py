"""Tests of the limit that an upstream names on the requests that it takes."""

import itertools
import random

from gateway_samples import DISPATCH, SERVICE, listing, ticket
from hypothesis import given
from hypothesis import strategies as st

from lentilchute.gateway.dispatcher import Dispatcher
from lentilchute.gateway.tickets import Placement
from lentilchute.gateway.upstream_limit import MIN_RATE_PER_S, NO_LIMIT, UpstreamLimit
from lentilchute.ids import UpstreamId

WINDOW_S = 4.0
STEP_S = 0.02


def new_limit(seed: int = 1) -> UpstreamLimit:
    return UpstreamLimit(random.Random(seed))


def sent_times_s(limit: UpstreamLimit, share: float, from_s: float, until_s: float) -> list[float]:
    """Send a request whenever one is allowed."""
    times_s, now_s = [], from_s
    while now_s < until_s:
        if limit.has_turn(share, now_s):
            limit.use_turn()
            times_s.append(now_s)
        now_s += STEP_S
    return times_s


def most_in_window(times_s: list[float]) -> int:
    """Return the most requests in any window of the platform's rule."""
    return max((sum(at <= each < at + WINDOW_S for each in times_s) for at in times_s), default=0)


def test_requests_are_spaced_and_use_the_limit() -> None:
    limit = new_limit()
    assert all(limit.has_turn(1.0, 0.0) for _ in range(100)), "no limit was named"
    limit.record(2.0, 10.0)
    times_s = sent_times_s(limit, 1.0, 10.0, 30.0)
    gaps_s = [later - earlier for earlier, later in itertools.pairwise(times_s)]
    assert min(gaps_s) >= 0.47
    assert len(times_s) >= 38
    assert len(sent_times_s(limit, 1.0, 300.0, 301.1)) <= 4, "no more than one turn is saved up"


def test_a_limit_of_nothing_leaves_requests_that_learn_when_it_ends() -> None:
    limit = new_limit()
    limit.record(0.0, 0.0)
    times_s = sent_times_s(limit, 1.0, 0.0, 60.0)
    assert round(60 * MIN_RATE_PER_S) - 1 <= len(times_s) <= round(60 * MIN_RATE_PER_S) + 1


def test_only_requests_sent_under_a_limit_tell_that_it_has_ended() -> None:
    limit = new_limit()
    assert not limit.was_named_before(100.0)
    limit.record(2.0, 10.0)
    limit.record(3.0, 20.0)
    assert not limit.was_named_before(9.0)
    assert limit.was_named_before(11.0)
    limit.record(NO_LIMIT, 21.0)
    assert limit.has_turn(1.0, 21.0)
    assert not limit.was_named_before(100.0)


def test_a_coordinator_that_has_not_heard_of_a_limit_does_not_end_it() -> None:
    limit = new_limit()
    limit.record(2.0, 10.0)
    limit.adopt(None, 10.5, knows_since_s=9.5)
    assert limit.per_s == 2.0
    limit.adopt(None, 11.5, knows_since_s=10.5)
    assert limit.per_s is None
    limit.adopt(5.0, 12.0, knows_since_s=11.0)
    assert limit.per_s == 5.0


@given(
    limit_per_s=st.floats(0.5, 20.0),
    nodes=st.integers(1, 60),
    spans_s=st.lists(st.floats(0.2, 6.0), min_size=1, max_size=6),
    seed=st.integers(0, 1_000),
)
def test_all_nodes_together_keep_the_platforms_bound(
    limit_per_s: float, nodes: int, spans_s: list[float], seed: int
) -> None:
    """A coordinator and all nodes by themselves take turns, as the coordinator comes and goes."""
    coordinator, *others = (new_limit(seed * 100 + node) for node in range(nodes + 1))
    for limit in (coordinator, *others):
        limit.record(limit_per_s, 0.0)
    times_s: list[float] = []
    now_s = 0.0
    for index, span_s in enumerate(spans_s):
        if index % 2:
            for limit in others:
                times_s += sent_times_s(limit, 1 / nodes, now_s, now_s + span_s)
        else:
            times_s += sent_times_s(coordinator, 1.0, now_s, now_s + span_s)
            for limit in others:
                limit.adopt(limit_per_s, now_s + span_s, now_s)
        now_s += span_s
    assert most_in_window(times_s) <= 1.5 * limit_per_s * WINDOW_S + 5


def test_a_dispatcher_leaves_the_rest_to_other_upstreams() -> None:
    dispatcher = Dispatcher(SERVICE, DISPATCH, random.Random(1))
    dispatcher.set_upstreams([listing("a", slots=50), listing("b", slots=50)], None)
    limited = dispatcher.model(UpstreamId("a"))
    assert limited is not None
    limited.limit.record(2.0, 0.0)
    placed: list[tuple[float, str]] = []
    for number in range(200):
        now_s = number * 0.05
        decision = dispatcher.submit(ticket(number, arrived_s=now_s), now_s)
        assert isinstance(decision, Placement)
        placed.append((now_s, decision.listing.upstream))
        dispatcher.drop(ticket(number).key)
    at_limited_s = [at_s for at_s, upstream in placed if upstream == "a"]
    assert 2 <= len(at_limited_s) <= 21
    assert most_in_window(at_limited_s) <= 9
