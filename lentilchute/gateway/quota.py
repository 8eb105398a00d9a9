"""Quotas of client accounts over all nodes; free of I/O.

In any window an account may use its rate times the window, and its burst. Each node counts its own
requests at once and those of its peers as their digests tell. A peer that has fallen silent counts
as using its even share of the rate, so that losing sight of peers never loosens a quota.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..ids import ClientAccountId, IncarnationId
from .routes import Account
from .settings import QuotaSettings

BUCKETS_PER_WINDOW = 32
"""A request is counted up to this part of a window longer than it must be."""


@dataclass(slots=True)
class _Bucket:
    start_s: float
    used: float = 0.0


@dataclass(frozen=True, slots=True)
class Charge:
    """What a request has taken of its account's quota, to be given back if it is not sent."""

    account: ClientAccountId
    cost: float
    charged_s: float


@dataclass(slots=True)
class _Usage:
    buckets: deque[_Bucket] = field(default_factory=deque)
    total: float = 0.0
    own_used: float = 0.0
    peers_used: dict[IncarnationId, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Peer:
    heard_s: float
    charged_s: float
    """Until when its silence has been charged."""


class QuotaBook:
    """All accounts' quotas, as one node counts them."""

    def __init__(self, settings: QuotaSettings) -> None:
        self._settings = settings
        self._accounts: dict[ClientAccountId, Account] = {}
        self._usage: dict[ClientAccountId, _Usage] = {}
        self._peers: dict[IncarnationId, _Peer] = {}

    def use_settings(self, settings: QuotaSettings) -> None:
        """Replace the bounds from now on."""
        self._settings = settings

    def set_accounts(self, accounts: Iterable[Account]) -> None:
        """Take in the accounts of a new configuration; what was used stays counted."""
        self._accounts = {account.name: account for account in accounts}
        self._usage = {name: self._usage.get(name, _Usage()) for name in self._accounts}

    def admit(self, account: ClientAccountId, cost: float, now_s: float) -> Charge | None:
        """Take a request's cost from its account's quota, or return ``None`` when it is used up."""
        limit = self._accounts.get(account)
        if limit is None or limit.quota_per_s is None:
            return Charge(account, 0.0, now_s)
        if self._used(account, now_s) + cost > self._allowed(limit):
            return None
        self._add(account, cost, now_s)
        self._usage[account].own_used += cost
        return Charge(account, cost, now_s)

    def give_back(self, charge: Charge, now_s: float) -> None:
        """Return the cost of a request that was not sent upstream."""
        usage = self._usage.get(charge.account)
        if usage is None or not charge.cost:
            return
        self._used(charge.account, now_s)
        for bucket in reversed(usage.buckets):
            if bucket.start_s <= charge.charged_s:
                bucket.used -= charge.cost
                usage.total -= charge.cost
                usage.own_used -= charge.cost
                return

    def retry_after_s(self, account: ClientAccountId, cost: float, now_s: float) -> float:
        """Return when the account's quota will hold a request's cost again."""
        limit = self._accounts.get(account)
        if limit is None or limit.quota_per_s is None:
            return 0.0
        excess = self._used(account, now_s) + cost - self._allowed(limit)
        for bucket in self._usage[account].buckets:
            if excess <= 0:
                return max(0.0, bucket.start_s + self._settings.window_s - now_s)
            excess -= bucket.used
        return self._settings.window_s

    def own_usage(self) -> dict[ClientAccountId, float]:
        """Return what this run has taken of each quota in all, for peers."""
        return {name: usage.own_used for name, usage in self._usage.items()}

    def learn(self, peer: IncarnationId, used: dict[ClientAccountId, float], now_s: float) -> None:
        """Take in what a peer's run has used in all."""
        self._peers[peer] = _Peer(now_s, now_s)
        for name, total in used.items():
            usage = self._usage.get(name)
            if usage is None:
                continue
            before = usage.peers_used.get(peer)
            usage.peers_used[peer] = total
            if before is not None and total != before:
                self._add(name, total - before, now_s)

    def forget(self, peer: IncarnationId) -> None:
        """Drop a peer whose run is known to be over."""
        self._peers.pop(peer, None)
        for usage in self._usage.values():
            usage.peers_used.pop(peer, None)

    def charge_silence(self, now_s: float) -> None:
        """Charge the even share of each quota for every peer that has fallen silent."""
        nodes = len(self._peers) + 1
        for peer in self._peers.values():
            from_s = max(peer.heard_s + self._settings.peer_silent_after_s, peer.charged_s)
            if now_s <= from_s:
                continue
            peer.charged_s = now_s
            for name, account in self._accounts.items():
                if account.quota_per_s is not None:
                    self._add(name, account.quota_per_s / nodes * (now_s - from_s), now_s)

    def _allowed(self, account: Account) -> float:
        settings = self._settings
        quota = (account.quota_per_s or 0.0) * settings.window_s + account.quota_burst
        tolerance = settings.overrun * quota + (settings.slack if account.counts_tokens else 0.0)
        return quota + settings.tolerance_share * tolerance

    def _used(self, account: ClientAccountId, now_s: float) -> float:
        """Return what all nodes have used in the last window."""
        usage = self._usage[account]
        width_s = self._settings.window_s / BUCKETS_PER_WINDOW
        oldest_s = now_s - self._settings.window_s - width_s
        while usage.buckets and usage.buckets[0].start_s < oldest_s:
            usage.total -= usage.buckets.popleft().used
        return usage.total

    def _add(self, account: ClientAccountId, amount: float, now_s: float) -> None:
        usage = self._usage[account]
        width_s = self._settings.window_s / BUCKETS_PER_WINDOW
        if not usage.buckets or now_s - usage.buckets[-1].start_s >= width_s:
            usage.buckets.append(_Bucket(now_s))
        usage.buckets[-1].used += amount
        usage.total += amount
