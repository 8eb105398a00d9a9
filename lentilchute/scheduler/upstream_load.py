"""The load of one upstream: work in flight, limits and learned rates."""

from ..document import UpstreamGroup
from ..ids import ModelName, RequestId, Tier, UpstreamId
from .limits import AdaptiveLimits
from .policy import Policy
from .rates import UpstreamRates
from .shard_status import UpstreamStatus
from .suspects import Crash
from .tickets import Ticket

PROBE_STREAMS = 2
"""Streams of lower tiers that a degraded upstream gets as probes of its recovery."""

PROBE_INTERVAL_S = 5.0
"""An idle upstream gets a lower tier's ticket this long after its last one, whatever its rates."""

TOP_TIER_PROBE_INTERVAL_S = 30.0
"""The same for a ticket of the highest tier, in case there are no others."""


class UpstreamLoad:
    """Work that this scheduler has placed on one upstream, and the limits on it.

    A placement occupies a stream until it ends, and prompt tokens until its first token.
    """

    def __init__(self, upstream: UpstreamId, policy: Policy) -> None:
        self.upstream = upstream
        self.group: UpstreamGroup | None = None
        self.leaving = False
        self.is_degraded = False
        self.models: frozenset[ModelName] | None = None
        """Models that the upstream serves; ``None`` for all."""
        self.awaits_models = False
        """The models of the upstream are not known yet."""
        self.last_grant_s = 0.0
        self.last_grant_number = 0
        """Number of the shard's grant that this upstream got last."""
        self.streams = 0
        self.streams_by_tier: dict[Tier, int] = {}
        self.prompt_tokens = 0
        self.decoding_streams = 0
        """Streams that have produced their first token."""
        self.suspect_request: RequestId | None = None
        """The suspect of an earlier crash that is in flight on this upstream, if any."""
        self.has_suspect_answered = False
        self.last_crash: Crash | None = None
        self._policy = policy
        self.rates = UpstreamRates(1.0, 1.0)
        self.limits = AdaptiveLimits(0, 0, 1.0)
        self._configured_with: tuple[UpstreamGroup, float] | None = None

    def configure(self, group: UpstreamGroup, first_token_target_s: float) -> None:
        """Apply a group's limits and initial rates; learned rates are kept if it is unchanged."""
        self.group = group
        if self._configured_with == (group, first_token_target_s):
            return
        self._configured_with = (group, first_token_target_s)
        self.rates = UpstreamRates(
            group.initial_prefill_tokens_per_s, group.initial_decode_tokens_per_s
        )
        self.limits = AdaptiveLimits(
            group.max_streams, group.max_prompt_tokens, first_token_target_s
        )

    @property
    def accepts_work(self) -> bool:
        """Whether the upstream may get new work, regardless of capacity."""
        return self.group is not None and not self.leaving

    @property
    def stream_limit(self) -> int:
        """Current limit on outstanding streams."""
        if self.group is not None and not self._policy.adaptive_limits:
            return self.group.max_streams
        return self.limits.streams

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prefill rate, for all prompts together."""
        if self.group is not None and not self._policy.learned_rates:
            return self.group.initial_prefill_tokens_per_s
        return self.rates.prefill_tokens_per_s

    @property
    def decode_tokens_per_s(self) -> float:
        """Decode rate of one stream."""
        if self.group is not None and not self._policy.learned_rates:
            return self.group.initial_decode_tokens_per_s
        return self.rates.decode_tokens_per_s

    def prompt_token_limit(self, tier: Tier) -> float:
        """Return the limit on prompt tokens outstanding ahead of a ticket of a tier."""
        if self.group is not None and not self._policy.adaptive_limits:
            return self.group.max_prompt_tokens
        return self.limits.prompt_tokens(tier == 0, self.prefill_tokens_per_s)

    def reserve(self, tier: Tier, prompt_tokens: int) -> None:
        """Reserve a stream and prompt tokens."""
        self.streams += 1
        self.streams_by_tier[tier] = self.streams_by_tier.get(tier, 0) + 1
        self.prompt_tokens += prompt_tokens

    def release_prompt(self, prompt_tokens: int) -> None:
        """Release prompt tokens, at the first token or at the end of a request."""
        self.prompt_tokens -= prompt_tokens

    def release_stream(self, tier: Tier) -> None:
        """Release a stream."""
        self.streams -= 1
        self.streams_by_tier[tier] -= 1

    def record_first_token(
        self, dispatched_s: float, uncached_tokens: int, expected_s: float, now_s: float
    ) -> None:
        """Update the limits and rates from a first token."""
        self.limits.record_stream_start(self.decoding_streams, now_s)
        self.rates.record_first_token(dispatched_s, uncached_tokens, now_s)
        elapsed_s = now_s - dispatched_s
        self.limits.record_first_token(elapsed_s, expected_s, self.streams, dispatched_s, now_s)

    def record_output(self, tokens: int, seconds: float, now_s: float) -> None:
        """Update the rates from the progress of one stream."""
        self.rates.record_output(tokens, seconds, now_s)

    def can_serve(self, ticket: Ticket) -> bool:
        """Return whether a ticket may go to this upstream once it has capacity.

        An upstream whose models are not known yet counts as serving every model.
        """
        if self.upstream in ticket.excluded:
            return False
        return not ticket.model or self.models is None or ticket.model in self.models

    def can_serve_now(self, ticket: Ticket) -> bool:
        """Return whether a ticket may go to this upstream now, regardless of capacity."""
        return self.can_serve(ticket) and not (ticket.model and self.awaits_models)

    def is_probe_due(self, tier: Tier, now_s: float) -> bool:
        """Return whether a ticket should probe the upstream's current speed.

        Rates are learned from placed work only, so an upstream with low rates would get no work and
        never update them.
        """
        interval_s = TOP_TIER_PROBE_INTERVAL_S if tier == 0 else PROBE_INTERVAL_S
        if self.suspect_request is not None:
            return False
        return self.streams == 0 and now_s - self.last_grant_s >= interval_s

    def has_capacity(self, tier: Tier, reserved_shares: tuple[float, ...]) -> bool:
        """Return whether a ticket fits next to the capacity reserved for higher tiers.

        The limit on prompt tokens excludes the ticket's own, so that short prompts can't starve a
        long one.
        """
        if self.prompt_tokens and self.prompt_tokens >= self.prompt_token_limit(tier):
            return False
        if self.is_degraded and (tier == 0 or self.streams >= PROBE_STREAMS):
            return False
        if self.suspect_request is not None and not self.has_suspect_answered:
            # Isolate the suspect until its first token, so that a crash identifies the cause.
            return False
        reserved = self._reserved_streams(tier, reserved_shares)
        return self.streams + reserved < self.stream_limit

    def _reserved_streams(self, tier: Tier, reserved_shares: tuple[float, ...]) -> int:
        reserved = 0
        for higher in range(min(tier, len(reserved_shares))):
            share = int(reserved_shares[higher] * self.stream_limit)
            reserved += max(0, share - self.streams_by_tier.get(Tier(higher), 0))
        return reserved

    def prefill_wait_s(self) -> float:
        """Return the expected time until the prefill of a prompt placed now starts."""
        return self.prompt_tokens / self.prefill_tokens_per_s

    def status(self) -> UpstreamStatus:
        """Return the upstream's status for operators."""
        return UpstreamStatus(
            self.upstream,
            self.leaving,
            self.streams,
            self.stream_limit,
            self.prompt_tokens,
            int(self.prompt_token_limit(Tier(0))),
            self.prefill_tokens_per_s,
            self.decode_tokens_per_s,
            declined=self.is_degraded,
        )
