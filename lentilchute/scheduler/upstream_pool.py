"""The upstreams of a shard, and the choice of one of them for a ticket."""

import math
from dataclasses import dataclass

from ..ids import Tier, UpstreamId
from .forecast import OutputForecast
from .policy import Policy
from .prefix_index import PrefixIndex
from .suspects import SuspectTracker
from .tickets import Ticket
from .upstream_load import UpstreamLoad
from .waiting_list import WaitingTicket

BLOCKING_PROMPT_S = 1.5
"""A prompt with a longer prefill delays the prompts queued behind it past a first-token target."""

UNBLOCKED_UPSTREAMS_SHARE = 0.3
"""Share of the upstreams that lower tiers keep free of blocking prompts."""

MAX_CANDIDATES = 32
"""Maximum number of upstreams with capacity that are compared for one ticket."""

DEADLINE_MARGIN = 1.15
"""Safety factor on the expected time of an answer that must end before its deadline."""

TOP_TIER_DEADLINE_MARGIN = 0.8
"""The same for the highest tier, refused only if it will almost certainly miss its deadline."""

AFFINITY_WAIT_FACTOR = 3.0
"""Limit on the wait for a cached prefix, as a multiple of the best candidate's prefill time.

That is the most prefill time that the wait can save.
"""

MAX_AFFINITY_WAIT_S = 15.0
"""Limit on the wait for an upstream with the prefix in its cache while others have capacity."""

MIN_AFFINITY_WAIT_SAVED_TOKENS = 512
"""Prompt tokens that such an upstream must save for a ticket to wait for it."""

MIN_AFFINITY_TOKENS = 256
"""Fewer cached tokens are ignored: they would pile an account's requests onto few upstreams."""

IDLE_TURN_FACTOR = 3
"""An idle upstream gets a ticket after this many grants for each upstream that accepts work."""

PREFILL_WEIGHT = 2.0
"""Weight of the prefill time in the cost of an upstream, on top of the expected finish time."""


@dataclass(frozen=True, slots=True)
class Choice:
    """An upstream for a ticket, with the expected times in seconds from a placement there."""

    load: UpstreamLoad
    uncached_tokens: int
    first_token_s: float
    finish_s: float


