"""Virtual times of weighted fair queueing; free of I/O.

Each flow has a virtual time that advances with the work granted to it, divided by its weight. The
flow with the lowest virtual time is served next. A flow that becomes active starts at the current
virtual time, so that it can't accumulate credit while idle.
"""

from collections.abc import Hashable
from typing import Generic, TypeVar

Flow = TypeVar("Flow", bound=Hashable)


class VirtualTimes(Generic[Flow]):
    """Virtual times of flows, and the current virtual time."""

    def __init__(self) -> None:
        self._times: dict[Flow, float] = {}
        self._now = 0.0

    @property
    def now(self) -> float:
        """The current virtual time."""
        return self._now

    def advance(self, time: float) -> None:
        """Advance the current virtual time, which never goes back."""
        self._now = max(self._now, time)

    def of(self, flow: Flow) -> float:
        """Return a flow's virtual time."""
        return max(self._times.get(flow, 0.0), self._now)

    def charge(self, flow: Flow, work: float) -> float:
        """Advance a flow's virtual time by work that is divided by its weight; return it."""
        charged = self._times[flow] = self.of(flow) + work
        return charged

    def forget_idle(self) -> None:
        """Forget the flows that are not ahead of the current virtual time."""
        self._times = {flow: time for flow, time in self._times.items() if time > self._now}
