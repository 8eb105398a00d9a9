"""When a roll-out's traffic moves, timed backwards from its deadline; free of I/O.

At completion the old upstreams stop at once, so the candidate must get all new work for as long as
the longest stream lasts before it. Up to there, traffic moves as late as it can: some faults begin
late, and what was sent until then can't be taken back.
"""

from enum import Enum

from .judgement import Verdict

CANARY_WEIGHT = 0.1
"""Most of the requests that go to the candidate before traffic moves."""
MIN_SETTLE_S = 2.5
"""Longer than nodes take to tell the coordinator of requests that they placed by themselves."""
MARGIN_SHARE = 0.2
"""Part of a short roll-out that is kept free before its deadline."""


class RolloutPhase(Enum):
    """Where a roll-out stands."""

    CANARY = "canary"
    SHIFTING = "shifting"
    SETTLING = "settling"
    """All new work goes to the candidate; the baseline finishes what it has."""
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutSchedule:
    """The times of one roll-out, in seconds of one clock.

    ``longest_stream_s`` is the time within which anything that runs has ended. ``ramp_s`` is the
    time over which traffic moves, ``margin_s`` is kept free before the deadline for writing the
    completion; both are cut to a part of a short roll-out.

    A candidate that is undecided when traffic should move keeps its canary share. If it is judged
    good afterwards, all new work moves at once, without a ramp. If it still is undecided at the
    deadline, the roll-out ends rolled back, although the candidate may be good: a bad one that gets
    all the traffic harms every caller, and an unfinished roll-out can be ordered again.
    ``is_unjudged`` tells it apart from one that was found bad.

    A good candidate for which old upstreams still run requests at the deadline is completed late,
    once these have ended: completion would cut them, and all new work is at the candidate by then.
    """

    def __init__(
        self,
        ordered_s: float,
        deadline_s: float,
        longest_stream_s: float,
        *,
        canary_weight: float = CANARY_WEIGHT,
        ramp_s: float = 10.0,
        margin_s: float = 4.0,
        compared_weight: float = 0.05,
    ) -> None:
        duration_s = max(0.0, deadline_s - ordered_s)
        self._deadline_s = deadline_s
        self._canary_weight = canary_weight
        self._most_weight = 1.0 - compared_weight
        margin_s = min(margin_s, MARGIN_SHARE * duration_s)
        ramp_s = min(ramp_s, 0.25 * duration_s)
        settling_s = max(longest_stream_s, MIN_SETTLE_S)
        self.settle_s = max(ordered_s, deadline_s - margin_s - settling_s)
        """Time from which the baseline gets no new work."""
        self.shift_s = max(ordered_s, self.settle_s - ramp_s)
        """Time from which traffic moves."""

    def candidate_weight(self, verdict: Verdict, now_s: float) -> float:
        """Return the share of new requests that goes to the candidate. While traffic moves the
        baseline keeps a little, to compare with."""
        if verdict is Verdict.BAD:
            return 0.0
        if verdict is Verdict.UNDECIDED:
            return self._canary_weight if now_s < self._deadline_s else 0.0
        if now_s >= self.settle_s:
            return 1.0
        if now_s <= self.shift_s:
            return self._canary_weight
        moved = (now_s - self.shift_s) / (self.settle_s - self.shift_s)
        return self._canary_weight + moved * (self._most_weight - self._canary_weight)

    def phase(self, verdict: Verdict, now_s: float, *, is_completed: bool = False) -> RolloutPhase:
        """Return the phase; ``is_completed`` says that completion is written, which is final."""
        if is_completed:
            return RolloutPhase.COMPLETED
        if verdict is Verdict.BAD or now_s >= self._deadline_s:
            return RolloutPhase.ROLLED_BACK
        if verdict is Verdict.UNDECIDED or now_s < self.shift_s:
            return RolloutPhase.CANARY
        return RolloutPhase.SETTLING if now_s >= self.settle_s else RolloutPhase.SHIFTING

    def may_complete(self, baseline_in_flight: int, verdict: Verdict, now_s: float) -> bool:
        """Return whether completion may be written: the candidate is good, gets all new work, and
        nothing runs at the baseline any more, at any node."""
        is_settling = self.phase(verdict, now_s) is RolloutPhase.SETTLING
        return is_settling and baseline_in_flight == 0

    def is_unjudged(self, verdict: Verdict, now_s: float) -> bool:
        """Return whether the deadline passed before the evidence sufficed either way."""
        return verdict is Verdict.UNDECIDED and now_s >= self._deadline_s
