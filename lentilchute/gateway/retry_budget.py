"""The retry budget that all nodes share; free of I/O.

The ratio applies to the requests that a node has counted: all requests on the coordinator, and only
its own on a node that decides locally, which may spend only its share of the slack. Counts are kept
in buckets of a tenth of the window.
"""

from collections import deque
from dataclasses import dataclass

from ..ids import ServiceName
from .settings import RetrySettings

BUCKETS_PER_WINDOW = 10
SAFETY = 0.7
"""Fraction of the budget that is spent, as headroom: windows slide, load differs between nodes, and
views of the live nodes lag."""


@dataclass(slots=True)
class _Bucket:
    start_s: float
    requests: int = 0
    repeats: int = 0


class RetryBudget:
    """Requests and repeats in the last window by service, as one node counts them."""

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._buckets: dict[ServiceName, deque[_Bucket]] = {}

    def apply_settings(self, settings: RetrySettings) -> None:
        """Replace the settings from now on."""
        self._settings = settings

    def record_request(self, service: ServiceName, now_s: float) -> None:
        """Count a caller's request for a service."""
        self._bucket(service, now_s).requests += 1

    def try_spend(self, service: ServiceName, share: float, now_s: float) -> bool:
        """Count a repeat if this node's share of the budget allows it; return whether it does."""
        if self.remaining(service, share, now_s) < 1.0:
            return False
        self.spend(service, now_s)
        return True

    def spend(self, service: ServiceName, now_s: float) -> None:
        """Count a repeat that the coordinator has allowed."""
        self._bucket(service, now_s).repeats += 1

    def remaining(self, service: ServiceName, share: float, now_s: float) -> float:
        """Return how many repeats may still be sent now."""
        buckets = self._recent(service, now_s)
        requests = sum(bucket.requests for bucket in buckets)
        repeats = sum(bucket.repeats for bucket in buckets)
        allowed = self._settings.ratio * requests + self._settings.slack * share
        return SAFETY * allowed - repeats

    def _bucket(self, service: ServiceName, now_s: float) -> _Bucket:
        buckets = self._recent(service, now_s)
        width_s = self._settings.window_s / BUCKETS_PER_WINDOW
        if not buckets or now_s - buckets[-1].start_s >= width_s:
            buckets.append(_Bucket(now_s))
        return buckets[-1]

    def _recent(self, service: ServiceName, now_s: float) -> deque[_Bucket]:
        buckets = self._buckets.setdefault(service, deque())
        while buckets and now_s - buckets[0].start_s > self._settings.window_s:
            buckets.popleft()
        return buckets
