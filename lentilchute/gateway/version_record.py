"""What the store keeps of the versions of services, and what it proves later; free of I/O.

A node that starts after the end of all others knows only the upstreams that are listed then. With
the coordinator's last record and all changes of the list since, it knows every version that any
node can have used: an upstream that came and went in between has left a removal in the changes,
under an id that the record doesn't have::

    seen = sightings_since(record, changes, now_s)     # None: a version may have been missed
"""

from collections.abc import Iterable

from ..ids import ServiceName, SoftwareVersion, UpstreamId
from ..util.lean_dataclasses import dataclass
from .fleet import UpstreamListing
from .messages import VersionSighting


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """The versions of all services that were listed lately, as of one version of the list."""

    at_s: float
    """By the store's clock."""
    era: int
    """Era of the store to which ``upstreams_version`` belongs."""
    upstreams_version: int
    complete_for_s: float
    """For how long no version can have been missed."""
    seen: tuple[VersionSighting, ...]
    """Versions that are listed, with age 0, and those that went lately."""
    upstreams: frozenset[UpstreamId]
    """All that are listed."""


@dataclass(frozen=True, slots=True)
class UpstreamRowChange:
    """The last change of an upstream's row."""

    upstream: UpstreamId
    listing: UpstreamListing | None
    """``None`` if the row is gone or names no upstream to use."""


def sightings_since(
    record: VersionRecord, changes: Iterable[UpstreamRowChange], age_s: float
) -> tuple[VersionSighting, ...] | None:
    """Return all versions that any node can have used lately, or ``None`` if one may be missing.

    ``age_s`` is the age of the record. Versions that were listed at the time of the record or since
    count as listed until now.
    """
    seen: dict[tuple[ServiceName, SoftwareVersion], float] = {}
    for item in record.seen:
        seen[item.service, item.version] = item.age_s + age_s if item.age_s > 0 else 0.0
    for change in changes:
        if change.listing is not None:
            seen[change.listing.service, change.listing.version] = 0.0
        elif change.upstream not in record.upstreams:
            return None
    return tuple(
        VersionSighting(service, version, gone_for_s)
        for (service, version), gone_for_s in seen.items()
    )
