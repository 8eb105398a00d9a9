from schedulers import document, grants, group, refusals, scheduler, ticket

from lentilchute.document import TierEntry
from lentilchute.ids import Attempt, InstanceId, UpstreamId
from lentilchute.scheduler.policy import Policy
from lentilchute.scheduler.tickets import EndState, InFlight, RefusalReason

ONE_SLOT = {"max_streams": 1}


def test_grants_when_there_is_room() -> None:
    made = scheduler(document(group(["e1"])))
    (grant,) = grants(made.submit(ticket("a"), 0.0))
    assert grant.upstream == "e1"
    assert made.submit(ticket("a"), 0.0) == []


def test_the_highest_tier_is_granted_first() -> None:
    made = scheduler(document(group(["e1"], **ONE_SLOT)))
    first = ticket("first", 2)
    made.submit(first, 0.0)
    made.submit(ticket("low", 2), 0.1)
    made.submit(ticket("high", 0), 0.2)
    made.dispatched(first.request_id, Attempt(1), UpstreamId("e1"), 0.3)
    (grant,) = grants(made.ended(first.request_id, EndState.COMPLETE, 0, 1.0))
    assert grant.request_id == "i1.a/high"


def test_a_full_list_displaces_the_newest_of_the_lowest_tier() -> None:
    tiers = tuple(TierEntry(name=f"t{rank}", max_waiting=1) for rank in range(3))
    made = scheduler(document(group(["e1"], **ONE_SLOT), tiers))
    made.submit(ticket("running"), 0.0)
    made.submit(ticket("low-1", 2), 0.0)
    (refused,) = refusals(made.submit(ticket("low-2", 2), 0.0))
    assert (refused.request_id, refused.reason) == ("i1.a/low-2", RefusalReason.OVERLOADED)
    assert made.submit(ticket("mid-1", 1), 0.0) == []
    (refused,) = refusals(made.submit(ticket("mid-2", 1), 0.0))
    assert (refused.request_id, refused.reason) == ("i1.a/low-1", RefusalReason.DISPLACED)
    assert made.submit(ticket("high-1"), 0.0) == []
    (refused,) = refusals(made.submit(ticket("high-2"), 0.0))
    assert (refused.request_id, refused.reason) == ("i1.a/mid-2", RefusalReason.DISPLACED)


def test_a_leaving_upstream_gets_nothing_new() -> None:
    made = scheduler(document(group(["e1", "e2"])))
    made.mark_leaving(UpstreamId("e1"), 0.0)
    granted = [grants(made.submit(ticket(str(n)), 0.0))[0].upstream for n in range(10)]
    assert set(granted) == {"e2"}


def test_without_an_open_upstream_the_refusal_says_so() -> None:
    made = scheduler(document(group(["e1"])))
    made.mark_leaving(UpstreamId("e1"), 0.0)
    (refused,) = refusals(made.submit(ticket("a"), 0.0))
    assert refused.reason is RefusalReason.NO_UPSTREAM


def test_a_waiting_ticket_is_refused_at_its_deadline() -> None:
    made = scheduler(document(group(["e1"], **ONE_SLOT)), Policy(deadline_refusal=False))
    made.submit(ticket("a"), 0.0)
    made.submit(ticket("b", deadline_s=5.0), 0.0)
    assert made.next_tick_s() <= 5.0
    (refused,) = refusals(made.tick(5.0))
    assert refused.request_id == "i1.a/b"


def test_an_expired_grant_keeps_its_room_until_the_refresh() -> None:
    made = scheduler(document(group(["e1"], **ONE_SLOT)))
    first = ticket("a")
    made.submit(first, 0.0)
    assert made.submit(ticket("b"), 0.0) == []
    assert made.tick(made.next_tick_s()) == []
    (grant,) = grants(made.refresh(InstanceId("i1"), [first, ticket("b")], [], 3.0))
    assert grant.upstream == "e1"


def test_a_declined_grant_and_its_newer_attempt() -> None:
    made = scheduler(document(group(["e1", "e2"])))
    (grant,) = grants(made.submit(ticket("a"), 0.0))
    made.declined(grant.request_id, Attempt(1), 0.1)
    again = ticket("a", attempt=Attempt(2), excluded=frozenset({grant.upstream}))
    (second,) = grants(made.submit(again, 0.2))
    assert second.upstream != grant.upstream
    assert made.dispatched(grant.request_id, Attempt(1), grant.upstream, 0.3) == []
    assert made.submit(ticket("a"), 0.4) == []


def test_a_late_submit_after_the_end_changes_nothing() -> None:
    made = scheduler(document(group(["e1"])))
    first = ticket("a")
    made.submit(first, 0.0)
    made.ended(first.request_id, EndState.COMPLETE, 0, 1.0)
    assert made.submit(first, 2.0) == []


def test_forgetting_an_entry_frees_its_room() -> None:
    made = scheduler(document(group(["e1"], **ONE_SLOT)))
    made.submit(ticket("a"), 0.0)
    made.submit(ticket("b", entry=InstanceId("i2")), 0.0)
    (grant,) = grants(made.remove_entry(InstanceId("i1"), 1.0))
    assert grant.entry == "i2"


def test_long_prompts_of_lower_tiers_leave_upstreams_free() -> None:
    made = scheduler(document(group([f"e{n}" for n in range(10)])))
    long = {"prompt_tokens": 40_000}
    granted = []
    for n in range(12):
        granted += grants(made.submit(ticket(f"low-{n}", 1, **long), 0.0))
    assert len(granted) == 7
    (top,) = grants(made.submit(ticket("top"), 0.0))
    assert top.upstream not in {grant.upstream for grant in granted}


def test_a_tier_with_a_floor_gets_its_part_of_the_grants() -> None:
    tiers = (TierEntry(name="high"), TierEntry(name="low", floor_share=0.2))
    made = scheduler(document(group(["e1"], **ONE_SLOT), tiers))
    running = made.submit(ticket("first"), 0.0)
    for n in range(100):
        made.submit(ticket(f"high-{n}"), 0.0)
        made.submit(ticket(f"low-{n}", 1), 0.0)
    order = []
    for _ in range(100):
        (grant,) = grants(running)
        order.append(grant.request_id)
        made.dispatched(grant.request_id, grant.attempt, grant.upstream, 0.0)
        running = made.ended(grant.request_id, EndState.COMPLETE, 0, 0.0)
    low = sum("low" in request_id for request_id in order)
    assert 15 <= low <= 25


def test_a_refusal_that_was_lost_is_decided_anew_at_the_refresh() -> None:
    tiers = (TierEntry(name="only", max_waiting=0),)
    made = scheduler(document(group(["e1"], **ONE_SLOT), tiers))
    made.submit(ticket("running"), 0.0)
    late = ticket("late")
    (refused,) = refusals(made.submit(late, 0.1))
    running = InFlight(ticket("running"), UpstreamId("e1"), 0.0)
    (again,) = refusals(made.refresh(InstanceId("i1"), [late], [running], 1.0))
    assert (again.request_id, again.attempt) == (refused.request_id, refused.attempt)


def test_a_request_whose_end_was_never_reported_does_not_hold_its_room_for_ever() -> None:
    made = scheduler(document(group(["e1"], **ONE_SLOT)))
    made.submit(ticket("lost", deadline_s=10.0), 0.0)
    made.dispatched(ticket("lost").request_id, Attempt(1), UpstreamId("e1"), 0.1)
    assert made.submit(ticket("next", deadline_s=100.0), 0.2) == []
    assert made.next_tick_s() <= 75.0
    (granted,) = grants(made.tick(75.0))
    assert granted.request_id == ticket("next").request_id
