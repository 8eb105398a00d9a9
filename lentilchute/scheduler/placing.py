"""Choice of an upstream for one ticket."""

import math
from dataclasses import dataclass

from ..ids import Tier, UpstreamId
from .forecast import OutputForecast
from .policy import Policy
from .prefix_index import PrefixIndex
from .suspects import SuspectBook
from .tickets import Ticket
from .upstream_load import UpstreamLoad
from .waiting import Waiting

BLOCKING_PROMPT_S = 1.5
"""A prompt that takes longer holds up the prompts behind it beyond a first-token target."""

KEPT_UPSTREAMS_SHARE = 0.3
"""Part of the upstreams that lower tiers leave free of blocking prompts."""


MAX_CANDIDATES = 32
"""Upstreams with room that are weighed against each other for one ticket."""

DEADLINE_MARGIN = 1.15
"""Factor on the expected time of an answer that has to fit before the deadline."""

TOP_TIER_DEADLINE_MARGIN = 0.8
"""The same for the highest tier, which is refused only when there is hardly any hope."""

HOLD_FACTOR = 3.0
"""A ticket may wait this many times the prefill time that it saves by waiting."""

MAX_HOLD_S = 15.0
"""Time that a ticket may wait for an upstream that holds its prefix while others have room."""

MIN_HOLD_TOKENS = 512
"""Prompt tokens that such an upstream has to save."""

MIN_AFFINITY_TOKENS = 256
"""Fewer cached tokens do not count: they would gather an account's requests on few upstreams."""

PREFILL_WEIGHT = 2.0
"""How much the time of a prompt counts against an upstream besides the wait for it."""


