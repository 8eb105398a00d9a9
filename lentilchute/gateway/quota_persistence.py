"""Controller that persists the usage of accounts in the platform's store.

Without it, a crash of all nodes at once would lose all counted usage. What was used since the last
write, which may have been before an outage of the store, is bounded by ``stored_usage.py``. Writes
are conditional on the row's version, so that none takes effect after a later one.
"""

from collections.abc import Mapping
from typing import Any

import trio
from result import Err

from ..events import Event, log_event
from ..peers.message_dispatch import MessageHandler
from ..platform import rows
from ..platform.store import RowWrite, StoreFault, TablePage
from .context import GatewayContext, gateway_controller
from .stored_usage import StoredUsage

WRITE_INTERVAL_S = 1.0
"""Interval between writes; each write reserves what may be used over this time."""
CHECK_INTERVAL_S = 0.1
"""Interval between checks for an account that has used much of its reserve, which triggers a
write."""
READ_RETRY_S = 0.3
"""Delay before a retry of the first read. Until the row has been read, the full quota counts as
used."""


@gateway_controller
class QuotaPersistenceController:
    """Reads the usage row at the start, and writes it while this node is the coordinator."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._store_clock_offset_s = 0.0
        """Time by which the store's clock is ahead of this process's clock."""
        self._row_version: int | None = None
        """Version of the row as this node last read or wrote it; ``None`` if unknown."""
        self._is_unavailable = False
        self._is_write_requested = False
        self._role_changed = trio.Event()
        context.coordinator_listeners.append(self._wake)
        context.store.era_listeners.append(self._request_write)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {}

    async def run(self) -> None:
        while self._context.config is None:  # noqa: ASYNC110
            await trio.sleep(READ_RETRY_S)
        while not await self._restore():  # noqa: ASYNC110
            await trio.sleep(READ_RETRY_S * (1 + self._context.rng.random()))
        last_write_s = float("-inf")
        quotas = self._context.placements.quotas
        while True:
            if self._is_write_requested:
                last_write_s = float("-inf")
                self._is_write_requested = False
            is_coordinator = self._context.choice.is_coordinator
            quotas.set_storing(is_coordinator and self._context.has_joined, self._context.now_s())
            if not is_coordinator:
                last_write_s = float("-inf")
                await self._role_changed.wait()
                continue
            await trio.sleep(CHECK_INTERVAL_S)
            now_s = self._context.now_s()
            is_due = now_s - last_write_s >= WRITE_INTERVAL_S
            if is_due or quotas.exceeds_projection(now_s):
                last_write_s = now_s
                await self._write()
                if self._row_version is None:
                    # Usage is not bound by what is stored until that is known again.
                    last_write_s = float("-inf")

    def _request_write(self) -> None:
        """Write at the next check, as the store may have lost what was written lately."""
        self._is_write_requested = True
        self._context.placements.quotas.record_unknown_row(self._context.now_s())

    def _wake(self) -> None:
        self._role_changed.set()
        self._role_changed = trio.Event()

    async def _restore(self) -> bool:
        """Adopt the usage that the last coordinator stored; return false if it can't be read."""
        page = await self._read()
        if page is None:
            return False
        found = [row for row in page.rows if row.key == rows.QUOTAS_KEY]
        if not found:
            return await self._begin_row()
        decoded = rows.decode_quota_usage(found[0].value or b"")
        if isinstance(decoded, Err):
            log_event(
                Event.ROW_REJECTED, table="quotas", row=rows.QUOTAS_KEY, error=decoded.err_value
            )
            return True
        usage = decoded.ok_value
        now_s = self._context.now_s()
        age_s = max(0.0, now_s + self._store_clock_offset_s - usage.at_s)
        self._adopt(StoredUsage(usage.used, usage.reserved, now_s - age_s))
        log_event(Event.QUOTAS_READ, accounts=len(usage.used), age_s=round(age_s, 3))
        return True

    async def _begin_row(self) -> bool:
        """Store that nothing has been used, so that a later start finds a row; return false if that
        fails."""
        now_s = self._context.now_s()
        value = rows.encode_quota_usage(rows.QuotaUsage(now_s + self._store_clock_offset_s, {}))
        fault = await self._write_row(value)
        if fault is StoreFault.CONFLICT:
            # Another node was first.
            return await self._restore()
        if fault is not None:
            return False
        self._adopt(StoredUsage(at_s=now_s))
        log_event(Event.QUOTAS_READ, accounts=0, age_s=None)
        return True

    def _adopt(self, stored: StoredUsage) -> None:
        context = self._context
        context.placements.quotas.adopt_stored(stored, context.started_s, context.now_s())

    async def _read(self) -> TablePage | None:
        requested_s = self._context.now_s()
        page = await self._context.store.read_table(rows.QUOTAS_TABLE)
        self._record_call(page.err_value if isinstance(page, Err) else None)
        if isinstance(page, Err):
            return None
        self._store_clock_offset_s = page.ok_value.now_s - requested_s
        versions = [row.version for row in page.ok_value.rows if row.key == rows.QUOTAS_KEY]
        self._row_version = versions[0] if versions else 0
        return page.ok_value

    async def _write(self) -> None:
        if self._row_version is None and await self._read() is None:
            return
        now_s, quotas = self._context.now_s(), self._context.placements.quotas
        usage = quotas.projected_usage(now_s)
        if not any(sum(parts) for parts in usage.used.values()):
            return
        at_s = now_s + self._store_clock_offset_s
        value = rows.encode_quota_usage(rows.QuotaUsage(at_s, usage.used, usage.reserved))
        fault = await self._write_row(value)
        if fault is None:
            quotas.record_stored(usage, self._context.now_s())
        elif fault is StoreFault.CONFLICT:
            quotas.record_unknown_row(self._context.now_s())

    async def _write_row(self, value: bytes) -> StoreFault | None:
        """Write the row unless somebody else has since this node read or wrote it; return what
        prevented it."""
        written = await self._context.store.write(
            (RowWrite(rows.QUOTAS_TABLE, rows.QUOTAS_KEY, value, self._row_version),)
        )
        fault = written.err_value if isinstance(written, Err) else None
        self._record_call(fault)
        if not isinstance(written, Err):
            self._row_version = written.ok_value
        elif fault is not StoreFault.NOT_APPLIED:
            # Another node has written, or nobody can tell whether this one has.
            self._row_version = None
        return fault

    def _record_call(self, fault: StoreFault | None) -> None:
        self._context.metrics.record_store_call("quotas", "ok" if fault is None else fault.value)
        is_unavailable = fault is not None and fault is not StoreFault.CONFLICT
        if fault is not None and is_unavailable and not self._is_unavailable:
            log_event(Event.PLATFORM_DOWN, call="quotas", fault=fault.value)
        elif self._is_unavailable and not is_unavailable:
            log_event(Event.PLATFORM_BACK, call="quotas")
        self._is_unavailable = is_unavailable
