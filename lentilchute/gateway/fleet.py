"""Tracks the upstreams and which of them take new work; free of I/O.

Live upstreams may drop out of the platform's list during an outage of its store. They are kept for
a short time after the store's recovery, so that an empty list does not stop all services.
"""

import dataclasses
from collections.abc import Iterable
from dataclasses import field
from enum import Enum

from ..ids import AvailabilityZone, ServiceName, SoftwareVersion, UpstreamId
from ..util.lean_dataclasses import dataclass
from .departures import Departures, Incarnation

RELIST_GRACE_S = 2.0
"""The platform lists live upstreams again within about two seconds of the store's recovery."""


MAX_ANNOUNCED_LEAVING = 1_024
"""Upstreams that said that they are leaving and are remembered; the oldest are forgotten first."""


class UpstreamState(Enum):
    """State of an upstream, as it reports itself."""

    READY = "ready"
    LEAVING = "leaving"


class UpstreamChangeKind(Enum):
    """Kind of change of an upstream."""

    ADDED = "added"
    RESTARTED = "restarted"
    LEAVING = "leaving"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class UpstreamListing:
    """One upstream as the platform lists it."""

    upstream: UpstreamId
    service: ServiceName
    address: str
    zone: AvailabilityZone
    slots: int
    state: UpstreamState
    started_ms: int
    """Identifies the incarnation: a different start time under the same id is another one."""
    version: SoftwareVersion
    sequence: int | None = field(default=None, compare=False)
    """Rises with each report of the incarnation; ``None`` if the row does not say."""
    read_at: tuple[int, int] | None = field(default=None, compare=False)
    """Era of the store and version of the row from which the listing was read."""

    @property
    def incarnation(self) -> Incarnation:
        """The upstream and its start time."""
        return self.upstream, self.started_ms


@dataclass(frozen=True, slots=True)
class UpstreamChange:
    """One change of an upstream, as it is logged."""

    kind: UpstreamChangeKind
    listing: UpstreamListing


