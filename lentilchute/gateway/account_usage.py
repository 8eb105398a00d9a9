"""Usage of one account's quota, by time and by the node that counted it; free of I/O."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..ids import IncarnationId

BUCKETS_PER_WINDOW = 32
"""Granularity of counting: usage counts for up to one bucket longer than the window."""
HISTORY_PARTS = 8
"""Parts of a window in the usage that is broadcast and stored."""


@dataclass(slots=True)
class Bucket:
    """Usage of a short period from ``start_s`` on."""

    start_s: float
    used: float = 0.0
    assumed: float = 0.0
    """Usage of all nodes that this node assumes, beyond what it has counted itself."""


@dataclass(slots=True)
class AccountUsage:
    """Usage of one account in the last window, as one node knows it."""

    window_s: float
    buckets: deque[Bucket] = field(default_factory=deque)
    """Usage that this node has counted or assumes."""
    used: float = 0.0
    assumed: float = 0.0
    assumed_until_s: float = float("-inf")
    """Until this time, the usage of all nodes is assumed; reports count only after it."""
    reported: dict[IncarnationId, list[Bucket]] = field(default_factory=dict)
    """Usage that other nodes have reported and this node has not counted."""
    coordinator_buckets: list[Bucket] = field(default_factory=list)
    """Usage of all nodes that the coordinator, another node, had counted by
    ``coordinator_as_of_s``."""
    coordinator_as_of_s: float = float("-inf")
    unknown: float = 0.0
    """Usage at ``unknown_at_s`` that is assumed for want of knowledge."""
    unknown_at_s: float = float("-inf")

    @property
    def total(self) -> float:
        """Counted, assumed and reported usage in the window."""
        return self.used + self.assumed + sum(bucket.used for bucket in self._unassumed_reports())

    def add(self, cost: float, now_s: float) -> None:
        """Count a request."""
        self.expire(now_s)
        if not self.buckets or now_s - self.buckets[-1].start_s >= self._bucket_s:
            self.begin_bucket(now_s)
        self.buckets[-1].used += cost
        self.used += cost

    def remove(self, cost: float, charged_s: float, now_s: float) -> None:
        """Subtract a request that was counted at ``charged_s``."""
        self.expire(now_s)
        for bucket in reversed(self.buckets):
            if bucket.start_s <= charged_s:
                bucket.used -= cost
                self.used -= cost
                return

    def begin_bucket(self, now_s: float) -> None:
        """Start a new bucket, so that usage from now on is separate from earlier usage."""
        self.buckets.append(Bucket(now_s))

    def expire(self, now_s: float) -> None:
        """Drop usage that has left the window."""
        oldest_s = self.oldest_s(now_s)
        while self.buckets and self.buckets[0].start_s < oldest_s:
            bucket = self.buckets.popleft()
            self.used -= bucket.used
            self.assumed -= bucket.assumed
        while self.coordinator_buckets and self.coordinator_buckets[0].start_s < oldest_s:
            del self.coordinator_buckets[0]
        for node in [node for node, each in self.reported.items() if each[-1].start_s < oldest_s]:
            del self.reported[node]

    def oldest_s(self, now_s: float) -> float:
        """Return the earliest start of a bucket that still counts."""
        return now_s - self.window_s - self._bucket_s

    def used_since(self, since_s: float, share: float) -> float:
        """Return the usage since a time, with this node's share of what is assumed and of what the
        coordinator has counted."""
        local_since_s = max(since_s, self.coordinator_as_of_s)
        if not self.buckets or self.buckets[0].start_s >= local_since_s:
            counted = self.used + self.assumed * share
        else:
            counted = sum(
                bucket.used + bucket.assumed * share
                for bucket in self.buckets
                if bucket.start_s >= local_since_s
            )
        coordinator_used = sum(
            bucket.used for bucket in self.coordinator_buckets if bucket.start_s >= since_s
        )
        reported = sum(
            bucket.used for bucket in self._unassumed_reports() if bucket.start_s > since_s
        )
        return counted + coordinator_used * share + reported

    def last_blocking_s(self, since_s: float, remaining: float, share: float) -> float:
        """Return the start of the last bucket that must expire before the usage is within
        ``remaining``: -inf if none must, inf if all of them are not enough."""
        excess = self.used_since(since_s, share) - remaining
        blocking_s = float("-inf")
        for bucket in self.buckets:
            if excess <= 0:
                return blocking_s
            blocking_s = bucket.start_s
            if bucket.start_s >= since_s:
                excess -= bucket.used + bucket.assumed * share
        return blocking_s if excess <= 0 else float("inf")

    def history(self, now_s: float) -> list[float]:
        """Return the sums over the parts of the window, oldest first."""
        return self._to_parts((*self.buckets, *self._unassumed_reports()), now_s)

    def coordinator_history(self) -> list[float]:
        """Return what the coordinator has counted, in the same form."""
        return self._to_parts(self.coordinator_buckets, self.coordinator_as_of_s)

    def record_coordinator_history(self, history: list[float], now_s: float) -> None:
        """Record what the coordinator has counted until now."""
        self.coordinator_buckets, self.coordinator_as_of_s = self._to_buckets(history, now_s), now_s
        self.begin_bucket(now_s)

    def record_node_usage(self, node: IncarnationId, history: list[float], now_s: float) -> None:
        """Replace a node's reported usage."""
        buckets = self._to_buckets(history, now_s)
        if buckets:
            self.reported[node] = buckets
        else:
            self.reported.pop(node, None)

    def take_over(self) -> None:
        """Assume what the previous coordinator has counted and this node has not."""
        if self.coordinator_as_of_s > float("-inf"):
            self.assumed_until_s = self.coordinator_as_of_s
        coordinator_used = sum(bucket.used for bucket in self.coordinator_buckets)
        missing = coordinator_used - sum(
            bucket.used + bucket.assumed
            for bucket in self.buckets
            if bucket.start_s < self.coordinator_as_of_s
        )
        if missing > 0:
            for bucket in self.coordinator_buckets:
                bucket.used *= missing / coordinator_used
            self._add_assumed(self.coordinator_buckets)
        self.coordinator_buckets, self.coordinator_as_of_s = [], float("-inf")

    def assume(self, history: list[float], until_s: float) -> None:
        """Replace the assumed usage by the sums over the parts of the window that ends at
        ``until_s``."""
        for bucket in self.buckets:
            bucket.assumed = 0.0
        self.assumed, self.assumed_until_s = 0.0, until_s
        self._add_assumed(self._to_buckets(history, until_s))

    def assume_unknown(self, amount: float, at_s: float) -> None:
        """Assume further usage at one time, until somebody knows better."""
        self._add_assumed([Bucket(at_s, used=amount)])
        self.unknown_at_s = at_s
        self.unknown = amount

    def forget_unknown(self) -> None:
        """Assume it no longer, as nodes that have run on report what was used."""
        if not self.unknown:
            return
        for bucket in self.buckets:
            if bucket.start_s == self.unknown_at_s:
                dropped = min(self.unknown, bucket.assumed)
                bucket.assumed -= dropped
                self.assumed -= dropped
                break
        self.unknown = 0.0

    def assume_full_use(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Assume that the full quota was used, at a constant rate and with the burst at the end."""
        self.assumed_until_s = now_s
        part = rate_per_s * self._bucket_s
        for number in range(BUCKETS_PER_WINDOW, 0, -1):
            self.buckets.append(Bucket(now_s - number * self._bucket_s, assumed=part))
        self.buckets[-1].assumed += burst
        self.assumed += BUCKETS_PER_WINDOW * part + burst

    @property
    def _bucket_s(self) -> float:
        return self.window_s / BUCKETS_PER_WINDOW

    def _unassumed_reports(self) -> Iterable[Bucket]:
        return (
            bucket
            for buckets in self.reported.values()
            for bucket in buckets
            if bucket.start_s > self.assumed_until_s
        )

    def _add_assumed(self, buckets: list[Bucket]) -> None:
        assumed = [Bucket(bucket.start_s, assumed=bucket.used) for bucket in buckets]
        self.buckets = deque(sorted([*assumed, *self.buckets], key=lambda item: item.start_s))
        self.assumed += sum(bucket.assumed for bucket in assumed)

    def _to_buckets(self, history: list[float], until_s: float) -> list[Bucket]:
        """Return a bucket for each part of the window that ends at ``until_s``, at the part's
        end."""
        part_s = self.window_s / HISTORY_PARTS
        return [
            Bucket(until_s - (len(history) - index - 1) * part_s, used=part)
            for index, part in enumerate(history)
            if part
        ]

    def _to_parts(self, buckets: Iterable[Bucket], until_s: float) -> list[float]:
        sums = [0.0] * HISTORY_PARTS
        part_s = self.window_s / HISTORY_PARTS
        for bucket in buckets:
            index = HISTORY_PARTS - 1 - int((until_s - bucket.start_s) / part_s)
            sums[min(max(index, 0), HISTORY_PARTS - 1)] += bucket.used + bucket.assumed
        return sums
