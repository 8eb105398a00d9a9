"""Judges a candidate version by its answers beside the baseline's of the same seconds; free of I/O.

Failures and slow answers are tested on each route, over all routes, and at upstreams that are as
loaded as the baseline's. The tests share the error rates of the settings, so that those hold for a
roll-out as a whole.
"""

from collections import defaultdict, deque
from collections.abc import Iterator
from enum import Enum

from ...ids import UpstreamId
from ...util.lean_dataclasses import dataclass
from .baseline_shares import KEPT_S, BaselineShares, upper_share
from .change_test import ChangeTest, SuspectUpstreams
from .collected import CollectedEvidence
from .samples import SampleOutcome, VersionRole, VersionSample
from .slowness import Slowness

ALL_ROUTES = "all routes"
UNDER_LOAD = "under load"
ROUTE_GONE_S = 8.0
"""A route without answers of the baseline for so long, while others have some, has been moved."""
LOAD_MEMORY = 200.0
"""Baseline answers over which the mean load is taken."""


class Verdict(Enum):
    """What is known of a candidate. BAD is final, and may follow GOOD."""

    UNDECIDED = "undecided"
    GOOD = "good"
    BAD = "bad"


class _Fault(Enum):
    FAILURE = "failed answers"
    SLOW = "answers slower than the baseline's"
    UNEVEN = "answers slower than others of the same upstream"


