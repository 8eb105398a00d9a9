"""What becomes of granted requests: room given back, rates, caches and suspects learned."""

from ..ids import RequestId, UpstreamId
from .forecast import OutputForecast
from .placements import Placement, PlacementRegistry, PlacementState
from .placing import UpstreamPool
from .policy import Policy
from .prefix_index import PrefixIndex
from .suspects import SAME_CRASH_S, Crash, SuspectBook
from .tickets import EndState
from .upstream_load import UpstreamLoad


class Outcomes:
    """Learns from placements as they go on and end."""

    def __init__(
        self,
        pool: UpstreamPool,
        placements: PlacementRegistry,
        prefixes: PrefixIndex,
        forecast: OutputForecast,
        suspects: SuspectBook,
        policy: Policy,
    ) -> None:
        self._pool = pool
        self._placements = placements
        self._prefixes = prefixes
        self._forecast = forecast
        self._suspects = suspects
        self._policy = policy

    def progress(self, placement: Placement, output_tokens: int, now_s: float) -> None:
        """Learn from the output tokens of a request so far."""
        load = self._pool.known(placement.upstream)
        if placement.first_token_s is None:
            self._first_token(placement, load, now_s)
            self._pool.touch(load)
        else:
            tokens = output_tokens - placement.output_tokens
            load.decoded(tokens, now_s - placement.progress_s, now_s)
        placement.output_tokens = output_tokens
        placement.progress_s = now_s

    def _first_token(self, placement: Placement, load: UpstreamLoad, now_s: float) -> None:
        placement.first_token_s = now_s
        load.decoding += 1
        if load.suspect == placement.ticket.request_id:
            load.suspect_answers = True
        self._release_prompt(placement)
        if placement.state is PlacementState.DISPATCHED and placement.expected_first_token_s:
            load.first_token(
                placement.dispatched_s,
                placement.uncached_tokens,
                placement.expected_first_token_s,
                now_s,
            )

    def _release_prompt(self, placement: Placement) -> None:
        self._pool.known(placement.upstream).release_prompt(placement.prompt_tokens)
        placement.prompt_tokens = 0

    def release(self, request_id: RequestId) -> Placement | None:
        """Take a placement out and give its room back."""
        placement = self._placements.remove(request_id)
        if placement is None:
            return None
        load = self._pool.known(placement.upstream)
        load.release_prompt(placement.prompt_tokens)
        load.release_stream(placement.ticket.tier)
        if load.suspect == request_id:
            load.suspect = None
        load.decoding -= placement.first_token_s is not None
        self._pool.touch(load)
        self.discard_idle(placement.upstream)
        return placement

    def discard_idle(self, upstream_id: UpstreamId) -> None:
        """Forget an upstream that was removed and has nothing in flight."""
        load = self._pool.get(upstream_id)
        if load is not None and load.group is None and load.streams == 0:
            self._pool.discard(upstream_id)

    def learn_end(self, placement: Placement, end: EndState, cached_prompt_tokens: int) -> None:
        """Learn from the end of a request."""
        ticket = placement.ticket
        if end is EndState.UPSTREAM_CRASHED:
            self._prefixes.clear(placement.upstream)
        elif end is EndState.COMPLETE:
            self._suspects.completed(ticket.fingerprint)
            self._forecast.learn(ticket, placement.output_tokens)
            expected_tokens = ticket.prompt_tokens - placement.uncached_tokens
            self._prefixes.confirm(placement.upstream, expected_tokens, cached_prompt_tokens)

    def judge_crash(self, placement: Placement, now_s: float) -> None:
        """Count a crash against the content of a request that it cut."""
        if not self._policy.suspects:
            return
        load = self._pool.known(placement.upstream)
        if load.last_crash is None or now_s - load.last_crash.at_s > SAME_CRASH_S:
            load.last_crash = Crash(now_s, self._newcomers(placement.upstream))
        request_id = placement.ticket.request_id
        has_doubt = load.last_crash.has_doubt(request_id)
        self._suspects.crashed(placement.ticket.fingerprint, has_doubt)

    def _newcomers(self, upstream: UpstreamId) -> frozenset[RequestId]:
        return frozenset(
            placement.ticket.request_id
            for placement in self._placements.of_upstream(upstream)
            if placement.first_token_s is None
            and placement.state is PlacementState.DISPATCHED
            and not self._suspects.is_suspect(placement.ticket.fingerprint)
        )
