"""The state of an admitted request across its attempts."""

from dataclasses import dataclass, field

from ..http.client import RELAY_READ_BYTES
from ..http.messages import EVENT_STREAM, Headers, media_type
from ..http.responder import Responder
from ..ids import UpstreamId
from .attempts import AttemptEnd, AttemptTracker
from .calls import Call
from .event_relay import EventRelay
from .held_memory import Holder
from .routes import Route
from .tickets import Ticket

GATEWAY_TIMEOUT = 504
"""The status of an upstream that ran out of the caller's time."""
LATE_STREAM_FAILURE_WEIGHT = 0.5
"""The site sheets value a stream with too long a pause at about half of a good one."""


@dataclass(slots=True)
class EventTimes:
    """Arrival times of a stream's events, for the log and for the upstream's failure rate."""

    first_s: float | None = None
    last_s: float = 0.0
    longest_pause_s: float = 0.0

    def record_event(self, now_s: float) -> None:
        """Record that events arrived."""
        if self.first_s is None:
            self.first_s = now_s
        else:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_s)
        self.last_s = now_s


@dataclass(slots=True)
class ActiveRequest:
    """An admitted request, with its route, its ticket and the answer so far."""

    call: Call
    route: Route
    ticket: Ticket
    attempts: AttemptTracker
    responder: Responder
    relay: EventRelay
    holder: Holder
    """What the request holds in memory."""
    event_times: EventTimes = field(default_factory=EventTimes)
    failure: tuple[int, Headers, bytes] | None = None
    """The last complete server error of an upstream: status, headers and body."""
    tried: list[UpstreamId] = field(default_factory=list)
    attempt_started_s: float = 0.0
    """Start of the current attempt."""
    has_first_event: bool = False
    """The current attempt has delivered its first event, or its complete answer."""

    upstream_crashed: bool = False
    """The upstream of the current attempt was found crashed."""
    is_end_reported: bool = False
    """The end of the current attempt at its upstream has been reported."""
    lacked_memory: bool = False
    """This node had no memory for the answer of the current attempt."""
    partial_event_bytes: int = 0
    """What is counted for an event whose end has not come yet."""
    begun_type: str | None = None
    """The media type of the answer that has begun, if its upstream named one."""

    def is_continued_by(self, headers: Headers) -> bool:
        """Return whether a further answer can go on with the stream that has begun.

        An upstream that answers with a page or a message of its own does not.
        """
        named = media_type(headers)
        return named is None or named == (self.begun_type or EVENT_STREAM)

    def count_partial_event(self, now_s: float) -> bool:
        """Count what has come of an event, and return whether there is room for it.

        What one read brings is within the amount for a request.
        """
        wanted = max(0, self.relay.partial_bytes - RELAY_READ_BYTES)
        more = wanted - self.partial_event_bytes
        if more > 0 and not self.holder.add(more, now_s):
            self.lacked_memory = True
            return False
        if more < 0:
            self.holder.remove(-more)
        self.partial_event_bytes = wanted
        return True

    def drop_partial_event(self) -> None:
        """Forget an event whose end does not come, whoever still refers to the request."""
        self.relay.restart_stream()
        self.holder.remove(self.partial_event_bytes)
        self.partial_event_bytes = 0

    def is_excused(self, end: AttemptEnd) -> bool:
        """Return whether the current attempt's failure says nothing about its upstream's
        software."""
        if end is AttemptEnd.SERVER_ERROR:
            return self.failure is not None and self.failure[0] == GATEWAY_TIMEOUT
        if end in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_EXECUTED):
            return True
        return self.upstream_crashed

    def failure_weight(self, end: AttemptEnd) -> float:
        """Return an attempt's weight in the failure rate of its upstream, from 0 to 1."""
        if end is not AttemptEnd.DELIVERED:
            return 1.0
        limit_s = self.route.max_pause_s
        is_late = limit_s is not None and self.event_times.longest_pause_s > limit_s
        return LATE_STREAM_FAILURE_WEIGHT if is_late else 0.0
