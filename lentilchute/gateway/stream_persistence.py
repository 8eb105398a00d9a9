"""Controller that stores where streams began, so that it outlives the end of all nodes.

Each node writes the streams that begin at it while their origins matter, in batches, to rows of its
own. A node that starts reads the rows of its instance, and in a small fleet all rows; the
coordinator of a large one reads all rows. A stream that began since the last batch is refused after
the end of all nodes, like one whose batch the store did not take.
"""

import math
from collections.abc import Mapping
from typing import Any

import trio
from result import Err

from ..events import Event, log_event
from ..ids import StreamId
from ..peers.message_dispatch import MessageHandler
from ..platform import stream_rows
from ..platform.store import RowWrite, StoreFault, StoreRow
from .context import GatewayContext, gateway_controller
from .messages import StreamGroup
from .stream_continuity import StreamContinuityController
from .stream_origins import STREAM_LIFETIME_S, StreamOrigin

STORE_INTERVAL_S = 0.25
"""Interval between batches of one node."""
STORE_NODES = 16
"""For each so many nodes, the interval is lengthened by itself."""
MAX_STORE_INTERVAL_S = 1.0
MAX_STREAMS_PER_ROW = 1_500
"""Rows are bounded by the store to 64 KiB."""
MAX_SLOTS = 512
"""Rows of one node."""
READ_RETRY_S = 0.3
LISTED_POLL_S = 0.05
READ_ALL_NODES = 16
"""In a fleet of up to this size each node reads the rows of all."""
CALL_NAME = "streams"


@gateway_controller
class StreamPersistenceController:
    """Reads stored origins of streams at the start, and stores those of this node."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._slots: dict[int, float] = {}
        """Until when each row of this node matters, by the store's clock."""
        self._store_clock_offset_s: float | None = None
        """Time by which the store's clock is ahead of this process's clock, once known."""
        self._has_news = trio.Event()
        self._role_changed = trio.Event()
        context.begun_stream_listeners.append(self._wake)
        context.fleet_listeners.append(self._wake)
        context.coordinator_listeners.append(self._wake_reader)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {}

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._restore)
            nursery.start_soon(self._store_batches)

    def _wake(self) -> None:
        self._has_news.set()

    def _wake_reader(self) -> None:
        self._role_changed.set()
        self._role_changed = trio.Event()

    async def _restore(self) -> None:
        instance = self._context.instance
        first, beyond = stream_rows.key_range(instance)
        await self._read_part(stream_rows.part_of(instance), first, beyond)
        while self._context.listed_nodes is None:  # noqa: ASYNC110
            await trio.sleep(LISTED_POLL_S)
        while self._context.listed_nodes > READ_ALL_NODES:
            if self._context.choice.is_coordinator and self._context.has_joined:
                break
            await self._role_changed.wait()
        async with trio.open_nursery() as nursery:
            for part in stream_rows.all_parts():
                nursery.start_soon(self._read_part, part)

    async def _read_part(
        self, part: str, from_key: str | None = None, to_key: str | None = None
    ) -> None:
        """Read rows of one part of the table and adopt them; try until that succeeds."""
        while True:
            requested_s = self._context.now_s()
            page = await self._context.store.read_part(
                stream_rows.STREAMS_TABLE, part, from_key, to_key
            )
            if not isinstance(page, Err):
                break
            self._record_fault(page.err_value)
            await trio.sleep(READ_RETRY_S * (1 + self._context.rng.random()))
        self._context.metrics.record_store_call(CALL_NAME, "ok")
        self._store_clock_offset_s = page.ok_value.now_s - requested_s
        adopted = sum(self._adopt_row(row, page.ok_value.now_s) for row in page.ok_value.rows)
        if adopted:
            log_event(Event.STREAMS_READ, part=part, streams=adopted)

    def _adopt_row(self, row: StoreRow, store_now_s: float) -> int:
        """Adopt a row that still matters; return how many streams it names."""
        decoded = stream_rows.decode_streams(row.value or b"")
        if isinstance(decoded, Err):
            log_event(Event.ROW_REJECTED, table="streams", row=row.key, error=decoded.err_value)
            return 0
        stored = decoded.ok_value
        if row.key.startswith(stream_rows.key_range(self._context.instance)[0]):
            self._slots.setdefault(stream_rows.slot_of(row.key), stored.expires_at_s)
        if stored.expires_at_s <= store_now_s:
            return 0
        self._context.controller(StreamContinuityController).adopt_origins(stored.groups)
        return sum(len(group.streams) for group in stored.groups)

    async def _store_batches(self) -> None:
        while True:
            await self._has_news.wait()
            self._has_news = trio.Event()
            if self._store_clock_offset_s is not None:
                await self._store_batch(self._store_clock_offset_s)
            nodes = len(self._context.membership.present()) + 1
            interval_s = STORE_INTERVAL_S * math.ceil(nodes / STORE_NODES)
            await trio.sleep(min(interval_s, MAX_STORE_INTERVAL_S))

    async def _store_batch(self, offset_s: float) -> None:
        controller = self._context.controller(StreamContinuityController)
        streams = controller.take_unstored()
        batches = list(_batches(streams))
        if not batches:
            return
        now_s = self._context.now_s() + offset_s
        expires_at_s = round(now_s + STREAM_LIFETIME_S, 3)
        slots = self._free_slots(len(batches), now_s)
        instance = self._context.instance
        writes = tuple(
            RowWrite(
                stream_rows.STREAMS_TABLE,
                stream_rows.streams_key(instance, slot),
                stream_rows.encode_streams(stream_rows.StoredStreams(expires_at_s, batch)),
                part=stream_rows.part_of(instance),
            )
            for slot, batch in zip(slots, batches, strict=False)
        )
        written = await self._context.store.write(writes)
        if isinstance(written, Err):
            self._record_fault(written.err_value)
            controller.return_unstored(streams)
            self._has_news.set()
            return
        self._context.metrics.record_store_call(CALL_NAME, "ok")
        self._slots.update(dict.fromkeys(slots, expires_at_s))

    def _free_slots(self, count: int, store_now_s: float) -> list[int]:
        """Return rows that don't matter any more, or new ones."""
        return [slot for slot in range(MAX_SLOTS) if self._slots.get(slot, 0.0) <= store_now_s][
            :count
        ]

    def _record_fault(self, fault: StoreFault) -> None:
        self._context.metrics.record_store_call(CALL_NAME, fault.value)
        log_event(Event.PLATFORM_DOWN, call=CALL_NAME, fault=fault.value)


def _batches(
    streams: Mapping[StreamOrigin, list[StreamId]],
) -> list[tuple[StreamGroup, ...]]:
    """Return the content of rows that hold these streams."""
    batches: list[tuple[StreamGroup, ...]] = []
    batch: list[StreamGroup] = []
    room = MAX_STREAMS_PER_ROW
    for origin, names in streams.items():
        start = 0
        while start < len(names):
            part = tuple(names[start : start + room])
            batch.append(StreamGroup(origin.service, origin.version, part))
            start, room = start + len(part), room - len(part)
            if not room:
                batches.append(tuple(batch))
                batch, room = [], MAX_STREAMS_PER_ROW
    return [*batches, tuple(batch)] if batch else batches
