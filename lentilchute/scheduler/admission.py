"""Admission to the waiting list, and shedding when the list is full."""

from ..document import ServiceDocument
from ..ids import Tier
from ..settings import SchedulerSettings
from .grant_rates import TierGrantRates
from .policy import Policy
from .suspects import SuspectTracker
from .tickets import RefusalReason, Ticket
from .upstream_pool import UpstreamPool, deadline_margin
from .waiting_list import WaitingList

WAIT_MARGIN = 1.3
"""Safety factor on the expected wait of a new ticket in the check against its deadline."""


class Admission:
    """Decides which tickets are admitted and which are shed."""

    def __init__(
        self,
        pool: UpstreamPool,
        waiting: WaitingList,
        suspects: SuspectTracker,
        grant_rates: TierGrantRates,
        settings: SchedulerSettings,
        policy: Policy,
    ) -> None:
        self._pool = pool
        self._waiting = waiting
        self._suspects = suspects
        self._grant_rates = grant_rates
        self._settings = settings
        self._policy = policy
        self._max_waiting: tuple[int, ...] = ()

    def configure(self, document: ServiceDocument) -> None:
        """Apply the waiting limits of the tiers from a document."""
        self._max_waiting = tuple(tier.max_waiting for tier in document.tiers)

    def refusal_reason(self, ticket: Ticket, now_s: float) -> RefusalReason | None:
        """Return why a new ticket is refused, or ``None`` if it is admitted."""
        if ticket.deadline_s <= now_s:
            return RefusalReason.EXPIRED
        if self._suspects.is_condemned(ticket.fingerprint):
            return RefusalReason.POISON
        if not self._pool.has_eligible(ticket):
            return RefusalReason.NO_UPSTREAM
        if self._would_miss_deadline(ticket, now_s):
            return RefusalReason.DEADLINE
        return None

    def latest_start_s(self, ticket: Ticket) -> float:
        """Return the latest time at which a ticket can start and still meet its deadline."""
        if not self._policy.deadline_refusal:
            return ticket.deadline_s
        return ticket.deadline_s - deadline_margin(ticket.tier) * self._pool.min_answer_s(ticket)

    def _would_miss_deadline(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether the expected wait of a new ticket exceeds its latest start."""
        if not self._policy.deadline_refusal:
            return False
        head_enqueued_s = self._waiting.head_enqueued_s(ticket.tier)
        wait_s = self._grant_rates.wait_s(
            ticket.tier,
            self._waiting.count_ahead_of(ticket),
            self._waiting.count_up_to(ticket.tier),
            now_s if head_enqueued_s is None else head_enqueued_s,
            now_s,
        )
        return now_s + WAIT_MARGIN * wait_s > self.latest_start_s(ticket)

    def next_to_shed(self) -> tuple[Ticket, RefusalReason] | None:
        """Return the ticket to shed while a waiting limit is exceeded, or ``None``."""
        tier = self._tier_over_limit()
        if tier is None:
            return None
        lowest = self._waiting.tiers()[-1]
        reason = RefusalReason.OVERLOADED if lowest == tier else RefusalReason.DISPLACED
        return self._waiting.newest(lowest).ticket, reason

    def _tier_over_limit(self) -> Tier | None:
        """Return the lowest tier whose waiting limit is exceeded, or ``None``.

        A tier may use the waiting slots of the tiers below it, so the limit on a tier and those
        below it together is the sum of their limits.
        """
        waiting = 0
        max_waiting = 0
        for rank in reversed(range(len(self._max_waiting))):
            waiting += self._waiting.count(Tier(rank))
            max_waiting += self._max_waiting[rank]
            if waiting > min(max_waiting, self._settings.max_tickets):
                return Tier(rank)
        return None
