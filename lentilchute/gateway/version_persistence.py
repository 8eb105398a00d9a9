"""Controller that stores which versions services have, so that it outlives the end of all nodes.

While it coordinates and its list of upstreams is fresh, a node writes a record whenever the
versions change, and regularly, so that the store's history of changes reaches back to it. A node
that starts reads the record and the changes since (``version_record.py``). Without a record, or
where the history doesn't reach back, nothing is certain until a stream's lifetime has passed.
"""

from collections.abc import Mapping
from typing import Any

import trio
from result import Err

from ..events import Event, log_event
from ..ids import ServiceName, SoftwareVersion
from ..peers.message_dispatch import MessageHandler
from ..platform import stream_rows
from ..platform.store import RowWrite, StoreFault, TablePage
from .context import GatewayContext, gateway_controller
from .reading import ReadingController
from .stream_continuity import StreamContinuityController
from .stream_origins import STREAM_LIFETIME_S
from .version_record import VersionRecord, sightings_since

REFRESH_S = 6.0
"""A record is written again after this long; the store keeps its history for 20 s."""
CHECK_INTERVAL_S = 0.25
LISTED_POLL_S = 0.05
RETRY_INTERVAL_S = 0.3
READ_TRIES = 20
"""A node that runs for as long without the record has learned most of it by itself."""
CALL_NAME = "versions"

_Versions = frozenset[tuple[ServiceName, SoftwareVersion]]


@gateway_controller
class VersionPersistenceController:
    """Reads the record of versions at the start, and writes it while this node coordinates."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._store_clock_offset_s: float | None = None
        self._written: _Versions = frozenset()
        self._written_s = float("-inf")

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {}

    @property
    def _reading(self) -> ReadingController:
        return self._context.controller(ReadingController)

    @property
    def _streams(self) -> StreamContinuityController:
        return self._context.controller(StreamContinuityController)

    async def run(self) -> None:
        await self._restore()
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if self._is_due():
                await self._write()

    async def _restore(self) -> None:
        while not self._context.fleet.is_known:  # noqa: ASYNC110
            await trio.sleep(LISTED_POLL_S)
        for _ in range(READ_TRIES):
            if await self._read():
                return
            await trio.sleep(RETRY_INTERVAL_S)

    async def _read(self) -> bool:
        """Adopt the record as far as it is certain; return false if that is to be tried again."""
        requested_s = self._context.now_s()
        page = await self._context.store.read_table(stream_rows.VERSIONS_TABLE)
        if isinstance(page, Err):
            self._record_fault(page.err_value)
            return False
        self._context.metrics.record_store_call(CALL_NAME, "ok")
        self._store_clock_offset_s = page.ok_value.now_s - requested_s
        record = _find_record(page.ok_value)
        if record is None:
            if self._context.settings.first_start:
                # No stream can have begun before.
                self._streams.adopt_versions((), STREAM_LIFETIME_S)
            return True
        known = self._reading.upstreams_known()
        if known is None or known[0] != record.era:
            log_event(Event.VERSIONS_READ, is_certain=False, era=record.era)
            return True
        changes = await self._reading.read_upstream_changes(record.upstreams_version)
        if isinstance(changes, Err):
            self._record_fault(changes.err_value)
            return changes.err_value is StoreFault.HISTORY_GONE
        age_s = max(0.0, page.ok_value.now_s - record.at_s)
        seen = sightings_since(record, changes.ok_value, age_s)
        log_event(Event.VERSIONS_READ, is_certain=seen is not None, age_s=round(age_s, 3))
        if seen is not None:
            self._streams.adopt_versions(seen, record.complete_for_s + age_s)
        return True

    def _versions(self) -> _Versions:
        listed = self._context.fleet.listed()
        return frozenset((listing.service, listing.version) for listing in listed)

    def _is_due(self) -> bool:
        context = self._context
        if not context.choice.is_coordinator or not context.has_joined:
            return False
        if not self._reading.are_upstreams_fresh():
            return False
        now_s = context.now_s()
        return self._versions() != self._written or now_s - self._written_s >= REFRESH_S

    async def _write(self) -> None:
        known, versions = self._reading.upstreams_known(), self._versions()
        if known is None or self._store_clock_offset_s is None:
            return
        now_s = self._context.now_s()
        record = VersionRecord(
            at_s=now_s + self._store_clock_offset_s,
            era=known[0],
            upstreams_version=known[1],
            complete_for_s=now_s - self._streams.follows_since_s(),
            seen=self._streams.seen_versions(),
            upstreams=frozenset(item.upstream for item in self._context.fleet.listed()),
        )
        value = stream_rows.encode_versions(record)
        written = await self._context.store.write(
            (RowWrite(stream_rows.VERSIONS_TABLE, stream_rows.VERSIONS_KEY, value),)
        )
        if isinstance(written, Err):
            self._record_fault(written.err_value)
            return
        self._context.metrics.record_store_call(CALL_NAME, "ok")
        self._written, self._written_s = versions, now_s

    def _record_fault(self, fault: StoreFault) -> None:
        self._context.metrics.record_store_call(CALL_NAME, fault.value)
        log_event(Event.PLATFORM_DOWN, call=CALL_NAME, fault=fault.value)


def _find_record(page: TablePage) -> VersionRecord | None:
    found = [row for row in page.rows if row.key == stream_rows.VERSIONS_KEY]
    if not found:
        return None
    decoded = stream_rows.decode_versions(found[0].value or b"")
    if isinstance(decoded, Err):
        log_event(Event.ROW_REJECTED, table="versions", row=found[0].key, error=decoded.err_value)
        return None
    return decoded.ok_value
