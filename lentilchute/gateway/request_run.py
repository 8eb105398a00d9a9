"""The state of one request over its attempts."""

from dataclasses import dataclass, field

from ..http.messages import Headers
from ..http.responder import Responder
from ..ids import UpstreamId
from .attempts import AttemptBook, AttemptEnd
from .calls import Call
from .event_relay import EventRelay
from .routes import Route
from .tickets import Ticket

LATE_FAILURE = 0.5
"""A stream with too long a pause earns about half of a good one (site sheets)."""


@dataclass(slots=True)
class Pauses:
    """When events came, for what the log says and for the record of an upstream."""

    first_s: float | None = None
    last_s: float = 0.0
    longest_s: float = 0.0

    def note(self, now_s: float) -> None:
        """Note that events came."""
        if self.first_s is None:
            self.first_s = now_s
        else:
            self.longest_s = max(self.longest_s, now_s - self.last_s)
        self.last_s = now_s


@dataclass(slots=True)
class RequestRun:
    """One admitted request."""

    call: Call
    route: Route
    ticket: Ticket
    book: AttemptBook
    responder: Responder
    relay: EventRelay
    pauses: Pauses = field(default_factory=Pauses)
    failure: tuple[int, Headers, bytes] | None = None
    """The last whole failure that an upstream gave."""
    tried: list[UpstreamId] = field(default_factory=list)
    attempt_s: float = 0.0
    """When the present attempt began."""
    has_first_event: bool = False
    """The present attempt has shown its first event."""

    def failure_share(self, end: AttemptEnd) -> float:
        """Return how much of a failure an attempt's end is for the record of its upstream."""
        if end is not AttemptEnd.DELIVERED:
            return 1.0
        limit_s = self.route.max_pause_s
        is_late = limit_s is not None and self.pauses.longest_s > limit_s
        return LATE_FAILURE if is_late else 0.0
