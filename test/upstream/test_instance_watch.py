"""Property test of one upstream's state under stale lists, own reports and drains.

The upstream's true state is a history. A list shows it as it was up to ``LAG_S`` ago, an own report
shows it as it is. No stale list may bring an upstream that was seen leaving back to live.
"""

from dataclasses import dataclass
from typing import ClassVar

from coverage_counter import CoverageCounter
from step_machine import Draw, StepMachine, run_steps

from lentilchute.ids import UpstreamId
from lentilchute.state.platform_services import ListedInstance, ListedState
from lentilchute.upstream.instance_watch import (
    GONE_AFTER_S,
    LIST_SETTLE_S,
    SELF_REPORT_TTL_S,
    InstanceWatch,
    WatchedState,
)

NAME = UpstreamId("engine-1")
OTHERS = (UpstreamId("engine-2"), UpstreamId("engine-3"))
LAG_S = 8.0
COVERAGE = CoverageCounter(
    "instance watch",
    (
        "leaving by the list",
        "leaving by its own report",
        "leaving by a drain",
        "stale list shows it live again",
        "live again by its own report",
        "live again by the list alone",
        "gone",
        "implausible list without any upstream",
        "late list answer",
        "list older than the last",
    ),
)


@dataclass(frozen=True)
class Truth:
    """The upstream's true state from ``since_s`` on; ``None`` while it does not run."""

    since_s: float
    state: ListedState | None


@dataclass(frozen=True)
class ListAnswer:
    """A list in transit to the node."""

    asked_s: float
    state: ListedState | None
    implausible: bool
    life: int
    """Number of the upstream's process that the list shows; see ``WatchMachine.life``."""


