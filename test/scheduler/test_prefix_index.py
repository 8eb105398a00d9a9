from schedulers import document, grants, group, scheduler, ticket

from lentilchute.ids import BlockHash, UpstreamId
from lentilchute.scheduler.policy import FULL_POLICY, Policy
from lentilchute.scheduler.prefix_index import PrefixIndex
from lentilchute.scheduler.tickets import CacheEvent

E1, E2 = UpstreamId("e1"), UpstreamId("e2")


def blocks(first: int, count: int) -> tuple[BlockHash, ...]:
    return tuple(BlockHash(block) for block in range(first, first + count))


def index(cache_tokens: int = 64 * 100) -> PrefixIndex:
    prefixes = PrefixIndex(64)
    prefixes.add_upstream(E1, cache_tokens)
    prefixes.add_upstream(E2, cache_tokens)
    return prefixes


def test_the_longest_common_prefix_counts() -> None:
    prefixes = index()
    prefixes.add_prompt(E1, blocks(0, 10))
    prompt = blocks(0, 6) + blocks(100, 6)
    assert prefixes.cached_tokens(E1, prompt) == 6 * 64
    assert prefixes.cached_tokens(E2, prompt) == 0
    assert prefixes.upstreams_with_prefix(prompt) == [E1]


def test_the_index_is_bounded_and_evicts_the_oldest_blocks() -> None:
    prefixes = index(cache_tokens=64 * 15)
    prefixes.add_prompt(E1, blocks(0, 10))
    prefixes.add_prompt(E1, blocks(100, 10))
    assert prefixes.cached_tokens(E1, blocks(100, 10)) == 640
    assert prefixes.cached_tokens(E1, blocks(0, 10)) == 5 * 64


def test_evictions_are_applied_and_late_events_are_ignored() -> None:
    prefixes = index()
    prefixes.add_prompt(E1, blocks(0, 10))
    prefixes.apply_event(CacheEvent(E1, 2, evicted=blocks(5, 5)))
    prefixes.apply_event(CacheEvent(E1, 1, evicted=blocks(0, 5)))
    assert prefixes.cached_tokens(E1, blocks(0, 10)) == 5 * 64


def test_a_gap_in_events_lowers_the_confidence_and_a_cache_hit_raises_it() -> None:
    prefixes = index()
    prefixes.add_prompt(E1, blocks(0, 10))
    prefixes.apply_event(CacheEvent(E1, 1))
    prefixes.apply_event(CacheEvent(E1, 5))
    lowered = prefixes.cached_tokens(E1, blocks(0, 10))
    assert lowered < 640
    prefixes.record_cached_tokens(E1, 640, 640)
    assert prefixes.cached_tokens(E1, blocks(0, 10)) > lowered


def test_clearing_an_upstream_empties_its_view() -> None:
    prefixes = index()
    prefixes.add_prompt(E1, blocks(0, 10))
    prefixes.clear_upstream(E1)
    assert prefixes.cached_tokens(E1, blocks(0, 10)) == 0
    assert prefixes.upstreams_with_prefix(blocks(0, 10)) == []


def spread(policy: Policy) -> set[str]:
    shard_scheduler = scheduler(document(group(["e1", "e2", "e3"])), policy)
    prompt = {"prompt_tokens": 6_400, "prefix_hashes": blocks(0, 100)}
    granted = []
    for n in range(3):
        granted += grants(shard_scheduler.submit(ticket(f"same-{n}", **prompt), 0.0))
    return {grant.upstream for grant in granted}


def test_equal_prompts_that_arrive_together_go_to_one_upstream() -> None:
    assert len(spread(FULL_POLICY)) == 1


def test_a_ticket_goes_to_another_upstream_when_its_affinity_wait_ends() -> None:
    shard_scheduler = scheduler(
        document(group(["e1", "e2"], max_streams=64, initial_prefill_tokens_per_s=20_000.0))
    )
    prompt = {"prefix_hashes": blocks(0, 400)}
    (first,) = grants(shard_scheduler.submit(ticket("a", 1, prompt_tokens=25_600, **prompt), 0.0))
    assert shard_scheduler.submit(ticket("b", 1, prompt_tokens=25_600, **prompt), 0.0) == []
    (second,) = grants(shard_scheduler.tick(shard_scheduler.next_tick_s())) or grants(
        shard_scheduler.tick(shard_scheduler.next_tick_s())
    )
    assert second.upstream != first.upstream
