"""Quotas of client accounts over all nodes; free of I/O.

In any window an account may use its rate times the window plus its burst. The coordinator counts
all requests that it grants and adds the usage that other nodes report. A node that cannot reach the
coordinator spends an equal share of the quota, counted by its own requests; the coordinator
reserves that share for each node that has not reported. A node that does not know the usage before
its start counts the full quota as used.

Where usage is stored, no more is admitted than a node can know that starts after the end of all
(``stored_usage.py``).
"""

from collections.abc import Iterable

from ..ids import ClientAccountId, IncarnationId
from ..util.lean_dataclasses import dataclass
from .account_usage import HISTORY_PARTS, AccountUsage
from .quota_bounds import QuotaBounds
from .routes import Account
from .settings import QuotaSettings
from .stored_usage import RESERVE_SHARE, UNSTORED_SHARE, StoredUsage

History = dict[ClientAccountId, list[float]]
"""Usage by account: sums over the parts of a window, oldest first."""
WRITE_WAIT_S = 0.3
"""Room that waits for a write of the usage is there within this time, if the store is up."""
RECENT_WRITE_S = 1.5
"""A store that was heard no longer ago is up."""


@dataclass(frozen=True, slots=True)
class Charge:
    """Cost that was charged to an account's quota for one request; refunded if it is not sent."""

    account: ClientAccountId
    cost: float
    charged_s: float


