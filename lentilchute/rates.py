"""Rates of one upstream, learned from the answers of requests placed on it."""

MIN_PROMPT_TOKENS = 128
"""Shorter prompts tell little of the prefill rate, since each takes at least one step."""

MEMORY_S = 4.0
"""Observed time that the estimates rest on; older observations fade."""


class LearnedRate:
    """Amount over time, with observations that fade as newer ones come."""

    def __init__(self, initial_per_s: float) -> None:
        self._seconds = MEMORY_S / 4
        self._amount = initial_per_s * self._seconds

    @property
    def per_s(self) -> float:
        """The present estimate."""
        return self._amount / self._seconds

    def observe(self, amount: float, seconds: float) -> None:
        """Add an observation."""
        if seconds <= 0 or amount <= 0:
            return
        # An observation weighs at most as much as all that is remembered.
        weight = min(1.0, MEMORY_S / seconds)
        self._amount += amount * weight
        self._seconds += seconds * weight
        if self._seconds > MEMORY_S:
            self._amount *= MEMORY_S / self._seconds
            self._seconds = MEMORY_S


class UpstreamRates:
    """Prefill and decode rates of one upstream."""

    def __init__(self, prefill_tokens_per_s: float, decode_tokens_per_s: float) -> None:
        self._prefill = LearnedRate(prefill_tokens_per_s)
        self._decode = LearnedRate(decode_tokens_per_s)
        self._last_first_token_s = 0.0

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prompt tokens a second, for all prompts together."""
        return self._prefill.per_s

    @property
    def decode_tokens_per_s(self) -> float:
        """Output tokens a second of one stream."""
        return self._decode.per_s

    def first_token(self, dispatched_s: float, uncached_tokens: int, now_s: float) -> None:
        """Note a first token.

        Upstreams prefill in order, so a prompt's own time runs from the first token before it.
        """
        since_s = max(dispatched_s, self._last_first_token_s)
        self._last_first_token_s = now_s
        if uncached_tokens >= MIN_PROMPT_TOKENS:
            self._prefill.observe(uncached_tokens, now_s - since_s)

    def decoded(self, tokens: int, seconds: float) -> None:
        """Note the output of one stream over some time."""
        self._decode.observe(tokens, seconds)
