"""Rates of one upstream, learned from the answers of requests placed on it."""

MIN_PROMPT_TOKENS = 128
"""Shorter prompts tell little of the prefill rate, since each takes at least one step."""

PREFILL_HALF_LIFE_S = 4.0
"""After this time an observed prefill weighs half."""

DECODE_HALF_LIFE_S = 1.5
"""The same for the progress of streams."""

PAST_HALF_LIFE_S = 120.0
"""The same for the past rate that an upstream's progress is compared with."""

INITIAL_OBSERVED_S = 0.25
"""Observed time that an initial rate stands for."""


class LearnedRate:
    """Amount over observed time, where observations fade with the time since they were made."""

    def __init__(self, initial_per_s: float, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._observed_s = INITIAL_OBSERVED_S
        self._amount = initial_per_s * INITIAL_OBSERVED_S
        self._updated_s: float | None = None

    @property
    def per_s(self) -> float:
        """The present estimate."""
        return self._amount / self._observed_s

    def observe(self, amount: float, seconds: float, now_s: float) -> None:
        """Add what was observed over ``seconds`` up to now."""
        if seconds <= 0 or amount <= 0:
            return
        if self._updated_s is not None:
            # A trace of the past stays, so that the estimate is defined after a long silence.
            decay = max(0.5 ** ((now_s - self._updated_s) / self._half_life_s), 1e-6)
            self._amount *= decay
            self._observed_s *= decay
        self._updated_s = now_s
        self._amount += amount
        self._observed_s += seconds


class UpstreamRates:
    """Prefill and decode rates of one upstream."""

    def __init__(self, prefill_tokens_per_s: float, decode_tokens_per_s: float) -> None:
        self._prefill = LearnedRate(prefill_tokens_per_s, PREFILL_HALF_LIFE_S)
        self._decode = LearnedRate(decode_tokens_per_s, DECODE_HALF_LIFE_S)
        self._past_decode = LearnedRate(decode_tokens_per_s, PAST_HALF_LIFE_S)
        self._last_first_token_s = 0.0

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prompt tokens a second, for all prompts together."""
        return self._prefill.per_s

    @property
    def decode_tokens_per_s(self) -> float:
        """Output tokens a second of one stream."""
        return self._decode.per_s

    @property
    def decode_trend(self) -> float:
        """The present rate of a stream, as a part of the upstream's own past rate."""
        return self._decode.per_s / self._past_decode.per_s

    def record_first_token(self, dispatched_s: float, uncached_tokens: int, now_s: float) -> None:
        """Note a first token.

        Upstreams prefill in order, so a prompt's own time runs from the first token before it.
        """
        since_s = max(dispatched_s, self._last_first_token_s)
        self._last_first_token_s = now_s
        if uncached_tokens >= MIN_PROMPT_TOKENS:
            self._prefill.observe(uncached_tokens, now_s - since_s, now_s)

    def record_output(self, tokens: int, seconds: float, now_s: float) -> None:
        """Note the output of one stream over some time."""
        self._decode.observe(tokens, seconds, now_s)
        self._past_decode.observe(tokens, seconds, now_s)
