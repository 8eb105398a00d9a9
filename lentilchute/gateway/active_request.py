"""The state of one request over its attempts."""

from dataclasses import dataclass, field

from ..http.messages import Headers
from ..http.responder import Responder
from ..ids import UpstreamId
from .attempts import AttemptEnd, AttemptTracker
from .calls import Call
from .event_relay import EventRelay
from .routes import Route
from .tickets import Ticket

LATE_STREAM_FAILURE_WEIGHT = 0.5
"""A stream with too long a pause earns about half of a good one (site sheets)."""


@dataclass(slots=True)
class EventTimes:
    """When events came, for what the log says and for the record of an upstream."""

    first_s: float | None = None
    last_s: float = 0.0
    longest_s: float = 0.0

    def record_event(self, now_s: float) -> None:
        """Note that events came."""
        if self.first_s is None:
            self.first_s = now_s
        else:
            self.longest_s = max(self.longest_s, now_s - self.last_s)
        self.last_s = now_s


@dataclass(slots=True)
class ActiveRequest:
    """One admitted request."""

    call: Call
    route: Route
    ticket: Ticket
    attempts: AttemptTracker
    responder: Responder
    relay: EventRelay
    event_times: EventTimes = field(default_factory=EventTimes)
    failure: tuple[int, Headers, bytes] | None = None
    """The last whole failure that an upstream gave."""
    tried: list[UpstreamId] = field(default_factory=list)
    attempt_started_s: float = 0.0
    """When the present attempt began."""
    has_first_event: bool = False
    """The present attempt has shown its first event."""

    def failure_weight(self, end: AttemptEnd) -> float:
        """Return how much of a failure an attempt's end is for the record of its upstream."""
        if end is not AttemptEnd.DELIVERED:
            return 1.0
        limit_s = self.route.max_pause_s
        is_late = limit_s is not None and self.event_times.longest_s > limit_s
        return LATE_STREAM_FAILURE_WEIGHT if is_late else 0.0
