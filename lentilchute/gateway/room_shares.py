"""Shares the room of an overloaded service among those who ask for it; free of I/O.

The flows of a request are its client account, availability zone, route and subject. Each flow is
entitled to room in proportion to its usual share of the requests, so one that sends many times
its usual takes the room from itself first. A flow, or a class of sizes, of which too few requests
were placed nevertheless goes before the others.
"""

import bisect
from collections import Counter, deque
from collections.abc import Hashable

from ..util.virtual_times import VirtualTimes
from .decaying_counts import DecayingCounts
from .placed_shares import PlacedShares
from .tickets import Ticket

Flow = tuple[str, Hashable]
"""A property that groups requests, and its value."""
ALL_REQUESTS: Flow = ("all", None)
FLOW_GROUPS = ("account", "zone", "route", "subject")

USUAL_HALF_LIFE_S = 60.0
"""What is usual changes slowly: a client account's peak lasts for several seconds."""
MIN_WEIGHT = 0.02
"""Weight of a flow that is seldom seen; one in fifty, about as many as there are accounts."""
FORGET_BELOW = 0.05
"""A flow with fewer recent requests is forgotten."""
FORGET_INTERVAL_S = 10.0
CLOCK_INTERVAL_S = 0.1
"""Interval between updates of weights and virtual times, which change over seconds."""
PRESSURE_GAP_S = 4.0
"""What a flow got in an overload that ended longer ago no longer counts."""
STARVED_FLOW_BELOW = 0.4
"""A flow is starved if the placed fraction of its requests is below this fraction of its tier's.
The platform calls an account or a kind of request starved below a quarter."""
STARVED_SIZE_BELOW = 0.65
"""The same for a class of sizes, which the platform calls starved below a half."""
SIZE_SAMPLES = 200
SIZES_BETWEEN_RANKINGS = 25
SIZE_QUANTILES = (0.7, 0.9)
"""The largest tenth of a kind of request, and the fifth below it, are classes of their own."""


