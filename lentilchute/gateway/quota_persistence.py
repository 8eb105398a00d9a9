"""Controller that persists the usage of accounts in the platform's store.

Without it, a crash of all nodes at once would lose all counted usage.
"""

from collections.abc import Mapping
from typing import Any

import trio
from result import Err

from ..events import Event, log_event
from ..peers.message_dispatch import MessageHandler
from ..platform import rows
from ..platform.store import RowWrite
from .context import GatewayContext, gateway_controller

WRITE_INTERVAL_S = 1.0
"""Interval between writes; each write includes the growth projected over this time."""
CHECK_INTERVAL_S = 0.1
"""Interval between checks for an account that exceeds the projection, which triggers a write. Usage
within this time is a small fraction of the quota's tolerance."""
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
        while not await self._read():  # noqa: ASYNC110
            await trio.sleep(READ_RETRY_S * (1 + self._context.rng.random()))
        last_write_s = self._context.now_s()
        while True:
            if self._is_write_requested:
                last_write_s = float("-inf")
                self._is_write_requested = False
            if not self._context.choice.is_coordinator:
                await self._role_changed.wait()
                continue
            await trio.sleep(CHECK_INTERVAL_S)
            now_s = self._context.now_s()
            is_due = now_s - last_write_s >= WRITE_INTERVAL_S
            if is_due or self._context.placements.quotas.exceeds_projection(now_s):
                last_write_s = now_s
                await self._write()

    def _request_write(self) -> None:
        """Write at the next check, as the store may have lost what was written lately."""
        self._is_write_requested = True

    def _wake(self) -> None:
        self._role_changed.set()
        self._role_changed = trio.Event()

    async def _read(self) -> bool:
        requested_s = self._context.now_s()
        page = await self._context.store.read_table(rows.QUOTAS_TABLE)
        if isinstance(page, Err):
            self._record_call(page.err_value.value)
            return False
        self._record_call(None)
        self._store_clock_offset_s = page.ok_value.now_s - requested_s
        found = [row for row in page.ok_value.rows if row.key == rows.QUOTAS_KEY]
        usage = rows.decode_quota_usage(found[0].value or b"") if found else None
        if isinstance(usage, Err):
            log_event(
                Event.ROW_REJECTED, table="quotas", row=rows.QUOTAS_KEY, error=usage.err_value
            )
            return True
        now_s = self._context.now_s()
        used = {} if usage is None else usage.ok_value.used
        age_s = (
            float("inf")
            if usage is None
            else max(0.0, now_s + self._store_clock_offset_s - usage.ok_value.at_s)
        )
        self._context.placements.quotas.restore_history(used, age_s, now_s)
        log_event(
            Event.QUOTAS_READ,
            accounts=len(used),
            age_s=None if usage is None else round(age_s, 3),
        )
        return True

    async def _write(self) -> None:
        now_s = self._context.now_s()
        used = self._context.placements.quotas.projected_history(now_s)
        if not any(sum(parts) for parts in used.values()):
            return
        value = rows.encode_quota_usage(rows.QuotaUsage(now_s + self._store_clock_offset_s, used))
        result = await self._context.store.write(
            (RowWrite(rows.QUOTAS_TABLE, rows.QUOTAS_KEY, value),)
        )
        self._record_call(result.err_value.value if isinstance(result, Err) else None)

    def _record_call(self, fault: str | None) -> None:
        self._context.metrics.record_store_call("quotas", fault or "ok")
        if fault is not None and not self._is_unavailable:
            log_event(Event.PLATFORM_DOWN, call="quotas", fault=fault)
        elif fault is None and self._is_unavailable:
            log_event(Event.PLATFORM_BACK, call="quotas")
        self._is_unavailable = fault is not None
