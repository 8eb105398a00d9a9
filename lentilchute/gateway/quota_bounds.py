"""Which quotas bind one account at a moment; free of I/O.

A lower quota bounds what is used from the time at which it became known: what was used before was
within the quota that held then. Until a whole window has passed, the earlier quota bounds the rest
of the window as well.
"""

from collections.abc import Callable
from dataclasses import dataclass

from .routes import Account


@dataclass(frozen=True, slots=True)
class QuotaBound:
    """A quota and the time from which usage counts against it."""

    since_s: float
    account: Account


class QuotaBounds:
    """The quotas of one account, the oldest and highest first."""

    def __init__(self, account: Account) -> None:
        self._bounds = [QuotaBound(float("-inf"), account)]

    def change(self, account: Account, now_s: float, allowed: Callable[[Account], float]) -> bool:
        """Take in a new quota; return whether it is lower than the last one."""
        new = allowed(account)
        since_s = now_s
        while self._bounds and allowed(self._bounds[-1].account) <= new:
            since_s = self._bounds.pop().since_s
        self._bounds.append(QuotaBound(since_s, account))
        return since_s == now_s

    def binding(self, oldest_s: float) -> list[QuotaBound]:
        """Return the quotas that bind a window which began at ``oldest_s``."""
        while len(self._bounds) > 1 and self._bounds[1].since_s <= oldest_s:
            del self._bounds[0]
        return self._bounds