@dataclass(frozen=True, slots=True)
class Choice:
    """An upstream with room for a ticket, and what placing it there is expected to take."""

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
        suspects: SuspectBook,
    ) -> None:
        self._suspects = suspects
        self._prefixes = prefixes
        self._forecast = forecast
        self.reserved_shares: tuple[float, ...] = ()
        self._policy = policy
        self._loads: dict[UpstreamId, UpstreamLoad] = {}
        self._free: dict[UpstreamId, UpstreamLoad] = {}
        self._prefill_tokens_per_s = 1.0
        self._decode_tokens_per_s = 1.0

    def __len__(self) -> int:
        return len(self._loads)

    def get(self, upstream: UpstreamId) -> UpstreamLoad | None:
        """Return an upstream's load, or ``None``."""
        return self._loads.get(upstream)

    def known(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return an upstream's load; one not yet added gets no new work."""
        load = self._loads.get(upstream)
        if load is None:
            load = UpstreamLoad(upstream, self._policy)
            self._loads[upstream] = load
        return load

    def discard(self, upstream: UpstreamId) -> None:
        """Forget an upstream."""
        self._loads.pop(upstream, None)
        self._free.pop(upstream, None)

    def all(self) -> list[UpstreamLoad]:
        """Return every upstream."""
        return list(self._loads.values())

    def has_open(self, ticket: Ticket) -> bool:
        """Tell whether any upstream may get this ticket once it has room."""
        return any(load.is_open and load.may_serve(ticket) for load in self._loads.values())

    def touch(self, load: UpstreamLoad) -> None:
        """Note that an upstream's room may have changed.

        Upstreams with room are kept apart, so that a decision does not look at all others.
        """
        self._free.pop(load.upstream, None)
        if load.is_open and self._may_have_room(load):
            self._free[load.upstream] = load

    @staticmethod
    def _may_have_room(load: UpstreamLoad) -> bool:
        return load.streams == 0 or load.is_declined or load.has_room(Tier(0), ())

    @property
    def has_free(self) -> bool:
        """Whether any upstream may have room."""
        return bool(self._free)

    def with_room(self, tier: Tier, now_s: float) -> list[UpstreamLoad]:
        """Return upstreams that may get a ticket of a tier now.

        Those that changed longest ago come first; there are at most ``MAX_CANDIDATES``.
        """
        candidates: list[UpstreamLoad] = []
        for load in self._free.values():
            if load.needs_probe(tier, now_s) or load.has_room(tier, self.reserved_shares):
                candidates.append(load)
                if len(candidates) == MAX_CANDIDATES:
                    break
        return candidates

    def choose(
        self, waiting: Waiting, candidates: list[UpstreamLoad], now_s: float
    ) -> Choice | None:
        """Return the candidate that suits a ticket best, or ``None`` when it shall wait.

        A ticket waits for a while when an upstream without room holds so much of its prompt that
        it is expected to answer sooner than any candidate.
        """
        ticket = waiting.ticket
        output_tokens = self._forecast.tokens(ticket)
        best: Choice | None = None
        is_suspect = self._suspects.is_suspect(ticket.fingerprint)
        for load in self._with_holders(candidates, ticket):
            if not load.serves(ticket):
                continue
            if is_suspect and load.suspect is not None:
                continue
            choice = self._choice(load, ticket, output_tokens)
            if self._is_too_late(choice, ticket, now_s):
                continue
            if load.needs_probe(ticket.tier, now_s):
                return choice
            if best is None or _rank(choice) < _rank(best):
                best = choice
        if best is None or self._must_stay_free(best, ticket):
            return None
        if self._may_hold(waiting, now_s) and self._has_better_holder(best, ticket, output_tokens):
            if waiting.hold_until_s is None:
                whole_s = best.uncached_tokens / best.load.prefill_tokens_per_s
                waiting.hold_until_s = now_s + min(HOLD_FACTOR * whole_s, MAX_HOLD_S)
            return None
        return best

    def _with_holders(self, candidates: list[UpstreamLoad], ticket: Ticket) -> list[UpstreamLoad]:
        """Return the candidates, and the holders of a ticket's prefix that are not among them."""
        if len(candidates) < MAX_CANDIDATES or not self._policy.prefix_affinity:
            return candidates
        holders = [
            self._free[upstream]
            for upstream in self._prefixes.holders(ticket.prefix_hashes)
            if upstream in self._free
        ]
        others = [
            load
            for load in holders
            if load not in candidates and load.has_room(ticket.tier, self.reserved_shares)
        ]
        return candidates + others

    @staticmethod
    def _may_hold(waiting: Waiting, now_s: float) -> bool:
        return waiting.hold_until_s is None or now_s < waiting.hold_until_s

    def _is_too_late(self, choice: Choice, ticket: Ticket, now_s: float) -> bool:
        if not self._policy.deadline_refusal:
            return False
        return now_s + deadline_margin(ticket.tier) * choice.finish_s > ticket.deadline_s

    def quickest_s(self, ticket: Ticket) -> float:
        """Return the least time in which an idle upstream is expected to answer a ticket.

        The rates are those of ``update_rates``.
        """
        prefill_s = 1.0 / self._prefill_tokens_per_s
        return prefill_s + self._forecast.tokens(ticket) / self._decode_tokens_per_s

    def update_rates(self) -> None:
        """Find the highest rates of all open upstreams."""
        for load in self._loads.values():
            self.touch(load)
        is_open = [load for load in self._loads.values() if load.is_open]
        self._prefill_tokens_per_s = max(
            (load.prefill_tokens_per_s for load in is_open), default=1.0
        )
        self._decode_tokens_per_s = max((load.decode_tokens_per_s for load in is_open), default=1.0)

    def _has_better_holder(self, best: Choice, ticket: Ticket, output_tokens: float) -> bool:
        if not self._policy.prefix_affinity or best.uncached_tokens < MIN_HOLD_TOKENS:
            return False
        for upstream in self._prefixes.holders(ticket.prefix_hashes):
            load = self._loads.get(upstream)
            if load is None or not load.is_open or not load.serves(ticket):
                continue
            choice = self._choice(load, ticket, output_tokens)
            saved = best.uncached_tokens - choice.uncached_tokens
            if saved >= MIN_HOLD_TOKENS and _rank(choice) < _rank(best):
                return True
        return False

    def _choice(self, load: UpstreamLoad, ticket: Ticket, output_tokens: float) -> Choice:
        uncached_tokens = max(ticket.prompt_tokens - self._cached_tokens(load, ticket), 1)
        first_token_s = load.wait_s() + uncached_tokens / load.prefill_tokens_per_s
        finish_s = first_token_s + output_tokens / load.decode_tokens_per_s
        return Choice(load, uncached_tokens, first_token_s, finish_s)

    def _cached_tokens(self, load: UpstreamLoad, ticket: Ticket) -> int:
        if not self._policy.prefix_affinity:
            return 0
        cached_tokens = self._prefixes.cached_tokens(load.upstream, ticket.prefix_hashes)
        return cached_tokens if cached_tokens >= MIN_AFFINITY_TOKENS else 0

    def _must_stay_free(self, choice: Choice, ticket: Ticket) -> bool:
        """Tell whether a lower tier's long prompt would take an upstream kept for short ones."""
        if ticket.tier == 0 or not self._policy.reserve:
            return False
        own_s = choice.uncached_tokens / choice.load.prefill_tokens_per_s
        if own_s <= BLOCKING_PROMPT_S or choice.load.wait_s() > BLOCKING_PROMPT_S:
            return False
        is_open = [load for load in self._loads.values() if load.is_open]
        free = sum(1 for load in is_open if load.wait_s() <= BLOCKING_PROMPT_S)
        return free <= math.ceil(KEPT_UPSTREAMS_SHARE * len(is_open)) and len(is_open) > 1


def deadline_margin(tier: Tier) -> float:
    """Return the factor on expected times that are compared with a tier's deadlines."""
    return TOP_TIER_DEADLINE_MARGIN if tier == 0 else DEADLINE_MARGIN


def _rank(choice: Choice) -> tuple[float, float]:
    load = choice.load
    # A prompt also takes time from the streams beside it.
    prefill_s = choice.uncached_tokens / load.prefill_tokens_per_s
    return choice.finish_s + PREFILL_WEIGHT * prefill_s, load.streams / max(load.stream_limit, 1)