@dataclass(frozen=True, slots=True)
class JudgementSettings:
    """Error rates and spans of a judgement.

    ``alarm_rate``: chance that a version as good as the baseline is called bad. ``pass_rate``:
    chance that one which turns ``least_share`` of its answers bad is called good.
    """

    alarm_rate: float = 0.01
    pass_rate: float = 0.01
    least_share: float = 0.15
    soak_s: float = 10.0
    """Time from the candidate's first answer to the verdict GOOD at least."""
    hold_s: float = 1.0
    """Wait for the baseline's answers of the same time to be reported."""
    compared_s: float = 3.0
    """Span of baseline answers before a candidate's answer that it is compared with."""
    loaded_share: float = 0.75
    """Share of the baseline's mean load from which an upstream counts as loaded."""
    least_route_share: float = 0.02
    """Share of the baseline's answers from which a route needs evidence of its own."""
    least_compared: int = 5
    """Baseline answers without which there is nothing to compare with."""
    least_bad_share: float = 0.02
    """Share of bad answers that is always put up with."""
    alone_bad_share: float = 0.15
    """Share of bad answers that is put up with when the baseline has no traffic any more."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """The state of a judgement, for operators. Log likelihoods are natural logarithms."""

    verdict: Verdict
    baseline_samples: int
    candidate_samples: int
    excused_samples: int
    baseline_failure_share: float
    candidate_failure_share: float
    baseline_slow_share: float
    candidate_slow_share: float
    worst_route: str
    """The route, or ``all routes`` or ``under load``, with most evidence against the candidate."""
    log_evidence: float
    """Log likelihood ratio against the candidate there; minus infinity without answers."""
    log_clearing: float
    """Log likelihood ratio of the part of the traffic that is furthest from being cleared."""
    upstreams_set_aside: int
    reason: str


@dataclass(frozen=True, slots=True)
class _Held:
    sample: VersionSample
    faults: dict[_Fault, bool]
    finished_s: float
    is_loaded: bool


class VersionJudgement:
    """The judgement of one roll-out's candidate.

    >>> judgement = VersionJudgement(JudgementSettings())
    >>> judgement.verdict(now_s=0.0)
    <Verdict.UNDECIDED: 'undecided'>
    """

    def __init__(self, settings: JudgementSettings) -> None:
        self._settings = settings
        self._verdict = Verdict.UNDECIDED
        self._reason = ""
        self._slowness = Slowness()
        self._baseline: defaultdict[tuple[str, _Fault], BaselineShares] = defaultdict(
            BaselineShares
        )
        self._baseline_load = 0.0
        self._baseline_samples = 0
        self._baseline_by_route: defaultdict[str, int] = defaultdict(int)
        self._baseline_seen_s: dict[str, float] = {}
        self._candidate_samples = 0
        self._excused_samples = 0
        self._held: deque[_Held] = deque()
        self._first_candidate_s: float | None = None
        self._suspects = {fault: SuspectUpstreams() for fault in _Fault}
        self._tests: dict[str, dict[_Fault, ChangeTest]] = {}
        self._tests_of(ALL_ROUTES)
        self._tests_of(UNDER_LOAD)

    def restore(self, verdict: Verdict, reason: str) -> None:
        """Take over what another node decided; BAD is kept, whatever it says."""
        if self._verdict is not Verdict.BAD:
            self._verdict, self._reason = verdict, reason

    @property
    def weighed_samples(self) -> int:
        """Answers of the candidate that the tests have taken in."""
        return self._candidate_samples - len(self._held)

    def collected(self, now_s: float) -> CollectedEvidence | None:
        """Return what a successor needs to go on; None without answers of the candidate."""
        if self._first_candidate_s is None:
            return None
        return CollectedEvidence(
            self.weighed_samples,
            self._excused_samples,
            max(0.0, now_s - self._first_candidate_s),
            tuple(
                test.collected(place, fault.name)
                for place, fault, test in self._all_tests()
                if test.samples
            ),
            tuple(
                (fault.name, upstream)
                for fault, suspects in self._suspects.items()
                for upstream in suspects.set_aside()
            ),
        )

    def resume(self, collected: CollectedEvidence, now_s: float) -> None:
        """Go on with what another node has collected, if that is more than what is known here."""
        if collected.candidate_samples <= self._candidate_samples:
            return
        self._candidate_samples = collected.candidate_samples
        self._excused_samples = collected.excused_samples
        self._held.clear()
        first_s = now_s - collected.watched_s
        if self._first_candidate_s is None or first_s < self._first_candidate_s:
            self._first_candidate_s = first_s
        for name, upstream in collected.set_aside:
            if name in _Fault.__members__:
                self._suspects[_Fault[name]].restore(UpstreamId(upstream))
        for test in collected.tests:
            if test.fault in _Fault.__members__:
                self._tests_of(test.place)[_Fault[test.fault]].restore(test)

    def record(self, sample: VersionSample, now_s: float) -> None:
        """Take in a finished attempt, in the order of time."""
        faults = self._faults_of(sample)
        if sample.role is VersionRole.BASELINE:
            self._record_baseline(sample, faults, now_s)
        else:
            self._record_candidate(sample, faults, now_s)

    def verdict(self, now_s: float) -> Verdict:
        """Return what is known now."""
        self._weigh_until(now_s - self._settings.hold_s)
        if self._verdict is Verdict.UNDECIDED and self._is_good(now_s):
            self._verdict = Verdict.GOOD
            self._reason = "as good as the baseline on all routes and under load"
        return self._verdict

    def evidence(self, now_s: float) -> Evidence:
        """Return the figures behind the verdict."""
        verdict = self.verdict(now_s)
        route, _, worst = max(self._all_tests(), key=lambda each: each[2].log_evidence)
        required = list(self._required_tests())
        return Evidence(
            verdict=verdict,
            baseline_samples=self._baseline_samples,
            candidate_samples=self._candidate_samples,
            excused_samples=self._excused_samples,
            baseline_failure_share=self._baseline_share(_Fault.FAILURE),
            candidate_failure_share=self._candidate_share(_Fault.FAILURE),
            baseline_slow_share=self._baseline_share(_Fault.SLOW),
            candidate_slow_share=self._candidate_share(_Fault.SLOW),
            worst_route=route,
            log_evidence=worst.log_evidence,
            log_clearing=max(test.log_clearing for _, _, test in required),
            upstreams_set_aside=max(len(suspects) for suspects in self._suspects.values()),
            reason=self._reason or self._why_undecided(now_s),
        )

    def _faults_of(self, sample: VersionSample) -> dict[_Fault, bool]:
        """Return which faults the answer could show, and whether it does. An excused answer may
        still be slow: a slow version drives answers past their deadlines."""
        faults: dict[_Fault, bool] = {}
        if sample.outcome is not SampleOutcome.EXCUSED:
            faults[_Fault.FAILURE] = sample.outcome is SampleOutcome.FAILURE
        slow, uneven = self._slowness.classify(sample)
        if slow is not None:
            faults[_Fault.SLOW] = slow
        if uneven is not None:
            faults[_Fault.UNEVEN] = uneven
        return faults

    def _record_baseline(
        self, sample: VersionSample, faults: dict[_Fault, bool], now_s: float
    ) -> None:
        self._baseline_samples += 1
        self._baseline_by_route[sample.route] += 1
        self._baseline_seen_s[sample.route] = now_s
        memory = min(self._baseline_samples, LOAD_MEMORY)
        self._baseline_load += (sample.load - self._baseline_load) / memory
        for fault, is_bad in faults.items():
            self._baseline[sample.route, fault].record(is_bad, now_s)

    def _record_candidate(
        self, sample: VersionSample, faults: dict[_Fault, bool], now_s: float
    ) -> None:
        self._candidate_samples += 1
        self._excused_samples += sample.outcome is SampleOutcome.EXCUSED
        if self._first_candidate_s is None:
            self._first_candidate_s = now_s
        is_loaded = sample.load >= self._settings.loaded_share * self._baseline_load
        self._held.append(_Held(sample, faults, now_s, is_loaded))

    def _weigh_until(self, until_s: float) -> None:
        while self._held and self._held[0].finished_s <= until_s:
            held = self._held.popleft()
            if self._verdict is not Verdict.BAD:
                self._weigh(held)

    def _weigh(self, held: _Held) -> None:
        route = held.sample.route
        places = [ALL_ROUTES, route, *([UNDER_LOAD] if held.is_loaded else [])]
        for fault, is_bad in held.faults.items():
            base_share = self._explained_share(route, fault, held.finished_s)
            if base_share is None:
                continue
            for place in places:
                test = self._tests_of(place)[fault]
                test.record(held.sample.upstream, is_bad, base_share, held.finished_s)
                if test.is_alarmed:
                    self._condemn(place, fault, test)

    def _condemn(self, place: str, fault: _Fault, test: ChangeTest) -> None:
        if self._verdict is not Verdict.BAD:
            self._verdict = Verdict.BAD
            self._reason = f"{place}: {test.bad_samples} of {test.samples} {fault.value}"

    def _explained_share(self, route: str, fault: _Fault, finished_s: float) -> float | None:
        """Return the share of bad answers that the baseline has at that time; None if there is
        nothing to compare with."""
        settings, shares = self._settings, self._baseline[route, fault]
        until_s = finished_s + settings.hold_s
        for span_s, least_share in (
            (settings.compared_s, settings.least_bad_share),
            (KEPT_S, settings.alone_bad_share),
        ):
            samples, bad_samples = shares.between(finished_s - span_s, until_s)
            if samples >= settings.least_compared:
                return max(least_share, upper_share(samples, bad_samples))
        if fault is not _Fault.FAILURE:
            return None
        if shares.samples < settings.least_compared:
            return settings.alone_bad_share
        earlier = upper_share(shares.samples, shares.bad_samples)
        return max(settings.alone_bad_share, earlier)

    def _is_good(self, now_s: float) -> bool:
        if self._first_candidate_s is None:
            return False
        if now_s - self._first_candidate_s < self._settings.soak_s:
            return False
        return all(test.is_cleared for _, _, test in self._required_tests())

    def _required_tests(self) -> Iterator[tuple[str, _Fault, ChangeTest]]:
        """Yield the tests that must be passed. Evenness of single upstreams is not needed where
        twice as many answers as they would take are spread over more upstreams."""
        routes = [route for route in self._baseline_by_route if self._has_traffic(route)]
        for place in (ALL_ROUTES, UNDER_LOAD, *routes):
            tests = self._tests_of(place)
            yield place, _Fault.FAILURE, tests[_Fault.FAILURE]
            if self._is_timed(place, routes):
                yield place, _Fault.SLOW, tests[_Fault.SLOW]
                if 2 * tests[_Fault.UNEVEN].samples >= tests[_Fault.SLOW].samples:
                    yield place, _Fault.UNEVEN, tests[_Fault.UNEVEN]

    def _has_traffic(self, route: str) -> bool:
        least = self._settings.least_route_share * self._baseline_samples
        if max(self._baseline_seen_s.values()) - self._baseline_seen_s[route] > ROUTE_GONE_S:
            return False
        return self._baseline_by_route[route] >= max(1.0, least)

    def _is_timed(self, place: str, routes: list[str]) -> bool:
        """Return whether the baseline's answers there have times to compare with."""
        places = [place] if place in self._baseline_by_route else routes
        return any(
            self._baseline[route, _Fault.SLOW].samples >= self._settings.least_compared
            for route in places
        )

    def _tests_of(self, place: str) -> dict[_Fault, ChangeTest]:
        """Return the tests of a part of the traffic. The n-th part gets 1/n(n+1) of the alarm rate,
        so that all of them together keep it however many routes there are."""
        tests = self._tests.get(place)
        if tests is None:
            number = len(self._tests) + 1
            settings = self._settings
            alarm_rate = settings.alarm_rate / (number * (number + 1) * len(_Fault))
            tests = {
                fault: ChangeTest(
                    alarm_rate,
                    settings.pass_rate,
                    settings.least_share,
                    suspects,
                    may_stall=fault is not _Fault.FAILURE,
                )
                for fault, suspects in self._suspects.items()
            }
            self._tests[place] = tests
        return tests

    def _all_tests(self) -> list[tuple[str, _Fault, ChangeTest]]:
        return [
            (place, fault, test)
            for place, tests in self._tests.items()
            for fault, test in tests.items()
        ]

    def _baseline_share(self, fault: _Fault) -> float:
        counted = [shares for (_, each), shares in self._baseline.items() if each is fault]
        return _share(sum(s.bad_samples for s in counted), sum(s.samples for s in counted))

    def _candidate_share(self, fault: _Fault) -> float:
        test = self._tests[ALL_ROUTES][fault]
        return _share(test.bad_samples, test.samples)

    def _why_undecided(self, now_s: float) -> str:
        if self._first_candidate_s is None:
            return "no answers of the candidate yet"
        waiting = [
            f"{place} ({test.samples} answers, {fault.value})"
            for place, fault, test in self._required_tests()
            if not test.is_cleared
        ]
        if waiting:
            return "not enough evidence yet: " + ", ".join(waiting)
        left_s = self._settings.soak_s - (now_s - self._first_candidate_s)
        return f"watched for {max(0.0, left_s):.1f} s more"


def _share(part: int, whole: int) -> float:
    return part / whole if whole else 0.0
