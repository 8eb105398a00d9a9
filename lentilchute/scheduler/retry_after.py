"""Retry-after times for refused callers."""

import random

from ..settings import SchedulerSettings

DRAIN_WINDOW_S = 5.0
INITIAL_DRAIN_PER_S = 10.0


class DrainRate:
    """Exponentially weighted moving average of the rate at which requests of a shard end."""

    def __init__(self, now_s: float) -> None:
        self._rate_per_s = INITIAL_DRAIN_PER_S
        self._count = 0
        self._since_s = now_s

    def record(self, now_s: float) -> None:
        """Record the end of a request."""
        self._count += 1
        elapsed_s = now_s - self._since_s
        if elapsed_s >= DRAIN_WINDOW_S:
            self._rate_per_s = 0.5 * self._rate_per_s + 0.5 * self._count / elapsed_s
            self._count = 0
            self._since_s = now_s

    @property
    def per_s(self) -> float:
        """Requests per second; never zero."""
        return max(self._rate_per_s, 0.1)


class RetryAfter:
    """Computes retry-after times from the drain rate, with jitter."""

    def __init__(self, settings: SchedulerSettings, rng: random.Random, spread: bool) -> None:
        self._settings = settings
        self._rng = rng
        self._spread = spread

    def draw_s(self, ahead: int, drain_per_s: float) -> float:
        """Return the expected time until ``ahead`` requests have ended, with jitter and limits."""
        settings = self._settings
        if not self._spread:
            return settings.retry_after_min_s
        base_s = max(ahead / drain_per_s, settings.retry_after_min_s)
        jitter = self._rng.uniform(0.0, settings.retry_after_jitter)
        return min(base_s * (1.0 + jitter), settings.retry_after_max_s)
