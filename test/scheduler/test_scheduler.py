import pytest
from schedulers import document, grants, group, refusals, scheduler, ticket

from lentilchute.document import TierEntry
from lentilchute.ids import Attempt, InstanceId, UpstreamId
from lentilchute.scheduler.policy import Policy
from lentilchute.scheduler.shard import ShardScheduler
from lentilchute.scheduler.tickets import EndState, InFlight, RefusalReason

ONE_SLOT = {"max_streams": 1}


def test_a_ticket_is_granted_when_there_is_capacity() -> None:
    shard_scheduler = scheduler(document(group(["e1"])))
    (grant,) = grants(shard_scheduler.submit(ticket("a"), 0.0))
    assert grant.upstream == "e1"
    assert shard_scheduler.submit(ticket("a"), 0.0) == []


def test_the_highest_tier_is_granted_first() -> None:
    shard_scheduler = scheduler(document(group(["e1"], **ONE_SLOT)))
    first = ticket("first", 2)
    shard_scheduler.submit(first, 0.0)
    shard_scheduler.submit(ticket("low", 2), 0.1)
    shard_scheduler.submit(ticket("high", 0), 0.2)
    shard_scheduler.dispatched(first.request_id, Attempt(1), UpstreamId("e1"), 0.3)
    (grant,) = grants(shard_scheduler.ended(first.request_id, EndState.COMPLETE, 0, 1.0))
    assert grant.request_id == "i1.a/high"


def test_a_full_waiting_list_displaces_the_newest_ticket_of_the_lowest_tier() -> None:
    tiers = tuple(TierEntry(name=f"t{rank}", max_waiting=1) for rank in range(3))
    shard_scheduler = scheduler(document(group(["e1"], **ONE_SLOT), tiers))
    shard_scheduler.submit(ticket("running"), 0.0)
    shard_scheduler.submit(ticket("low-1", 2), 0.0)
    (refused,) = refusals(shard_scheduler.submit(ticket("low-2", 2), 0.0))
    assert (refused.request_id, refused.reason) == ("i1.a/low-2", RefusalReason.OVERLOADED)
    assert shard_scheduler.submit(ticket("mid-1", 1), 0.0) == []
    (refused,) = refusals(shard_scheduler.submit(ticket("mid-2", 1), 0.0))
    assert (refused.request_id, refused.reason) == ("i1.a/low-1", RefusalReason.DISPLACED)
    assert shard_scheduler.submit(ticket("high-1"), 0.0) == []
    (refused,) = refusals(shard_scheduler.submit(ticket("high-2"), 0.0))
    assert (refused.request_id, refused.reason) == ("i1.a/mid-2", RefusalReason.DISPLACED)


def test_a_leaving_upstream_gets_nothing_new() -> None:
    shard_scheduler = scheduler(document(group(["e1", "e2"])))
    shard_scheduler.mark_leaving(UpstreamId("e1"), 0.0)
    granted = [grants(shard_scheduler.submit(ticket(str(n)), 0.0))[0].upstream for n in range(10)]
    assert set(granted) == {"e2"}


def test_without_an_available_upstream_the_reason_is_no_upstream() -> None:
    shard_scheduler = scheduler(document(group(["e1"])))
    shard_scheduler.mark_leaving(UpstreamId("e1"), 0.0)
    (refused,) = refusals(shard_scheduler.submit(ticket("a"), 0.0))
    assert refused.reason is RefusalReason.NO_UPSTREAM


def test_a_waiting_ticket_is_refused_at_its_deadline() -> None:
    shard_scheduler = scheduler(document(group(["e1"], **ONE_SLOT)), Policy(deadline_refusal=False))
    shard_scheduler.submit(ticket("a"), 0.0)
    shard_scheduler.submit(ticket("b", deadline_s=5.0), 0.0)
    assert shard_scheduler.next_tick_s() <= 5.0
    (refused,) = refusals(shard_scheduler.tick(5.0))
    assert refused.request_id == "i1.a/b"


def test_an_expired_grant_keeps_its_capacity_until_the_refresh() -> None:
    shard_scheduler = scheduler(document(group(["e1"], **ONE_SLOT)))
    first = ticket("a")
    shard_scheduler.submit(first, 0.0)
    assert shard_scheduler.submit(ticket("b"), 0.0) == []
    assert shard_scheduler.tick(shard_scheduler.next_tick_s()) == []
    (grant,) = grants(shard_scheduler.refresh(InstanceId("i1"), [first, ticket("b")], [], 3.0))
    assert grant.upstream == "e1"


def test_a_declined_grant_and_its_newer_attempt() -> None:
    shard_scheduler = scheduler(document(group(["e1", "e2"])))
    (grant,) = grants(shard_scheduler.submit(ticket("a"), 0.0))
    shard_scheduler.declined(grant.request_id, Attempt(1), 0.1)
    again = ticket("a", attempt=Attempt(2), excluded=frozenset({grant.upstream}))
    (second,) = grants(shard_scheduler.submit(again, 0.2))
    assert second.upstream != grant.upstream
    assert shard_scheduler.dispatched(grant.request_id, Attempt(1), grant.upstream, 0.3) == []
    assert shard_scheduler.submit(ticket("a"), 0.4) == []


