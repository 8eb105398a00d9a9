"""A token bucket: limits operations to an average rate with a bounded burst."""


class TokenBucket:
    """Limits operations to a rate that may change; starts full."""

    def __init__(self, rate_per_s: float, burst: int, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._filled_at_s = now_s

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Change the rate from ``now_s`` on."""
        self._refill(now_s)
        self._rate_per_s = rate_per_s

    def take(self, now_s: float) -> bool:
        """Take one token; return false when there is none."""
        self._refill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def next_s(self, now_s: float) -> float:
        """Return when the next token is available."""
        self._refill(now_s)
        missing_tokens = max(0.0, 1.0 - self._tokens)
        return now_s + missing_tokens / self._rate_per_s

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._filled_at_s)
        self._filled_at_s = max(now_s, self._filled_at_s)
        self._tokens = min(float(self._burst), self._tokens + elapsed_s * self._rate_per_s)
