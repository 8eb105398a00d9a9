"""Which instance schedules a shard for this entry.

Membership gives the order of candidates. A candidate that leaves a message unanswered for the
ticket timeout is passed over for a while. When none is left the entry schedules for itself, within
a small share of the room.
"""

from ..ids import InstanceId

QUARANTINE_S = 5.0

FINAL_REFRESHES = 4
"""Empty refreshes for a former scheduler. The first may come too early to count: a scheduler does
not let a refresh speak about what it decided a moment ago."""


class SchedulerChoice:
    """The candidates of one shard, and the one in use."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._order: tuple[InstanceId, ...] = ()
        self._quarantined_until_s: dict[InstanceId, float] = {}
        self._pending_since_s: float | None = None
        self._final_refreshes_due: dict[InstanceId, int] = {}
        self.current: InstanceId | None = None

    def set_order(self, order: tuple[InstanceId, ...], now_s: float) -> bool:
        """Take a new order of candidates; return whether the choice changed."""
        self._order = order
        return self._select(now_s)

    def expect_reply(self, now_s: float) -> None:
        """Note that the current scheduler owes an answer."""
        if self._pending_since_s is None:
            self._pending_since_s = now_s

    def record_reply(self, scheduler: InstanceId) -> None:
        """Note a sign of life of a scheduler."""
        self._quarantined_until_s.pop(scheduler, None)
        if scheduler == self.current:
            self._pending_since_s = None

    def tick(self, now_s: float) -> bool:
        """Pass over a silent scheduler, take back a forgiven one; return whether it changed."""
        if self.current is not None and self._has_timed_out(now_s):
            self._quarantined_until_s[self.current] = now_s + QUARANTINE_S
        return self._select(now_s)

    def pop_former_schedulers(self) -> list[InstanceId]:
        """Return the former schedulers that still have to hear that nothing is held for them."""
        former = list(self._final_refreshes_due)
        for scheduler in former:
            self._final_refreshes_due[scheduler] -= 1
            if self._final_refreshes_due[scheduler] == 0:
                del self._final_refreshes_due[scheduler]
        return former

    @property
    def has_former_schedulers(self) -> bool:
        """Whether ``take_farewells`` has something to return."""
        return bool(self._final_refreshes_due)

    def next_tick_s(self) -> float:
        """Return when ``tick`` may change the choice."""
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