class RoomShares:
    """Requests of one tier of a service, and the room that each of their flows has had."""

    def __init__(self) -> None:
        self._usual: DecayingCounts[Flow] = DecayingCounts(USUAL_HALF_LIFE_S)
        self._forgotten_s = 0.0
        self._weights: dict[Flow, float] = {}
        """Weights that were computed a moment ago."""
        self._weighed_s = 0.0
        self._times = {group: VirtualTimes[Hashable]() for group in FLOW_GROUPS}
        self._clock_set_s = 0.0
        self._grants = 0.0
        self._granted_s = float("-inf")
        self._waiting: dict[str, Counter[Hashable]] = {group: Counter() for group in FLOW_GROUPS}
        self._placed_flows: PlacedShares[Flow] = PlacedShares(STARVED_FLOW_BELOW)
        self._placed_sizes: PlacedShares[Flow] = PlacedShares(STARVED_SIZE_BELOW)
        self._sizes: dict[str | None, SizeClasses] = {}

    def record_request(self, ticket: Ticket, now_s: float) -> None:
        """Count a request towards what is usual for its flows."""
        self._usual.add((ALL_REQUESTS, *_flows(ticket)), now_s)
        self._sizes.setdefault(ticket.route, SizeClasses()).record(ticket.size)
        if now_s - self._forgotten_s >= FORGET_INTERVAL_S:
            self._forgotten_s = now_s
            self._forget(now_s)

    def record_pressure(self, ticket: Ticket, now_s: float) -> None:
        """Count a request that arrives while others wait."""
        self._placed_flows.record_request(_flows(ticket), now_s)
        self._placed_sizes.record_request((self._size_class(ticket),), now_s)

    def place(self, ticket: Ticket, now_s: float) -> float:
        """Return the place of a ticket that begins to wait among those of its tier.

        It is the number of grants after which all of the ticket's flows would be entitled to room
        if everyone went on to send the usual.
        """
        ahead = 0.0
        for group, key in _flows(ticket):
            times = self._times[group]
            queued = self._waiting[group][key] / self._weight((group, key), now_s)
            ahead = max(ahead, times.of(key) - times.now + queued)
        return self._grants + ahead

    def enter(self, ticket: Ticket) -> None:
        """Count a ticket that begins to wait."""
        for group, key in _flows(ticket):
            self._waiting[group][key] += 1

    def leave(self, ticket: Ticket) -> None:
        """Count a ticket that waits no longer, whatever the reason."""
        for group, key in _flows(ticket):
            self._waiting[group][key] -= 1
            if self._waiting[group][key] <= 0:
                del self._waiting[group][key]

    def record_placement(self, ticket: Ticket, now_s: float) -> None:
        """Count the room that a ticket got while others waited."""
        if now_s - self._granted_s >= PRESSURE_GAP_S:
            self._times = {group: VirtualTimes[Hashable]() for group in FLOW_GROUPS}
        self._granted_s = now_s
        self._grants += 1.0
        for group, key in _flows(ticket):
            self._times[group].charge(key, 1.0 / self._weight((group, key), now_s))
        self._placed_flows.record_placement(_flows(ticket), now_s)
        self._placed_sizes.record_placement((self._size_class(ticket),), now_s)
        if now_s - self._clock_set_s >= CLOCK_INTERVAL_S:
            self._clock_set_s = now_s
            self._set_clocks()

    def starved(self, now_s: float) -> frozenset[Flow]:
        """Return the groups that go before the others of their tier."""
        return self._placed_flows.starved(now_s) | self._placed_sizes.starved(now_s)

    def placed_shares(self, now_s: float) -> dict[Flow, float]:
        """Return the placed fraction of each flow's recent requests."""
        return self._placed_flows.shares(now_s)

    def groups(self, ticket: Ticket) -> tuple[Flow, ...]:
        """Return the flows of a ticket, and its class of size."""
        return *_flows(ticket), self._size_class(ticket)

    def _size_class(self, ticket: Ticket) -> Flow:
        sizes = self._sizes.get(ticket.route)
        size_class = 0 if sizes is None else sizes.class_of(ticket.size)
        return "size", (ticket.route, size_class)

    def _set_clocks(self) -> None:
        """Advance the virtual times to those of the waiting flows that are furthest behind."""
        for group, times in self._times.items():
            if self._waiting[group]:
                times.advance(min(times.of(key) for key in self._waiting[group]))

    def _weight(self, flow: Flow, now_s: float) -> float:
        if now_s - self._weighed_s >= CLOCK_INTERVAL_S:
            self._weighed_s = now_s
            self._weights.clear()
        weight = self._weights.get(flow)
        if weight is None:
            total = max(self._usual.read(ALL_REQUESTS, now_s), 1.0)
            weight = max(MIN_WEIGHT, self._usual.read(flow, now_s) / total)
            self._weights[flow] = weight
        return weight

    def _forget(self, now_s: float) -> None:
        for times in self._times.values():
            times.forget_idle()
        usual = self._usual.read_all(now_s)
        self._usual.forget([flow for flow, count in usual.items() if count < FORGET_BELOW])


class SizeClasses:
    """Classes of the requests of one route by their size among recent ones."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=SIZE_SAMPLES)
        self._recorded = 0
        self._bounds: list[float] = []

    def record(self, size: float) -> None:
        """Record the size of a request."""
        self._recent.append(size)
        self._recorded += 1
        if self._recorded % SIZES_BETWEEN_RANKINGS == 0:
            ranked = sorted(self._recent)
            self._bounds = [ranked[int(share * len(ranked))] for share in SIZE_QUANTILES]

    def class_of(self, size: float) -> int:
        """Return 2 for the largest tenth, 1 for the fifth below it, 0 for others."""
        return bisect.bisect_left(self._bounds, size)


def _flows(ticket: Ticket) -> tuple[Flow, ...]:
    return (
        ("account", ticket.account),
        ("zone", ticket.zone),
        ("route", ticket.route),
        ("subject", ticket.subject),
    )
