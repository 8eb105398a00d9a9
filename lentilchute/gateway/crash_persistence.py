"""Controller that persists in the platform's store what is refused for crashing upstreams.

Without it, the end of all nodes at once would cost upstreams once more what it took to find the
requests and the parts of prompts that crash them. A node that starts is told by its peers as well;
it reads the rows by itself, since nobody may be there to tell it.
"""

from collections.abc import Mapping
from typing import Any

import trio
from result import Err

from ..events import Event, log_event
from ..peers.message_dispatch import MessageHandler
from ..platform import rows
from ..platform.store import RowWrite, StoreRow
from .context import GatewayContext, gateway_controller
from .crash_reports import CrashReportController
from .messages import BlockedPart, CrashNotice

READ_AFTER_S = 1.0
"""A node that starts first reads what it needs to serve at all."""
READ_SPREAD_S = 0.5
"""Nodes that start together read spread over this time."""
RETRY_INTERVAL_S = 0.5
CALL_NAME = "blocked-parts"
_TABLE_NAME = "prompt-parts"


@gateway_controller
class CrashPersistenceController:
    """Reads the rows once after its node's start, and writes them while this node coordinates."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._stored: dict[str, frozenset[object]] = {}
        """What each row holds, but for times, as this node last read or wrote it."""
        self._store_clock_offset_s = 0.0
        """Time by which the store's clock is ahead of this process's clock."""
        self._was_read = False
        self._changed = trio.Event()
        context.crash_verdict_listeners.append(self._wake)
        context.coordinator_listeners.append(self._wake)
        context.store.era_listeners.append(self._forget_stored)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {}

    async def run(self) -> None:
        await trio.sleep(READ_AFTER_S + READ_SPREAD_S * self._context.rng.random())
        while True:
            self._changed = trio.Event()
            if not await self._synchronize():
                await trio.sleep(RETRY_INTERVAL_S * (1 + self._context.rng.random()))
                continue
            await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()

    def _forget_stored(self) -> None:
        """Write again, as the store may have lost what was written lately."""
        self._stored.clear()
        self._wake()

    async def _synchronize(self) -> bool:
        """Read the rows if that is still to be done, and write what has changed; return whether
        both went well."""
        if not self._was_read:
            self._was_read = await self._read()
        if not self._was_read:
            return False
        if self._context.choice.is_coordinator:
            return await self._write_changes()
        # Another node writes meanwhile.
        self._stored.clear()
        return True

    async def _read(self) -> bool:
        requested_s = self._context.now_s()
        page = await self._context.store.read_table(rows.PROMPT_PARTS_TABLE)
        if isinstance(page, Err):
            self._record_fault(page.err_value.value)
            return False
        self._context.metrics.record_store_call(CALL_NAME, "ok")
        store_now_s = page.ok_value.now_s
        self._store_clock_offset_s = store_now_s - requested_s
        for row in page.ok_value.rows:
            if row.key == rows.PROMPT_PARTS_KEY:
                self._adopt_parts(row, store_now_s)
            elif row.key == rows.CRASHING_REQUESTS_KEY:
                self._adopt_requests(row, store_now_s)
        return True

    def _adopt_parts(self, row: StoreRow, store_now_s: float) -> None:
        decoded = rows.decode_blocked_parts(row.value or b"")
        if isinstance(decoded, Err):
            self._reject(row, decoded.err_value)
            return
        blocked = tuple(
            BlockedPart(part, max(0.0, store_now_s - at_s))
            for part, at_s in decoded.ok_value.items()
        )
        self._context.controller(CrashReportController).adopt_blocked(
            self._context.instance, blocked
        )
        self._stored[row.key] = frozenset(decoded.ok_value)

    def _adopt_requests(self, row: StoreRow, store_now_s: float) -> None:
        decoded = rows.decode_crashes(row.value or b"")
        if isinstance(decoded, Err):
            self._reject(row, decoded.err_value)
            return
        notices = tuple(
            CrashNotice(
                upstream=crash.upstream,
                contents=crash.contents,
                started_ms=crash.started_ms,
                prompts=(),
                begun=crash.begun,
                age_s=max(0.0, store_now_s - crash.at_s),
            )
            for crash in decoded.ok_value
        )
        self._context.controller(CrashReportController).adopt_crashes(notices)
        self._stored[row.key] = _without_times(notices)

    async def _write_changes(self) -> bool:
        now_s = self._context.now_s()
        store_now_s = now_s + self._store_clock_offset_s
        blocked = self._context.prompt_part_guard.blocked(now_s)
        refused = self._context.crash_guard.refused(now_s)
        wanted: dict[str, frozenset[object]] = {
            rows.PROMPT_PARTS_KEY: frozenset(item.part for item in blocked),
            rows.CRASHING_REQUESTS_KEY: _without_times(refused),
        }
        values = {
            rows.PROMPT_PARTS_KEY: rows.encode_blocked_parts(
                {item.part: store_now_s - item.age_s for item in blocked}
            ),
            rows.CRASHING_REQUESTS_KEY: rows.encode_crashes(
                tuple(_stored_crash(notice, store_now_s) for notice in refused)
            ),
        }
        changed = [key for key in wanted if wanted[key] != self._stored.get(key, frozenset())]
        if not changed:
            return True
        written = await self._context.store.write(
            tuple(RowWrite(rows.PROMPT_PARTS_TABLE, key, values[key]) for key in changed)
        )
        if isinstance(written, Err):
            self._record_fault(written.err_value.value)
            return False
        self._context.metrics.record_store_call(CALL_NAME, "ok")
        self._stored.update((key, wanted[key]) for key in changed)
        return True

    def _reject(self, row: StoreRow, error: str) -> None:
        log_event(Event.ROW_REJECTED, table=_TABLE_NAME, row=row.key, error=error)

    def _record_fault(self, fault: str) -> None:
        self._context.metrics.record_store_call(CALL_NAME, fault)
        log_event(Event.PLATFORM_DOWN, call=CALL_NAME, fault=fault)


def _without_times(notices: tuple[CrashNotice, ...]) -> frozenset[object]:
    """Return what notices say, but for the times of the crashes."""
    return frozenset(
        (notice.upstream, notice.started_ms, frozenset(notice.contents), frozenset(notice.begun))
        for notice in notices
    )


def _stored_crash(notice: CrashNotice, store_now_s: float) -> rows.StoredCrash:
    return rows.StoredCrash(
        upstream=notice.upstream,
        started_ms=notice.started_ms or 0,
        at_s=store_now_s - (notice.age_s or 0.0),
        contents=notice.contents,
        begun=notice.begun,
    )
