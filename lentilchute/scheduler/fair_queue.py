"""Weighted fair queue of the tickets of one tier, shared between client accounts.

The account with the lowest virtual time is served next; ``util.virtual_times`` explains these.
"""

import itertools
from collections.abc import Iterator

from sortedcontainers import SortedList

from ..ids import ClientAccountId, RequestId
from ..util.virtual_times import VirtualTimes


class FairQueue:
    """Queues of request ids: first in, first out per account; accounts ordered by virtual time."""

    def __init__(self) -> None:
        self._queues: dict[ClientAccountId, dict[RequestId, None]] = {}
        self._times: VirtualTimes[ClientAccountId] = VirtualTimes()
        self._added_times: dict[ClientAccountId, float] = {}
        """Virtual times under which the accounts with waiting requests are in the order."""
        self._order: SortedList = SortedList()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, account: ClientAccountId, request_id: RequestId) -> None:
        """Append a request to its account's queue."""
        if account not in self._queues:
            self._queues[account] = {}
            self._insert(account)
        self._queues[account][request_id] = None
        self._count += 1

    def remove(self, account: ClientAccountId, request_id: RequestId) -> None:
        """Remove a request."""
        queue = self._queues[account]
        del queue[request_id]
        self._count -= 1
        if not queue:
            del self._queues[account]
            self._order.remove((self._added_times.pop(account), account))

    def charge(self, account: ClientAccountId, work: float) -> None:
        """Advance an account's virtual time by granted work, already divided by its weight."""
        self._times.advance(min(self._times.of(account), self._min_virtual_time()))
        self._times.charge(account, work)
        if account in self._queues:
            self._order.remove((self._added_times[account], account))
            self._insert(account)

    def _insert(self, account: ClientAccountId) -> None:
        self._added_times[account] = self._times.of(account)
        self._order.add((self._added_times[account], account))

    def _min_virtual_time(self) -> float:
        return float(self._order[0][0]) if self._order else float("inf")

    def in_order(self, count: int) -> Iterator[RequestId]:
        """Yield up to ``count`` requests: the first of each account in order, then the second ones.

        The queue must not change during the iteration.
        """
        accounts = list(itertools.islice(self._order, count))
        queues = [iter(self._queues[account]) for _, account in accounts]
        remaining = count
        while queues and remaining > 0:
            unfinished = []
            for queue in queues[:remaining]:
                request_id = next(queue, None)
                if request_id is not None:
                    yield request_id
                    remaining -= 1
                    unfinished.append(queue)
            queues = unfinished

    def count_of(self, account: ClientAccountId) -> int:
        """Return the number of waiting requests of an account."""
        return len(self._queues.get(account, ()))

    @property
    def account_count(self) -> int:
        """Number of accounts with waiting requests."""
        return len(self._queues)

    def head(self) -> RequestId:
        """Return the first request of the account that is served next."""
        return next(self.in_order(1))

    def newest_of_largest_account(self) -> RequestId:
        """Return the newest request of the account with the most waiting requests."""
        largest = max(self._queues.values(), key=len)
        return next(reversed(largest))
