"""Virtual time, links that lose, double and delay, and the coverage counters of the system test."""

import heapq
import random
from collections import Counter
from collections.abc import Callable

Step = Callable[[], None]

LINK_MIN_S = 0.0005
LINK_MAX_S = 0.003
UNRELIABLE_DELAY_S = 0.4
LOSS_SHARE = 0.15


class World:
    """An event queue in virtual time. All chance comes from one seeded source."""

    def __init__(self, seed: int, coverage: Counter[str]) -> None:
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.coverage = coverage
        self.cuts: set[tuple[str, str]] = set()
        self.is_unreliable = False
        self.last_fault_s = -1_000.0
        """When a link, a process or the platform last did not work as it should."""
        self._cut_until_s: dict[tuple[str, str], float] = {}
        self._last_arrival_s: dict[tuple[str, str], float] = {}
        self._queue: list[tuple[float, int, Step]] = []
        self._steps_queued = 0

    def at(self, time_s: float, step: Step) -> None:
        """Run a step at a time."""
        self._steps_queued += 1
        heapq.heappush(self._queue, (max(time_s, self.now_s), self._steps_queued, step))

    def after(self, delay_s: float, step: Step) -> None:
        """Run a step after a delay."""
        self.at(self.now_s + delay_s, step)

    def run_until(self, end_s: float) -> None:
        """Run all steps up to a time."""
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, step = heapq.heappop(self._queue)
            step()
        self.now_s = end_s

    def count(self, name: str) -> None:
        """Count that a fault or a situation was reached."""
        self.coverage[name] += 1

    def count_fault(self, name: str) -> None:
        """Count a fault and note its time."""
        self.count(name)
        self.last_fault_s = self.now_s

    def heal_links(self) -> None:
        """Let all links carry messages again."""
        for pair in self.cuts:
            self._cut_until_s[pair] = self.now_s
        self.cuts.clear()

    def cut_until_s(self, one: str, two: str) -> float:
        """Return until when the link between two nodes was cut in either direction."""
        pairs = [(one, two), (two, one)]
        if any(pair in self.cuts for pair in pairs):
            return self.now_s
        return max(self._cut_until_s.get(pair, -1_000.0) for pair in pairs)

    def latency_s(self) -> float:
        """Draw the time that a message takes over a link in order."""
        return self.rng.uniform(LINK_MIN_S, LINK_MAX_S)

    def send(self, source: str, target: str, step: Step) -> None:
        """Carry a message between two nodes, as far as the link allows."""
        if (source, target) in self.cuts:
            self.count_fault("message cut off")
            return
        if not self.is_unreliable:
            # A connection keeps the order of its messages.
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
            self.count("message doubled")
            self.after(self._unreliable_delay_s(), step)

    def _unreliable_delay_s(self) -> float:
        if self.rng.random() < 0.5:
            return self.latency_s()
        self.count("message reordered or delayed")
        return self.rng.uniform(0.0, UNRELIABLE_DELAY_S)
