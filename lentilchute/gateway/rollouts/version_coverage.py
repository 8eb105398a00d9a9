"""Tells which software versions a node may use: it must know the orders that were given before the
version's upstreams started; free of I/O.

Rows of all tables share one counter of versions, so a copy of the operator's table that is complete
up to the version at which an upstream was first seen holds every order from before its start.
"""

from collections.abc import Callable, Iterable

from ...ids import ServiceName, SoftwareVersion
from ..fleet import UpstreamListing

ReadMark = tuple[int, int]
"""Era of the store and version of a row or table in it."""


class VersionCoverage:
    """The versions of each service's upstreams, and which of them are covered."""

    def __init__(self, operator_rows_known: Callable[[], ReadMark | None]) -> None:
        self._operator_rows_known = operator_rows_known
        self._waiting: dict[tuple[ServiceName, SoftwareVersion], ReadMark] = {}
        self._covered: set[tuple[ServiceName, SoftwareVersion]] = set()

    def update(self, listed: Iterable[UpstreamListing]) -> None:
        """Replace the upstreams that are listed."""
        present: dict[tuple[ServiceName, SoftwareVersion], ReadMark] = {}
        for listing in listed:
            found = (listing.service, listing.version)
            mark = listing.read_at or (0, 0)
            present[found] = min(mark, present.get(found, mark))
        services = {service for service, _ in present}
        # A version may come back by a later order. One that is missing together with all others
        # of its service has crashed, or the store has lost its rows.
        self._covered = {
            each for each in self._covered if each in present or each[0] not in services
        }
        self._waiting = {
            found: self._waiting.get(found, mark)
            for found, mark in present.items()
            if found not in self._covered
        }

    def covers(self, service: ServiceName, version: SoftwareVersion) -> bool:
        """Return whether this node knows every order from before the version's upstreams
        started."""
        found = (service, version)
        if found in self._covered:
            return True
        mark, known = self._waiting.get(found), self._operator_rows_known()
        if mark is None or known is None or known < mark:
            return False
        del self._waiting[found]
        self._covered.add(found)
        return True

    def has_waiting(self, service: ServiceName) -> bool:
        """Return whether some listed version of a service is not covered yet."""
        waiting = [version for each, version in self._waiting if each == service]
        return any(not self.covers(service, version) for version in waiting)

    def versions(self, service: ServiceName) -> set[SoftwareVersion]:
        """Return the versions of a service that are listed, or were when all of it vanished."""
        return {version for each, version in (*self._waiting, *self._covered) if each == service}
