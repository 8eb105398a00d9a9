"""A token bucket: so many operations a second on average, with a bounded burst."""


class TokenBucket:
    """Counts operations against a rate that may change; starts full."""

    def __init__(self, rate_per_s: float, burst: int, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._filled_at_s = now_s

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Change the rate from now on."""
        self._refill(now_s)
        self._rate_per_s = rate_per_s

    def take(self, now_s: float) -> bool:
        """Use up one operation if there is one left."""
        self._refill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def next_s(self, now_s: float) -> float:
        """Return when the next operation may be sent."""
        self._refill(now_s)
        missing_tokens = max(0.0, 1.0 - self._tokens)
        return now_s + missing_tokens / self._rate_per_s

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._filled_at_s)
        self._filled_at_s = max(now_s, self._filled_at_s)
        self._tokens = min(float(self._burst), self._tokens + elapsed_s * self._rate_per_s)
