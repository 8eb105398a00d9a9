"""Grants of waiting tickets to upstreams, in tier order."""

import math

from ..document import ServiceDocument
from ..ids import ClientAccountId, Tier, UpstreamId
from ..settings import SchedulerSettings
from .forecast import OutputForecast
from .grant_rates import TierGrantRates
from .placements import Placement, PlacementRegistry, PlacementState
from .policy import Policy
from .prefix_index import PrefixIndex
from .suspects import SuspectTracker
from .tickets import Decision, Grant, Ticket
from .upstream_pool import Choice, UpstreamPool
from .waiting_list import WaitingList, WaitingTicket

OUTPUT_TOKEN_WEIGHT = 4.0
"""Cost of an output token, in prompt tokens, in the work charged to a client account."""

LOOKAHEAD_TICKETS = 16
"""Maximum number of tickets of a tier that are tried, in order, until one can be placed."""

FLOOR_GRANT_DECAY = 0.99
"""Decay per grant of the counts that are compared with the floors of tiers."""


class Granter:
    """Grants waiting tickets while upstreams have capacity.

    Tiers are served in strict priority order, except that a tier goes first while its share of the
    recent grants is below its floor.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        prefixes: PrefixIndex,
        forecast: OutputForecast,
        suspects: SuspectTracker,
        waiting: WaitingList,
        placements: PlacementRegistry,
        settings: SchedulerSettings,
        policy: Policy,
    ) -> None:
        self._pool = pool
        self._prefixes = prefixes
        self._forecast = forecast
        self._suspects = suspects
        self._weights: dict[ClientAccountId, float] = {}
        self._waiting = waiting
        self._placements = placements
        self._settings = settings
        self._policy = policy
        self._floors: dict[Tier, float] = {}
        self._recent_grants = 0.0
        self.grant_rates = TierGrantRates()
        self.next_affinity_wait_end_s = math.inf
        """When the next ticket that waits for an upstream with its prefix may go to another one."""
        self._recent_by_tier: dict[Tier, float] = {}

    def configure(self, document: ServiceDocument) -> None:
        """Apply the floors and reserved shares of tiers and the weights of client accounts."""
        self._floors = {
            Tier(rank): tier.floor_share
            for rank, tier in enumerate(document.tiers)
            if tier.floor_share > 0
        }
        self._weights = {
            ClientAccountId(account.name): account.weight for account in document.client_accounts
        }
        shares = tuple(tier.reserved_share for tier in document.tiers)
        self._pool.reserved_shares = shares if self._policy.reserve else ()

    def grant_all(self, now_s: float) -> list[Decision]:
        """Grant tickets until no more can be placed."""
        grants: list[Decision] = []
        self.next_affinity_wait_end_s = math.inf
        while (
            len(self._waiting)
            and self._pool.has_available
            and (found := self._next_placeable(now_s)) is not None
        ):
            waiting, choice = found
            grants.append(self._grant(waiting.ticket, choice, now_s))
        return grants

    def _next_placeable(self, now_s: float) -> tuple[WaitingTicket, Choice] | None:
        for tier in self._tier_order():
            found = self._first_placeable(tier, now_s)
            if found is not None:
                return found
        return None

    def _tier_order(self) -> list[Tier]:
        tiers = self._waiting.tiers()
        below_floor = [tier for tier in tiers if self._is_below_floor(tier)]
        return below_floor + [tier for tier in tiers if tier not in below_floor]

    def _is_below_floor(self, tier: Tier) -> bool:
        threshold = self._floors.get(tier, 0.0) * self._recent_grants
        return self._recent_by_tier.get(tier, 0.0) < threshold

    def _first_placeable(self, tier: Tier, now_s: float) -> tuple[WaitingTicket, Choice] | None:
        """Return the first ticket of a tier that can be placed, with the chosen upstream.

        A lower tier is tried if no ticket of the higher tiers can be placed, for example because
        they exclude the upstreams with capacity. It takes no capacity that they could use.
        """
        candidates = self._pool.with_capacity(tier, now_s)
        if not candidates:
            return None
        for waiting in self._waiting.in_order(tier, LOOKAHEAD_TICKETS):
            choice = self._pool.choose(waiting, candidates, now_s)
            if choice is not None:
                return waiting, choice
            if waiting.affinity_wait_until_s is not None and waiting.affinity_wait_until_s > now_s:
                self.next_affinity_wait_end_s = min(
                    self.next_affinity_wait_end_s, waiting.affinity_wait_until_s
                )
        return None

    def _grant(self, ticket: Ticket, choice: Choice, now_s: float) -> Grant:
        self._waiting.remove(ticket.request_id)
        self._count_grant(ticket.tier)
        self.grant_rates.record_grant(ticket.tier, now_s)
        work = choice.uncached_tokens + OUTPUT_TOKEN_WEIGHT * self._forecast.expected_tokens(ticket)
        self._waiting.charge(ticket, work / self._weights.get(ticket.client_account, 1.0))
        placement = self.reserve(ticket, choice.load.upstream, choice.uncached_tokens, now_s)
        placement.expected_first_token_s = choice.first_token_s
        reason = f"first token expected in {choice.first_token_s:.3f} s"
        return Grant(
            ticket.request_id,
            ticket.attempt,
            ticket.entry,
            placement.upstream,
            placement.expires_s,
            reason,
        )

    def _count_grant(self, granted: Tier) -> None:
        self._recent_grants = self._recent_grants * FLOOR_GRANT_DECAY + 1
        for tier in self._floors:
            before = self._recent_by_tier.get(tier, 0.0) * FLOOR_GRANT_DECAY
            self._recent_by_tier[tier] = before + (tier == granted)

    def reserve(self, ticket: Ticket, upstream: UpstreamId, tokens: int, now_s: float) -> Placement:
        """Reserve capacity of an upstream for a ticket."""
        expires_s = now_s + self._settings.grant_timeout_s
        placement = Placement(
            ticket, upstream, PlacementState.GRANTED, now_s, expires_s, tokens, tokens
        )
        self._placements.add(placement)
        self._prefixes.add_prompt(upstream, ticket.prefix_hashes)
        load = self._pool.get_or_create(upstream)
        self._pool.record_grant(load, now_s)
        load.reserve(ticket.tier, tokens)
        if self._policy.suspects and self._suspects.is_suspect(ticket.fingerprint):
            load.suspect_request = ticket.request_id
            load.has_suspect_answered = False
        self._pool.update_availability(load)
        return placement
