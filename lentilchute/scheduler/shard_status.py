"""The state of one shard as operators and metrics see it."""

from dataclasses import dataclass

from ..ids import ShardId, Tier, UpstreamId


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """What a scheduler knows of one upstream."""

    upstream: UpstreamId
    leaving: bool
    streams: int
    stream_limit: int
    outstanding_prompt_tokens: int
    prompt_token_limit: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    declined: bool = False
    """It fell behind its own past or its peers, and gets little work until it recovers."""


@dataclass(frozen=True, slots=True)
class ShardStatus:
    """Counts of one shard's tickets by tier, and its upstreams."""

    shard: ShardId
    waiting: dict[Tier, int]
    in_flight: dict[Tier, int]
    upstreams: tuple[UpstreamStatus, ...]
    drain_per_s: float
