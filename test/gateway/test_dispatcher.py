"""Tests the selection of an upstream, queueing and refusals."""

import random
from collections import Counter

from gateway_samples import DISPATCH, SERVICE, key, listing, ticket

from lentilchute.gateway.dispatcher import Dispatcher
from lentilchute.gateway.messages import UpstreamLoad
from lentilchute.gateway.tickets import Placement, RefusalReason, Refused, Ticket
from lentilchute.ids import AvailabilityZone, SoftwareVersion, UpstreamId


def make_dispatcher(*names: str, slots: int = 4) -> Dispatcher:
    dispatcher = Dispatcher(SERVICE, DISPATCH, random.Random(1))
    dispatcher.set_upstreams([listing(name, slots=slots) for name in names], slots)
    return dispatcher


def load(name: str, **changes: float) -> UpstreamLoad:
    values: dict[str, float] = {
        "running": 0,
        "backlog_tokens": 0,
        "pace_ms": 0.0,
        "pace_weight": 0.0,
        "gap_ms": 0.0,
        "gap_weight": 0.0,
        "failures": 0.0,
        "results": 0.0,
    }
    return UpstreamLoad(upstream=UpstreamId(name), **{**values, **changes})  # type: ignore[arg-type]


def apply_loads(dispatcher: Dispatcher, *loads: UpstreamLoad, now_s: float = 0.0) -> None:
    dispatcher.apply_digest({item.upstream: item for item in loads}, now_s)


def chosen_upstream(decision: object) -> str:
    assert isinstance(decision, Placement)
    return decision.listing.upstream


def test_a_long_prompt_elsewhere_is_avoided() -> None:
    dispatcher = make_dispatcher("a", "b")
    apply_loads(dispatcher, load("a", running=1, backlog_tokens=20_000))
    assert chosen_upstream(dispatcher.submit(ticket(1), 0.0)) == "b"


def test_the_faster_upstream_is_chosen() -> None:
    dispatcher = make_dispatcher("a", "b")
    apply_loads(
        dispatcher, load("a", pace_ms=30.0, pace_weight=5), load("b", pace_ms=10.0, pace_weight=5)
    )
    assert chosen_upstream(dispatcher.submit(ticket(1), 0.0)) == "b"


def test_a_failing_upstream_is_avoided() -> None:
    dispatcher = make_dispatcher("a", "b")
    apply_loads(dispatcher, load("a", failures=5, results=10), load("b", results=10, running=2))
    assert chosen_upstream(dispatcher.submit(ticket(1), 0.0)) == "b"


def test_a_long_stream_goes_where_it_ends_in_time() -> None:
    dispatcher = make_dispatcher("a", "b")
    loads = (
        load("a", gap_ms=60.0, gap_weight=5),
        load("b", gap_ms=15.0, gap_weight=5, running=3, backlog_tokens=9_000),
    )
    apply_loads(dispatcher, *loads)
    long = ticket(1, expected_events=200, max_events=400)
    assert chosen_upstream(dispatcher.submit(long, 0.0)) == "b"
    short = ticket(2, expected_events=5, max_events=10)
    assert chosen_upstream(dispatcher.submit(short, 0.0)) == "a"


def test_the_requests_own_zone_breaks_ties() -> None:
    dispatcher = Dispatcher(SERVICE, DISPATCH, random.Random(1))
    far = listing("a", zone=AvailabilityZone("zone-2"))
    dispatcher.set_upstreams([far, listing("b")], 4)
    assert chosen_upstream(dispatcher.submit(ticket(1), 0.0)) == "b"


def test_tickets_of_a_full_service_are_queued_by_tier() -> None:
    dispatcher = make_dispatcher("a", slots=1)
    assert chosen_upstream(dispatcher.submit(ticket(1), 0.0)) == "a"
    assert dispatcher.submit(ticket(2, tier=2), 0.0) is None
    assert dispatcher.submit(ticket(3, tier=0), 0.0) is None
    model = dispatcher.model(UpstreamId("a"))
    assert model is not None
    model.remove_request(key(1))
    ((first, decision),) = dispatcher.poll(0.05)
    assert first.key == key(3)
    assert chosen_upstream(decision) == "a"


def test_a_ticket_is_refused_after_a_fraction_of_its_objective_in_the_queue() -> None:
    dispatcher = make_dispatcher("a", slots=1)
    dispatcher.submit(ticket(1), 0.0)
    assert dispatcher.submit(ticket(2), 0.0) is None
    assert dispatcher.poll(0.19) == []
    ((_, decision),) = dispatcher.poll(0.2)
    assert isinstance(decision, Refused)
    assert decision.reason is RefusalReason.OVERLOADED
    assert 0.2 <= decision.retry_after_s <= 10.0


