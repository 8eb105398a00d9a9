from schedulers import document, grants, group, scheduler, ticket

from lentilchute.scheduler.limits import AdaptiveLimits
from lentilchute.scheduler.policy import Policy

TARGET_S = 1.8


def test_the_limit_follows_the_number_of_concurrent_streams() -> None:
    limits = AdaptiveLimits(64, 100_000, TARGET_S)
    for decoding in range(33):
        assert limits.streams >= decoding
        limits.record_stream_start(decoding, float(decoding))
    assert 32 <= limits.streams < 64


def test_late_first_tokens_lower_the_limit_and_timely_ones_raise_it() -> None:
    limits = AdaptiveLimits(64, 100_000, TARGET_S)
    now_s = 0.0
    for _ in range(20):
        now_s += 1.0
        limits.record_first_token(0.1, 0.1, limits.streams, now_s - 0.1, now_s)
    raised = limits.streams
    for _ in range(20):
        now_s += 5.0
        limits.record_first_token(4.0, 0.1, limits.streams, now_s - 4.0, now_s)
    assert limits.streams < raised


def test_a_long_prompt_does_not_count_as_congestion() -> None:
    limits = AdaptiveLimits(64, 100_000, TARGET_S)
    now_s = 0.0
    for _ in range(20):
        now_s += 1.0
        limits.record_first_token(0.1, 0.1, limits.streams, now_s - 0.1, now_s)
    raised = limits.streams
    limits.record_first_token(20.0, 8.0, 0, now_s + 10.0, now_s + 30.0)
    assert limits.streams == raised


def test_outstanding_prompts_are_bounded_by_the_first_token_target() -> None:
    shard_scheduler = scheduler(document(group(["e1"], initial_prefill_tokens_per_s=1_000.0)))
    for n in range(20):
        shard_scheduler.submit(ticket(f"low-{n}", 1), 0.0)
    assert shard_scheduler.status(0.0).upstreams[0].outstanding_prompt_tokens < TARGET_S * 1_000
    assert grants(shard_scheduler.submit(ticket("top"), 0.0))


def test_without_adaptive_limits_all_prompts_are_granted_at_once() -> None:
    shard_scheduler = scheduler(
        document(group(["e1"], initial_prefill_tokens_per_s=1_000.0)),
        Policy(adaptive_limits=False),
    )
    for n in range(20):
        shard_scheduler.submit(ticket(f"low-{n}", 1), 0.0)
    assert shard_scheduler.status(0.0).upstreams[0].outstanding_prompt_tokens >= TARGET_S * 1_000
