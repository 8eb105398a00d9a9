"""Quotas of client accounts over all nodes; free of I/O.

In any window an account may use its rate times the window, and its burst. The coordinator counts
all requests that it grants, and adds what other nodes report of theirs. A node that has to do
without it spends its even share, counted by its own requests; the coordinator leaves that share to
nodes that have not reported. A node that does not know what was used before it started counts the
whole quota as used.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..ids import ClientAccountId, IncarnationId
from .account_usage import HISTORY_PARTS, AccountUsage
from .quota_bounds import QuotaBounds
from .routes import Account
from .settings import QuotaSettings

History = dict[ClientAccountId, list[float]]
"""Usage by account: sums of the parts of a window, the oldest first."""


@dataclass(frozen=True, slots=True)
class Charge:
    """What a request has taken of its account's quota, to be given back if it is not sent."""

    account: ClientAccountId
    cost: float
    charged_s: float


class QuotaTracker:
    """All accounts' quotas, as one node counts them."""

    def __init__(self, settings: QuotaSettings) -> None:
        self._settings = settings
        self._accounts: dict[ClientAccountId, Account] = {}
        self._usage: dict[ClientAccountId, AccountUsage] = {}
        self._bounds: dict[ClientAccountId, QuotaBounds] = {}
        self._last_totals: dict[ClientAccountId, float] = {}
        self._projected_totals: dict[ClientAccountId, float] = {}
        self._has_accounts = False

    def use_settings(self, settings: QuotaSettings) -> None:
        """Replace the bounds from now on."""
        self._settings = settings
        for usage in self._usage.values():
            usage.window_s = settings.window_s

    def set_accounts(self, accounts: Iterable[Account], now_s: float) -> None:
        """Take in the accounts of a new configuration; what was used stays counted."""
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
        """Take a request's cost from this node's share of a quota; ``None`` when it is used up."""
        limit = self._accounts.get(account)
        if limit is None or limit.quota_per_s is None:
            return Charge(account, 0.0, now_s)
        usage = self._current_usage(account, now_s)
        for bound in self._bounds[account].binding(usage.oldest_s(now_s)):
            used = usage.used_since(bound.since_s, share)
            if used + cost > self._allowed(bound.account) * share:
                return None
        usage.add(cost, now_s)
        return Charge(account, cost, now_s)

    def record(self, account: ClientAccountId, cost: float, now_s: float) -> None:
        """Count a request that the coordinator has admitted."""
        if account in self._accounts:
            self._usage[account].add(cost, now_s)

    def refund(self, charge: Charge, now_s: float) -> None:
        """Return the cost of a request that was not sent upstream."""
        usage = self._usage.get(charge.account)
        if usage is not None and charge.cost:
            usage.remove(charge.cost, charge.charged_s, now_s)

    def retry_after_s(
        self, account: ClientAccountId, cost: float, share: float, now_s: float
    ) -> float:
        """Return when the share of an account's quota will hold a request's cost again."""
        limit = self._accounts.get(account)
        if limit is None or limit.quota_per_s is None:
            return 0.0
        usage = self._current_usage(account, now_s)
        wait_s, oldest_s = 0.0, usage.oldest_s(now_s)
        for bound in self._bounds[account].binding(oldest_s):
            remaining = self._allowed(bound.account) * share - cost
            wait_s = max(wait_s, usage.last_blocking_s(bound.since_s, remaining, share) - oldest_s)
        return min(wait_s, self._settings.window_s)

    def totals(self, now_s: float) -> dict[ClientAccountId, float]:
        """Return what was used of each quota in the last window, as far as is known here."""
        return {name: self._current_usage(name, now_s).total for name in self._usage}

    def used_shares(self, now_s: float) -> dict[ClientAccountId, float]:
        """Return which part of its quota each limited account has used, as far as is known here."""
        totals = self.totals(now_s)
        return {
            name: totals[name] / max(1.0, self._allowed(account))
            for name, account in self._accounts.items()
            if account.quota_per_s is not None
        }

    def history(self, now_s: float) -> History:
        """Return what was used in the last window, as far as is known here."""
        return {name: self._current_usage(name, now_s).history(now_s) for name in self._usage}

    def record_node_usage(self, node: IncarnationId, history: History, now_s: float) -> None:
        """Replace what a node has reported: usage that this one has not counted itself."""
        for name, usage in self._usage.items():
            usage.record_node_usage(node, history.get(name, []), now_s)

    def record_coordinator_history(self, history: History, now_s: float) -> None:
        """Remember what the coordinator has counted, in case this node has to do without it."""
        for name, parts in history.items():
            if name in self._usage:
                self._current_usage(name, now_s).record_coordinator_history(parts, now_s)

    def coordinator_history(self) -> tuple[History, float]:
        """Return what the coordinator has counted, and until when."""
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
        """Take in what an earlier coordinator had told another node until ``told_s``.

        It replaces what this node, now the coordinator, had been told much earlier itself.
        """
        for name, parts in history.items():
            if name not in self._usage:
                continue
            usage = self._current_usage(name, now_s)
            if as_of_s - usage.assumed_until_s > self._settings.window_s / HISTORY_PARTS:
                usage.assume(parts, as_of_s)

    def take_over(self, now_s: float) -> None:
        """Count what the last coordinator had counted, as this node takes its place."""
        for name in self._usage:
            self._current_usage(name, now_s).take_over()

    def projected_history(self, now_s: float) -> History:
        """Return what may have been used until the next call, for a node that starts after a kill.

        Each account is taken to go on as since the last call, up to its quota.
        """
        totals, history = self.totals(now_s), self.history(now_s)
        for name, account in self._accounts.items():
            growth = max(0.0, totals[name] - self._last_totals.get(name, totals[name]))
            history[name][-1] += min(growth, max(0.0, self._allowed(account) - totals[name]))
        self._last_totals = totals
        self._projected_totals = {name: sum(parts) for name, parts in history.items()}
        return history

    def exceeds_projection(self, now_s: float) -> bool:
        """Tell whether an account has used more than was likely at the last call."""
        totals = self.totals(now_s)
        return any(total > self._projected_totals.get(name, 0.0) for name, total in totals.items())

    def restore_history(self, history: History, age_s: float, now_s: float) -> None:
        """Replace what was assumed at the start by what the last coordinator has written down.

        ``age_s`` is infinite where nothing has been written yet.
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
        """Return an account's usage without what has left the window."""
        usage = self._usage[account]
        usage.expire(now_s)
        return usage
