"""The step that follows each end of an attempt."""

import pytest
from gateway_samples import route
from hypothesis import given
from hypothesis import strategies as st

from lentilchute.gateway.attempts import AttemptEnd, AttemptTracker, NextStep
from lentilchute.gateway.routes import RequestKind


def tracker(kind: RequestKind, *, max_attempts: int = 2, resumable: bool = False) -> AttemptTracker:
    chosen = route(kind, max_attempts=max_attempts, is_resumable=resumable)
    return AttemptTracker(chosen, deadline_s=5.0)


UNKNOWN_OUTCOMES = (AttemptEnd.BROKEN, AttemptEnd.TIMED_OUT, AttemptEnd.SERVER_ERROR)


@pytest.mark.parametrize("end", UNKNOWN_OUTCOMES)
@pytest.mark.parametrize("kind", [RequestKind.NON_IDEMPOTENT, RequestKind.STREAM])
def test_what_may_have_run_is_not_sent_again(kind: RequestKind, end: AttemptEnd) -> None:
    attempts = tracker(kind, max_attempts=5)
    attempts.record_send()
    step = attempts.record_end(end, 0.0)
    assert step is (NextStep.FORWARD_ERROR if end is AttemptEnd.SERVER_ERROR else NextStep.FAIL)


def test_a_refused_connection_costs_no_attempt() -> None:
    attempts = tracker(RequestKind.NON_IDEMPOTENT, max_attempts=1)
    assert attempts.record_end(AttemptEnd.NOT_SENT, 0.0) is NextStep.RETRY


def test_a_request_that_no_upstream_executed_is_refused() -> None:
    attempts = tracker(RequestKind.NON_IDEMPOTENT, max_attempts=1)
    attempts.record_send()
    assert attempts.record_end(AttemptEnd.NOT_EXECUTED, 0.0) is NextStep.REFUSE


def test_a_rejected_request_goes_to_another_upstream_once() -> None:
    attempts = tracker(RequestKind.NON_IDEMPOTENT, max_attempts=2)
    attempts.record_send()
    assert attempts.record_end(AttemptEnd.NOT_EXECUTED, 0.0) is NextStep.RETRY
    attempts.record_send()
    assert attempts.record_end(AttemptEnd.NOT_EXECUTED, 0.0) is NextStep.REFUSE


def test_without_remaining_time_nothing_is_retried() -> None:
    attempts = tracker(RequestKind.IDEMPOTENT)
    attempts.record_send()
    assert attempts.record_end(AttemptEnd.BROKEN, 4.99) is NextStep.FAIL


def test_a_started_answer_is_resumed_or_aborted() -> None:
    attempts = tracker(RequestKind.STREAM, resumable=True)
    attempts.record_send()
    attempts.has_started_answer = True
    assert attempts.record_end(AttemptEnd.BROKEN, 0.0) is NextStep.RETRY
    attempts.record_send()
    assert attempts.record_end(AttemptEnd.NOT_EXECUTED, 0.0) is NextStep.ABORT


@given(
    kind=st.sampled_from(RequestKind),
    resumable=st.booleans(),
    max_attempts=st.integers(1, 4),
    ends=st.lists(st.tuples(st.sampled_from(list(AttemptEnd)), st.booleans()), max_size=12),
)
def test_no_order_of_ends_breaks_a_promise(
    kind: RequestKind,
    resumable: bool,
    max_attempts: int,
    ends: list[tuple[AttemptEnd, bool]],
) -> None:
    """A request that may not be repeated is executed at most once, and a refusal as not executed is
    returned only if no upstream can have executed it."""
    chosen = route(kind, max_attempts=max_attempts, is_resumable=resumable)
    attempts = AttemptTracker(chosen, deadline_s=5.0)
    possible_executions = 0
    for end, starts_answer in ends:
        if end is not AttemptEnd.NOT_SENT:
            attempts.record_send()
        if end in (*UNKNOWN_OUTCOMES, AttemptEnd.DELIVERED):
            possible_executions += 1
            attempts.has_started_answer |= starts_answer and end is AttemptEnd.BROKEN
        step = attempts.record_end(end, 0.0)
        assert attempts.sends <= max_attempts
        if not chosen.is_repeatable:
            assert possible_executions <= 1
        if step is NextStep.REFUSE:
            assert possible_executions == 0
        if attempts.has_started_answer:
            assert step in (NextStep.RETRY, NextStep.ABORT, NextStep.FINISH)
        if step is not NextStep.RETRY:
            return
        # The retry may be refused for lack of an upstream or of retry budget.
        last_step = attempts.final_step(has_failure=False)
        assert (last_step is NextStep.REFUSE) <= (possible_executions == 0)
