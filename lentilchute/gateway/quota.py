"""Quotas of client accounts over all nodes; free of I/O.

Each node keeps one bucket an account, from which it takes its own requests at once and those of its
peers as their digests tell. A peer that has fallen silent counts as using its even share of the
rate, so that losing sight of peers never loosens a quota.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..ids import ClientAccountId, IncarnationId
from .routes import Account
from .settings import QuotaSettings


@dataclass(slots=True)
class _Bucket:
    level: float
    filled_s: float
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
        self._buckets: dict[ClientAccountId, _Bucket] = {}
        self._peers: dict[IncarnationId, _Peer] = {}

    def set_accounts(self, accounts: Iterable[Account], now_s: float) -> None:
        """Take in the accounts of a new configuration; a bucket never holds more than its burst."""
        self._accounts = {account.name: account for account in accounts}
        self._buckets = {
            name: self._buckets.get(name) or _Bucket(account.quota_burst, now_s)
            for name, account in self._accounts.items()
        }
        for name, account in self._accounts.items():
            bucket = self._buckets[name]
            bucket.level = min(bucket.level, account.quota_burst)

    def admit(self, account: ClientAccountId, cost: float, now_s: float) -> bool:
        """Take a request's cost from its account's quota, or return false when it is used up."""
        limit = self._accounts.get(account)
        if limit is None or limit.quota_per_s is None:
            return True
        bucket = self._filled(limit, now_s)
        if bucket.level < min(cost, limit.quota_burst):
            return False
        bucket.level -= cost
        bucket.own_used += cost
        return True

    def give_back(self, account: ClientAccountId, cost: float) -> None:
        """Return the cost of a request that was not sent upstream."""
        bucket = self._buckets.get(account)
        if bucket is not None and self._accounts[account].quota_per_s is not None:
            bucket.level += cost
            bucket.own_used -= cost

    def retry_after_s(self, account: ClientAccountId, cost: float, now_s: float) -> float:
        """Return when the account's quota will hold a request's cost again."""
        limit = self._accounts.get(account)
        if limit is None or limit.quota_per_s is None:
            return 0.0
        missing = min(cost, limit.quota_burst) - self._filled(limit, now_s).level
        return max(0.0, missing) / limit.quota_per_s

    def own_usage(self) -> dict[ClientAccountId, float]:
        """Return what this run has taken of each quota in all, for peers."""
        return {name: bucket.own_used for name, bucket in self._buckets.items()}

    def learn(self, peer: IncarnationId, used: dict[ClientAccountId, float], now_s: float) -> None:
        """Take in what a peer's run has used in all."""
        self._peers[peer] = _Peer(now_s, now_s)
        for name, total in used.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            before = bucket.peers_used.get(peer)
            bucket.peers_used[peer] = total
            if before is not None:
                bucket.level -= total - before

    def forget(self, peer: IncarnationId) -> None:
        """Drop a peer whose run is known to be over."""
        self._peers.pop(peer, None)
        for bucket in self._buckets.values():
            bucket.peers_used.pop(peer, None)

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
                    self._buckets[name].level -= account.quota_per_s / nodes * (now_s - from_s)

    def _filled(self, account: Account, now_s: float) -> _Bucket:
        bucket = self._buckets[account.name]
        passed_s = max(0.0, now_s - bucket.filled_s)
        bucket.filled_s = max(now_s, bucket.filled_s)
        rate = account.quota_per_s or 0.0
        # A deficit from late news of peers is worked off, but no deeper than one burst.
        floor = -account.quota_burst
        bucket.level = min(account.quota_burst, max(floor, bucket.level) + rate * passed_s)
        return bucket
