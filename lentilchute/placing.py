"""Choice of an upstream for one ticket."""

import math
from dataclasses import dataclass

from .forecast import OutputForecast
from .ids import UpstreamId
from .policy import Policy
from .tickets import Ticket
from .upstream_load import UpstreamLoad

BLOCKING_PROMPT_S = 1.5
"""A prompt that takes longer holds up the prompts behind it beyond a first-token target."""

KEPT_UPSTREAMS_SHARE = 0.3
"""Part of the upstreams that lower tiers leave free of blocking prompts."""


@dataclass(frozen=True, slots=True)
class Choice:
    """An upstream with room for a ticket, and what placing it there is expected to take."""

    load: UpstreamLoad
    uncached_tokens: int
    first_token_s: float
    finish_s: float


class UpstreamPool:
    """All upstreams of one shard."""

    def __init__(self, policy: Policy, forecast: OutputForecast) -> None:
        self._forecast = forecast
        self.reserved_shares: tuple[float, ...] = ()
        self._policy = policy
        self._loads: dict[UpstreamId, UpstreamLoad] = {}

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

    def all(self) -> list[UpstreamLoad]:
        """Return every upstream."""
        return list(self._loads.values())

    def has_open(self, ticket: Ticket) -> bool:
        """Tell whether any upstream may get this ticket once it has room."""
        return any(
            load.is_open and load.upstream not in ticket.excluded for load in self._loads.values()
        )

    def choose(self, ticket: Ticket, now_s: float) -> Choice | None:
        """Return the upstream with room that finishes first, or ``None`` when none has room."""
        best: Choice | None = None
        output_tokens = self._forecast.tokens(ticket)
        for load in self._loads.values():
            if not load.is_open or load.upstream in ticket.excluded:
                continue
            if load.needs_probe(ticket.tier, now_s):
                return self._choice(load, ticket, output_tokens)
            if not load.has_room(ticket.tier, self.reserved_shares):
                continue
            choice = self._choice(load, ticket, output_tokens)
            if best is None or _rank(choice) < _rank(best):
                best = choice
        if best is None or self._must_stay_free(best, ticket):
            return None
        return best

    @staticmethod
    def _choice(load: UpstreamLoad, ticket: Ticket, output_tokens: float) -> Choice:
        uncached_tokens = ticket.prompt_tokens
        first_token_s = load.wait_s() + uncached_tokens / load.prefill_tokens_per_s
        finish_s = first_token_s + output_tokens / load.decode_tokens_per_s
        return Choice(load, uncached_tokens, first_token_s, finish_s)

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


def _rank(choice: Choice) -> tuple[float, float]:
    load = choice.load
    return choice.finish_s, load.streams / max(load.stream_limit, 1)
