"""A virtual clock that runs events in order of their time."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class VirtualClock:
    """Events by time; events at the same time run in the order in which they were added."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = itertools.count()

    def at(self, time_s: float, call: Callable[..., None], *arguments: Any) -> None:
        """Run ``call`` at a time, or now when it has passed."""
        when_s = max(time_s, self.now_s)
        heapq.heappush(self._events, (when_s, next(self._sequence), call, arguments))

    def after(self, delay_s: float, call: Callable[..., None], *arguments: Any) -> None:
        """Run ``call`` after a delay."""
        self.at(self.now_s + delay_s, call, *arguments)

    def run(self, until_s: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            when_s, _, call, arguments = heapq.heappop(self._events)
            self.now_s = when_s
            call(*arguments)
        self.now_s = until_s