def test_a_late_submit_after_the_end_is_ignored() -> None:
    shard_scheduler = scheduler(document(group(["e1"])))
    first = ticket("a")
    shard_scheduler.submit(first, 0.0)
    shard_scheduler.ended(first.request_id, EndState.COMPLETE, 0, 1.0)
    assert shard_scheduler.submit(first, 2.0) == []


def test_removing_an_entry_frees_its_capacity() -> None:
    shard_scheduler = scheduler(document(group(["e1"], **ONE_SLOT)))
    shard_scheduler.submit(ticket("a"), 0.0)
    shard_scheduler.submit(ticket("b", entry=InstanceId("i2")), 0.0)
    (grant,) = grants(shard_scheduler.remove_entry(InstanceId("i1"), 1.0))
    assert grant.entry == "i2"


def test_long_prompts_of_lower_tiers_leave_upstreams_unblocked() -> None:
    shard_scheduler = scheduler(document(group([f"e{n}" for n in range(10)])))
    long = {"prompt_tokens": 40_000}
    granted = []
    for n in range(12):
        granted += grants(shard_scheduler.submit(ticket(f"low-{n}", 1, **long), 0.0))
    assert len(granted) == 7
    (top,) = grants(shard_scheduler.submit(ticket("top"), 0.0))
    assert top.upstream not in {grant.upstream for grant in granted}


def test_a_tier_with_a_floor_gets_its_share_of_the_grants() -> None:
    tiers = (TierEntry(name="high"), TierEntry(name="low", floor_share=0.2))
    shard_scheduler = scheduler(document(group(["e1"], **ONE_SLOT), tiers))
    running = shard_scheduler.submit(ticket("first"), 0.0)
    for n in range(100):
        shard_scheduler.submit(ticket(f"high-{n}"), 0.0)
        shard_scheduler.submit(ticket(f"low-{n}", 1), 0.0)
    order = []
    for _ in range(100):
        (grant,) = grants(running)
        order.append(grant.request_id)
        shard_scheduler.dispatched(grant.request_id, grant.attempt, grant.upstream, 0.0)
        running = shard_scheduler.ended(grant.request_id, EndState.COMPLETE, 0, 0.0)
    low = sum("low" in request_id for request_id in order)
    assert 15 <= low <= 25


def test_a_lost_refusal_is_decided_again_at_the_refresh() -> None:
    tiers = (TierEntry(name="only", max_waiting=0),)
    shard_scheduler = scheduler(document(group(["e1"], **ONE_SLOT), tiers))
    shard_scheduler.submit(ticket("running"), 0.0)
    late = ticket("late")
    (refused,) = refusals(shard_scheduler.submit(late, 0.1))
    running = InFlight(ticket("running"), UpstreamId("e1"), 0.0)
    (again,) = refusals(shard_scheduler.refresh(InstanceId("i1"), [late], [running], 1.0))
    assert (again.request_id, again.attempt) == (refused.request_id, refused.attempt)


def test_a_request_whose_end_was_never_reported_releases_its_capacity() -> None:
    shard_scheduler = scheduler(document(group(["e1"], **ONE_SLOT)))
    shard_scheduler.submit(ticket("lost", deadline_s=10.0), 0.0)
    shard_scheduler.dispatched(ticket("lost").request_id, Attempt(1), UpstreamId("e1"), 0.1)
    assert shard_scheduler.submit(ticket("next", deadline_s=100.0), 0.2) == []
    assert shard_scheduler.next_tick_s() <= 75.0
    (granted,) = grants(shard_scheduler.tick(75.0))
    assert granted.request_id == ticket("next").request_id


def _next_upstream(shard_scheduler: ShardScheduler, number: int, answer_s: dict[str, float]) -> str:
    """Send one request, let it end before the next is sent, and return where it ran."""
    now_s = 10.0 + number
    sent = ticket(f"in-turn-{number}", deadline_s=now_s + 30.0)
    (grant,) = grants(shard_scheduler.submit(sent, now_s))
    upstream = grant.upstream
    shard_scheduler.dispatched(sent.request_id, Attempt(1), upstream, now_s)
    shard_scheduler.progress(sent.request_id, 1, now_s + answer_s[upstream] / 2)
    shard_scheduler.ended(sent.request_id, EndState.COMPLETE, 0, now_s + answer_s[upstream])
    return upstream


@pytest.mark.parametrize("slow_s", [0.02, 0.2, 0.9])
def test_returned_upstreams_get_work_within_a_dozen_requests(slow_s: float) -> None:
    # Pattern: one request at a time, as on a machine so slow that each ends before the next one.
    answer_s = {"e1": slow_s, "e2": slow_s, "e3": 0.01}
    shard_scheduler = scheduler(document(group(list(answer_s))))
    for number in range(30):
        _next_upstream(shard_scheduler, number, answer_s)
    for name in ("e1", "e2"):
        shard_scheduler.mark_leaving(UpstreamId(name), 41.0)
    alone = {_next_upstream(shard_scheduler, number, answer_s) for number in range(32, 60)}
    assert alone == {"e3"}
    for name in ("e1", "e2"):
        shard_scheduler.clear_leaving(UpstreamId(name), 71.0)
    ran_on = [_next_upstream(shard_scheduler, number, answer_s) for number in range(62, 98)]
    for first in range(len(ran_on) - 11):
        assert set(ran_on[first : first + 12]) == set(answer_s), ran_on
