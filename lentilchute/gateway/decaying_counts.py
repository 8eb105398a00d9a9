"""Decaying counts of many keys that share a half-life; free of I/O."""

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

MAX_HALF_LIVES = 30.0
"""Newer events weigh more rather than older ones less; the weights start anew after this time."""


class DecayingCounts(Generic[Key]):
    """Counts of events by key, which lose half of their weight every ``half_life_s``.

    An event costs one power for all of its keys.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._began_s = 0.0
        self._weights: dict[Key, float] = {}

    def add(self, keys: Iterable[Key], now_s: float) -> None:
        """Count an event under each of its keys."""
        weight = self._weight(now_s)
        weights = self._weights
        for key in keys:
            weights[key] = weights.get(key, 0.0) + weight

    def read(self, key: Key, now_s: float) -> float:
        """Return a count, decayed until now."""
        return self._weights.get(key, 0.0) / self._weight(now_s)

    def read_all(self, now_s: float) -> dict[Key, float]:
        """Return all counts, decayed until now."""
        weight = self._weight(now_s)
        return {key: value / weight for key, value in self._weights.items()}

    def forget(self, keys: Iterable[Key]) -> None:
        """Forget keys."""
        for key in keys:
            self._weights.pop(key, None)

    def _weight(self, now_s: float) -> float:
        half_lives = (now_s - self._began_s) / self._half_life_s
        if half_lives > MAX_HALF_LIVES:
            scale = 0.5**half_lives
            self._weights = {key: value * scale for key, value in self._weights.items()}
            self._began_s = now_s
            return 1.0
        return float(2.0**half_lives)
