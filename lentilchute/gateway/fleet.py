"""Tracks the upstreams and which of them take new work; free of I/O.

Live upstreams may drop out of the platform's list during an outage of its store. They are kept for
a short time after the store's recovery, so that an empty list does not stop all services.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from ..ids import AvailabilityZone, ServiceName, UpstreamId

RELIST_GRACE_S = 2.0
"""The platform lists live upstreams again within about two seconds of the store's recovery."""


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
        self.is_known = False
        """Whether a list has been read yet."""

    def listing(self, upstream: UpstreamId) -> UpstreamListing | None:
        """Return an upstream's listing, or ``None`` if it has been removed."""
        return self._listed.get(upstream)

    def takes_work(self, upstream: UpstreamId, started_ms: int) -> bool:
        """Return whether this incarnation of an upstream may be sent new requests."""
        listing = self._listed.get(upstream)
        if listing is None or listing.started_ms != started_ms:
            return False
        return listing.state is UpstreamState.READY

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
        changes = [change for listing in listed for change in self._put(listing)]
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
        previous = self._listed.get(listing.upstream)
        self._listed[listing.upstream] = listing
        if previous is None:
            return [UpstreamChange(UpstreamChangeKind.ADDED, listing)]
        if previous.started_ms != listing.started_ms or previous.address != listing.address:
            return [UpstreamChange(UpstreamChangeKind.RESTARTED, listing)]
        if previous.state is not listing.state and listing.state is UpstreamState.LEAVING:
            return [UpstreamChange(UpstreamChangeKind.LEAVING, listing)]
        return []

    def _may_be_relisted(self, upstream: UpstreamId) -> bool:
        listing = self._listed.get(upstream)
        return listing is not None and listing.state is UpstreamState.READY

    def _remove(self, upstream: UpstreamId) -> list[UpstreamChange]:
        self._unlisted_until_s.pop(upstream, None)
        listing = self._listed.pop(upstream, None)
        return [] if listing is None else [UpstreamChange(UpstreamChangeKind.REMOVED, listing)]
