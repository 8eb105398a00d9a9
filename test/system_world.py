"""Virtual time, unreliable links between nodes, and the coverage counters of the system test."""

import heapq
import random
from collections import Counter
from collections.abc import Callable

Step = Callable[[], None]

LINK_MIN_S = 0.0005
LINK_MAX_S = 0.003
UNRELIABLE_DELAY_S = 0.4
LOSS_SHARE = 0.15
"""Share of messages that an unreliable link loses; it duplicates as many."""


class World:
    """An event queue in virtual time. All randomness comes from one seeded generator."""

    def __init__(self, seed: int, coverage: Counter[str]) -> None:
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.coverage = coverage
        self.cuts: set[tuple[str, str]] = set()
        self.is_unreliable = False
        self.last_fault_s = -1_000.0
        """Time of the last fault of a link, a process or the platform."""
        self._cut_until_s: dict[tuple[str, str], float] = {}
        self._last_arrival_s: dict[tuple[str, str], float] = {}
        self._queue: list[tuple[float, int, Step]] = []
        self._steps_queued = 0

    def at(self, time_s: float, step: Step) -> None:
        """Schedule a step at a time."""
        self._steps_queued += 1
        heapq.heappush(self._queue, (max(time_s, self.now_s), self._steps_queued, step))

    def after(self, delay_s: float, step: Step) -> None:
        """Schedule a step after a delay."""
        self.at(self.now_s + delay_s, step)

    def run_until(self, end_s: float) -> None:
        """Advance virtual time to ``end_s`` and run all steps that are due."""
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, step = heapq.heappop(self._queue)
            step()
        self.now_s = end_s

    def count(self, name: str) -> None:
        """Count one occurrence of a fault or situation."""
        self.coverage[name] += 1

    def count_fault(self, name: str) -> None:
        """Count a fault and record its time."""
        self.count(name)
        self.last_fault_s = self.now_s

    def heal_links(self) -> None:
        """Restore all links that were cut."""
        for pair in self.cuts:
            self._cut_until_s[pair] = self.now_s
        self.cuts.clear()

    def cut_until_s(self, one: str, two: str) -> float:
        """Return the time until which the link between two nodes was cut in either direction."""
        pairs = [(one, two), (two, one)]
        if any(pair in self.cuts for pair in pairs):
            return self.now_s
        return max(self._cut_until_s.get(pair, -1_000.0) for pair in pairs)

    def latency_s(self) -> float:
        """Draw the latency of a message over a working link."""
        return self.rng.uniform(LINK_MIN_S, LINK_MAX_S)

    def send(self, source: str, target: str, step: Step) -> None:
        """Deliver a message between two nodes, subject to the state of the link."""
        if (source, target) in self.cuts:
            self.count_fault("message cut off")
            return
        if not self.is_unreliable:
            # A connection preserves the order of its messages.
            arrival_s = max(
                self.now_s + self.latency_s(), self._last_arrival_s.get((source, target), 0.0)
            )
            self._last_arrival_s[source, target] = arrival_s
            self.at(arrival_s, step)
            return
        draw = self.rng.random()
        self.last_fault_s = self.now_s
        if draw < LOSS_SHARE:
            self.count("message lost")
            return
        self.after(self._unreliable_delay_s(), step)
        if draw < 2 * LOSS_SHARE:
            self.count("message duplicated")
            self.after(self._unreliable_delay_s(), step)

    def _unreliable_delay_s(self) -> float:
        if self.rng.random() < 0.5:
            return self.latency_s()
        self.count("message reordered or delayed")
        return self.rng.uniform(0.0, UNRELIABLE_DELAY_S)
