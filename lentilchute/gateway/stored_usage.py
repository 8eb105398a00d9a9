"""Bounds usage of quotas by what nodes that start after the end of all can know; free of I/O.

Such nodes know only the row that the last coordinator stored. It may be old, as the store may have
been down before the end. So usage that the row doesn't hold is bounded while nodes run, and nodes
that start assume that the bound was reached in the last moment::

    row = StoredUsage(used, reserved, at_s)
    row.unknown(account, allowed, window_s, now_s)      # assumed at a start beside the row's usage
    row.running_bound(account, allowed, share, window_s, now_s)    # usage of nodes that stored it
    row.starting_bound(account, allowed, share, window_s, now_s)   # the same of nodes that found it

Nodes that have found a row may use a little before they store anything themselves. What is assumed
covers this as well, should they end before. Only the coordinator is bound so, which counts for all.
"""

from dataclasses import field

from ..ids import ClientAccountId
from ..util.lean_dataclasses import dataclass
from .account_usage import HISTORY_PARTS

ASSUMED_SHARE = 0.6
"""Share of what is allowed in a window that may have been used without being stored."""
START_SHARE = 0.1
"""The part of it that is for nodes which have just started and have stored nothing yet."""
UNSTORED_SHARE = ASSUMED_SHARE - START_SHARE
"""The part that is for nodes that run. What is beyond can be used only after it is reserved in the
store."""
RESERVE_SHARE = 0.15
"""Share of what is allowed that each write reserves for the usage until the next one."""


@dataclass(frozen=True, slots=True)
class StoredUsage:
    """Usage of all accounts as the store holds it, timed by this process's clock."""

    used: dict[ClientAccountId, list[float]] = field(default_factory=dict)
    """Usage in each part of the window that ends at ``at_s``, oldest first."""
    reserved: dict[ClientAccountId, float] = field(default_factory=dict)
    """Usage after ``at_s`` that the row allows for."""
    at_s: float = float("-inf")

    def known(self, account: ClientAccountId, window_s: float, now_s: float) -> float:
        """Return the usage in the window that the row holds, without what it reserves."""
        parts = self.used.get(account, ())
        part_s = window_s / HISTORY_PARTS
        newest = len(parts) - 1
        return sum(
            part
            for index, part in enumerate(parts)
            if self.at_s - (newest - index) * part_s > now_s - window_s
        )

    def unknown(
        self, account: ClientAccountId, allowed: float, window_s: float, now_s: float
    ) -> float:
        """Return the most that nodes can have used by now beside what the row holds."""
        unstored = ASSUMED_SHARE * allowed - self.known(account, window_s, now_s)
        return max(unstored, self.reserved.get(account, 0.0), 0.0)

    def running_bound(
        self,
        account: ClientAccountId,
        allowed: float,
        share: float,
        window_s: float,
        now_s: float,
    ) -> float:
        """Return the most that may be used in the window that ends now, by the nodes that have
        stored this and spend ``share`` of the quota."""
        known = self.known(account, window_s, now_s)
        reserved = self.reserved.get(account, 0.0)
        return max(known + reserved * share, UNSTORED_SHARE * allowed * share)

    def starting_bound(
        self,
        account: ClientAccountId,
        allowed: float,
        share: float,
        window_s: float,
        now_s: float,
    ) -> float:
        """Return the same for nodes that have found this at their start, with what they assume."""
        known = self.known(account, window_s, now_s)
        unknown = self.unknown(account, allowed, window_s, now_s)
        return (known + unknown + START_SHARE * allowed) * share
