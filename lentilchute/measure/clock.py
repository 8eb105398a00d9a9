"""A virtual clock for discrete-event simulation."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class VirtualClock:
    """Runs scheduled calls in time order; calls for the same time run in insertion order."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = itertools.count()

    def at(self, time_s: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call at a time, or at the current time if that time has passed."""
        when_s = max(time_s, self.now_s)
        heapq.heappush(self._events, (when_s, next(self._sequence), call, arguments))

    def after(self, delay_s: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call after a delay."""
        self.at(self.now_s + delay_s, call, *arguments)

    def run(self, until_s: float) -> None:
        """Run all calls scheduled up to and including a time, and set the clock to that time."""
        while self._events and self._events[0][0] <= until_s:
            when_s, _, call, arguments = heapq.heappop(self._events)
            self.now_s = when_s
            call(*arguments)
        self.now_s = until_s
