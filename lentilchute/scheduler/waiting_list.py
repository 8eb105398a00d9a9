"""The waiting list of one shard, ordered by tier."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

from ..ids import ClientAccountId, InstanceId, RequestId, Tier
from .fair_queue import FairQueue
from .policy import Policy
from .tickets import Ticket


@dataclass(slots=True)
class WaitingTicket:
    """A ticket with the time when it was enqueued and its latest start time."""

    ticket: Ticket
    enqueued_s: float
    latest_start_s: float
    affinity_wait_until_s: float | None = None
    """Until when the ticket may wait for an upstream that has its prefix cached."""


class WaitingList:
    """Waiting tickets by tier, with fair queueing between the client accounts of a tier."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._tiers: dict[Tier, FairQueue] = {}
        self._by_id: dict[RequestId, WaitingTicket] = {}
        self._by_entry: dict[InstanceId, set[RequestId]] = {}
        self._latest_starts: list[tuple[float, RequestId]] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def _rank(self, ticket: Ticket) -> Tier:
        return ticket.tier if self._policy.tiers else Tier(0)

    def _account(self, ticket: Ticket) -> ClientAccountId:
        return ticket.client_account if self._policy.fairness else ClientAccountId("")

    def get(self, request_id: RequestId) -> WaitingTicket | None:
        """Return a waiting ticket, or ``None``."""
        return self._by_id.get(request_id)

    def all(self) -> list[WaitingTicket]:
        """Return every waiting ticket."""
        return list(self._by_id.values())

    def add(self, waiting: WaitingTicket) -> None:
        """Append a ticket to the queue of its tier."""
        ticket = waiting.ticket
        queue = self._tiers.setdefault(self._rank(ticket), FairQueue())
        queue.add(self._account(ticket), ticket.request_id)
        self._by_id[ticket.request_id] = waiting
        self._by_entry.setdefault(ticket.entry, set()).add(ticket.request_id)
        heapq.heappush(self._latest_starts, (waiting.latest_start_s, ticket.request_id))

    def remove(self, request_id: RequestId) -> WaitingTicket | None:
        """Remove and return a ticket, or return ``None`` if it is not waiting."""
        waiting = self._by_id.pop(request_id, None)
        if waiting is None:
            return None
        ticket = waiting.ticket
        self._tiers[self._rank(ticket)].remove(self._account(ticket), request_id)
        of_entry = self._by_entry[ticket.entry]
        of_entry.discard(request_id)
        if not of_entry:
            del self._by_entry[ticket.entry]
        return waiting

    def tiers(self) -> list[Tier]:
        """Return the tiers with waiting tickets, highest first."""
        return sorted(tier for tier, tickets in self._tiers.items() if len(tickets))

    def in_order(self, tier: Tier, count: int) -> Iterator[WaitingTicket]:
        """Yield up to ``count`` tickets of a tier in dispatch order.

        The list must not change during the iteration.
        """
        for request_id in self._tiers[tier].in_order(count):
            yield self._by_id[request_id]

    def charge(self, ticket: Ticket, work: float) -> None:
        """Charge granted work, divided by the account's weight, to the account of a ticket."""
        self._tiers.setdefault(self._rank(ticket), FairQueue()).charge(self._account(ticket), work)

    def count_ahead_of(self, ticket: Ticket) -> int:
        """Estimate the number of tickets of its tier that are ahead of a new ticket."""
        queue = self._tiers.get(self._rank(ticket))
        if queue is None or not len(queue):
            return 0
        of_account = queue.count_of(self._account(ticket)) + 1
        return min(of_account * max(queue.account_count, 1), len(queue))

    def head_enqueued_s(self, tier: Tier) -> float | None:
        """Return when the next ticket of a tier was enqueued, or ``None``."""
        queue = self._tiers.get(tier)
        if queue is None or not len(queue):
            return None
        return self._by_id[queue.head()].enqueued_s

    def newest(self, tier: Tier) -> WaitingTicket:
        """Return the newest ticket of the account with the most waiting tickets in a tier."""
        return self._by_id[self._tiers[tier].newest_of_largest_account()]

    def count(self, tier: Tier) -> int:
        """Return the number of waiting tickets of a tier."""
        return len(self._tiers.get(tier, ()))

    def count_up_to(self, tier: Tier) -> int:
        """Return the number of waiting tickets of a tier and of all higher tiers."""
        return sum(len(tickets) for rank, tickets in self._tiers.items() if rank <= tier)

    def of_entry(self, entry: InstanceId) -> list[WaitingTicket]:
        """Return the waiting tickets of an entry."""
        return [self._by_id[request_id] for request_id in self._by_entry.get(entry, ())]

    def pop_late(self, now_s: float) -> list[WaitingTicket]:
        """Remove and return the tickets whose latest start time has passed."""
        late = []
        while self._latest_starts and self._latest_starts[0][0] <= now_s:
            latest_start_s, request_id = heapq.heappop(self._latest_starts)
            waiting = self._by_id.get(request_id)
            if waiting is not None and waiting.latest_start_s == latest_start_s:
                self.remove(request_id)
                late.append(waiting)
        return late

    def next_late_s(self) -> float:
        """Return the next latest start time of a waiting ticket; infinity for none."""
        while self._latest_starts:
            latest_start_s, request_id = self._latest_starts[0]
            waiting = self._by_id.get(request_id)
            if waiting is not None and waiting.latest_start_s == latest_start_s:
                return latest_start_s
            heapq.heappop(self._latest_starts)
        return float("inf")