class WatchMachine(StepMachine):
    WEIGHTS: ClassVar = {
        "time_passes": 6,
        "list_is_read": 6,
        "list_arrives": 6,
        "upstream_reports_itself": 2,
        "truth_changes": 1,
        "operator_drains": 1,
        "operator_undrains": 1,
    }

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.truths = [Truth(0.0, ListedState.LIVE)]
        self.answers: list[ListAnswer] = []
        self.drained = False
        self.last_leaving_life = 0
        self.last_delivered_s = 0.0
        self.reported_since_leaving = False
        self.watch = InstanceWatch()
        for name in (NAME, *OTHERS):
            self.watch.add_upstream(name, from_list=True)

    def truth(self, at_s: float) -> ListedState | None:
        return [truth.state for truth in self.truths if truth.since_s <= at_s][-1]

    def life(self, at_s: float) -> int:
        """Return how many processes of the upstream have started by ``at_s``."""
        lives = [truth for truth in self.truths if truth.state is ListedState.LIVE]
        return len([truth for truth in lives if truth.since_s <= at_s])

    def do_time_passes(self, draw: Draw) -> None:
        self.now_s += draw([0.2, 1.0, 2.0])
        self.watch.tick(self.now_s)

    def do_list_is_read(self, draw: Draw) -> None:
        lag_s = draw([0.0, 1.0, LAG_S / 2, LAG_S])
        implausible = draw([False] * 9 + [True])
        at_s = self.now_s - lag_s
        self.answers.append(ListAnswer(self.now_s, self.truth(at_s), implausible, self.life(at_s)))

    def do_list_arrives(self, draw: Draw) -> None:
        if self.answers:
            self.answers = [item for item in self.answers if self.now_s - item.asked_s < 2.0]
        if self.answers:
            answer = draw(self.answers)
            self.answers.remove(answer)
            self.deliver(answer)

    def deliver(self, answer: ListAnswer) -> None:
        listed = [_listed(name, ListedState.LIVE) for name in OTHERS]
        if answer.state is not None:
            listed.append(_listed(NAME, answer.state))
        if answer.implausible:
            COVERAGE.hit("implausible list without any upstream")
            listed = []
        if answer.asked_s < self.now_s:
            COVERAGE.hit("late list answer")
        if answer.asked_s < self.last_delivered_s:
            COVERAGE.hit("list older than the last")
        self.last_delivered_s = max(self.last_delivered_s, answer.asked_s)
        before = self.watch.state(NAME)
        self.watch.apply_list(listed, answer.asked_s, self.now_s)
        self.check_after_list(answer, before)

    def check_after_list(self, answer: ListAnswer, before: WatchedState) -> None:
        state = self.watch.state(NAME)
        if answer.state is ListedState.LEAVING and not answer.implausible:
            assert state is not WatchedState.LIVE, "the list shows it leaving"
            self.last_leaving_life = max(self.last_leaving_life, answer.life)
            self.reported_since_leaving = False
            if before is WatchedState.LIVE:
                COVERAGE.hit("leaving by the list")
        elif answer.state is ListedState.LIVE and self.truth(self.now_s) != ListedState.LIVE:
            COVERAGE.hit("stale list shows it live again")
        if state is WatchedState.LIVE and before is not state and not self.reported_since_leaving:
            COVERAGE.hit("live again by the list alone")

    def do_upstream_reports_itself(self, draw: Draw) -> None:
        truth = self.truth(self.now_s)
        if truth is None:
            return
        leaving = truth is ListedState.LEAVING
        before = self.watch.state(NAME)
        self.watch.record_self_report(NAME, leaving=leaving, asked_s=self.now_s, now_s=self.now_s)
        state = self.watch.state(NAME)
        if leaving:
            assert state is not WatchedState.LIVE, "it reported that it is leaving"
            if before is WatchedState.LIVE:
                COVERAGE.hit("leaving by its own report")
            self.last_leaving_life = self.life(self.now_s)
            self.reported_since_leaving = False
            return
        self.reported_since_leaving = True
        if state is WatchedState.LIVE and before is not state:
            COVERAGE.hit("live again by its own report")

    def do_truth_changes(self, draw: Draw) -> None:
        following = {
            ListedState.LIVE: ListedState.LEAVING,
            ListedState.LEAVING: None,
            None: ListedState.LIVE,
        }
        current = self.truth(self.now_s)
        since_s = self.now_s - self.truths[-1].since_s
        # A name is reused only after the lists have had time to show it missing.
        if current is None and since_s < LAG_S + GONE_AFTER_S:
            return
        self.truths.append(Truth(self.now_s, following[current]))

    def do_operator_drains(self, draw: Draw) -> None:
        if self.watch.state(NAME) is WatchedState.LIVE:
            COVERAGE.hit("leaving by a drain")
        self.drained = True
        self.watch.drain(NAME, float("inf"), self.now_s)

    def do_operator_undrains(self, draw: Draw) -> None:
        self.drained = False
        self.watch.undrain(NAME, self.now_s)

    def check(self) -> None:
        state = self.watch.state(NAME)
        if state is WatchedState.GONE:
            COVERAGE.hit("gone")
        if state is not WatchedState.LIVE:
            return
        assert not self.drained, "a drained upstream takes work"
        # A stale list may show it live, but not after the node has seen it leaving.
        if self.truth(self.now_s) is not ListedState.LIVE:
            assert self.life(self.now_s) > self.last_leaving_life, "live again by a stale list"

    def teardown(self) -> None:
        """A running upstream becomes live again in bounded time; a leaving one also reports it."""
        self.do_operator_undrains(lambda items: items[0])
        if self.truth(self.now_s) is not ListedState.LIVE:
            return
        reported_leaving = self.watch.state(NAME) is WatchedState.LEAVING
        for _ in range(int(LAG_S + LIST_SETTLE_S + SELF_REPORT_TTL_S) + 2):
            self.now_s += 1.0
            self.deliver(ListAnswer(self.now_s, self.truth(self.now_s), False, 0))
            if reported_leaving:
                self.do_upstream_reports_itself(lambda items: items[0])
        assert self.watch.state(NAME) is WatchedState.LIVE, "a live upstream gets no work"


def _listed(name: UpstreamId, state: ListedState) -> ListedInstance:
    return ListedInstance(name, "engines", "127.0.0.1:1", "zone-1", state)


def test_instance_watch_under_stale_lists() -> None:
    run_steps(WatchMachine, max_examples=200)
    COVERAGE.check()


def test_a_list_that_lacks_most_upstreams_is_ignored_but_one_missing_upstream_is_gone() -> None:
    watch = InstanceWatch()
    for name in (NAME, *OTHERS):
        watch.add_upstream(name, from_list=True)
    others = [_listed(name, ListedState.LIVE) for name in OTHERS]
    for second in range(60):
        watch.apply_list([], float(second), float(second))
    assert watch.state(NAME) is WatchedState.LIVE
    for second in range(60, 60 + int(GONE_AFTER_S)):
        watch.apply_list(others, float(second), float(second))
        assert watch.state(NAME) is WatchedState.LIVE
    watch.apply_list(others, 60 + GONE_AFTER_S, 60 + GONE_AFTER_S)
    assert watch.state(NAME) is WatchedState.GONE
    assert watch.state(OTHERS[0]) is WatchedState.LIVE
