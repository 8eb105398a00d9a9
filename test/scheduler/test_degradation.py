from schedulers import document, grants, group, scheduler, ticket

from lentilchute.ids import Attempt, RequestId, UpstreamId
from lentilchute.scheduler.shard import ShardScheduler
from lentilchute.scheduler.tickets import EndState

NAMES = ["e1", "e2", "e3"]


def feed(made: ShardScheduler, rates: dict[str, float], from_s: float, to_s: float) -> None:
    """Run one stream on each upstream and report its progress each half second."""
    streams: dict[str, RequestId] = {}
    while len(streams) < len(rates):
        excluded = frozenset(map(UpstreamId, streams))
        one = ticket(f"s{from_s}-{len(streams)}", 1, excluded=excluded, deadline_s=from_s + 60.0)
        (grant,) = grants(made.submit(one, from_s))
        made.dispatched(one.request_id, Attempt(1), grant.upstream, from_s)
        streams[grant.upstream] = one.request_id
    now_s = from_s
    while now_s < to_s:
        now_s += 0.5
        for name, request_id in streams.items():
            made.progress(request_id, int(1 + rates[name] * (now_s - from_s)), now_s)
    for request_id in streams.values():
        made.ended(request_id, EndState.COMPLETE, 0, to_s)


def upstreams_of_top_tier(made: ShardScheduler, now_s: float) -> set[str]:
    granted = []
    tickets = [ticket(f"top-{now_s}-{n}", deadline_s=now_s + 60.0) for n in range(200)]
    for one in tickets:
        granted += grants(made.submit(one, now_s))
    for one in reversed(tickets):
        made.withdraw(one.request_id, now_s)
    return {grant.upstream for grant in granted}


def test_a_declined_upstream_gets_no_top_tier_and_comes_back_when_it_recovers() -> None:
    made = scheduler(document(group(NAMES, initial_decode_tokens_per_s=40.0)))
    feed(made, dict.fromkeys(NAMES, 40.0), 0.0, 30.0)
    feed(made, {"e1": 8.0, "e2": 40.0, "e3": 40.0}, 30.0, 50.0)
    assert upstreams_of_top_tier(made, 50.0) == {"e2", "e3"}
    feed(made, dict.fromkeys(NAMES, 40.0), 51.0, 110.0)
    assert upstreams_of_top_tier(made, 110.0) == set(NAMES)


def test_a_load_that_slows_all_alike_is_no_decline() -> None:
    made = scheduler(document(group(NAMES, initial_decode_tokens_per_s=40.0)))
    feed(made, dict.fromkeys(NAMES, 40.0), 0.0, 30.0)
    feed(made, dict.fromkeys(NAMES, 10.0), 30.0, 50.0)
    assert upstreams_of_top_tier(made, 50.0) == set(NAMES)


def test_an_idle_upstream_that_seemed_slow_is_probed() -> None:
    made = scheduler(document(group(NAMES)))
    feed(made, {"e1": 30.0, "e2": 40.0, "e3": 40.0}, 0.0, 10.0)
    one, other = ticket("a", 1), ticket("b", 1)
    names = {grants(made.submit(each, 20.0))[0].upstream for each in (one, other)}
    names |= {grants(made.submit(ticket("c", 1), 20.0))[0].upstream}
    assert names == set(NAMES)
