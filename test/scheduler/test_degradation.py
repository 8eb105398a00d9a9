from schedulers import document, grants, group, scheduler, ticket

from lentilchute.ids import Attempt, RequestId, UpstreamId
from lentilchute.scheduler.shard import ShardScheduler
from lentilchute.scheduler.tickets import EndState

NAMES = ["e1", "e2", "e3"]


def run_streams(
    shard_scheduler: ShardScheduler, rates: dict[str, float], from_s: float, to_s: float
) -> None:
    """Run one stream on each upstream and report its progress every half second."""
    streams: dict[str, RequestId] = {}
    while len(streams) < len(rates):
        excluded = frozenset(map(UpstreamId, streams))
        one = ticket(f"s{from_s}-{len(streams)}", 1, excluded=excluded, deadline_s=from_s + 60.0)
        (grant,) = grants(shard_scheduler.submit(one, from_s))
        shard_scheduler.dispatched(one.request_id, Attempt(1), grant.upstream, from_s)
        streams[grant.upstream] = one.request_id
    now_s = from_s
    while now_s < to_s:
        now_s += 0.5
        for name, request_id in streams.items():
            shard_scheduler.progress(request_id, int(1 + rates[name] * (now_s - from_s)), now_s)
    for request_id in streams.values():
        shard_scheduler.ended(request_id, EndState.COMPLETE, 0, to_s)


def upstreams_of_top_tier(shard_scheduler: ShardScheduler, now_s: float) -> set[str]:
    granted = []
    tickets = [ticket(f"top-{now_s}-{n}", deadline_s=now_s + 60.0) for n in range(200)]
    for one in tickets:
        granted += grants(shard_scheduler.submit(one, now_s))
    for one in reversed(tickets):
        shard_scheduler.withdraw(one.request_id, now_s)
    return {grant.upstream for grant in granted}


def test_a_degraded_upstream_gets_no_top_tier_requests_until_it_recovers() -> None:
    shard_scheduler = scheduler(document(group(NAMES, initial_decode_tokens_per_s=40.0)))
    run_streams(shard_scheduler, dict.fromkeys(NAMES, 40.0), 0.0, 30.0)
    run_streams(shard_scheduler, {"e1": 8.0, "e2": 40.0, "e3": 40.0}, 30.0, 50.0)
    assert upstreams_of_top_tier(shard_scheduler, 50.0) == {"e2", "e3"}
    run_streams(shard_scheduler, dict.fromkeys(NAMES, 40.0), 51.0, 110.0)
    assert upstreams_of_top_tier(shard_scheduler, 110.0) == set(NAMES)


def test_a_slowdown_of_all_upstreams_is_not_a_degradation() -> None:
    shard_scheduler = scheduler(document(group(NAMES, initial_decode_tokens_per_s=40.0)))
    run_streams(shard_scheduler, dict.fromkeys(NAMES, 40.0), 0.0, 30.0)
    run_streams(shard_scheduler, dict.fromkeys(NAMES, 10.0), 30.0, 50.0)
    assert upstreams_of_top_tier(shard_scheduler, 50.0) == set(NAMES)


def test_an_idle_upstream_with_a_low_rate_is_probed() -> None:
    shard_scheduler = scheduler(document(group(NAMES)))
    run_streams(shard_scheduler, {"e1": 30.0, "e2": 40.0, "e3": 40.0}, 0.0, 10.0)
    one, other = ticket("a", 1), ticket("b", 1)
    names = {grants(shard_scheduler.submit(each, 20.0))[0].upstream for each in (one, other)}
    names |= {grants(shard_scheduler.submit(ticket("c", 1), 20.0))[0].upstream}
    assert names == set(NAMES)
