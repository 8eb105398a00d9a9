"""Selects the instance that schedules a shard for this entry.

Membership gives the order of candidates. The scheduler in use is quarantined if a message awaits a
reply and none of its messages about the shard arrives within the ticket timeout. While no candidate
is left, the entry schedules locally, within a small share of the upstreams' capacity.
"""

from ..ids import InstanceId

QUARANTINE_S = 5.0
"""Time for which an unresponsive candidate is not used, unless it sends a message before."""

FINAL_REFRESHES = 4
"""Empty refreshes sent to a former scheduler, so that it drops this entry's requests.

One is not enough: a scheduler ignores a refresh for requests that it has only just received or
decided on.
"""


class SchedulerChoice:
    """The scheduler candidates of one shard, and the one in use."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._order: tuple[InstanceId, ...] = ()
        self._quarantined_until_s: dict[InstanceId, float] = {}
        self._pending_since_s: float | None = None
        self._final_refreshes_due: dict[InstanceId, int] = {}
        self.current: InstanceId | None = None

    def set_order(self, order: tuple[InstanceId, ...], now_s: float) -> bool:
        """Set the order of candidates; return whether the scheduler in use changed."""
        self._order = order
        return self._select(now_s)

    def expect_reply(self, now_s: float) -> None:
        """Record that a message to the current scheduler awaits a reply; only the first counts."""
        if self._pending_since_s is None:
            self._pending_since_s = now_s

    def record_reply(self, scheduler: InstanceId) -> None:
        """Record a message from a scheduler, which counts as a reply and ends its quarantine."""
        self._quarantined_until_s.pop(scheduler, None)
        if scheduler == self.current:
            self._pending_since_s = None

    def tick(self, now_s: float) -> bool:
        """Start and end quarantines that are due; return whether the scheduler in use changed."""
        if self.current is not None and self._has_timed_out(now_s):
            self._quarantined_until_s[self.current] = now_s + QUARANTINE_S
        return self._select(now_s)

    def pop_former_schedulers(self) -> list[InstanceId]:
        """Return the former schedulers that are due another empty refresh, and count it as sent."""
        former = list(self._final_refreshes_due)
        for scheduler in former:
            self._final_refreshes_due[scheduler] -= 1
            if self._final_refreshes_due[scheduler] == 0:
                del self._final_refreshes_due[scheduler]
        return former

    @property
    def has_former_schedulers(self) -> bool:
        """Whether ``pop_former_schedulers`` has schedulers to return."""
        return bool(self._final_refreshes_due)

    def next_tick_s(self) -> float:
        """Return when ``tick`` may next change the scheduler in use; infinity for never."""
        times = list(self._quarantined_until_s.values())
        if self._pending_since_s is not None:
            times.append(self._pending_since_s + self._timeout_s)
        return min(times, default=float("inf"))

    def _has_timed_out(self, now_s: float) -> bool:
        return (
            self._pending_since_s is not None and now_s >= self._pending_since_s + self._timeout_s
        )

    def _select(self, now_s: float) -> bool:
        for scheduler, until_s in list(self._quarantined_until_s.items()):
            if now_s >= until_s:
                del self._quarantined_until_s[scheduler]
        candidates = (
            instance for instance in self._order if instance not in self._quarantined_until_s
        )
        chosen = next(candidates, None)
        if chosen == self.current:
            return False
        if self.current is not None:
            self._final_refreshes_due[self.current] = FINAL_REFRESHES
        if chosen is not None:
            self._final_refreshes_due.pop(chosen, None)
        self.current = chosen
        self._pending_since_s = None
        return True
