"""The tickets of one service that wait for an upstream, in the order in which they get room; free
of I/O.

Repeats and streams that go on come first, since refusing them wastes the work already done, then
starved tiers, then by tier. Within a tier starved groups of requests come first, then those that
can still be answered within their objective, and at last those that can't: one of them must not
make another one late. Each of these begins with callers that return when they were told to, and
goes on in the order of ``RoomShares``.
"""

import bisect
from collections.abc import Callable, Hashable, Iterator
from dataclasses import field

from ..ids import Tier
from ..util.lean_dataclasses import dataclass
from .placed_shares import UPDATE_INTERVAL_S, PlacedShares
from .room_shares import Flow, RoomShares
from .tickets import Ticket

STARVED_TIER_BELOW = 0.4
"""A tier is starved if the placed fraction of its requests is below this fraction of the service's.
The platform calls a kind of request starved below a quarter."""

SHOWN_GROUPS = ("account", "zone", "route")
"""Groups with few values, as labels of metrics need them."""
COMMITTED_AFTER = 1 / 8
"""A ticket that has waited for this fraction of its objective goes before those that have not, so
that it needn't be refused so late; those without room are refused before."""

Rank = tuple[bool, bool, int, bool, bool, bool, float, float]


@dataclass(slots=True)
class Waiting:
    """A ticket that waits, and what its place in the list depends on."""

    ticket: Ticket
    first_arrived_s: float
    """Arrival of the caller's first attempt, as far as it is known."""
    service_s: float
    """Time to its first event, or its answer, at an upstream without backlog."""
    is_returning: bool = False
    """Whether the caller was refused and comes back when it was told to."""
    is_late: bool = False
    is_committed: bool = False
    place: float = 0.0
    """Its place among the shares of the tier's room."""
    groups: tuple[Flow, ...] = ()
    rank: Rank = field(default=(False, False, 0, False, False, False, 0.0, 0.0))

    def is_committed_by(self, now_s: float) -> bool:
        """Return whether a ticket has waited so long that it should not be refused."""
        ticket = self.ticket
        return now_s - ticket.queued_s >= COMMITTED_AFTER * ticket.objective_s

    @property
    def on_time_until_s(self) -> float:
        """A placement after this time is too late for the ticket's objective."""
        return self.first_arrived_s + self.ticket.objective_s - self.service_s


@dataclass(frozen=True, slots=True)
class PlacedShare:
    """Fraction of a group's recent requests that got room while others waited."""

    tier: Tier
    group: str
    value: Hashable
    share: float


class WaitingList:
    """Waiting tickets of one service, ordered by rank."""

    def __init__(self) -> None:
        self._items: list[Waiting] = []
        self._tiers: PlacedShares[Tier] = PlacedShares(STARVED_TIER_BELOW)
        self._starved_tiers: frozenset[Tier] = frozenset()
        self._shares: dict[Tier, RoomShares] = {}
        self._starved: dict[Tier, frozenset[Flow]] = {}
        self._sorted_s = float("-inf")

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[Waiting]:
        return iter(self._items)

    def record_request(self, ticket: Ticket, now_s: float) -> None:
        """Count a request that arrives for the first time."""
        self._tiers.record_request((ticket.tier,), now_s)
        shares = self._shares_of(ticket)
        shares.record_request(ticket, now_s)
        if self._items:
            shares.record_pressure(ticket, now_s)

    def record_placement(self, ticket: Ticket, now_s: float) -> None:
        """Count a request that was placed for the first time."""
        self._tiers.record_placement((ticket.tier,), now_s)
        if self._items:
            self._shares_of(ticket).record_placement(ticket, now_s)

    def has_earlier(self, item: Waiting, now_s: float) -> bool:
        """Return whether a ticket that waits goes before a new one."""
        if not self._items:
            return False
        self.sort(now_s)
        self._prepare(item, now_s)
        # A ticket that waits for another version does not hold this one up.
        version = item.ticket.version
        rivals = (each for each in self._items if each.ticket.version in (None, version))
        first = next(rivals, None)
        if first is None:
            return False
        return first.rank < item.rank

    def add(self, item: Waiting, now_s: float) -> None:
        """Add a ticket."""
        shares = self._shares_of(item.ticket)
        if not self._items and not item.ticket.is_repeat:
            shares.record_pressure(item.ticket, now_s)
        if not item.groups:
            self._prepare(item, now_s)
        shares.enter(item.ticket)
        bisect.insort(self._items, item, key=_rank_of)

    def rank_for(self, item: Waiting, now_s: float) -> int:
        """Return the number of tickets that would go before a new one."""
        if not item.groups:
            self._prepare(item, now_s)
        return bisect.bisect_left(self._items, item.rank, key=_rank_of)

    def keep(self, kept: list[Waiting], left: list[Waiting]) -> None:
        """Replace the list by a part of itself, in its order; ``left`` are the others."""
        self._items = kept
        for item in left:
            self._shares_of(item.ticket).leave(item.ticket)

    def remove(self, is_removed: Callable[[Ticket], bool]) -> None:
        """Remove tickets."""
        left = [item for item in self._items if is_removed(item.ticket)]
        if left:
            self.keep([item for item in self._items if not is_removed(item.ticket)], left)

    def sort(self, now_s: float) -> None:
        """Restore the order after a change of the starved tiers and groups."""
        if now_s - self._sorted_s < UPDATE_INTERVAL_S:
            return
        self._sorted_s = now_s
        tiers = self._tiers.starved(now_s)
        starved = {tier: shares.starved(now_s) for tier, shares in self._shares.items()}
        if tiers != self._starved_tiers or starved != self._starved:
            self._starved_tiers, self._starved = tiers, starved
            self._sort_all(now_s)

    def update(self, now_s: float) -> None:
        """Move tickets that have become late or committed since the last update."""
        for item in self._items:
            is_late = now_s > item.on_time_until_s
            if is_late != item.is_late or item.is_committed != item.is_committed_by(now_s):
                self._sort_all(now_s)
                return

    def placed_shares(self, now_s: float) -> list[PlacedShare]:
        """Return the shares of client accounts, zones and routes with enough recent requests."""
        return [
            PlacedShare(tier, group, value, share)
            for tier, shares in self._shares.items()
            for (group, value), share in shares.placed_shares(now_s).items()
            if group in SHOWN_GROUPS
        ]

    def _sort_all(self, now_s: float) -> None:
        for item in self._items:
            self._rank(item, now_s)
        self._items.sort(key=_rank_of)

    def _prepare(self, item: Waiting, now_s: float) -> None:
        """Find the place of a new ticket."""
        shares = self._shares_of(item.ticket)
        item.groups = shares.groups(item.ticket)
        item.place = shares.place(item.ticket, now_s)
        self._rank(item, now_s)

    def _rank(self, item: Waiting, now_s: float) -> None:
        ticket = item.ticket
        starved = self._starved.get(ticket.tier)
        item.is_late = now_s > item.on_time_until_s
        item.is_committed = item.is_committed_by(now_s)
        item.rank = (
            not (ticket.is_repeat or ticket.goes_on),
            ticket.tier not in self._starved_tiers,
            ticket.tier,
            not starved or starved.isdisjoint(item.groups),
            item.is_late,
            not item.is_returning,
            # Every place is at least 0.
            0.0 if item.is_committed else item.place,
            ticket.arrived_s,
        )

    def _shares_of(self, ticket: Ticket) -> RoomShares:
        shares = self._shares.get(ticket.tier)
        if shares is None:
            shares = self._shares[ticket.tier] = RoomShares()
        return shares


def _rank_of(item: Waiting) -> Rank:
    return item.rank
