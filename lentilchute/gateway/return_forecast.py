"""Forecasts when an overloaded service has room, and when callers that it refused may return; free
of I/O."""

import math
import random
from collections import OrderedDict

from ..ids import IncarnationId
from ..util.lean_dataclasses import dataclass
from .estimates import DecayingSum, WeightedMean

DURATION_HALF_LIFE_S = 15.0
RATE_HALF_LIFE_S = 1.0
"""Overloads change within seconds."""
PRIOR_S = 0.5
"""The expected rate counts as much as what was seen for this long."""
UNKNOWN_RATE_PER_S = 1e4
"""Before any placement nothing is refused by a forecast."""
RETURN_SHARE = 0.5
"""Fraction of the room that is promised to returning callers; newcomers get the rest."""
EARLY_TOLERANCE_S = 0.05
"""A caller's clock, and its connection, may be faster than the one that the time was told on."""
LATE_TOLERANCE_S = 3.0
"""A caller that comes back later counts as a newcomer."""
MAX_PROMISES = 10_000


class RoomForecast:
    """The rate at which the waiting requests of one service find room."""

    def __init__(self) -> None:
        self._durations_s = WeightedMean(DURATION_HALF_LIFE_S)
        self._placed = DecayingSum(RATE_HALF_LIFE_S)
        self._pressure_began_s = float("inf")

    def begin_pressure(self, now_s: float) -> None:
        """Record that requests have begun to wait."""
        self._placed = DecayingSum(RATE_HALF_LIFE_S)
        self._pressure_began_s = now_s

    def record_placement(self, duration_s: float, now_s: float) -> None:
        """Record a placement, and how long it is expected to occupy its slot."""
        self._durations_s.add(duration_s, now_s)
        self._placed.add(1.0, now_s)

    def rate_per_s(self, slots: float, now_s: float) -> float:
        """Return how many waiting requests find room in a second, where ``slots`` are in use."""
        mean_s, weight = self._durations_s.read(now_s)
        if weight <= 0:
            return UNKNOWN_RATE_PER_S
        seen_for_s = max(0.0, now_s - self._pressure_began_s)
        time_constant_s = RATE_HALF_LIFE_S / math.log(2)
        effective_s = time_constant_s * (1 - math.exp(-seen_for_s / time_constant_s))
        expected_per_s = slots / max(mean_s, 1e-3)
        return (expected_per_s * PRIOR_S + self._placed.read(now_s)) / (PRIOR_S + effective_s)


@dataclass(frozen=True, slots=True)
class Promise:
    """What a refused caller was told."""

    due_s: float
    first_arrived_s: float
    """Arrival of the caller's first attempt."""


class ReturnSchedule:
    """The times at which refused callers of one service are to return."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_s = float("-inf")
        self._promises: OrderedDict[str, Promise] = OrderedDict()
        self._known_to: dict[str, IncarnationId | None] = {}
        self.promised = 0
        """Promises that were given here so far."""
        self.kept_on_time = 0
        """Callers that came back when they were told to."""
        self.came_early = 0

    def assign(self, now_s: float, earliest_s: float, latest_s: float, rate_per_s: float) -> float:
        """Return in how many seconds a refused caller is to return, between two bounds.

        Callers get successive times at the rate at which there is room for them. Once these are
        all later than the bound, the caller gets a time drawn from the whole range.
        """
        interval_s = 1.0 / max(rate_per_s * RETURN_SHARE, 1e-3)
        due_s = max(self._next_s, now_s + earliest_s) + interval_s * self._rng.random()
        if due_s > now_s + latest_s:
            return self._rng.uniform(min(earliest_s, latest_s), latest_s)
        self._next_s = max(self._next_s, now_s + earliest_s) + interval_s
        return due_s - now_s

    def promise(
        self, caller: str, promise: Promise, now_s: float, known_to: IncarnationId | None = None
    ) -> None:
        """Remember what a caller was told; ``known_to`` is a coordinator that knows it as well."""
        self.promised += 1
        self._promises[caller] = promise
        self._promises.move_to_end(caller)
        self._known_to[caller] = known_to
        while self._promises:
            oldest, kept = next(iter(self._promises.items()))
            if len(self._promises) <= MAX_PROMISES and now_s <= kept.due_s + LATE_TOLERANCE_S:
                break
            self._forget(oldest)

    def adopt(self, caller: str, promise: Promise, now_s: float) -> None:
        """Remember what another node told a caller."""
        if caller not in self._promises and now_s <= promise.due_s + LATE_TOLERANCE_S:
            self.promise(caller, promise, now_s)

    def unknown_to(self, coordinator: IncarnationId, now_s: float) -> dict[str, Promise]:
        """Return promises that a coordinator does not know of; from now on it counts as told."""
        unknown = {
            caller: promise
            for caller, promise in self._promises.items()
            if self._known_to[caller] != coordinator and now_s <= promise.due_s + LATE_TOLERANCE_S
        }
        self._known_to.update(dict.fromkeys(unknown, coordinator))
        return unknown

    def redeem(self, caller: str, now_s: float) -> Promise | None:
        """Return the promise to a caller that returns on time; any other loses it."""
        promise = self._promises.get(caller)
        if promise is None:
            return None
        self._forget(caller)
        if now_s < promise.due_s - EARLY_TOLERANCE_S:
            self.came_early += 1
            return None
        if now_s > promise.due_s + LATE_TOLERANCE_S:
            return None
        self.kept_on_time += 1
        return promise

    def _forget(self, caller: str) -> None:
        del self._promises[caller], self._known_to[caller]
