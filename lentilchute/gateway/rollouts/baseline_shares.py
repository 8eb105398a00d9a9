"""Shares of bad answers at the baseline during the last seconds; free of I/O."""

from collections import deque
from dataclasses import dataclass
from math import sqrt

BUCKET_S = 0.5
KEPT_S = 20.0
DEVIATIONS = 1.5
"""Standard deviations by which a share is taken to be higher than what was counted."""


@dataclass(slots=True)
class _Bucket:
    number: int
    samples: int = 0
    bad_samples: int = 0


def upper_share(samples: int, bad_samples: int) -> float:
    """Return the upper end of Wilson's interval for a share; 1 without samples."""
    z2 = DEVIATIONS * DEVIATIONS
    spread = DEVIATIONS * sqrt(bad_samples * (samples - bad_samples) / max(1, samples) + z2 / 4.0)
    return min(1.0, (bad_samples + z2 / 2.0 + spread) / (samples + z2))


class BaselineShares:
    """Answers of one kind, counted in short buckets."""

    def __init__(self) -> None:
        self._buckets: deque[_Bucket] = deque()
        self.samples = 0
        self.bad_samples = 0

    def record(self, is_bad: bool, now_s: float) -> None:
        """Count an answer."""
        self.samples += 1
        self.bad_samples += is_bad
        number = int(now_s / BUCKET_S)
        if not self._buckets or self._buckets[-1].number < number:
            self._buckets.append(_Bucket(number))
        self._buckets[-1].samples += 1
        self._buckets[-1].bad_samples += is_bad
        while (number - self._buckets[0].number) * BUCKET_S > KEPT_S:
            self._buckets.popleft()

    def between(self, from_s: float, until_s: float) -> tuple[int, int]:
        """Return the numbers of answers and of bad answers in a span of the last seconds."""
        first, last = int(from_s / BUCKET_S), int(until_s / BUCKET_S)
        samples = bad_samples = 0
        for bucket in reversed(self._buckets):
            if bucket.number < first:
                break
            if bucket.number <= last:
                samples += bucket.samples
                bad_samples += bucket.bad_samples
        return samples, bad_samples
