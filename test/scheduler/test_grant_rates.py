from schedulers import document, grants, group, refusals, scheduler, ticket

from lentilchute.ids import Tier
from lentilchute.scheduler.grant_rates import TierGrantRates
from lentilchute.scheduler.policy import FULL_POLICY, Policy
from lentilchute.scheduler.tickets import EndState, RefusalReason


def test_a_starved_tier_waits_longer_than_all_together() -> None:
    grant_rates = TierGrantRates()
    for step in range(100):
        grant_rates.record_grant(Tier(0), step * 0.1)
    assert grant_rates.wait_s(Tier(1), 10, 10, 10.0, 10.0) < 2.0
    assert grant_rates.wait_s(Tier(1), 10, 10, 5.0, 10.0) > 100.0


def refusals_behind_a_long_queue(policy: Policy) -> list[RefusalReason]:
    shard_scheduler = scheduler(document(group(["e1"], max_streams=1)), policy)
    running = shard_scheduler.submit(ticket("first"), 0.0)
    for n in range(100):
        shard_scheduler.submit(ticket(f"w{n}", deadline_s=1_000.0), 0.0)
    for second in range(1, 11):
        (grant,) = grants(running)
        shard_scheduler.dispatched(grant.request_id, grant.attempt, grant.upstream, float(second))
        running = shard_scheduler.ended(grant.request_id, EndState.COMPLETE, 0, float(second))
    # 90 tickets are waiting and one is granted per second.
    return [
        one.reason for one in refusals(shard_scheduler.submit(ticket("new", deadline_s=40.0), 10.0))
    ]


def test_a_ticket_that_would_wait_too_long_is_refused_at_once() -> None:
    assert refusals_behind_a_long_queue(FULL_POLICY) == [RefusalReason.DEADLINE]


def test_an_answer_that_cannot_end_in_time_is_not_begun() -> None:
    shard_scheduler = scheduler(document(group(["e1"], initial_decode_tokens_per_s=40.0)))
    (refused,) = refusals(
        shard_scheduler.submit(ticket("a", deadline_s=5.0, max_output_tokens=4_000), 0.0)
    )
    assert refused.reason is RefusalReason.DEADLINE
