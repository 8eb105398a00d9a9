"""Tests usage that a coordinator has not counted, and quotas through network partitions."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilchute.gateway.local_usage import LocalUsage
from lentilchute.gateway.quota import QuotaTracker
from lentilchute.gateway.routes import Account
from lentilchute.gateway.settings import QuotaSettings
from lentilchute.ids import ClientAccountId, IncarnationId

ACCOUNT = ClientAccountId("notary")
FIRST, SECOND, THIRD = (IncarnationId(f"node-{number}.1") for number in range(3))
WINDOW_S = 8.0
EXACT = QuotaSettings(window_s=WINDOW_S, overrun=0.0, slack=0.0, tolerance_share=0.0)
SHIPPED = QuotaSettings(window_s=WINDOW_S, overrun=0.1, slack=140_000.0, tolerance_share=0.25)
"""The platform's tolerance, and the fraction of it that is used by default."""
ALLOWED = 100.0
LARGE = 725_000.0
"""The largest known quota per window, for which the tolerance is the smallest fraction."""


def test_usage_that_others_have_counted_is_reported_to_the_coordinator() -> None:
    usage = LocalUsage(WINDOW_S)
    usage.record(ACCOUNT, 3.0, FIRST, 10.0)
    usage.record(ACCOUNT, 5.0, THIRD, 12.1)
    assert usage.uncounted(FIRST, 12.1) == {ACCOUNT: [0, 0, 0, 0, 0, 0, 0, 5.0]}
    assert usage.uncounted(THIRD, 12.1) == {ACCOUNT: [0, 0, 0, 0, 0, 3.0, 0, 0]}
    assert usage.uncounted(SECOND, 19.5) == {ACCOUNT: [5.0, 0, 0, 0, 0, 0, 0, 0]}
    assert usage.uncounted(SECOND, 21.0) == {}


def test_an_empty_report_counts_nothing() -> None:
    tracker = QuotaTracker(EXACT)
    tracker.set_accounts([Account(ACCOUNT, frozenset(), 12.5, 0.0, True, 1.0)], -20.0)
    tracker.record_node_usage(SECOND, {ACCOUNT: [0.0] * 8}, 0.0)
    assert tracker.totals(0.0) == {ACCOUNT: 0.0}
    tracker.record_node_usage(SECOND, {ACCOUNT: [0.0] * 7 + [9.0]}, 1.0)
    assert tracker.totals(1.0) == {ACCOUNT: 9.0}
    assert tracker.totals(9.5) == {ACCOUNT: 0.0}


class Fleet:
    """Nodes that share one quota; each may be partitioned from the others."""

    def __init__(self, size: int, allowed: float, quota_settings: QuotaSettings) -> None:
        quota = Account(ACCOUNT, frozenset(), allowed / WINDOW_S, 0.0, True, 1.0)
        self.names = [IncarnationId(f"node-{number}.1") for number in range(size)]
        self.trackers = {name: QuotaTracker(quota_settings) for name in self.names}
        self.usages = {name: LocalUsage(WINDOW_S) for name in self.names}
        self.is_cut = dict.fromkeys(self.names, False)
        self.coordinator = self.names[0]
        self.reporters: set[IncarnationId] = set()
        for tracker in self.trackers.values():
            tracker.set_accounts([quota], -20.0)

    def connect(self, cut: set[IncarnationId], now_s: float) -> None:
        """Change which nodes are cut off; the rest select a coordinator and report their usage to
        it."""
        self.is_cut = {name: name in cut for name in self.names}
        connected = [name for name in self.names if name not in cut]
        self.reporters &= set(connected)
        if not connected:
            return
        if connected[0] != self.coordinator:
            self.coordinator = connected[0]
            self.trackers[self.coordinator].take_over(now_s)
            self.reporters = set()
        for name in connected[1:]:
            used = self.usages[name].uncounted(self.coordinator, now_s)
            relayed, as_of_s = self.trackers[name].coordinator_history()
            self.trackers[self.coordinator].record_node_usage(name, used, now_s)
            self.trackers[self.coordinator].adopt_coordinator_history(relayed, as_of_s, now_s)
            self.reporters.add(name)

    def admit(self, name: IncarnationId, cost: float, now_s: float) -> bool:
        """Decide about a request at a node as the gateway does."""
        if self.is_cut[name] or name == self.coordinator:
            others = 0 if self.is_cut[name] else len(self.reporters - {name})
            decider, share = name, (1 + others) / len(self.names)
        else:
            decider = self.coordinator
            share = (1 + len(self.reporters - {decider})) / len(self.names)
        if self.trackers[decider].admit(ACCOUNT, cost, share, now_s) is None:
            return False
        if decider != name:
            self.trackers[name].record(ACCOUNT, cost, now_s)
        self.usages[name].record(ACCOUNT, cost, decider, now_s)
        self._broadcast_history(now_s)
        return True

    def _broadcast_history(self, now_s: float) -> None:
        history = self.trackers[self.coordinator].history(now_s)
        for name in self.names:
            if not self.is_cut[name] and name != self.coordinator:
                self.trackers[name].record_coordinator_history(history, now_s)


def largest_window(admitted: list[tuple[float, float]]) -> float:
    return max(
        (
            sum(cost for at_s, cost in admitted if end_s - WINDOW_S < at_s <= end_s)
            for end_s, _ in admitted
        ),
        default=0.0,
    )


def test_usage_during_a_partition_counts_once_it_has_healed() -> None:
    fleet, admitted, rng = Fleet(3, ALLOWED, EXACT), [], random.Random(1)
    cut = set(fleet.names[1:])
    for tick in range(800):
        now_s = tick * 0.02
        if tick % 200 == 0:
            fleet.connect(cut if tick % 400 == 200 else set(), now_s)
        if fleet.admit(rng.choice(fleet.names), 1.0, now_s):
            admitted.append((now_s, 1.0))
    assert 0.8 * ALLOWED < largest_window(admitted) <= ALLOWED


@pytest.mark.parametrize("size", [2, 4])
@settings(max_examples=150)
@given(data=st.data())
def test_a_quota_holds_through_partitions_and_changes_of_the_coordinator(
    size: int, data: st.DataObject
) -> None:
    """The quota holds within the platform's tolerance: a node that is cut off together with the
    previous coordinator does not know all that it granted."""
    fleet, admitted, now_s = Fleet(size, LARGE, SHIPPED), [], 0.0
    fleet.connect(set(), now_s)
    names = st.sampled_from(fleet.names)
    for _ in range(data.draw(st.integers(1, 60))):
        now_s += data.draw(st.floats(0.01, 0.6))
        if data.draw(st.booleans()):
            fleet.connect(data.draw(st.sets(names)), now_s)
        cost = data.draw(st.floats(0.01, 0.4)) * LARGE
        if fleet.admit(data.draw(names), cost, now_s):
            admitted.append((now_s, cost))
    assert largest_window(admitted) <= LARGE * (1 + SHIPPED.overrun) + SHIPPED.slack
