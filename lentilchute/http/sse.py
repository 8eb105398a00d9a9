"""Splits a byte stream into server-sent events, each with its exact bytes."""

import re

from result import Err, Ok, Result

from ..util.lean_dataclasses import dataclass

MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = re.compile(rb"\r?\n\r?\n")


@dataclass(frozen=True, slots=True)
class SseEvent:
    """One event; ``raw`` holds its bytes, including the blank line that ends it."""

    raw: bytes
    event_id: int | None
    data: bytes


class SseReader:
    """Decodes a byte stream incrementally into complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event so far."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Result[list[SseEvent], str]:
        """Add bytes and return the events that they complete, or an error message."""
        # The blank line at the end of an event may span two pieces; it has at most 4 bytes.
        search_from = max(len(self._buffer) - 3, 0)
        self._buffer += data
        events: list[SseEvent] = []
        start = 0
        while match := _EVENT_END.search(self._buffer, max(start, search_from)):
            event = _parse(bytes(self._buffer[start : match.end()]))
            if isinstance(event, Err):
                return event
            events.append(event.ok_value)
            start = match.end()
        del self._buffer[:start]
        if len(self._buffer) > MAX_EVENT_BYTES:
            return Err("event too large")
        return Ok(events)


def _parse(raw: bytes) -> Result[SseEvent, str]:
    event_id: int | None = None
    data: list[bytes] = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id":
            if not value.isdigit() or len(value) > 18:
                return Err("event id is not a number")
            event_id = int(value)
    return Ok(SseEvent(raw, event_id, b"\n".join(data)))
