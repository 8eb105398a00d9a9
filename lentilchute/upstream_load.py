"""What a scheduler knows of one upstream: its room, its work in flight and its rates."""

from .document import UpstreamGroup
from .ids import Tier, UpstreamId
from .shard_status import UpstreamStatus


class UpstreamLoad:
    """Work that this scheduler has placed on one upstream, and the bounds on it.

    A placement takes a stream until it ends, and prompt tokens until its first token.
    """

    def __init__(self, upstream: UpstreamId, group: UpstreamGroup | None) -> None:
        self.upstream = upstream
        self.group = group
        self.leaving = False
        self.streams = 0
        self.streams_by_tier: dict[Tier, int] = {}
        self.prompt_tokens = 0
        self.stream_limit = 0
        self.prompt_token_limit = 0
        self.prefill_tokens_per_s = 1.0
        self.decode_tokens_per_s = 1.0
        if group is not None:
            self.configure(group)

    def configure(self, group: UpstreamGroup) -> None:
        """Take bounds and initial rates from a group of the document."""
        if group == self.group and self.stream_limit:
            return
        self.group = group
        self.stream_limit = group.max_streams
        self.prompt_token_limit = group.max_prompt_tokens
        self.prefill_tokens_per_s = group.initial_prefill_tokens_per_s
        self.decode_tokens_per_s = group.initial_decode_tokens_per_s

    @property
    def is_open(self) -> bool:
        """Whether the upstream may get new work at all."""
        return self.group is not None and not self.leaving

    def reserve(self, tier: Tier, prompt_tokens: int) -> None:
        """Take a stream and prompt tokens."""
        self.streams += 1
        self.streams_by_tier[tier] = self.streams_by_tier.get(tier, 0) + 1
        self.prompt_tokens += prompt_tokens

    def release_prompt(self, prompt_tokens: int) -> None:
        """Give prompt tokens back, at the first token or at the end."""
        self.prompt_tokens -= prompt_tokens

    def release_stream(self, tier: Tier) -> None:
        """Give a stream back."""
        self.streams -= 1
        self.streams_by_tier[tier] -= 1

    def has_room(self, tier: Tier, reserved_shares: tuple[float, ...]) -> bool:
        """Tell whether a ticket fits beside the room kept for higher tiers.

        The bound on prompt tokens is on those ahead of the ticket, so that a long prompt does not
        wait for ever while short ones pass it.
        """
        if self.prompt_tokens >= self.prompt_token_limit:
            return False
        kept = self._kept_streams(tier, reserved_shares)
        return self.streams + kept < self.stream_limit

    def _kept_streams(self, tier: Tier, reserved_shares: tuple[float, ...]) -> int:
        kept = 0
        for higher in range(min(tier, len(reserved_shares))):
            share = int(reserved_shares[higher] * self.stream_limit)
            kept += max(0, share - self.streams_by_tier.get(Tier(higher), 0))
        return kept

    def wait_s(self) -> float:
        """Expected time until a prompt placed now starts."""
        return self.prompt_tokens / self.prefill_tokens_per_s

    def status(self) -> UpstreamStatus:
        """Describe the upstream for operators."""
        return UpstreamStatus(
            self.upstream,
            self.leaving,
            self.streams,
            self.stream_limit,
            self.prompt_tokens,
            self.prompt_token_limit,
            self.prefill_tokens_per_s,
            self.decode_tokens_per_s,
        )
