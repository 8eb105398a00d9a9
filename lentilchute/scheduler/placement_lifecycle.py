"""Effects of the progress and end of granted requests on the scheduler's state."""

from ..ids import RequestId, UpstreamId
from .forecast import OutputForecast
from .placements import Placement, PlacementRegistry, PlacementState
from .policy import Policy
from .prefix_index import PrefixIndex
from .suspects import SAME_CRASH_S, Crash, SuspectTracker
from .tickets import EndState
from .upstream_load import UpstreamLoad
from .upstream_pool import UpstreamPool


class PlacementLifecycle:
    """Releases the capacity of placements and updates rates, forecasts, caches and suspects."""

    def __init__(
        self,
        pool: UpstreamPool,
        placements: PlacementRegistry,
        prefixes: PrefixIndex,
        forecast: OutputForecast,
        suspects: SuspectTracker,
        policy: Policy,
    ) -> None:
        self._pool = pool
        self._placements = placements
        self._prefixes = prefixes
        self._forecast = forecast
        self._suspects = suspects
        self._policy = policy

    def record_progress(self, placement: Placement, output_tokens: int, now_s: float) -> None:
        """Record the output tokens of a request so far."""
        load = self._pool.get_or_create(placement.upstream)
        if placement.first_token_s is None:
            self._first_token(placement, load, now_s)
            self._pool.update_availability(load)
        else:
            tokens = output_tokens - placement.output_tokens
            load.record_output(tokens, now_s - placement.progress_s, now_s)
        placement.output_tokens = output_tokens
        placement.progress_s = now_s

    def _first_token(self, placement: Placement, load: UpstreamLoad, now_s: float) -> None:
        placement.first_token_s = now_s
        load.decoding_streams += 1
        if load.suspect_request == placement.ticket.request_id:
            load.has_suspect_answered = True
        self._release_prompt(placement)
        if placement.state is PlacementState.DISPATCHED and placement.expected_first_token_s:
            load.record_first_token(
                placement.dispatched_s,
                placement.uncached_tokens,
                placement.expected_first_token_s,
                now_s,
            )

    def _release_prompt(self, placement: Placement) -> None:
        self._pool.get_or_create(placement.upstream).release_prompt(placement.prompt_tokens)
        placement.prompt_tokens = 0

    def release(self, request_id: RequestId) -> Placement | None:
        """Remove a placement and release its capacity."""
        placement = self._placements.remove(request_id)
        if placement is None:
            return None
        load = self._pool.get_or_create(placement.upstream)
        load.release_prompt(placement.prompt_tokens)
        load.release_stream(placement.ticket.tier)
        if load.suspect_request == request_id:
            load.suspect_request = None
        load.decoding_streams -= placement.first_token_s is not None
        self._pool.update_availability(load)
        self.discard_if_idle(placement.upstream)
        return placement

    def discard_if_idle(self, upstream_id: UpstreamId) -> None:
        """Discard an upstream that was removed and has no requests in flight."""
        load = self._pool.get(upstream_id)
        if load is not None and load.group is None and load.streams == 0:
            self._pool.discard(upstream_id)

    def record_end(self, placement: Placement, end: EndState, cached_prompt_tokens: int) -> None:
        """Update the forecast, prefix index and suspects from the end of a request."""
        ticket = placement.ticket
        if end is EndState.UPSTREAM_CRASHED:
            self._prefixes.clear_upstream(placement.upstream)
        elif end is EndState.COMPLETE:
            self._suspects.record_completion(ticket.fingerprint)
            self._forecast.record_answer(ticket, placement.output_tokens)
            expected_tokens = ticket.prompt_tokens - placement.uncached_tokens
            self._prefixes.record_cached_tokens(
                placement.upstream, expected_tokens, cached_prompt_tokens
            )

    def attribute_crash(self, placement: Placement, now_s: float) -> None:
        """Count a crash against the content of a request that failed in it."""
        if not self._policy.suspects:
            return
        load = self._pool.get_or_create(placement.upstream)
        if load.last_crash is None or now_s - load.last_crash.at_s > SAME_CRASH_S:
            load.last_crash = Crash(now_s, self._possible_causes(placement.upstream))
        request_id = placement.ticket.request_id
        has_other_cause = load.last_crash.has_other_cause(request_id)
        self._suspects.record_crash(placement.ticket.fingerprint, has_other_cause)

    def _possible_causes(self, upstream: UpstreamId) -> frozenset[RequestId]:
        return frozenset(
            placement.ticket.request_id
            for placement in self._placements.of_upstream(upstream)
            if placement.first_token_s is None
            and placement.state is PlacementState.DISPATCHED
            and not self._suspects.is_suspect(placement.ticket.fingerprint)
        )