class Fleet:
    """The upstreams of all services."""

    def __init__(self) -> None:
        self._listed: dict[UpstreamId, UpstreamListing] = {}
        self._unlisted_until_s: dict[UpstreamId, float] = {}
        self._announced_leaving: dict[UpstreamId, int] = {}
        """Start times of the incarnations that said in an answer that they are leaving."""
        self._paused_until_s: dict[UpstreamId, float] = {}
        self._departures = Departures()
        self.is_known = False
        """Whether a list has been read yet."""

    def listing(self, upstream: UpstreamId) -> UpstreamListing | None:
        """Return an upstream's listing, or ``None`` if it has been removed."""
        return self._listed.get(upstream)

    def takes_work(self, upstream: UpstreamId, started_ms: int, now_s: float) -> bool:
        """Return whether this incarnation of an upstream may be sent new requests."""
        listing = self._listed.get(upstream)
        if listing is None or listing.started_ms != started_ms:
            return False
        return listing.state is UpstreamState.READY and not self.is_paused(upstream, now_s)

    def is_paused(self, upstream: UpstreamId, now_s: float) -> bool:
        """Return whether an upstream has asked for no requests until later."""
        return now_s < self._paused_until_s.get(upstream, float("-inf"))

    def mark_leaving(self, upstream: UpstreamId, started_ms: int) -> list[UpstreamChange]:
        """Record that an incarnation said itself that it is leaving.

        It stays so whatever its listing says: some upstreams never change their listing before
        they leave.
        """
        if started_ms < self._announced_leaving.get(upstream, started_ms):
            return []
        self._announced_leaving[upstream] = started_ms
        if len(self._announced_leaving) > MAX_ANNOUNCED_LEAVING:
            del self._announced_leaving[next(iter(self._announced_leaving))]
        listing = self._listed.get(upstream)
        return [] if listing is None else self._put(listing)

    def announced_leaving(self) -> dict[UpstreamId, int]:
        """Return the start times of listed incarnations that said that they are leaving."""
        return {name: at for name, at in self._announced_leaving.items() if name in self._listed}

    def begin_era(self, now_s: float) -> None:
        """Distrust rows of upstreams that had left, as the store came back from an older copy."""
        self._departures.begin_era(now_s)

    def distrusted(self, now_s: float) -> list[tuple[UpstreamId, int]]:
        """Return the departed incarnations whose rows are not trusted at present."""
        return self._departures.distrusted(now_s)

    def distrust(self, upstream: UpstreamId, started_ms: int, now_s: float) -> list[UpstreamChange]:
        """Record that an incarnation had left before the store came back, by a peer's word."""
        self._departures.record((upstream, started_ms))
        if not self._departures.distrusted(now_s):
            self._departures.begin_era(now_s)
        listing = self._listed.get(upstream)
        is_listed = listing is not None and listing.started_ms == started_ms
        return self._remove(upstream) if is_listed else []

    def is_departed(self, listing: UpstreamListing) -> bool:
        """Return whether an incarnation had left and has not returned."""
        return self._departures.has(listing.incarnation)

    def pause(self, upstream: UpstreamId, until_s: float) -> None:
        """Send an upstream nothing until a time, as it asked."""
        self._paused_until_s[upstream] = max(until_s, self._paused_until_s.get(upstream, until_s))

    def listed(self) -> list[UpstreamListing]:
        """Return all upstreams, also those that take no new work."""
        return list(self._listed.values())

    def of_service(self, service: ServiceName) -> list[UpstreamListing]:
        """Return the upstreams of a service that take new work."""
        return [
            listing
            for listing in self._listed.values()
            if listing.service == service and listing.state is UpstreamState.READY
        ]

    def apply(
        self,
        listed: Iterable[UpstreamListing],
        removed: Iterable[UpstreamId],
        now_s: float,
        *,
        after_outage: bool,
    ) -> list[UpstreamChange]:
        """Apply changed listings.

        ``after_outage`` means that the store was unavailable when the removed ones vanished; those
        that were live are kept for a grace period.
        """
        self.is_known = True
        changes = [
            change
            for listing in listed
            if self._departures.accepts(listing.incarnation, listing.sequence, now_s)
            for change in self._put(listing)
        ]
        for upstream in removed:
            if after_outage and self._may_be_relisted(upstream):
                self._unlisted_until_s.setdefault(upstream, now_s + RELIST_GRACE_S)
            else:
                changes += self._remove(upstream)
        return changes

    def replace(
        self, listed: list[UpstreamListing], now_s: float, *, after_outage: bool
    ) -> list[UpstreamChange]:
        """Apply a full list."""
        names = {listing.upstream for listing in listed}
        removed = [upstream for upstream in self._listed if upstream not in names]
        return self.apply(listed, removed, now_s, after_outage=after_outage)

    def expire(self, now_s: float) -> list[UpstreamChange]:
        """Remove upstreams that were not listed again within the grace period."""
        due = [name for name, until_s in self._unlisted_until_s.items() if until_s <= now_s]
        return [change for upstream in due for change in self._remove(upstream)]

    def _put(self, listing: UpstreamListing) -> list[UpstreamChange]:
        self._unlisted_until_s.pop(listing.upstream, None)
        if self._announced_leaving.get(listing.upstream) == listing.started_ms:
            listing = dataclasses.replace(listing, state=UpstreamState.LEAVING)
        previous = self._listed.get(listing.upstream)
        if previous is not None and _takes_back_leaving(previous, listing):
            return []
        self._listed[listing.upstream] = listing
        if previous is None or previous.started_ms != listing.started_ms:
            self._paused_until_s.pop(listing.upstream, None)
        if previous is None:
            return [UpstreamChange(UpstreamChangeKind.ADDED, listing)]
        if _is_restarted(previous, listing):
            return [UpstreamChange(UpstreamChangeKind.RESTARTED, listing)]
        if previous.state is not listing.state and listing.state is UpstreamState.LEAVING:
            return [UpstreamChange(UpstreamChangeKind.LEAVING, listing)]
        return []

    def _may_be_relisted(self, upstream: UpstreamId) -> bool:
        listing = self._listed.get(upstream)
        return listing is not None and listing.state is UpstreamState.READY

    def _remove(self, upstream: UpstreamId) -> list[UpstreamChange]:
        self._unlisted_until_s.pop(upstream, None)
        self._paused_until_s.pop(upstream, None)
        listing = self._listed.pop(upstream, None)
        if listing is not None:
            self._departures.record(listing.incarnation)
        return [] if listing is None else [UpstreamChange(UpstreamChangeKind.REMOVED, listing)]


def _takes_back_leaving(previous: UpstreamListing, listing: UpstreamListing) -> bool:
    """Return whether an older row of the same incarnation would undo its leaving."""
    if previous.state is not UpstreamState.LEAVING or previous.started_ms != listing.started_ms:
        return False
    if previous.sequence is None or listing.sequence is None:
        return False
    return listing.state is UpstreamState.READY and listing.sequence <= previous.sequence


def _is_restarted(previous: UpstreamListing, listing: UpstreamListing) -> bool:
    return (previous.started_ms, previous.address, previous.version) != (
        listing.started_ms,
        listing.address,
        listing.version,
    )
