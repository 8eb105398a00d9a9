"""Controller that keeps this node's copies of the configuration and the list of upstreams fresh."""

import dataclasses
import math
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import trio
from result import Err, Result

from ..events import Event, log_event
from ..ids import InstanceId, UpstreamId
from ..peers.message_dispatch import MessageHandler
from ..platform import rows
from ..platform.store import StoreFault, StoreRow, TablePage
from ..util.shared_ticks import sleep_to_tick
from .context import GatewayContext, gateway_controller
from .fleet import UpstreamChange, UpstreamChangeKind, UpstreamListing
from .messages import ChangedRow, ConfigRelay, TableChanges
from .table_freshness import TableCopy
from .version_record import UpstreamRowChange

CHECK_INTERVAL_S = 0.25
"""Interval between checks for a pause of the process; a small fraction of the lag allowed for the
copies."""
RETRY_INTERVAL_S = 0.3
"""Delay after a failed read."""
MAX_RETRY_INTERVAL_S = 1.2
"""The delay of most nodes doubles up to this, so that an outage causes few calls."""
PERSISTENT_READERS = 3
"""The first readers in order go on at the shortest delay; they tell the others of the recovery."""
MAX_BROADCAST_BYTES = 8_192
"""Each node reads larger changes itself: traffic between zones costs more than a call."""
CONFIG_RELAY_INTERVAL_S = 1.0
"""A peer that has served an older configuration for this long gets the one in force; by then it
should have read it."""
CONFIRM_INTERVAL_S = 0.05
"""Interval between reads that confirm the list of upstreams, for each ``CONFIRM_NODES`` nodes."""
CONFIRM_NODES = 16
MAX_CONFIRM_INTERVAL_S = 0.2
MIN_PAUSE_S = 0.5
"""A loop that was delayed by more than this, or clocks that diverge by more, indicate a pause."""

_EVENT_OF_CHANGE = {
    UpstreamChangeKind.ADDED: Event.UPSTREAM_ADDED,
    UpstreamChangeKind.RESTARTED: Event.UPSTREAM_ADDED,
    UpstreamChangeKind.LEAVING: Event.UPSTREAM_LEAVING,
    UpstreamChangeKind.REMOVED: Event.UPSTREAM_REMOVED,
}


@dataclass(slots=True)
class _Table:
    copy: TableCopy
    apply_rows: Callable[[list[StoreRow], bool, bool], None]
    """Applies changed rows, given whether they are the full table and whether the store was
    unavailable."""
    take_news: Callable[[Iterable[StoreRow]], list[StoreRow]]
    """Takes in rows up to whose version the copy is complete; returns those that say something new
    to a peer whose copy was complete before them."""
    is_unavailable: bool = False
    was_read: bool = False
    """Whether the table has been read in full, in any era."""
    read_requested: trio.Event = field(default_factory=trio.Event)
    """Set when the copy must be read before it is due."""
    was_refreshed: trio.Event = field(default_factory=trio.Event)
    """Set when the copy has become complete as of a later time."""

    def mark_stale(self) -> None:
        """Mark the copy as stale and request a read."""
        self.copy.mark_stale()
        self.read_requested.set()

    def report_refresh(self) -> None:
        """Wake those that wait for a fresher copy."""
        self.was_refreshed.set()
        self.was_refreshed = trio.Event()