class QuotaTracker:
    """Quotas of all accounts, as one node counts them."""

    def __init__(self, settings: QuotaSettings) -> None:
        self._settings = settings
        self._accounts: dict[ClientAccountId, Account] = {}
        self._usage: dict[ClientAccountId, AccountUsage] = {}
        self._bounds: dict[ClientAccountId, QuotaBounds] = {}
        self._last_totals: dict[ClientAccountId, float] = {}
        self._projected_totals: dict[ClientAccountId, float] = {}
        self._stored: StoredUsage | None = None
        """What the store holds, ``None`` if that is not known."""
        self._is_storing = False
        self._starting_until_s = float("-inf")
        """Until when this node goes by a row that it has found, unless it stores one itself."""
        self._adopted_at_s = float("-inf")
        """When the row was stored that this node has found."""
        self._store_heard_s = float("-inf")
        """When the store last took or gave a row."""
        self._has_accounts = False

    def apply_settings(self, settings: QuotaSettings) -> None:
        """Replace the settings from now on."""
        self._settings = settings
        for usage in self._usage.values():
            usage.window_s = settings.window_s

    def set_accounts(self, accounts: Iterable[Account], now_s: float) -> None:
        """Apply the accounts of a new configuration; counted usage is kept."""
        window_s = self._settings.window_s
        self._accounts = {account.name: account for account in accounts}
        usage, bounds = self._usage, self._bounds
        self._usage = {name: usage.get(name) or AccountUsage(window_s) for name in self._accounts}
        self._bounds = {
            name: bounds.get(name) or QuotaBounds(account)
            for name, account in self._accounts.items()
        }
        for name, account in self._accounts.items():
            if self._bounds[name].change(account, now_s, self._allowed):
                self._usage[name].begin_bucket(now_s)
        if not self._has_accounts:
            self._has_accounts = True
            self._assume_full_use(now_s)

    def admit(
        self, account: ClientAccountId, cost: float, share: float, now_s: float
    ) -> Charge | None:
        """Charge a request's cost to this node's share of a quota; return ``None`` if it does not
        fit."""
        limit = self._accounts.get(account)
        if limit is None or limit.quota_per_s is None:
            return Charge(account, 0.0, now_s)
        usage = self._current_usage(account, now_s)
        for bound in self._bounds[account].binding(usage.oldest_s(now_s)):
            used = usage.used_since(bound.since_s, share)
            if used + cost > self._allowed(bound.account) * share:
                return None
        if self._exceeds_stored(limit, cost, share, now_s):
            return None
        usage.add(cost, now_s)
        return Charge(account, cost, now_s)

    def _exceeds_stored(self, limit: Account, cost: float, share: float, now_s: float) -> bool:
        """Return whether a request has to wait until more usage is stored."""
        if self._stored is None or not self._is_storing:
            return False
        allowed = self._allowed(limit)
        used = self._usage[limit.name].used_since(float("-inf"), share) + cost
        if used <= UNSTORED_SHARE * allowed * share:
            return False
        is_starting = now_s < self._starting_until_s
        bound = self._stored.starting_bound if is_starting else self._stored.running_bound
        return used > bound(limit.name, allowed, share, self._settings.window_s, now_s)

    def record(self, account: ClientAccountId, cost: float, now_s: float) -> None:
        """Record the usage of a request that the coordinator has admitted."""
        if account in self._accounts:
            self._usage[account].add(cost, now_s)

    def refund(self, charge: Charge, now_s: float) -> None:
        """Refund the cost of a request that was not sent upstream."""
        usage = self._usage.get(charge.account)
        if usage is not None and charge.cost:
            usage.remove(charge.cost, charge.charged_s, now_s)

    def retry_after_s(
        self, account: ClientAccountId, cost: float, share: float, now_s: float
    ) -> float:
        """Return the time until this node's share of an account's quota has room for a request's
        cost."""
        limit = self._accounts.get(account)
        if limit is None or limit.quota_per_s is None:
            return 0.0
        usage = self._current_usage(account, now_s)
        wait_s, oldest_s = 0.0, usage.oldest_s(now_s)
        for bound in self._bounds[account].binding(oldest_s):
            remaining = self._allowed(bound.account) * share - cost
            wait_s = max(wait_s, usage.last_blocking_s(bound.since_s, remaining, share) - oldest_s)
        if self._stored is not None and self._exceeds_stored(limit, cost, share, now_s):
            unstored_s = WRITE_WAIT_S
            if now_s - self._store_heard_s > RECENT_WRITE_S:
                remaining = UNSTORED_SHARE * self._allowed(limit) * share - cost
                unstored_s = usage.last_blocking_s(float("-inf"), remaining, share) - oldest_s
            wait_s = max(wait_s, unstored_s)
        return min(wait_s, self._settings.window_s)

    def totals(self, now_s: float) -> dict[ClientAccountId, float]:
        """Return the known usage of each account in the last window."""
        return {name: self._current_usage(name, now_s).total for name in self._usage}

    def used_shares(self, now_s: float) -> dict[ClientAccountId, float]:
        """Return the fraction of its quota that each limited account has used, as far as this node
        knows."""
        totals = self.totals(now_s)
        return {
            name: totals[name] / max(1.0, self._allowed(account))
            for name, account in self._accounts.items()
            if account.quota_per_s is not None
        }

    def history(self, now_s: float) -> History:
        """Return the known usage in the last window."""
        return {name: self._current_usage(name, now_s).history(now_s) for name in self._usage}

    def record_node_usage(self, node: IncarnationId, history: History, now_s: float) -> None:
        """Replace a node's reported usage, which this node has not counted itself."""
        for name, usage in self._usage.items():
            usage.record_node_usage(node, history.get(name, []), now_s)

    def record_coordinator_history(self, history: History, now_s: float) -> None:
        """Record what the coordinator has counted, for deciding locally or taking over from it."""
        for name, parts in history.items():
            if name in self._usage:
                self._current_usage(name, now_s).record_coordinator_history(parts, now_s)

    def coordinator_history(self) -> tuple[History, float]:
        """Return what the coordinator has counted, and as of when."""
        as_of_s = max(
            (usage.coordinator_as_of_s for usage in self._usage.values()), default=float("-inf")
        )
        histories = {
            name: usage.coordinator_history()
            for name, usage in self._usage.items()
            if usage.coordinator_buckets
        }
        return histories, as_of_s

    def adopt_coordinator_history(self, history: History, as_of_s: float, now_s: float) -> None:
        """Apply what an earlier coordinator had sent to another node, as of ``as_of_s``.

        It replaces the assumed usage of this node, now the coordinator, where that is much older. A
        node that has run on under that coordinator also ends the assumption of this node's start
        that all had ended.
        """
        part_s = self._settings.window_s / HISTORY_PARTS
        if history and as_of_s >= self._adopted_at_s - part_s:
            for usage in self._usage.values():
                usage.forget_unknown()
        for name, parts in history.items():
            if name not in self._usage:
                continue
            usage = self._current_usage(name, now_s)
            if as_of_s - usage.assumed_until_s > part_s:
                usage.assume(parts, as_of_s)

    def take_over(self, now_s: float) -> None:
        """Count the previous coordinator's usage as this node takes over from it."""
        for name in self._usage:
            self._current_usage(name, now_s).take_over()

    def projected_usage(self, now_s: float) -> StoredUsage:
        """Return the usage to store, with what is reserved until the next call.

        Each account may use as much as since the last call, and a fixed share of its quota at
        least, up to its quota.
        """
        totals, history = self.totals(now_s), self.history(now_s)
        reserved = {}
        for name, account in self._accounts.items():
            if account.quota_per_s is None:
                continue
            allowed = self._allowed(account)
            growth = max(0.0, totals[name] - self._last_totals.get(name, totals[name]))
            reserved[name] = min(
                max(growth, RESERVE_SHARE * allowed), max(0.0, allowed - totals[name])
            )
        self._last_totals = totals
        self._projected_totals = {
            name: total + reserved.get(name, 0.0) / 2 for name, total in totals.items()
        }
        return StoredUsage(history, reserved, now_s)

    def exceeds_projection(self, now_s: float) -> bool:
        """Return whether an account has used half of what was reserved last, or is near the bound
        of what is stored, so that it may have to wait for the next write."""
        return any(
            self._needs_store(name, total)
            and (
                total > self._projected_totals.get(name, 0.0)
                or self._is_near_bound(name, total, now_s)
            )
            for name, total in self.totals(now_s).items()
        )

    def _is_near_bound(self, name: ClientAccountId, total: float, now_s: float) -> bool:
        if self._stored is None or now_s < self._starting_until_s:
            return False
        allowed, window_s = self._allowed(self._accounts[name]), self._settings.window_s
        bound = self._stored.running_bound(name, allowed, 1.0, window_s, now_s)
        return total + RESERVE_SHARE / 2 * allowed > bound

    def _needs_store(self, name: ClientAccountId, total: float) -> bool:
        """Return whether an account is about to use more than may be used unstored."""
        allowed = self._allowed(self._accounts[name])
        return total > (UNSTORED_SHARE - RESERVE_SHARE) * allowed

    def set_storing(self, is_storing: bool, now_s: float) -> None:
        """Set whether this node stores the usage of all nodes, and is bound by what it has stored.

        A node that takes this over is bound from its first write on.
        """
        if is_storing and not self._is_storing and now_s >= self._starting_until_s:
            self._stored = None
        self._is_storing = is_storing

    def record_stored(self, stored: StoredUsage, now_s: float) -> None:
        """Record that the store has taken this node's usage."""
        self._stored, self._store_heard_s = stored, now_s
        self._starting_until_s = float("-inf")

    def record_unknown_row(self, now_s: float) -> None:
        """Record that another node has replaced the row.

        A node that has just started has stored nothing that could be lost by this.
        """
        if now_s >= self._starting_until_s:
            self._stored = None

    def adopt_stored(self, stored: StoredUsage, started_s: float, now_s: float) -> None:
        """Continue from the row that this node has found at its start at ``started_s``.

        It assumes what nodes before it can have used since the row, all of it in the last moment.
        What those that run use, they and the coordinator count.
        """
        self.restore_history(stored.used, now_s - stored.at_s, now_s)
        self._stored, self._store_heard_s = stored, now_s
        self._adopted_at_s = stored.at_s
        if stored.at_s >= started_s:
            return
        window_s = self._settings.window_s
        self._starting_until_s = started_s + window_s
        for name, account in self._accounts.items():
            if account.quota_per_s is not None:
                unknown = stored.unknown(name, self._allowed(account), window_s, started_s)
                self._current_usage(name, now_s).assume_unknown(unknown, started_s)

    def restore_history(self, history: History, age_s: float, now_s: float) -> None:
        """Replace the usage assumed at the start by the history that the last coordinator stored.

        ``age_s`` is infinite where nothing is stored.
        """
        for name in self._usage:
            self._current_usage(name, now_s).assume(history.get(name, []), now_s - age_s)

    def _assume_full_use(self, now_s: float) -> None:
        for name, account in self._accounts.items():
            if account.quota_per_s is not None:
                usage = self._usage[name]
                usage.assume_full_use(account.quota_per_s, account.quota_burst, now_s)

    def _allowed(self, account: Account) -> float:
        settings = self._settings
        if account.quota_per_s is None:
            return float("inf")
        quota = account.quota_per_s * settings.window_s + account.quota_burst
        tolerance = settings.overrun * quota + (settings.slack if account.counts_tokens else 0.0)
        return quota + settings.tolerance_share * tolerance

    def _current_usage(self, account: ClientAccountId, now_s: float) -> AccountUsage:
        """Return an account's usage in the current window."""
        usage = self._usage[account]
        usage.expire(now_s)
        return usage
