"""What to do after each attempt of one request; free of I/O.

"Not run" may be said only while no upstream can have run the request: before the first byte left,
or when every upstream that got it has said that it did not run it.
"""

from dataclasses import dataclass
from enum import Enum

from .routes import Route

MIN_RETRY_REMAINING_S = 0.05
"""With less time left a repeat cannot bring an answer."""


class AttemptEnd(Enum):
    """How one attempt ended."""

    DELIVERED = "delivered"
    """The caller has the whole answer."""
    NOT_SENT = "not-sent"
    """No byte left: the upstream could not be connected to, or takes no more work."""
    NOT_EXECUTED = "not-executed"
    """The upstream said that it did not run the request."""
    SERVER_ERROR = "server-error"
    """The upstream ran the request and answered with a failure of its own."""
    BROKEN = "broken"
    """The connection broke, or the answer is not a valid one; the request may have run."""
    TIMED_OUT = "silent"
    """Nothing came for too long; the request may have run."""


class NextStep(Enum):
    """What the forwarder does next."""

    FINISH = "finish"
    """Nothing more: the caller has its answer."""
    RETRY = "retry"
    FORWARD_ERROR = "pass-on"
    """Give the caller the upstream's own failure."""
    REFUSE = "refuse"
    """Answer that the request did not run, with the time to come back."""
    FAIL = "fail"
    """Answer that the request may have run."""
    ABORT = "break-off"
    """End an answer that has begun without its proper end."""


@dataclass(slots=True)
class AttemptTracker:
    """The attempts of one request."""

    route: Route
    deadline_s: float
    sends: int = 0
    may_have_run: bool = False
    has_started_answer: bool = False
    """Bytes of the answer have gone to the caller."""

    def record_send(self) -> None:
        """Note the first byte of an attempt."""
        self.sends += 1

    def record_end(self, end: AttemptEnd, now_s: float) -> NextStep:
        """Return what follows from an attempt's end, if the retry budget allows it."""
        if end is AttemptEnd.DELIVERED:
            return NextStep.FINISH
        if end not in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_EXECUTED):
            self.may_have_run = True
        if self._may_retry(end, now_s):
            return NextStep.RETRY
        return self.final_step(has_failure=end is AttemptEnd.SERVER_ERROR)

    def _may_retry(self, end: AttemptEnd, now_s: float) -> bool:
        if self.deadline_s - now_s < MIN_RETRY_REMAINING_S:
            return False
        if self.may_have_run and not self.route.is_repeatable:
            return False
        if end is AttemptEnd.NOT_SENT and self.sends == 0:
            return True
        return self.sends < self.route.max_attempts

    def final_step(self, *, has_failure: bool) -> NextStep:
        """Return how a request ends that is not sent again; the upstream may have given a
        failure."""
        if self.has_started_answer:
            return NextStep.ABORT
        if has_failure:
            return NextStep.FORWARD_ERROR
        return NextStep.FAIL if self.may_have_run else NextStep.REFUSE
