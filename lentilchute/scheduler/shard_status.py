"""The status of one shard for operators and metrics."""

from dataclasses import dataclass

from ..ids import ShardId, Tier, UpstreamId


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """The load and rates of one upstream, as tracked by the scheduler."""

    upstream: UpstreamId
    leaving: bool
    streams: int
    stream_limit: int
    outstanding_prompt_tokens: int
    prompt_token_limit: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    declined: bool = False
    """Whether the upstream is degraded: slow compared with its past or peers, and only probed."""


@dataclass(frozen=True, slots=True)
class ShardStatus:
    """Counts of one shard's tickets by tier, and its upstreams."""

    shard: ShardId
    waiting: dict[Tier, int]
    in_flight: dict[Tier, int]
    upstreams: tuple[UpstreamStatus, ...]
    drain_per_s: float