@gateway_controller
class ReadingController:
    """Reads the store's tables when they are due and broadcasts changes."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        reading = context.settings.reading
        self._config = _Table(TableCopy(rows.CONFIG_TABLE, reading), self._apply_config, list)
        self._upstreams = _Table(
            TableCopy(rows.UPSTREAMS_TABLE, reading), self._apply_upstreams, self._take_listings
        )
        self._tables = {table.copy.table: table for table in (self._config, self._upstreams)}
        self._announced: dict[str, UpstreamListing] = {}
        self._config_value: bytes | None = None
        self._config_relayed_s: dict[InstanceId, float] = {}
        self._confirmed_s = float("-inf")
        """When a read of the upstreams was last requested to confirm the list."""
        context.store.era_listeners.append(self._begin_era)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {TableChanges: self._on_table_changes, ConfigRelay: self._on_config_relay}

    def ages_s(self, now_s: float) -> dict[str, float]:
        """Return the age of each table's copy; a table that has not been read is left out."""
        ages = {name: table.copy.age_s(now_s) for name, table in self._tables.items()}
        return {name: age_s for name, age_s in ages.items() if age_s != float("inf")}

    def operator_rows_known(self) -> tuple[int, int] | None:
        """Return the store's era and the version up to which this node knows the operator's
        table."""
        version = self._config.copy.version
        return None if version is None else (self._context.store.era, version)

    def upstreams_known(self) -> tuple[int, int] | None:
        """Return the store's era and the version up to which this node knows the upstreams."""
        version = self._upstreams.copy.version
        return None if version is None else (self._context.store.era, version)

    def are_upstreams_fresh(self) -> bool:
        """Return whether the list of upstreams is not behind those of other nodes."""
        age_s = self._upstreams.copy.age_s(self._context.now_s())
        return age_s <= self._context.settings.reading.notice_within_s

    def knows_upstreams_since(self, since_s: float) -> bool:
        """Return whether this node knows all upstreams that were listed at a time."""
        now_s = self._context.now_s()
        return now_s - self._upstreams.copy.age_s(now_s) >= since_s

    async def confirm_upstreams(self, since_s: float) -> None:
        """Wait until this node knows all upstreams that were listed at a time, a moment ago.

        All that wait share a read, and reads keep an interval that grows with the fleet.
        """
        nodes = len(self._context.membership.present()) + 1
        interval_s = min(
            CONFIRM_INTERVAL_S * math.ceil(nodes / CONFIRM_NODES), MAX_CONFIRM_INTERVAL_S
        )
        while not self.knows_upstreams_since(since_s):
            due_s = self._confirmed_s + interval_s
            if self._context.now_s() < due_s:
                await trio.sleep_until(due_s)
                continue
            self._confirmed_s = self._context.now_s()
            self._upstreams.mark_stale()
            await self._upstreams.was_refreshed.wait()

    async def read_upstream_changes(
        self, after_version: int
    ) -> Result[tuple[UpstreamRowChange, ...], StoreFault]:
        """Return the last changes of upstreams' rows after a version of the store."""
        result = await self._context.store.read_changes(rows.UPSTREAMS_TABLE, after_version)
        return result.map(
            lambda page: tuple(
                UpstreamRowChange(UpstreamId(row.key), self._decode_upstream(row))
                for row in page.rows
            )
        )

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_pauses)
            for table in self._tables.values():
                nursery.start_soon(self._follow, table)

    def relay_config(self, instance: InstanceId, version: int) -> None:
        """Send the configuration in force to a peer that serves an older ``version``.

        A peer that starts after the store has come back from an older copy finds an old
        configuration there, whose keys may have been withdrawn.
        """
        context, now_s = self._context, self._context.now_s()
        if context.config is None or self._config_value is None:
            return
        if version >= context.config.version:
            self._config_relayed_s.pop(instance, None)
            return
        due_s = self._config_relayed_s.setdefault(instance, now_s + CONFIG_RELAY_INTERVAL_S)
        if now_s >= due_s:
            self._config_relayed_s[instance] = now_s + CONFIG_RELAY_INTERVAL_S
            context.post(instance, ConfigRelay(self._config_value))

    def _on_config_relay(self, _sender: InstanceId, message: ConfigRelay) -> None:
        self._apply_config([StoreRow(rows.CONFIG_KEY, 0, message.value)], False, False)

    def _begin_era(self) -> None:
        """Read everything again, as the store has come back from an older copy."""
        now_s = self._context.now_s()
        log_event(Event.STORE_RESTORED, era=self._context.store.era)
        self._context.fleet.begin_era(now_s)
        for table in self._tables.values():
            table.copy.begin_era(now_s)
            table.read_requested.set()

    async def _follow(self, table: _Table) -> None:
        failures = 0
        while True:
            is_due = table.copy.is_due(self._rank(), self._context.now_s())
            if is_due and await self._read(table):
                failures = 0
            elif is_due:
                await trio.sleep(self._retry_delay_s(failures))
                failures += 1
            with trio.move_on_after(table.copy.due_in_s(self._rank(), self._context.now_s())):
                await table.read_requested.wait()

    def _retry_delay_s(self, failures: int) -> float:
        """Return the delay before the next read, after this many earlier failures in a row."""
        is_persistent = self._rank() < PERSISTENT_READERS
        delay_s = RETRY_INTERVAL_S if is_persistent else RETRY_INTERVAL_S * 2.0 ** min(failures, 8)
        return min(delay_s, MAX_RETRY_INTERVAL_S) * (1 + self._context.rng.random())

    async def _watch_pauses(self) -> None:
        last_s = self._context.now_s()
        last_offset_s = _suspended_s()
        while True:
            await sleep_to_tick(CHECK_INTERVAL_S)
            now_s, offset_s = self._context.now_s(), _suspended_s()
            pause_s = max(now_s - last_s - CHECK_INTERVAL_S, offset_s - last_offset_s)
            last_s, last_offset_s = now_s, offset_s
            if pause_s > MIN_PAUSE_S:
                log_event(Event.NODE_PAUSED, paused_s=round(pause_s, 3))
                for table in self._tables.values():
                    table.mark_stale()
                await self._context.connections.close_idle()
            self._expire_upstreams(now_s)

    def _expire_upstreams(self, now_s: float) -> None:
        changes = self._context.fleet.expire(now_s)
        if changes:
            self.announce(changes)

    def _rank(self) -> int:
        context = self._context
        alive = [info.instance for info in context.membership.alive(context.now_s())]
        return alive.index(context.instance) if context.instance in alive else len(alive)

    async def _read(self, table: _Table) -> bool:
        copy = table.copy
        requested_s = self._context.now_s()
        base = copy.version
        if base is None:
            result = await self._context.store.read_table(copy.table)
        else:
            result = await self._context.store.read_changes(copy.table, base)
        if isinstance(result, Err):
            self._context.metrics.record_store_call(f"read-{copy.table}", result.err_value.value)
            self._record_fault(table, result.err_value)
            return False
        self._context.metrics.record_store_call(f"read-{copy.table}", "ok")
        self._record_success(table)
        table.read_requested = trio.Event()
        page = result.ok_value
        has_begun_era = base is not None and copy.version is None
        if page.era != self._context.store.era or has_begun_era:
            # The versions of this page belong to an era that has ended.
            return True
        if base is not None:
            # Peers may have told of changes while the read was under way.
            base = copy.version
        copy.record_read(page.version, requested_s, self._context.now_s())
        after_outage = copy.is_after_outage(self._context.now_s())
        self._apply_page(table, page, base, requested_s, after_outage)
        return True

    def _apply_page(
        self,
        table: _Table,
        page: TablePage,
        base: int | None,
        requested_s: float,
        after_outage: bool,
    ) -> None:
        # A row that a peer has named is no news here, but may be to those that this node tells.
        changed = table.take_news(page.rows)
        newer = table.copy.accept_newer(page.rows)
        # All rows of a full read are applied: a row that is missing from it has been removed.
        updated_rows = list(page.rows) if base is None else newer
        table.apply_rows(updated_rows, base is None, after_outage)
        table.report_refresh()
        if base is None:
            table.was_read = True
            return
        if not self._context.has_joined:
            # It may take itself for the first reader only since it knows few of its peers.
            return
        size = sum(len(row.value or b"") for row in changed)
        is_partial = size > MAX_BROADCAST_BYTES
        message = TableChanges(
            table_name=table.copy.table,
            base=base,
            version=page.version,
            age_s=self._context.now_s() - requested_s,
            rows=tuple(
                ChangedRow(row.key, row.version, row.value or b"", row.value is None)
                for row in (() if is_partial else changed)
            ),
            is_partial=is_partial,
            after_outage=after_outage,
            era=page.era,
        )
        self._context.broadcast(message)

    def _on_table_changes(self, _sender: InstanceId, message: TableChanges) -> None:
        table = self._tables.get(message.table_name)
        if table is None or message.era < self._context.store.era:
            return
        self._context.store.learn_era(message.era)
        if message.is_partial:
            if message.version > (table.copy.version or 0):
                table.mark_stale()
            return
        as_of_s = self._context.now_s() - message.age_s
        is_complete = table.copy.record_peer_changes(message.base, message.version, as_of_s)
        if not is_complete and not table.was_read:
            return
        received = [
            StoreRow(row.key, row.version, None if row.removed else row.value)
            for row in message.rows
        ]
        if is_complete:
            table.take_news(received)
        newer = table.copy.accept_newer(received)
        if newer:
            after_outage = message.after_outage or table.copy.is_after_outage(self._context.now_s())
            table.apply_rows(newer, False, after_outage)
        if is_complete:
            table.report_refresh()

    def _record_fault(self, table: _Table, fault: StoreFault) -> None:
        if fault is StoreFault.HISTORY_GONE:
            table.copy.mark_history_lost()
        else:
            table.copy.record_failure(self._context.now_s())
        if not table.is_unavailable:
            table.is_unavailable = True
            log_event(
                Event.PLATFORM_DOWN,
                call=f"read-{table.copy.table}",
                fault=fault.value,
                age_s=round(min(table.copy.age_s(self._context.now_s()), 1e6), 3),
            )

    def _record_success(self, table: _Table) -> None:
        if table.is_unavailable:
            table.is_unavailable = False
            log_event(Event.PLATFORM_BACK, call=f"read-{table.copy.table}")

    def _apply_config(
        self, updated_rows: list[StoreRow], _is_full: bool, _after_outage: bool
    ) -> None:
        for notify in self._context.operator_row_listeners:
            notify(updated_rows)
        for row in updated_rows:
            if row.key != rows.CONFIG_KEY or row.value is None:
                continue
            decoded = rows.decode_config(row.value)
            if isinstance(decoded, Err):
                log_event(Event.CONFIG_REJECTED, version=row.version, error=decoded.err_value)
                continue
            config = decoded.ok_value
            context = self._context
            if context.config is not None and config.version <= context.config.version:
                continue
            context.config = config
            self._config_value = row.value
            log_event(
                Event.CONFIG_IN_FORCE,
                version=config.version,
                row_version=row.version,
                routes=len(config.routes),
                accounts=len(config.accounts),
            )
            for listener in context.config_listeners:
                listener(config)

    def _take_listings(self, complete_rows: Iterable[StoreRow]) -> list[StoreRow]:
        """Return the rows of upstreams that differ from what was known, or that have left."""
        changed: list[StoreRow] = []
        is_departed = self._context.fleet.is_departed
        for row in complete_rows:
            listing = self._decode_upstream(row)
            if listing is None:
                self._announced.pop(row.key, None)
                changed.append(row)
            elif self._announced.get(row.key) != listing or is_departed(listing):
                self._announced[row.key] = listing
                changed.append(row)
        return changed

    def _apply_upstreams(
        self, updated_rows: list[StoreRow], is_full: bool, after_outage: bool
    ) -> None:
        listed: list[UpstreamListing] = []
        removed: list[UpstreamId] = []
        for row in updated_rows:
            listing = self._decode_upstream(row)
            if listing is None:
                removed.append(UpstreamId(row.key))
            else:
                listed.append(listing)
        fleet, now_s = self._context.fleet, self._context.now_s()
        if is_full:
            changes = fleet.replace(listed, now_s, after_outage=after_outage)
        else:
            changes = fleet.apply(listed, removed, now_s, after_outage=after_outage)
        if changes:
            self.announce(changes)

    def _decode_upstream(self, row: StoreRow) -> UpstreamListing | None:
        if row.value is None:
            return None
        decoded = rows.decode_upstream(row.key, row.value)
        if isinstance(decoded, Err):
            log_event(Event.ROW_REJECTED, table="upstreams", row=row.key, error=decoded.err_value)
            return None
        return dataclasses.replace(decoded.ok_value, read_at=(self._context.store.era, row.version))

    def announce(self, changes: list[UpstreamChange]) -> None:
        """Log changes of upstreams and tell the listeners."""
        for change in changes:
            log_event(
                _EVENT_OF_CHANGE[change.kind],
                upstream=change.listing.upstream,
                service=change.listing.service,
                change=change.kind.value,
                upstream_version=change.listing.version,
                version=self._upstreams.copy.version,
            )
        for listener in self._context.fleet_listeners:
            listener()


def _suspended_s() -> float:
    """Return how long the machine has been suspended in total since it booted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
