"""Usage of quotas by a node's own requests, and which node has counted it; free of I/O.

A coordinator counts the requests that it grants. It does not know what a node has admitted locally,
nor what an earlier coordinator has granted to that node; the node reports that usage with each
refresh.
"""

from ..ids import ClientAccountId, IncarnationId
from .account_usage import HISTORY_PARTS

BUCKETS_PER_PART = 4
"""Resolution of reported usage, which is dated up to one such bucket too late."""


class LocalUsage:
    """Usage of one node's requests in the last window, by account and by the node that counted
    it."""

    def __init__(self, window_s: float) -> None:
        self._part_s = window_s / HISTORY_PARTS
        self._used: dict[tuple[int, ClientAccountId, IncarnationId], float] = {}
        self._last_bucket = 0

    def record(
        self, account: ClientAccountId, cost: float, counted_by: IncarnationId, now_s: float
    ) -> None:
        """Record a request of this node and the node that counted it, which may be this node."""
        bucket = self._expire(now_s)
        key = (bucket, account, counted_by)
        self._used[key] = self._used.get(key, 0.0) + cost

    def uncounted(
        self, coordinator: IncarnationId, now_s: float
    ) -> dict[ClientAccountId, list[float]]:
        """Return usage that a coordinator has not counted, by parts of the window, oldest first."""
        newest = self._expire(now_s)
        found: dict[ClientAccountId, list[float]] = {}
        for (bucket, account, counted_by), cost in self._used.items():
            if counted_by != coordinator:
                age = min((newest - bucket) // BUCKETS_PER_PART, HISTORY_PARTS - 1)
                parts = found.setdefault(account, [0.0] * HISTORY_PARTS)
                parts[HISTORY_PARTS - 1 - age] += cost
        return found

    def _expire(self, now_s: float) -> int:
        """Drop usage that has left the window and return the number of the current bucket."""
        bucket = int(now_s / self._part_s * BUCKETS_PER_PART)
        if bucket != self._last_bucket:
            self._last_bucket = bucket
            oldest = bucket - HISTORY_PARTS * BUCKETS_PER_PART
            self._used = {key: cost for key, cost in self._used.items() if key[0] >= oldest}
        return bucket
