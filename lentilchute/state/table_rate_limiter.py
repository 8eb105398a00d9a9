"""Rate limit and backoff for one node's operations on the table or the object store."""

import math
import random
from typing import Any

from result import Err, Result

from ..settings import ClaimSettings
from ..util.token_bucket import TokenBucket
from .platform_services import TableFault

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


class TableRateLimiter:
    """Admits single reads and writes; the result of each admitted one must be recorded."""

    def __init__(self, settings: ClaimSettings, rng: random.Random, now_s: float) -> None:
        self._settings = settings
        self._rng = rng
        burst = settings.burst_operations
        self._writes = TokenBucket(settings.total_writes_per_s, burst, now_s)
        self._reads = TokenBucket(settings.total_reads_per_s, burst, now_s)
        self._writes_in_flight = 0
        self._reads_in_flight = 0
        self._backoff_s = 0.0
        self._backoff_until_s = now_s

    def set_nodes(self, count: int, now_s: float) -> None:
        """Set the rates to the total rates divided by the number of nodes."""
        share = 1.0 / max(1, count)
        self._writes.set_rate(self._settings.total_writes_per_s * share, now_s)
        self._reads.set_rate(self._settings.total_reads_per_s * share, now_s)

    def admit_write(self, now_s: float) -> bool:
        """Return whether one transaction may be sent now, and count it if so."""
        if (
            now_s < self._backoff_until_s
            or self._writes_in_flight >= self._settings.max_outstanding
        ):
            return False
        if not self._writes.take(now_s):
            return False
        self._writes_in_flight += 1
        return True

    def admit_read(self, now_s: float) -> bool:
        """Return whether one read may be sent now, and count it if so."""
        if now_s < self._backoff_until_s or self._reads_in_flight >= self._settings.max_outstanding:
            return False
        if not self._reads.take(now_s):
            return False
        self._reads_in_flight += 1
        return True

    def record_write_result(self, result: Result[Any, TableFault], now_s: float) -> None:
        """Record the result of an admitted transaction."""
        self._writes_in_flight -= 1
        self._update_backoff(result, now_s)

    def record_read_result(self, result: Result[Any, TableFault], now_s: float) -> None:
        """Record the result of an admitted read."""
        self._reads_in_flight -= 1
        self._update_backoff(result, now_s)

    def next_write_s(self, now_s: float) -> float:
        """Return when a transaction may be sent; ``math.inf`` if too many are in flight."""
        if self._writes_in_flight >= self._settings.max_outstanding:
            return math.inf
        return max(self._backoff_until_s, self._writes.next_s(now_s))

    def next_read_s(self, now_s: float) -> float:
        """Return when a read may be sent; ``math.inf`` if too many are in flight."""
        if self._reads_in_flight >= self._settings.max_outstanding:
            return math.inf
        return max(self._backoff_until_s, self._reads.next_s(now_s))

    def _update_backoff(self, result: Result[Any, TableFault], now_s: float) -> None:
        if not isinstance(result, Err) or result.err_value is TableFault.CONFLICT:
            self._backoff_s = 0.0
            self._backoff_until_s = now_s
            return
        self._backoff_s = min(max(MIN_BACKOFF_S, 2 * self._backoff_s), MAX_BACKOFF_S)
        self._backoff_until_s = now_s + self._backoff_s * self._rng.uniform(0.5, 1.0)
