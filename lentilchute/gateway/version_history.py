"""Follows which software versions each service has had lately; free of I/O.

While a service has had a single version for as long as a stream can last, every stream of it began
at that version, whoever began it.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..ids import ServiceName, SoftwareVersion
from .stream_origins import STREAM_LIFETIME_S, StreamOrigin


class GoneVersion(NamedTuple):
    """A version that no upstream of its service has any more."""

    origin: StreamOrigin
    age_s: float
    """Time since its last upstream was listed."""


class VersionHistory:
    """The versions that are listed, and those that were until a moment ago."""

    def __init__(self) -> None:
        self._listed: set[StreamOrigin] = set()
        self._gone_s: dict[StreamOrigin, float] = {}
        self._complete_since_s: float | None = None
        """Since when no version can have been missed; ``None`` before the first full list."""

    def update(self, listed: Iterable[StreamOrigin], now_s: float) -> None:
        """Replace the versions that are listed."""
        if self._complete_since_s is None:
            self._complete_since_s = now_s
        current = set(listed)
        for origin in self._listed - current:
            self._gone_s[origin] = now_s
        self._listed = current
        self._gone_s = {
            origin: gone_s
            for origin, gone_s in self._gone_s.items()
            if origin not in current and now_s - gone_s < STREAM_LIFETIME_S
        }

    def complete_for_s(self, now_s: float) -> float:
        """Return for how long no version can have been missed."""
        return 0.0 if self._complete_since_s is None else now_s - self._complete_since_s

    def gone(self, now_s: float) -> list[GoneVersion]:
        """Return the versions that have gone."""
        return [GoneVersion(origin, now_s - gone_s) for origin, gone_s in self._gone_s.items()]

    def adopt(self, gone: Iterable[GoneVersion], complete_for_s: float, now_s: float) -> None:
        """Add what a peer knows, which may have followed the services for longer."""
        for origin, age_s in gone:
            gone_s = now_s - age_s
            if origin not in self._listed:
                self._gone_s[origin] = max(gone_s, self._gone_s.get(origin, gone_s))
        if self._complete_since_s is not None:
            self._complete_since_s = min(self._complete_since_s, now_s - complete_for_s)

    def only_version(
        self, service: ServiceName, now_s: float, *, needs_certainty: bool = True
    ) -> SoftwareVersion | None:
        """Return the version that began all streams of a service that may still go on, or ``None``
        if there may be several.

        Without ``needs_certainty`` a version that went before anybody followed the service is left
        out of account.
        """
        if needs_certainty and self.complete_for_s(now_s) < STREAM_LIFETIME_S:
            return None
        recent = {
            origin for origin, gone_s in self._gone_s.items() if now_s - gone_s < STREAM_LIFETIME_S
        }
        versions = {origin.version for origin in self._listed | recent if origin.service == service}
        return next(iter(versions)) if len(versions) == 1 else None