def test_a_repeat_goes_first_and_is_queued_anew() -> None:
    """A stream that broke close to its deadline is queued rather than refused for want of a
    slot."""
    dispatcher = make_dispatcher("a", slots=1)
    dispatcher.submit(ticket(1, arrived_s=2.9), 2.9)
    assert dispatcher.submit(ticket(2, arrived_s=2.95), 2.95) is None
    assert dispatcher.submit(ticket(3, arrived_s=0.0, tier=2, is_repeat=True), 3.0) is None
    assert dispatcher.poll(3.02) == []
    model = dispatcher.model(UpstreamId("a"))
    assert model is not None
    model.remove_request(key(1))
    ((first, decision),) = dispatcher.poll(3.05)
    assert first.key == key(3)
    assert chosen_upstream(decision) == "a"


# Callers that took their streams up were refused while new requests took the room at their version.
def test_a_stream_that_goes_on_gets_room_before_a_new_request() -> None:
    dispatcher = make_dispatcher("a", slots=1)
    dispatcher.submit(ticket(1), 0.0)
    assert dispatcher.submit(ticket(2, arrived_s=0.01), 0.01) is None
    taken_up = ticket(3, arrived_s=0.02, tier=2)
    taken_up.version = listing("a").version
    assert dispatcher.submit(taken_up, 0.02) is None
    dispatcher.drop(key(1))
    ((first, decision),) = dispatcher.poll(0.05)
    assert first is taken_up
    assert chosen_upstream(decision) == "a"


def test_slots_in_use_according_to_a_digest_are_not_free() -> None:
    dispatcher = make_dispatcher("a")
    apply_loads(dispatcher, load("a", running=4))
    assert dispatcher.submit(ticket(1), 0.0) is None
    apply_loads(dispatcher, load("a", running=3), now_s=0.1)
    assert len(dispatcher.poll(0.1)) == 1


def test_an_old_digest_blocks_no_slots() -> None:
    dispatcher = make_dispatcher("a")
    apply_loads(dispatcher, load("a", running=4))
    assert dispatcher.submit(ticket(1, arrived_s=5.0), 5.0) is not None


def test_without_an_upstream_a_ticket_is_refused_at_once() -> None:
    decision = make_dispatcher().submit(ticket(1), 0.0)
    assert isinstance(decision, Refused)
    assert decision.reason is RefusalReason.NO_UPSTREAM


def test_an_upstream_that_had_the_request_does_not_get_it_again() -> None:
    dispatcher = make_dispatcher("a", "b")
    again = ticket(1)
    again.excluded.add(UpstreamId("a"))
    assert chosen_upstream(dispatcher.submit(again, 0.0)) == "b"
    again.excluded.add(UpstreamId("b"))
    assert isinstance(dispatcher.submit(again, 0.0), Refused)


def test_an_upstream_that_refused_a_connection_is_blocked_for_a_while() -> None:
    dispatcher = make_dispatcher("a")
    model = dispatcher.model(UpstreamId("a"))
    assert model is not None
    model.block(0.0)
    assert dispatcher.submit(ticket(1), 0.0) is None
    assert len(dispatcher.poll(0.19)) == 0
    dispatcher.drop(key(1))
    assert isinstance(dispatcher.submit(ticket(2, arrived_s=0.3), 0.3), Placement)


def test_a_new_incarnation_of_an_upstream_starts_without_requests() -> None:
    dispatcher = make_dispatcher("a", slots=1)
    dispatcher.submit(ticket(1), 0.0)
    dispatcher.set_upstreams([listing("a", started_ms=2, slots=1)], 1)
    assert isinstance(dispatcher.submit(ticket(2), 0.0), Placement)


def test_estimates_decay_until_a_slow_upstream_is_tried_again() -> None:
    dispatcher = make_dispatcher("a", "b")
    model = dispatcher.model(UpstreamId("a"))
    assert model is not None
    model.statistics.record_pace(100.0, 0.0)
    apply_loads(dispatcher, load("b", pace_ms=12.0, pace_weight=5))
    assert model.pace_ms(12.0, 0.0) > 60.0
    assert model.pace_ms(12.0, 300.0) < 13.0


