"""Bounds on what is outstanding at one upstream, adapted to its first-token times.

An upstream knows no tiers, so its own queue is kept short: waiting happens in the scheduler.
"""

LOWER_TIER_PART = 0.2
"""Part of the first-token target that prompts ahead of a lower tier's may take."""

TOP_TIER_PART = 0.5
"""Part of the first-token target that prompts ahead of the highest tier's may take."""

CONGESTED_PART = 0.5
"""Part of the first-token target beyond which a first token is late."""

CONGESTED_FACTOR = 2.0
"""A first token is late only if it took this many times as long as expected."""

DECREASE = 0.95
INCREASE_INTERVAL_S = 0.25
DECREASE_INTERVAL_S = 1.0


class AdaptiveLimits:
    """Stream limit that rises slowly while first tokens come in time, and falls when late."""

    def __init__(self, max_streams: int, max_prompt_tokens: int, target_s: float) -> None:
        self._max_streams = max_streams
        self._max_prompt_tokens = max_prompt_tokens
        self._target_s = target_s
        self._streams = float(max_streams)
        self._changed_s = 0.0

    @property
    def streams(self) -> int:
        """Streams that may be outstanding."""
        return max(1, int(self._streams))

    def prompt_tokens(self, is_top_tier: bool, prefill_tokens_per_s: float) -> float:
        """Return how many prompt tokens may be outstanding ahead of a new prompt."""
        part = TOP_TIER_PART if is_top_tier else LOWER_TIER_PART
        return min(part * self._target_s * prefill_tokens_per_s, self._max_prompt_tokens)

    def first_token(
        self, took_s: float, expected_s: float, streams: int, dispatched_s: float, now_s: float
    ) -> None:
        """Adapt to the time from dispatch to first token of one request."""
        late_s = max(CONGESTED_PART * self._target_s, CONGESTED_FACTOR * expected_s)
        if took_s > late_s:
            self._decrease(streams, dispatched_s, now_s)
        elif streams >= self.streams and now_s - self._changed_s >= INCREASE_INTERVAL_S:
            self._streams = min(self._streams + 1, self._max_streams)
            self._changed_s = now_s

    def _decrease(self, streams: int, dispatched_s: float, now_s: float) -> None:
        # A request sent before the last change tells nothing about the present limit.
        if dispatched_s < self._changed_s or now_s - self._changed_s < DECREASE_INTERVAL_S:
            return
        self._streams = max(1.0, min(self._streams, streams) * DECREASE)
        self._changed_s = now_s
