"""Fake engines and plain services in virtual time, which can slow down, freeze and crash."""

from collections.abc import Callable
from dataclasses import dataclass, field

from system_oracle import Oracle, expected_parts
from system_world import World

from lentilchute.upstream.adapters import (
    AnswerEnd,
    AnswerHead,
    AnswerItem,
    AnswerPart,
    UpstreamFault,
    UpstreamRequest,
)

TOKEN_INTERVAL_S = 0.05
SLOW_FACTOR = 5.0
FREEZE_POLL_S = 0.2
IDLE_TIMEOUT_S = 3.0
CRASH_DELAY_S = 0.03


@dataclass(eq=False)
class Connection:
    """A reader of one stream. Items arrive in order until the last one or until it is closed."""

    deliver: Callable[[AnswerItem], None]
    is_open: bool = True
    last_arrival_s: float = 0.0
    last_activity_s: float = 0.0


@dataclass(eq=False)
class Stream:
    """One request that the upstream runs; an engine keeps it so that a reader can resume it."""

    serial: int
    parts: list[bytes]
    produced: int = 0
    reader: Connection | None = None
    sent: int = 0
    is_dropped: bool = False
    skips_event: bool = False


@dataclass
class FakeUpstream:
    """An engine, whose streams can be resumed by event id, or a plain service."""

    name: str
    is_engine: bool
    world: World
    oracle: Oracle
    is_up: bool = True
    is_slow: bool = False
    is_frozen: bool = False
    is_leaving: bool = False
    streams: dict[str, Stream] = field(default_factory=dict)

    def receive(self, request: UpstreamRequest, connection: Connection) -> None:
        """Start to run a request that has arrived."""
        if not self.is_up:
            self._send_item(connection, UpstreamFault.RESET)
            return
        serial = int(request.body)
        self.oracle.upstream_received(request.request_id, serial, self.name, self.world.now_s)
        stream = Stream(serial, expected_parts(serial, self.is_engine), reader=connection)
        self.streams[request.request_id] = stream
        self._watch_idle(connection)
        if self.oracle.records[serial].is_poison:
            self.world.after(CRASH_DELAY_S, lambda: self._crash_from_poison(serial))
            return
        self.world.after(
            self._part_interval_s(), lambda: self._produce_part(request.request_id, stream)
        )

    def resume(self, request_id: str, after_event: int, connection: Connection) -> None:
        """Attach a new reader to a stream, if the engine still has it."""
        stream = self.streams.get(request_id)
        if not self.is_up:
            self._send_item(connection, UpstreamFault.NOT_SENT)
        elif self.is_frozen:
            self._watch_idle(connection)
            self.world.after(
                FREEZE_POLL_S, lambda: self.resume(request_id, after_event, connection)
            )
        elif stream is None or not self.is_engine:
            self.world.count("resume of a stream that is gone")
            self._send_item(connection, UpstreamFault.NOT_SUPPORTED)
        else:
            self.world.count("stream resumed")
            self._watch_idle(connection)
            stream.reader = connection
            # An engine may send an event again that the reader already has.
            stream.sent = max(0, after_event - self.world.rng.randint(0, 1))
            self._send_item(connection, AnswerHead(200))
            self._flush(request_id, stream)

    def cancel(self, request_id: str) -> None:
        """Cancel a request and drop its stream."""
        stream = self.streams.pop(request_id, None)
        if stream is not None:
            stream.is_dropped = True

    def crash(self) -> None:
        """Crash: all streams are lost, and readers see their connections reset."""
        self.is_up = False
        readers = [stream.reader for stream in self.streams.values()]
        for stream in self.streams.values():
            stream.is_dropped = True
        self.streams.clear()
        for reader in readers:
            if reader is not None:
                self._send_item(reader, UpstreamFault.RESET)

    def break_stream(self, fault: UpstreamFault, skips_event: bool = False) -> bool:
        """Break one open stream, or make it skip an event; return whether there was one."""
        for stream in self.streams.values():
            if stream.reader is not None and stream.reader.is_open:
                if skips_event:
                    stream.skips_event = True
                else:
                    self._send_item(stream.reader, fault)
                return True
        return False

    def _crash_from_poison(self, serial: int) -> None:
        if self.is_up:
            self.oracle.poison_crashed(serial, self.name)
            self.crash()
            self.world.after(1.0, self.restart)

    def restart(self) -> None:
        """Restart at the same address, without any earlier stream."""
        self.is_up = True

    def _produce_part(self, request_id: str, stream: Stream) -> None:
        if stream.is_dropped:
            return
        if self.is_frozen:
            self.world.after(FREEZE_POLL_S, lambda: self._produce_part(request_id, stream))
            return
        if stream.produced == 0 and stream.reader is not None:
            self._send_item(stream.reader, AnswerHead(200))
        stream.produced += 1
        self._flush(request_id, stream)
        if stream.produced < len(stream.parts):
            self.world.after(
                self._part_interval_s(), lambda: self._produce_part(request_id, stream)
            )

    def _flush(self, request_id: str, stream: Stream) -> None:
        while stream.sent < stream.produced and stream.reader is not None:
            if stream.skips_event and stream.sent + 1 < len(stream.parts):
                stream.skips_event = False
                stream.sent += 1
                self.world.count_fault("event missing in a stream")
                continue
            event_id = stream.sent + 1 if self.is_engine else None
            part = AnswerPart(stream.parts[stream.sent], event_id, tokens=int(self.is_engine))
            self._send_item(stream.reader, part)
            stream.sent += 1
        if stream.sent == len(stream.parts) and stream.reader is not None:
            self._send_item(stream.reader, AnswerEnd())
            if not self.is_engine:
                self.streams.pop(request_id, None)

    def _send_item(self, connection: Connection, item: AnswerItem) -> None:
        arrival_s = max(self.world.now_s + self.world.latency_s(), connection.last_arrival_s)
        connection.last_arrival_s = arrival_s
        connection.last_activity_s = arrival_s
        self.world.at(arrival_s, lambda: _deliver_item(connection, item))

    def _part_interval_s(self) -> float:
        return TOKEN_INTERVAL_S * (SLOW_FACTOR if self.is_slow else 1.0)

    def _watch_idle(self, connection: Connection) -> None:
        connection.last_activity_s = self.world.now_s
        self.world.after(IDLE_TIMEOUT_S, lambda: self._check_idle(connection))

    def _check_idle(self, connection: Connection) -> None:
        if not connection.is_open:
            return
        idle_s = self.world.now_s - connection.last_activity_s
        if idle_s >= IDLE_TIMEOUT_S:
            self.world.count("stream timed out")
            self._send_item(connection, UpstreamFault.TIMED_OUT)
        else:
            self.world.after(IDLE_TIMEOUT_S - idle_s + 0.01, lambda: self._check_idle(connection))


def _deliver_item(connection: Connection, item: AnswerItem) -> None:
    if not connection.is_open:
        return
    if isinstance(item, AnswerEnd | UpstreamFault):
        connection.is_open = False
    connection.deliver(item)
