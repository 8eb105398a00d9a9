"""Adaptive limits on the work outstanding at one upstream, from its first-token times.

An upstream does not know tiers, so its queue is kept short and requests wait in the scheduler.
"""

LOWER_TIER_PROMPT_FRACTION = 0.2
"""Fraction of the first-token target available to the prompts ahead of a lower tier's prompt."""

TOP_TIER_PROMPT_FRACTION = 0.5
"""Fraction of the first-token target available to the prompts ahead of a highest-tier prompt."""

LATE_TARGET_FRACTION = 0.5
"""Fraction of the first-token target above which a first token may count as late."""

LATE_EXPECTATION_FACTOR = 4.0
"""Multiple of the expected time above which a first token may count as late.

Prefill concurrent with decoding can be several times slower without the batch being full.
"""

MIN_SPARE_STREAMS = 4
MAX_SPARE_STREAMS = 32
INCREASE_INTERVAL_S = 0.25
DECREASE_INTERVAL_S = 1.0

PEAK_HALF_LIFE_S = 60.0
"""Half-life of the peak number of concurrent streams."""


class AdaptiveLimits:
    """Limits on streams and prompt tokens; the stream limit is the observed peak and some spare.

    An upstream with a full batch starts no further stream, so the peak number of decoding streams
    shows the batch size. The spare streams wait in the upstream's queue. Their number is decreased
    when first tokens are late and increased when they are on time and the limit is reached.
    """

    def __init__(self, max_streams: int, max_prompt_tokens: int, target_s: float) -> None:
        self._max_streams = max_streams
        self._max_prompt_tokens = max_prompt_tokens
        self._target_s = target_s
        # The batch size is assumed to be half of the configured limit until streams show it.
        self._peak_streams = max_streams / 2
        self._peak_updated_s = 0.0
        self._spare_streams = MIN_SPARE_STREAMS
        self._last_change_s = 0.0

    @property
    def streams(self) -> int:
        """Current limit on outstanding streams."""
        return max(1, min(int(self._peak_streams) + self._spare_streams, self._max_streams))

    def prompt_tokens(self, is_top_tier: bool, prefill_tokens_per_s: float) -> float:
        """Return the limit on prompt tokens outstanding ahead of a new prompt."""
        fraction = TOP_TIER_PROMPT_FRACTION if is_top_tier else LOWER_TIER_PROMPT_FRACTION
        return min(fraction * self._target_s * prefill_tokens_per_s, self._max_prompt_tokens)

    def record_stream_start(self, decoding_streams: int, now_s: float) -> None:
        """Record the number of streams decoding at the start of one of them."""
        decayed = self._peak_streams * 0.5 ** ((now_s - self._peak_updated_s) / PEAK_HALF_LIFE_S)
        self._peak_streams = max(decayed, float(decoding_streams))
        self._peak_updated_s = now_s

    def record_first_token(
        self, elapsed_s: float, expected_s: float, streams: int, dispatched_s: float, now_s: float
    ) -> None:
        """Adapt the spare streams to the time from dispatch to first token of one request."""
        late_s = max(LATE_TARGET_FRACTION * self._target_s, LATE_EXPECTATION_FACTOR * expected_s)
        if elapsed_s > late_s:
            self._decrease(dispatched_s, now_s)
        elif streams >= self.streams and now_s - self._last_change_s >= INCREASE_INTERVAL_S:
            self._spare_streams = min(self._spare_streams + 1, MAX_SPARE_STREAMS)
            self._last_change_s = now_s

    def _decrease(self, dispatched_s: float, now_s: float) -> None:
        # A request dispatched before the last change does not reflect the current limit.
        if dispatched_s < self._last_change_s or now_s - self._last_change_s < DECREASE_INTERVAL_S:
            return
        self._spare_streams = max(MIN_SPARE_STREAMS, self._spare_streams // 2)
        self._last_change_s = now_s
