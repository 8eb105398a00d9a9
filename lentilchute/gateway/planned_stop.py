"""Decides which requests a node still takes while it stops; free of I/O.

    longest = LongestRequests()
    longest.record("book", EndedRequest(took_s=0.2, events=0), now_s)
    stop = PlannedStop(refuses_after_s=now_s + 3.0, ends_s=now_s + 6.8)
    stop.can_finish(ticket, placement, longest.of("book", now_s), now_s)

A caller that is refused is served by another node at once; one whose request is cut has lost all of
its time, and cannot tell whether it ran. So a request is taken only if even a slow one of its kind
ends in time.
"""

from ..util.lean_dataclasses import dataclass
from .tickets import Placement, Ticket
from .upstream_model import OUTPUT_MARGIN

PERIOD_S = 30.0
"""Requests are remembered for one to two of these periods."""
SLOW_FACTOR = 3.0
"""Few requests take longer to their first event than this many times what was expected."""
MARGIN_FACTOR = 1.2
"""A request may take this much longer than any other of its route and length lately."""


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """A request that was answered."""

    took_s: float
    """From its sending to the end of its answer."""
    events: int
    """Events of its stream, 0 for a plain request."""


class LongestRequests:
    """The request of each route that has taken longest lately."""

    def __init__(self) -> None:
        self._present: dict[str, EndedRequest] = {}
        self._previous: dict[str, EndedRequest] = {}
        self._period_ends_s = 0.0

    def record(self, route: str, ended: EndedRequest, now_s: float) -> None:
        """Record a request as its answer ends."""
        self._begin_period(now_s)
        longest = self._present.get(route)
        if longest is None or ended.took_s > longest.took_s:
            self._present[route] = ended

    def of(self, route: str, now_s: float) -> EndedRequest | None:
        """Return the longest request, or ``None`` if none of the route has ended lately."""
        self._begin_period(now_s)
        found = [items[route] for items in (self._present, self._previous) if route in items]
        return max(found, key=lambda ended: ended.took_s, default=None)

    def _begin_period(self, now_s: float) -> None:
        if now_s < self._period_ends_s:
            return
        is_next = now_s < self._period_ends_s + PERIOD_S
        self._previous = self._present if is_next else {}
        self._present = {}
        self._period_ends_s = now_s + PERIOD_S


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """The times of a stop, on the process's clock."""

    refuses_after_s: float
    """From then on no request is taken."""
    ends_s: float
    """What is still at work then is answered without its upstream's answer."""

    def can_finish(
        self, ticket: Ticket, placement: Placement, longest: EndedRequest | None, now_s: float
    ) -> bool:
        """Return whether a request that is sent now can be expected to end in time.

        ``longest`` is the longest one of its route. Where none is known, only the request's own
        deadline bounds it.
        """
        if ticket.deadline_s <= self.ends_s:
            return True
        if longest is None:
            return False
        events = min(ticket.max_events, OUTPUT_MARGIN * ticket.expected_events)
        part = min(1.0, events / longest.events) if longest.events and events else 1.0
        expected_s = MARGIN_FACTOR * longest.took_s * part
        predicted_s = placement.expected_s
        if events:
            predicted_s = SLOW_FACTOR * predicted_s + events * placement.gap_s
        return now_s + max(expected_s, predicted_s) <= self.ends_s
