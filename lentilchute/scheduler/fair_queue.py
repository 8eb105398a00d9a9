"""Tickets of one tier, shared between client accounts by weighted work.

Each account has a virtual time that grows with the work granted to it, divided by its weight; the
account with the least goes next. An account that begins to wait starts at the present virtual time,
so that it cannot save up for later.
"""

import itertools
from collections.abc import Iterator

from sortedcontainers import SortedList

from ..ids import ClientAccountId, RequestId


class FairQueue:
    """Request ids: first come, first served within an account; accounts by their virtual time."""

    def __init__(self) -> None:
        self._queues: dict[ClientAccountId, dict[RequestId, None]] = {}
        self._virtual_times: dict[ClientAccountId, float] = {}
        self._order: SortedList = SortedList()
        self._virtual_now = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, account: ClientAccountId, request_id: RequestId) -> None:
        """Append a request to its account's queue."""
        if account not in self._queues:
            self._queues[account] = {}
            self._virtual_times[account] = max(
                self._virtual_times.get(account, 0.0), self._virtual_now
            )
            self._order.add((self._virtual_times[account], account))
        self._queues[account][request_id] = None
        self._count += 1

    def remove(self, account: ClientAccountId, request_id: RequestId) -> None:
        """Take a request out."""
        queue = self._queues[account]
        del queue[request_id]
        self._count -= 1
        if not queue:
            del self._queues[account]
            self._order.remove((self._virtual_times[account], account))

    def charge(self, account: ClientAccountId, work: float) -> None:
        """Count work, already divided by the account's weight, that was granted to it."""
        before = self._virtual_times.get(account, 0.0)
        self._virtual_now = max(self._virtual_now, min(before, self._min_virtual_time()))
        is_waiting = account in self._queues
        if is_waiting:
            self._order.remove((before, account))
        self._virtual_times[account] = max(before, self._virtual_now) + work
        if is_waiting:
            self._order.add((self._virtual_times[account], account))

    def _min_virtual_time(self) -> float:
        return float(self._order[0][0]) if self._order else float("inf")

    def in_order(self, count: int) -> Iterator[RequestId]:
        """Yield up to ``count`` requests: each account's first in the order of accounts, and so on.

        The queue must not change meanwhile.
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
        """Return how many requests of an account wait."""
        return len(self._queues.get(account, ()))

    @property
    def account_count(self) -> int:
        """How many accounts wait."""
        return len(self._queues)

    def head(self) -> RequestId:
        """Return the first request of the account that goes next."""
        return next(self.in_order(1))

    def newest_of_largest_account(self) -> RequestId:
        """Return the newest request of the account with the most waiting requests."""
        largest = max(self._queues.values(), key=len)
        return next(reversed(largest))