class UpstreamPool:
    """All upstreams of one shard."""

    def __init__(
        self,
        policy: Policy,
        forecast: OutputForecast,
        prefixes: PrefixIndex,
        suspects: SuspectTracker,
    ) -> None:
        self._suspects = suspects
        self._prefixes = prefixes
        self._forecast = forecast
        self.reserved_shares: tuple[float, ...] = ()
        self._policy = policy
        self._loads: dict[UpstreamId, UpstreamLoad] = {}
        self._available: dict[UpstreamId, UpstreamLoad] = {}
        self._prefill_tokens_per_s = 1.0
        self._decode_tokens_per_s = 1.0
        self._grants = 0
        self._idle_turn_grants = IDLE_TURN_FACTOR

    def __len__(self) -> int:
        return len(self._loads)

    def get(self, upstream: UpstreamId) -> UpstreamLoad | None:
        """Return the load of an upstream, or ``None``."""
        return self._loads.get(upstream)

    def get_or_create(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream; a new one accepts no work until it is configured."""
        load = self._loads.get(upstream)
        if load is None:
            load = UpstreamLoad(upstream, self._policy)
            load.last_grant_number = self._grants
            self._loads[upstream] = load
        return load

    def discard(self, upstream: UpstreamId) -> None:
        """Remove an upstream."""
        self._loads.pop(upstream, None)
        self._available.pop(upstream, None)

    def all(self) -> list[UpstreamLoad]:
        """Return every upstream."""
        return list(self._loads.values())

    def record_grant(self, load: UpstreamLoad, now_s: float) -> None:
        """Record that an upstream was granted a ticket."""
        self._grants += 1
        load.last_grant_number = self._grants
        load.last_grant_s = now_s

    def _is_turn_due(self, load: UpstreamLoad) -> bool:
        """Return whether an idle upstream has been passed over for long.

        Its learned rates may be out of date, as after a drain; a limit by time alone would leave it
        idle for many requests.
        """
        if load.streams > 0 or load.suspect_request is not None:
            return False
        return self._grants - load.last_grant_number >= self._idle_turn_grants

    def has_eligible(self, ticket: Ticket) -> bool:
        """Return whether any upstream could serve a ticket once it has capacity."""
        return any(load.accepts_work and load.can_serve(ticket) for load in self._loads.values())

    def update_availability(self, load: UpstreamLoad) -> None:
        """Update the index of available upstreams after a change to an upstream.

        The index holds the upstreams that may have capacity, so that a decision does not scan all.
        """
        self._available.pop(load.upstream, None)
        if load.accepts_work and self._may_have_capacity(load):
            self._available[load.upstream] = load

    @staticmethod
    def _may_have_capacity(load: UpstreamLoad) -> bool:
        return load.streams == 0 or load.is_degraded or load.has_capacity(Tier(0), ())

    @property
    def has_available(self) -> bool:
        """Whether any upstream may have capacity."""
        return bool(self._available)

    def with_capacity(self, tier: Tier, now_s: float) -> list[UpstreamLoad]:
        """Return at most ``MAX_CANDIDATES`` upstreams that may get a ticket of a tier now.

        The least recently updated come first.
        """
        candidates: list[UpstreamLoad] = []
        for load in self._available.values():
            if load.is_probe_due(tier, now_s) or load.has_capacity(tier, self.reserved_shares):
                candidates.append(load)
                if len(candidates) == MAX_CANDIDATES:
                    break
        return candidates

    def choose(
        self, waiting: WaitingTicket, candidates: list[UpstreamLoad], now_s: float
    ) -> Choice | None:
        """Return the candidate with the lowest cost, or ``None`` if the ticket has to wait.

        A candidate that is due for a probe takes precedence. A ticket waits for a limited time for
        an upstream without capacity if that one has enough of the prompt cached to be expected to
        answer sooner than any candidate.
        """
        ticket = waiting.ticket
        output_tokens = self._forecast.expected_tokens(ticket)
        best: Choice | None = None
        is_suspect = self._suspects.is_suspect(ticket.fingerprint)
        for load in self._with_cached_upstreams(candidates, ticket):
            if not load.can_serve_now(ticket):
                continue
            if is_suspect and load.suspect_request is not None:
                continue
            choice = self._evaluate(load, ticket, output_tokens)
            if self._is_too_late(choice, ticket, now_s):
                continue
            if load.is_probe_due(ticket.tier, now_s) or self._is_turn_due(load):
                return choice
            if best is None or _cost(choice) < _cost(best):
                best = choice
        if best is None or self._must_stay_unblocked(best, ticket):
            return None
        if self._may_wait_for_affinity(waiting, now_s) and self._has_better_cached_upstream(
            best, ticket, output_tokens
        ):
            if waiting.affinity_wait_until_s is None:
                prefill_s = best.uncached_tokens / best.load.prefill_tokens_per_s
                waiting.affinity_wait_until_s = now_s + min(
                    AFFINITY_WAIT_FACTOR * prefill_s, MAX_AFFINITY_WAIT_S
                )
            return None
        return best

    def _with_cached_upstreams(
        self, candidates: list[UpstreamLoad], ticket: Ticket
    ) -> list[UpstreamLoad]:
        """Return the candidates and any other upstreams with capacity and the cached prefix."""
        if len(candidates) < MAX_CANDIDATES or not self._policy.prefix_affinity:
            return candidates
        cached_loads = [
            self._available[upstream]
            for upstream in self._prefixes.upstreams_with_prefix(ticket.prefix_hashes)
            if upstream in self._available
        ]
        others = [
            load
            for load in cached_loads
            if load not in candidates and load.has_capacity(ticket.tier, self.reserved_shares)
        ]
        return candidates + others

    @staticmethod
    def _may_wait_for_affinity(waiting: WaitingTicket, now_s: float) -> bool:
        return waiting.affinity_wait_until_s is None or now_s < waiting.affinity_wait_until_s

    def _is_too_late(self, choice: Choice, ticket: Ticket, now_s: float) -> bool:
        if not self._policy.deadline_refusal:
            return False
        return now_s + deadline_margin(ticket.tier) * choice.finish_s > ticket.deadline_s

    def min_answer_s(self, ticket: Ticket) -> float:
        """Return the least time in which an idle upstream is expected to answer a ticket.

        This assumes that the whole prompt is cached and uses the rates of ``update_rates``.
        """
        prefill_s = 1.0 / self._prefill_tokens_per_s
        return prefill_s + self._forecast.expected_tokens(ticket) / self._decode_tokens_per_s

    def update_rates(self) -> None:
        """Update the highest rates among the upstreams that accept work."""
        for load in self._loads.values():
            self.update_availability(load)
        open_loads = [load for load in self._loads.values() if load.accepts_work]
        self._idle_turn_grants = IDLE_TURN_FACTOR * max(len(open_loads), 1)
        self._prefill_tokens_per_s = max(
            (load.prefill_tokens_per_s for load in open_loads), default=1.0
        )
        self._decode_tokens_per_s = max(
            (load.decode_tokens_per_s for load in open_loads), default=1.0
        )

    def _has_better_cached_upstream(
        self, best: Choice, ticket: Ticket, output_tokens: float
    ) -> bool:
        if (
            not self._policy.prefix_affinity
            or best.uncached_tokens < MIN_AFFINITY_WAIT_SAVED_TOKENS
        ):
            return False
        for upstream in self._prefixes.upstreams_with_prefix(ticket.prefix_hashes):
            load = self._loads.get(upstream)
            if load is None or not load.accepts_work or not load.can_serve_now(ticket):
                continue
            choice = self._evaluate(load, ticket, output_tokens)
            saved = best.uncached_tokens - choice.uncached_tokens
            if saved >= MIN_AFFINITY_WAIT_SAVED_TOKENS and _cost(choice) < _cost(best):
                return True
        return False

    def _evaluate(self, load: UpstreamLoad, ticket: Ticket, output_tokens: float) -> Choice:
        uncached_tokens = max(ticket.prompt_tokens - self._cached_tokens(load, ticket), 1)
        first_token_s = load.prefill_wait_s() + uncached_tokens / load.prefill_tokens_per_s
        finish_s = first_token_s + output_tokens / load.decode_tokens_per_s
        return Choice(load, uncached_tokens, first_token_s, finish_s)

    def _cached_tokens(self, load: UpstreamLoad, ticket: Ticket) -> int:
        if not self._policy.prefix_affinity:
            return 0
        cached_tokens = self._prefixes.cached_tokens(load.upstream, ticket.prefix_hashes)
        return cached_tokens if cached_tokens >= MIN_AFFINITY_TOKENS else 0

    def _must_stay_unblocked(self, choice: Choice, ticket: Ticket) -> bool:
        """Return whether a lower tier's long prompt would block an upstream kept for short ones."""
        if ticket.tier == 0 or not self._policy.reserve:
            return False
        prefill_s = choice.uncached_tokens / choice.load.prefill_tokens_per_s
        if prefill_s <= BLOCKING_PROMPT_S or choice.load.prefill_wait_s() > BLOCKING_PROMPT_S:
            return False
        open_loads = [load for load in self._loads.values() if load.accepts_work]
        unblocked = sum(1 for load in open_loads if load.prefill_wait_s() <= BLOCKING_PROMPT_S)
        return (
            unblocked <= math.ceil(UNBLOCKED_UPSTREAMS_SHARE * len(open_loads))
            and len(open_loads) > 1
        )


def deadline_margin(tier: Tier) -> float:
    """Return the safety factor on expected times that are compared with a tier's deadlines."""
    return TOP_TIER_DEADLINE_MARGIN if tier == 0 else DEADLINE_MARGIN


def _cost(choice: Choice) -> tuple[float, float]:
    load = choice.load
    # The prefill of a prompt also slows down the other streams of the upstream.
    prefill_s = choice.uncached_tokens / load.prefill_tokens_per_s
    return choice.finish_s + PREFILL_WEIGHT * prefill_s, load.streams / max(load.stream_limit, 1)
