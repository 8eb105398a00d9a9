"""Decides what follows each attempt of a request; free of I/O.

A caller may be told that its request was not executed only while no upstream can have executed it:
no byte has been sent, or every upstream that received it has declared it unexecuted.
"""

from dataclasses import dataclass
from enum import Enum

from .routes import Route

MIN_RETRY_REMAINING_S = 0.05
"""A retry with less time than this before the deadline cannot deliver an answer."""


class AttemptEnd(Enum):
    """How one attempt ended."""

    DELIVERED = "delivered"
    """The complete answer went to the caller."""
    NOT_SENT = "not-sent"
    """No byte was sent: the upstream was unreachable, or no longer accepts requests."""
    NOT_EXECUTED = "not-executed"
    """The upstream declared that it did not execute the request."""
    SERVER_ERROR = "server-error"
    """The upstream executed the request and answered with a server error."""
    BROKEN = "broken"
    """The connection broke, or the answer is invalid; the request may have been executed."""
    TIMED_OUT = "silent"
    """The upstream sent nothing for too long; the request may have been executed."""


class NextStep(Enum):
    """What the forwarder does next."""

    FINISH = "finish"
    """Stop: the caller has its answer."""
    RETRY = "retry"
    FORWARD_ERROR = "pass-on"
    """Relay the upstream's server error to the caller."""
    REFUSE = "refuse"
    """Answer that the request was not executed, with a time after which to retry."""
    FAIL = "fail"
    """Answer that the request may have been executed."""
    ABORT = "break-off"
    """Abort the connection in the middle of an answer that has begun."""


@dataclass(slots=True)
class AttemptTracker:
    """Tracks the attempts of one request."""

    route: Route
    deadline_s: float
    sends: int = 0
    may_have_executed: bool = False
    has_started_answer: bool = False
    """Bytes of the answer have been sent to the caller."""

    def record_send(self) -> None:
        """Record that the first byte of an attempt is about to be sent."""
        self.sends += 1

    def take_back_send(self) -> None:
        """Record that a peer, which was given the request, has not sent any byte of it."""
        self.sends -= 1

    def record_end(self, end: AttemptEnd, now_s: float) -> NextStep:
        """Record the end of an attempt and return the next step.

        A retry still depends on the retry budget and on a placement.
        """
        if end is AttemptEnd.DELIVERED:
            return NextStep.FINISH
        if end not in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_EXECUTED):
            self.may_have_executed = True
        if self._may_retry(end, now_s):
            return NextStep.RETRY
        return self.final_step(has_failure=end is AttemptEnd.SERVER_ERROR)

    def _may_retry(self, end: AttemptEnd, now_s: float) -> bool:
        if self.deadline_s - now_s < MIN_RETRY_REMAINING_S:
            return False
        if self.may_have_executed and not self.route.is_repeatable:
            return False
        if end is AttemptEnd.NOT_SENT and self.sends == 0:
            return True
        return self.sends < self.route.max_attempts

    def final_step(self, *, has_failure: bool) -> NextStep:
        """Return the last step of a request that is not retried.

        ``has_failure`` says that an upstream answered with a server error.
        """
        if self.has_started_answer:
            return NextStep.ABORT
        if has_failure:
            return NextStep.FORWARD_ERROR
        return NextStep.FAIL if self.may_have_executed else NextStep.REFUSE
