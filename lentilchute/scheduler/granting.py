"""Grants in tier order: which waiting ticket goes to an upstream next."""

import math

from ..document import ServiceDocument
from ..ids import ClientAccountId, Tier, UpstreamId
from ..settings import SchedulerSettings
from .forecast import OutputForecast
from .placements import Placement, PlacementRegistry, PlacementState
from .placing import Choice, UpstreamPool
from .policy import Policy
from .prefix_index import PrefixIndex
from .suspects import SuspectBook
from .tickets import Decision, Grant, Ticket
from .tier_flow import TierFlow
from .waiting import Waiting, WaitingList

OUTPUT_WORK = 4.0
"""Work of an output token, in prompt tokens, when accounts share a tier."""

LOOKAHEAD = 16
"""Tickets of a tier that are tried when those before them cannot be placed."""

GRANT_MEMORY = 0.99
"""Weight of the grants so far when a new one is counted for the floors of tiers."""


class Granter:
    """Grants waiting tickets while upstreams have room.

    Tiers go strictly in order. A tier with a floor goes first while it got less than that part of
    the recent grants.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        prefixes: PrefixIndex,
        forecast: OutputForecast,
        suspects: SuspectBook,
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
        self.flow = TierFlow()
        self.next_hold_end_s = math.inf
        """When a ticket that waits for the holder of its prefix may go elsewhere."""
        self._recent_by_tier: dict[Tier, float] = {}

    def configure(self, document: ServiceDocument) -> None:
        """Take floors and reserved shares of tiers, and weights of accounts, from a document."""
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
        """Grant until no ticket can be placed."""
        grants: list[Decision] = []
        self.next_hold_end_s = math.inf
        while (
            len(self._waiting) and self._pool.has_free and (found := self._next(now_s)) is not None
        ):
            waiting, choice = found
            grants.append(self._grant(waiting.ticket, choice, now_s))
        return grants

    def _next(self, now_s: float) -> tuple[Waiting, Choice] | None:
        for tier in self._order():
            found = self._placeable(tier, now_s)
            if found is not None:
                return found
        return None

    def _order(self) -> list[Tier]:
        tiers = self._waiting.tiers()
        behind = [tier for tier in tiers if self._is_below_floor(tier)]
        return behind + [tier for tier in tiers if tier not in behind]

    def _is_below_floor(self, tier: Tier) -> bool:
        least = self._floors.get(tier, 0.0) * self._recent_grants
        return self._recent_by_tier.get(tier, 0.0) < least

    def _placeable(self, tier: Tier, now_s: float) -> tuple[Waiting, Choice] | None:
        """Return the first ticket of a tier that fits somewhere, with its place.

        Where no ticket of a higher tier fits, one of a lower tier may, as when the higher one is
        excluded from the upstreams with room. It takes nothing that the higher one could use.
        """
        candidates = self._pool.with_room(tier, now_s)
        if not candidates:
            return None
        for waiting in self._waiting.in_order(tier, LOOKAHEAD):
            choice = self._pool.choose(waiting, candidates, now_s)
            if choice is not None:
                return waiting, choice
            if waiting.hold_until_s is not None and waiting.hold_until_s > now_s:
                self.next_hold_end_s = min(self.next_hold_end_s, waiting.hold_until_s)
        return None

    def _grant(self, ticket: Ticket, choice: Choice, now_s: float) -> Grant:
        self._waiting.remove(ticket.request_id)
        self._count(ticket.tier)
        self.flow.granted(ticket.tier, now_s)
        work = choice.uncached_tokens + OUTPUT_WORK * self._forecast.tokens(ticket)
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

    def _count(self, granted: Tier) -> None:
        self._recent_grants = self._recent_grants * GRANT_MEMORY + 1
        for tier in self._floors:
            before = self._recent_by_tier.get(tier, 0.0) * GRANT_MEMORY
            self._recent_by_tier[tier] = before + (tier == granted)

    def reserve(self, ticket: Ticket, upstream: UpstreamId, tokens: int, now_s: float) -> Placement:
        """Take room on an upstream for a ticket."""
        expires_s = now_s + self._settings.grant_timeout_s
        placement = Placement(
            ticket, upstream, PlacementState.GRANTED, now_s, expires_s, tokens, tokens
        )
        self._placements.add(placement)
        self._prefixes.enter(upstream, ticket.prefix_hashes)
        load = self._pool.known(upstream)
        load.granted_s = now_s
        load.reserve(ticket.tier, tokens)
        if self._policy.suspects and self._suspects.is_suspect(ticket.fingerprint):
            load.suspect = ticket.request_id
            load.suspect_answers = False
        self._pool.touch(load)
        return placement
