"""Remembers which service and software version began each recent stream; free of I/O.

What two software versions write does not fit together, so a stream that its caller takes up again
may go on only where it began.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from ..ids import ServiceName, SoftwareVersion, StreamId

STREAM_LIFETIME_S = 30.0
"""Callers give a stream up within this time of its first event; on the platform it is 15 s."""
MAX_STREAMS = 100_000
"""Streams that are remembered; the oldest are forgotten first."""


class StreamOrigin(NamedTuple):
    """Where a stream began."""

    service: ServiceName
    version: SoftwareVersion


class _Record(NamedTuple):
    origin: StreamOrigin
    expires_s: float


class StreamOrigins:
    """The origins of this node's streams, and of those that peers have told."""

    def __init__(self) -> None:
        self._records: OrderedDict[StreamId, _Record] = OrderedDict()
        self._unshared: OrderedDict[StreamId, _Record] = OrderedDict()
        """Streams that began at this node and that peers have not been told of."""
        self._unstored: OrderedDict[StreamId, _Record] = OrderedDict()
        """Streams that began at this node and that the store doesn't hold."""

    def record_begun(self, stream: StreamId, origin: StreamOrigin, now_s: float) -> None:
        """Record a stream that has begun at this node."""
        record = _Record(origin, now_s + STREAM_LIFETIME_S)
        if _put(self._records, stream, record, now_s):
            _put(self._unshared, stream, record, now_s)
            _put(self._unstored, stream, record, now_s)

    def adopt(self, streams: Iterable[StreamId], origin: StreamOrigin, now_s: float) -> None:
        """Record streams of which a peer says where they began."""
        for stream in streams:
            _put(self._records, stream, _Record(origin, now_s + STREAM_LIFETIME_S), now_s)

    def find(self, stream: StreamId, now_s: float) -> StreamOrigin | None:
        """Return where a stream began, or ``None`` if that is not known."""
        record = self._records.get(stream)
        return None if record is None or record.expires_s <= now_s else record.origin

    def take_unshared(
        self, is_wanted: Callable[[ServiceName], bool], now_s: float
    ) -> dict[StreamOrigin, list[StreamId]]:
        """Return the streams of the wanted services that peers have not been told of, and count
        them as told."""
        return _take(self._unshared, is_wanted, now_s)

    def take_unstored(
        self, is_wanted: Callable[[ServiceName], bool], now_s: float
    ) -> dict[StreamOrigin, list[StreamId]]:
        """Return the streams of the wanted services that the store doesn't hold, and count them as
        stored."""
        return _take(self._unstored, is_wanted, now_s)

    def return_unstored(
        self, streams: Mapping[StreamOrigin, Iterable[StreamId]], now_s: float
    ) -> None:
        """Count streams as not stored after all, as far as they still matter."""
        for names in streams.values():
            for name in names:
                record = self._records.get(name)
                if record is not None:
                    _put(self._unstored, name, record, now_s)

    def remembered(self, now_s: float) -> dict[StreamOrigin, list[StreamId]]:
        """Return all streams, for a node that has just started."""
        return _by_origin(self._records, now_s)


def _put(
    records: OrderedDict[StreamId, _Record], stream: StreamId, record: _Record, now_s: float
) -> bool:
    """Add a stream unless it is known, and drop those that have expired."""
    while records:
        oldest = next(iter(records.values()))
        if oldest.expires_s > now_s and len(records) < MAX_STREAMS:
            break
        records.popitem(last=False)
    if stream in records:
        return False
    records[stream] = record
    return True


def _take(
    records: OrderedDict[StreamId, _Record], is_wanted: Callable[[ServiceName], bool], now_s: float
) -> dict[StreamOrigin, list[StreamId]]:
    """Remove the streams of the wanted services and return them."""
    found = _by_origin(records, now_s)
    wanted = {origin: names for origin, names in found.items() if is_wanted(origin.service)}
    for names in wanted.values():
        for name in names:
            del records[name]
    return wanted


def _by_origin(
    records: OrderedDict[StreamId, _Record], now_s: float
) -> dict[StreamOrigin, list[StreamId]]:
    found: dict[StreamOrigin, list[StreamId]] = {}
    for stream, record in records.items():
        if record.expires_s > now_s:
            found.setdefault(record.origin, []).append(stream)
    return found
