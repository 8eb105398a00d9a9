"""Relays the events of a stream across attempts, without gaps or duplicates."""

from result import Err, Ok, Result

from ..http.sse import SseReader


class EventRelay:
    """Relays the events of one answer; ``restart_stream`` begins the stream of a new attempt."""

    def __init__(self, resume_after: int | None) -> None:
        self.last_event_id = resume_after
        """Id of the last event that was relayed to the caller, or that it asked to resume after."""
        self.relayed_events = 0
        self.attempt_events = 0
        """Events that the present attempt has brought, with those that the caller already has."""
        self._reader = SseReader()

    def restart_stream(self) -> None:
        """Start reading the stream of a new attempt; drops a partial event of the previous one."""
        self._reader = SseReader()
        self.attempt_events = 0

    def feed(self, data: bytes) -> Result[bytes, str]:
        """Parse more bytes and return the raw bytes of the events that they complete.

        Events that the caller already has are omitted. The error describes malformed input.
        """
        events = self._reader.feed(data)
        if isinstance(events, Err):
            return events
        self.attempt_events += len(events.ok_value)
        relayed = []
        for event in events.ok_value:
            if event.event_id is not None:
                if self.last_event_id is not None and event.event_id <= self.last_event_id:
                    continue
                self.last_event_id = event.event_id
            relayed.append(event.raw)
        self.relayed_events += len(relayed)
        return Ok(b"".join(relayed))

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes so far end within an event."""
        return self._reader.has_partial_event

    @property
    def partial_bytes(self) -> int:
        """Size of the event within which the bytes so far end."""
        return self._reader.partial_bytes
