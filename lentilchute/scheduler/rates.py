"""Token rates of one upstream, learned from the requests placed on it."""

MIN_PROMPT_TOKENS = 128
"""Shorter prompts are ignored for the prefill rate, since each takes at least one engine step."""

PREFILL_HALF_LIFE_S = 4.0
"""Half-life of the weight of an observed prefill."""

DECODE_HALF_LIFE_S = 1.5
"""Half-life of the weight of observed stream progress."""

LONG_TERM_HALF_LIFE_S = 120.0
"""The same for the long-term rate that the current decode rate is compared with."""

INITIAL_OBSERVED_S = 0.25
"""Weight of the initial rate, as observed time."""


class LearnedRate:
    """Amount divided by observed time, with exponentially decaying weights of the observations."""

    def __init__(self, initial_per_s: float, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._observed_s = INITIAL_OBSERVED_S
        self._amount = initial_per_s * INITIAL_OBSERVED_S
        self._updated_s: float | None = None

    @property
    def per_s(self) -> float:
        """The current estimate."""
        return self._amount / self._observed_s

    def observe(self, amount: float, seconds: float, now_s: float) -> None:
        """Record an amount observed over the last ``seconds``."""
        if seconds <= 0 or amount <= 0:
            return
        if self._updated_s is not None:
            # A lower bound on the weight keeps the estimate defined after a long idle time.
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
        self._long_term_decode = LearnedRate(decode_tokens_per_s, LONG_TERM_HALF_LIFE_S)
        self._last_first_token_s = 0.0

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prompt tokens per second, for all prompts together."""
        return self._prefill.per_s

    @property
    def decode_tokens_per_s(self) -> float:
        """Output tokens per second of one stream."""
        return self._decode.per_s

    @property
    def decode_trend(self) -> float:
        """The current decode rate as a fraction of the upstream's long-term decode rate."""
        return self._decode.per_s / self._long_term_decode.per_s

    def record_first_token(self, dispatched_s: float, uncached_tokens: int, now_s: float) -> None:
        """Record a first token.

        Upstreams prefill in order, so the prefill of a prompt is timed from the previous prompt's
        first token if that came after the dispatch.
        """
        since_s = max(dispatched_s, self._last_first_token_s)
        self._last_first_token_s = now_s
        if uncached_tokens >= MIN_PROMPT_TOKENS:
            self._prefill.observe(uncached_tokens, now_s - since_s, now_s)

    def record_output(self, tokens: int, seconds: float, now_s: float) -> None:
        """Record the output of one stream over a period."""
        self._decode.observe(tokens, seconds, now_s)
        self._long_term_decode.observe(tokens, seconds, now_s)
