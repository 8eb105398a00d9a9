"""Applies what upstreams say of themselves in their answers, whatever the answers are."""

from ..events import Event, log_event
from ..platform.headers import AnswerHeaders
from .active_request import ActiveRequest
from .context import GatewayContext
from .leaving_notices import LeavingNoticeController
from .placement_client import PlacementClient
from .tickets import Placement
from .upstream_limit import NO_LIMIT
from .upstream_model import BRITTLE_MEMORY_S

MAX_PAUSE_S = 300.0
"""Longest pause that an upstream is granted at a time; it can ask again."""

BRITTLE_PAUSE_S = 1.0
"""A brittle upstream counts the requests that it turns away in any second."""
BRITTLE_REPORT_INTERVAL_S = 1.0
"""Interval at which the coordinator is told again that an upstream is brittle."""


class UpstreamNotices:
    """Notices of leaving, pauses and limits, for this node and by its reports for the fleet."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._placement_client = context.controller(PlacementClient)
        self._leaving_notices = context.controller(LeavingNoticeController)

    def apply(
        self, active: ActiveRequest, placement: Placement, status: int, answer: AnswerHeaders
    ) -> None:
        """Apply the notices in the head of an answer to a request."""
        listing = placement.listing
        # Another upstream may answer at an address that is used again.
        if status != 421:
            self._apply_limit(active, placement, answer)
            self._apply_load(active, placement, answer)
        if answer.is_leaving:
            self._leaving_notices.announce(listing.upstream, listing.started_ms)
        if status != 421 and answer.brittle_limit is not None:
            self._apply_brittleness(active, placement, answer)
        if status == 503 and answer.retry_after_s:
            self._apply_pause(active, placement, answer.retry_after_s)

    def _apply_load(
        self, active: ActiveRequest, placement: Placement, answer: AnswerHeaders
    ) -> None:
        """Report the load that an upstream states, if it says how fast it is at the moment."""
        if answer.load is not None and answer.load.slowdown is not None:
            self._placement_client.report(active.ticket, placement, load=answer.load)

    def _apply_pause(
        self, active: ActiveRequest, placement: Placement, retry_after_s: float
    ) -> None:
        upstream = placement.listing.upstream
        pause_s = min(retry_after_s, MAX_PAUSE_S)
        self._context.fleet.pause(upstream, self._context.now_s() + pause_s)
        self._placement_client.report(active.ticket, placement, pause_s=pause_s)
        log_event(
            Event.UPSTREAM_PAUSED,
            request_id=active.call.log_id,
            upstream=upstream,
            pause_s=round(pause_s, 3),
        )

    def _apply_brittleness(
        self, active: ActiveRequest, placement: Placement, answer: AnswerHeaders
    ) -> None:
        """Leave room at an upstream that is brittle, and send it nothing for the rest of a second
        in which it had to turn a request away."""
        dispatcher = self._context.placements.dispatcher(active.ticket.service)
        model = dispatcher.model(placement.listing.upstream)
        if model is not None:
            silence_s = model.brittle_for_s(self._context.now_s())
            if silence_s >= BRITTLE_REPORT_INTERVAL_S:
                self._placement_client.report(active.ticket, placement, is_brittle=True)
            if silence_s >= BRITTLE_MEMORY_S:
                log_event(
                    Event.UPSTREAM_BRITTLE,
                    request_id=active.call.log_id,
                    upstream=placement.listing.upstream,
                    brittle_limit=answer.brittle_limit,
                )
        if answer.is_not_executed:
            self._apply_pause(active, placement, BRITTLE_PAUSE_S)

    def _apply_limit(
        self, active: ActiveRequest, placement: Placement, answer: AnswerHeaders
    ) -> None:
        """Record the limit that an upstream names, or that it no longer names any."""
        dispatcher = self._context.placements.dispatcher(active.ticket.service)
        model = dispatcher.model(placement.listing.upstream)
        if model is None:
            return
        known_per_s = model.limit.per_s
        limit_per_s = answer.limit_per_s
        if limit_per_s is None:
            is_own = answer.belongs_to(active.call.headers.attempt_id, must_name=True)
            is_current = model.limit.was_named_before(active.attempt_started_s)
            if not (answer.is_signed and is_own and is_current):
                return
            limit_per_s = NO_LIMIT
        self._placement_client.report(active.ticket, placement, limit_per_s=limit_per_s)
        if model.limit.per_s != known_per_s:
            log_event(
                Event.UPSTREAM_LIMITED,
                request_id=active.call.log_id,
                upstream=placement.listing.upstream,
                limit_per_s=model.limit.per_s,
                coordinator=self._context.choice.coordinator,
            )
