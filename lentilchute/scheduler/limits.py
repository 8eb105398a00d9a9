"""Bounds on what is outstanding at one upstream, adapted to its first-token times.

An upstream knows no tiers, so its own queue is kept short: waiting happens in the scheduler.
"""

LOWER_TIER_PROMPT_FRACTION = 0.2
"""Part of the first-token target that prompts ahead of a lower tier's may take."""

TOP_TIER_PROMPT_FRACTION = 0.5
"""Part of the first-token target that prompts ahead of the highest tier's may take."""

LATE_TARGET_FRACTION = 0.5
"""Part of the first-token target beyond which a first token is late."""

LATE_EXPECTATION_FACTOR = 4.0
"""A first token is late only if it took this many times as long as expected.

Prefill beside decoding is some times slower than alone, which is no sign of a full batch.
"""

MIN_SPARE_STREAMS = 4
MAX_SPARE_STREAMS = 32
INCREASE_INTERVAL_S = 0.25
DECREASE_INTERVAL_S = 1.0

PEAK_HALF_LIFE_S = 60.0
"""The largest number of streams seen to go on at once falls to half in this time."""


class AdaptiveLimits:
    """Stream limit: the streams that were seen to go on at once, and some to spare.

    An upstream whose batch is full starts no further stream, so the number that go on at once shows
    its size. The spare streams wait in the upstream's queue; they get fewer while first tokens are
    late, and more while they come in time and the limit is reached.
    """

    def __init__(self, max_streams: int, max_prompt_tokens: int, target_s: float) -> None:
        self._max_streams = max_streams
        self._max_prompt_tokens = max_prompt_tokens
        self._target_s = target_s
        # Until streams show the size of the batch, half of the stated bound is taken for it.
        self._peak_streams = max_streams / 2
        self._peak_updated_s = 0.0
        self._spare_streams = MIN_SPARE_STREAMS
        self._last_change_s = 0.0

    @property
    def streams(self) -> int:
        """Streams that may be outstanding."""
        return max(1, min(int(self._peak_streams) + self._spare_streams, self._max_streams))

    def prompt_tokens(self, is_top_tier: bool, prefill_tokens_per_s: float) -> float:
        """Return how many prompt tokens may be outstanding ahead of a new prompt."""
        fraction = TOP_TIER_PROMPT_FRACTION if is_top_tier else LOWER_TIER_PROMPT_FRACTION
        return min(fraction * self._target_s * prefill_tokens_per_s, self._max_prompt_tokens)

    def record_stream_start(self, decoding_streams: int, now_s: float) -> None:
        """Note how many streams go on at once, just after one has begun."""
        decayed = self._peak_streams * 0.5 ** ((now_s - self._peak_updated_s) / PEAK_HALF_LIFE_S)
        self._peak_streams = max(decayed, float(decoding_streams))
        self._peak_updated_s = now_s

    def record_first_token(
        self, elapsed_s: float, expected_s: float, streams: int, dispatched_s: float, now_s: float
    ) -> None:
        """Adapt to the time from dispatch to first token of one request."""
        late_s = max(LATE_TARGET_FRACTION * self._target_s, LATE_EXPECTATION_FACTOR * expected_s)
        if elapsed_s > late_s:
            self._decrease(dispatched_s, now_s)
        elif streams >= self.streams and now_s - self._last_change_s >= INCREASE_INTERVAL_S:
            self._spare_streams = min(self._spare_streams + 1, MAX_SPARE_STREAMS)
            self._last_change_s = now_s

    def _decrease(self, dispatched_s: float, now_s: float) -> None:
        # A request sent before the last change tells nothing about the present limit.
        if dispatched_s < self._last_change_s or now_s - self._last_change_s < DECREASE_INTERVAL_S:
            return
        self._spare_streams = max(MIN_SPARE_STREAMS, self._spare_streams // 2)
        self._last_change_s = now_s
