"""Tracks which quotas apply to one account; free of I/O.

A lower quota limits usage from the time at which it became known, since earlier usage was within
the quota in force then. Until a full window has passed, the earlier quota limits the window as
well.
"""

from collections.abc import Callable

from ..util.lean_dataclasses import dataclass
from .routes import Account


@dataclass(frozen=True, slots=True)
class QuotaBound:
    """A quota and the time from which usage counts against it."""

    since_s: float
    account: Account


class QuotaBounds:
    """The quotas of one account, oldest and highest first."""

    def __init__(self, account: Account) -> None:
        self._bounds = [QuotaBound(float("-inf"), account)]

    def change(self, account: Account, now_s: float, allowed: Callable[[Account], float]) -> bool:
        """Apply a new quota; return whether it is lower than the previous one."""
        new = allowed(account)
        since_s = now_s
        while self._bounds and allowed(self._bounds[-1].account) <= new:
            since_s = self._bounds.pop().since_s
        self._bounds.append(QuotaBound(since_s, account))
        return since_s == now_s

    def binding(self, oldest_s: float) -> list[QuotaBound]:
        """Return the quotas that apply to a window that began at ``oldest_s``."""
        while len(self._bounds) > 1 and self._bounds[1].since_s <= oldest_s:
            del self._bounds[0]
        return self._bounds