def test_an_overload_by_a_higher_tier_does_not_starve_a_lower_one() -> None:
    dispatcher = make_dispatcher("a", slots=4)
    requested, placed = Counter[int](), Counter[int]()
    running: list[tuple[float, Ticket]] = []
    for tick in range(400):
        now_s = tick * 0.05
        for ended_s, done in running:
            if ended_s <= now_s:
                dispatcher.drop(done.key)
        running = [item for item in running if item[0] > now_s]
        decided = dispatcher.poll(now_s)
        for number, tier in enumerate([0] * 6 + [2]):
            requested[tier] += 1
            new = ticket(tick * 10 + number, tier=tier, arrived_s=now_s)
            decision = dispatcher.submit(new, now_s)
            decided += [] if decision is None else [(new, decision)]
        for each, decision in decided:
            if isinstance(decision, Placement):
                placed[each.tier] += 1
                running.append((now_s + 0.2, each))
    overall = sum(placed.values()) / sum(requested.values())
    # The platform calls a kind of request starved below a quarter.
    assert 0.25 * overall < placed[2] / requested[2] < overall
    assert placed[0] / requested[0] >= overall


def paused(dispatcher: Dispatcher, name: str, until_s: float) -> None:
    model = dispatcher.model(UpstreamId(name))
    assert model is not None
    model.pause(until_s)


def test_a_paused_upstream_gets_nothing_while_others_can_serve() -> None:
    dispatcher = make_dispatcher("a", "b", slots=10)
    paused(dispatcher, "a", 5.0)
    model = dispatcher.model(UpstreamId("a"))
    assert model is not None
    model.unblock()
    assert {chosen_upstream(dispatcher.submit(ticket(n), 1.0)) for n in range(6)} == {"b"}
    assert "a" in {chosen_upstream(dispatcher.submit(ticket(n + 10), 5.0)) for n in range(4)}


def test_callers_are_refused_at_once_while_all_upstreams_want_a_pause() -> None:
    # Pattern: a whole service that sheds load and says for how long.
    dispatcher = make_dispatcher("a", "b")
    paused(dispatcher, "a", 9.0)
    paused(dispatcher, "b", 7.0)
    refusals = [dispatcher.submit(ticket(number), 3.0) for number in range(50)]
    waits_s = [refused.retry_after_s for refused in refusals if isinstance(refused, Refused)]
    assert len(waits_s) == 50
    assert all(refused.reason is RefusalReason.PAUSED for refused in refusals)  # type: ignore[union-attr]
    assert min(waits_s) >= 4.0
    assert max(waits_s) - min(waits_s) > 1.0
    assert dispatcher.waiting == 0


def test_a_waiting_ticket_is_refused_once_all_upstreams_want_a_pause() -> None:
    dispatcher = make_dispatcher("a", slots=1)
    chosen_upstream(dispatcher.submit(ticket(1), 0.0))
    assert dispatcher.submit(ticket(2), 0.0) is None
    paused(dispatcher, "a", 4.0)
    ((waiting, refused),) = dispatcher.poll(0.01)
    assert waiting.key == key(2)
    assert isinstance(refused, Refused) and refused.retry_after_s >= 3.9


def test_a_stream_waits_for_its_version_without_holding_up_others() -> None:
    dispatcher = Dispatcher(SERVICE, DISPATCH, random.Random(1))
    dispatcher.set_upstreams([listing("old", slots=1), listing("new", version="v2")], None)
    bound = [ticket(number, is_repeat=True) for number in (1, 2)]
    for each in bound:
        each.version = SoftwareVersion("v1")
    first = dispatcher.submit(bound[0], 0.0)
    assert isinstance(first, Placement) and first.listing.upstream == "old"
    assert dispatcher.submit(bound[1], 0.0) is None
    free = dispatcher.submit(ticket(3), 0.0)
    assert isinstance(free, Placement) and free.listing.upstream == "new"
    dispatcher.drop(bound[0].key)
    ((decided, placement),) = dispatcher.poll(0.1)
    assert decided is bound[1]
    assert isinstance(placement, Placement) and placement.listing.upstream == "old"


def test_a_stream_is_refused_when_no_upstream_of_its_version_is_left() -> None:
    dispatcher = Dispatcher(SERVICE, DISPATCH, random.Random(1))
    dispatcher.set_upstreams([listing("new", version="v2")], None)
    bound = ticket(1)
    bound.version = SoftwareVersion("v1")
    refused = dispatcher.submit(bound, 0.0)
    assert isinstance(refused, Refused) and refused.reason is RefusalReason.NO_UPSTREAM
