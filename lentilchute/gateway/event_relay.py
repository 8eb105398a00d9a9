"""Passes a stream's whole events on, over one or several runs, without gaps or repeats."""

from result import Err, Ok, Result

from ..http.sse import SseReader


class EventRelay:
    """The events of one answer. A new run of the stream begins with ``start_run``."""

    def __init__(self, resume_after: int | None) -> None:
        self.last_event_id = resume_after
        """Id of the last event that the caller has."""
        self.passed_events = 0
        self._reader = SseReader()

    def start_run(self) -> None:
        """Begin to read another run; an event that the last one left unfinished is dropped."""
        self._reader = SseReader()

    def feed(self, data: bytes) -> Result[bytes, str]:
        """Add bytes of the run and return those of the events that they complete.

        Events that the caller has already are left out. The error says what is wrong with them.
        """
        events = self._reader.feed(data)
        if isinstance(events, Err):
            return events
        passed = []
        for event in events.ok_value:
            if event.event_id is not None:
                if self.last_event_id is not None and event.event_id <= self.last_event_id:
                    continue
                self.last_event_id = event.event_id
            passed.append(event.raw)
        self.passed_events += len(passed)
        return Ok(b"".join(passed))

    @property
    def has_partial_event(self) -> bool:
        """Whether the run has left an event unfinished."""
        return self._reader.has_partial_event
