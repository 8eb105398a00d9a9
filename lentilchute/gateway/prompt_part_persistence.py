"""Controller that persists the blocked parts of prompts in the platform's store.

Without it, the end of all nodes at once would cost upstreams once more what it took to find them.
"""

from collections.abc import Mapping
from typing import Any

import trio
from result import Err

from ..events import Event, log_event
from ..ids import PromptPartId
from ..peers.message_dispatch import MessageHandler
from ..platform import rows
from ..platform.store import RowWrite
from .context import GatewayContext, gateway_controller
from .crash_reports import CrashReportController
from .messages import BlockedPart

FIND_PEERS_S = 1.0
"""Nodes that start find each other first: one that is told by a coordinator does not read."""
RETRY_INTERVAL_S = 0.5
CALL_NAME = "blocked-parts"


@gateway_controller
class PromptPartPersistenceController:
    """Reads the row with the blocked parts once, and writes it while this node coordinates."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._stored: frozenset[PromptPartId] | None = None
        """The parts in the store as this node last read or wrote them; ``None`` if unknown."""
        self._store_clock_offset_s = 0.0
        """Time by which the store's clock is ahead of this process's clock."""
        self._was_read = False
        self._changed = trio.Event()
        context.blocked_part_listeners.append(self._wake)
        context.coordinator_listeners.append(self._wake)
        context.store.era_listeners.append(self._forget_stored)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {}

    async def run(self) -> None:
        await trio.sleep(FIND_PEERS_S)
        while True:
            self._changed = trio.Event()
            if not self._context.choice.is_coordinator:
                # Another node writes meanwhile.
                self._stored = None
            elif not await self._synchronize():
                await trio.sleep(RETRY_INTERVAL_S * (1 + self._context.rng.random()))
                continue
            await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()

    def _forget_stored(self) -> None:
        """Write again, as the store may have lost what was written lately."""
        self._stored = None
        self._wake()

    async def _synchronize(self) -> bool:
        """Read the row if that is still to be done, and write what has changed; return whether
        both went well."""
        if not self._was_read:
            self._was_read = await self._read()
        return self._was_read and await self._write_changes()

    async def _read(self) -> bool:
        requested_s = self._context.now_s()
        page = await self._context.store.read_table(rows.PROMPT_PARTS_TABLE)
        if isinstance(page, Err):
            self._record_fault(page.err_value.value)
            return False
        self._context.metrics.record_store_call(CALL_NAME, "ok")
        self._store_clock_offset_s = page.ok_value.now_s - requested_s
        found = [row for row in page.ok_value.rows if row.key == rows.PROMPT_PARTS_KEY]
        if not found:
            return True
        decoded = rows.decode_blocked_parts(found[0].value or b"")
        if isinstance(decoded, Err):
            log_event(
                Event.ROW_REJECTED,
                table="prompt-parts",
                row=rows.PROMPT_PARTS_KEY,
                error=decoded.err_value,
            )
            return True
        last_crash_s = decoded.ok_value
        blocked = tuple(
            BlockedPart(part, max(0.0, page.ok_value.now_s - at_s))
            for part, at_s in last_crash_s.items()
        )
        self._context.controller(CrashReportController).adopt_blocked(
            self._context.instance, blocked
        )
        self._stored = frozenset(last_crash_s)
        return True

    async def _write_changes(self) -> bool:
        now_s = self._context.now_s()
        blocked = self._context.prompt_part_guard.blocked(now_s)
        parts = frozenset(item.part for item in blocked)
        if parts == (self._stored or frozenset()):
            return True
        store_now_s = now_s + self._store_clock_offset_s
        value = rows.encode_blocked_parts({item.part: store_now_s - item.age_s for item in blocked})
        written = await self._context.store.write(
            (RowWrite(rows.PROMPT_PARTS_TABLE, rows.PROMPT_PARTS_KEY, value),)
        )
        if isinstance(written, Err):
            self._record_fault(written.err_value.value)
            return False
        self._context.metrics.record_store_call(CALL_NAME, "ok")
        self._stored = parts
        return True

    def _record_fault(self, fault: str) -> None:
        self._context.metrics.record_store_call(CALL_NAME, fault)
        log_event(Event.PLATFORM_DOWN, call=CALL_NAME, fault=fault)
