"""Tests of the entry's decisions: dispatch, claims, schedulers, deadlines and the planned stop."""

from dataclasses import replace

import pytest
from entry_fixtures import (
    BOOKING,
    CLAIMED,
    ENGINE,
    FIRST,
    OTHER_ENGINE,
    REQUEST,
    SECOND,
    SERVICE,
    SHARD,
    dispatched,
    grant,
    has,
    new_entry,
    only,
)

from lentilchute.entry.actions import (
    BreakAnswer,
    CancelUpstream,
    ClaimKey,
    DeclineGrant,
    LeaveKeyClaimed,
    RefreshScheduler,
    ReleaseKey,
    ReportDispatched,
    ReportEnded,
    SendEnd,
    SendHead,
    SendPart,
    SendRefusal,
    SendUpstream,
    SubmitTicket,
    WithdrawTicket,
)
from lentilchute.entry.local_share import LocalUpstream
from lentilchute.ids import Attempt, Tier
from lentilchute.scheduler.tickets import EndState, Outcome, Refusal, RefusalReason
from lentilchute.state.claim_answers import ClaimAnswer, ClaimState, KeptAnswer
from lentilchute.upstream.adapters import AnswerEnd, AnswerHead, AnswerPart, UpstreamFault


def test_a_request_is_submitted_granted_and_dispatched_once() -> None:
    requests = new_entry()
    request_id, actions = requests.accept(REQUEST, 0.0)
    assert only(actions, SubmitTicket).scheduler == FIRST
    actions = requests.granted(SHARD, grant(request_id), FIRST, 0.0)
    assert only(actions, SendUpstream).upstream == ENGINE
    assert requests.may_send(request_id, Attempt(1), 0.0)
    assert only(requests.take_actions(), ReportDispatched).upstream == ENGINE
    assert not requests.may_send(request_id, Attempt(1), 0.0)


def test_a_duplicate_grant_is_neither_sent_again_nor_declined() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(REQUEST, 0.0)
    requests.granted(SHARD, grant(request_id), FIRST, 0.0)
    assert requests.granted(SHARD, grant(request_id), FIRST, 0.0) == []


@pytest.mark.parametrize(
    "bad",
    [
        grant("entry-1.aa/9"),
        grant("entry-1.aa/1", attempt=2),
        grant("entry-1.aa/1", expires_s=0.5),
    ],
    ids=["unknown", "other attempt", "expired"],
)
def test_an_unusable_grant_is_declined(bad) -> None:
    requests = new_entry()
    requests.accept(REQUEST, 0.0)
    actions = requests.granted(SHARD, bad, FIRST, 1.0)
    assert only(actions, DeclineGrant).grant == bad
    assert not has(actions, SendUpstream)


def test_a_request_with_an_expired_grant_submits_a_new_attempt() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(REQUEST, 0.0)
    actions = requests.granted(SHARD, grant(request_id, expires_s=0.5), FIRST, 1.0)
    assert only(actions, SubmitTicket).ticket.attempt == 2


def test_a_grant_from_a_second_scheduler_is_declined_while_the_first_is_used() -> None:
    requests = new_entry()
    request_id = dispatched(requests)
    other = grant(request_id, upstream=OTHER_ENGINE)
    assert only(requests.granted(SHARD, other, SECOND, 0.0), DeclineGrant).scheduler == SECOND


def test_a_grant_that_expired_before_the_first_byte_is_not_dispatched() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(REQUEST, 0.0)
    requests.granted(SHARD, grant(request_id, expires_s=1.0), FIRST, 0.0)
    assert not requests.may_send(request_id, Attempt(1), 1.5)


def test_nothing_is_sent_to_an_upstream_that_leaves_after_the_grant() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(REQUEST, 0.0)
    requests.granted(SHARD, grant(request_id), FIRST, 0.0)
    requests.upstream_leaving(ENGINE)
    assert not requests.may_send(request_id, Attempt(1), 0.0)
    actions = requests.answer_item(request_id, UpstreamFault.NOT_SENT, 0.0)
    assert has(actions, DeclineGrant)
    ticket = only(actions, SubmitTicket).ticket
    assert ticket.attempt == 2
    assert ticket.excluded == {ENGINE}


def test_nothing_is_sent_again_after_the_first_byte() -> None:
    requests = new_entry()
    request_id = dispatched(requests)
    actions = requests.answer_item(request_id, UpstreamFault.NOT_SENT, 0.0)
    assert not has(actions, SubmitTicket)
    assert not has(actions, SendUpstream)
    actions = requests.answer_item(request_id, UpstreamFault.NOT_SUPPORTED, 0.0)
    refusal = only(actions, SendRefusal)
    assert refusal.outcome is Outcome.MAY_HAVE_RUN
    assert only(actions, ReportEnded).end is EndState.UPSTREAM_CRASHED


def test_a_schedulers_refusal_is_sent_to_the_caller_immediately() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(REQUEST, 0.0)
    refusal = Refusal(request_id, Attempt(1), FIRST, RefusalReason.DISPLACED, 2.5)
    sent = only(requests.refused(refusal, FIRST, 0.1), SendRefusal)
    assert (sent.outcome, sent.retry_after_s) == (Outcome.NOT_RUN, 2.5)


def test_a_refusal_from_a_scheduler_not_in_use_is_ignored() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(REQUEST, 0.0)
    refusal = Refusal(request_id, Attempt(1), FIRST, RefusalReason.DISPLACED, 2.5)
    assert requests.refused(refusal, SECOND, 0.1) == []


def test_a_booking_claims_its_key_between_grant_and_first_byte() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(BOOKING, 0.0)
    actions = requests.granted(SHARD, grant(request_id), FIRST, 0.0)
    assert only(actions, ClaimKey).claim.key == "k-1"
    assert not requests.may_send(request_id, Attempt(1), 0.0)
    assert has(requests.claim_resolved(request_id, CLAIMED, 0.1), SendUpstream)
    assert requests.may_send(request_id, Attempt(1), 0.1)


def test_a_booking_without_a_key_is_refused() -> None:
    _, actions = new_entry().accept(replace(BOOKING, idempotency_key=None), 0.0)
    assert only(actions, SendRefusal).reason is RefusalReason.KEY_REQUIRED


def test_a_claim_granted_after_the_grant_expired_is_used_with_the_next_grant() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(BOOKING, 0.0)
    requests.granted(SHARD, grant(request_id, expires_s=1.0), FIRST, 0.0)
    actions = requests.claim_resolved(request_id, CLAIMED, 1.5)
    assert only(actions, SubmitTicket).ticket.attempt == 2
    actions = requests.granted(SHARD, grant(request_id, attempt=2), FIRST, 1.6)
    assert has(actions, SendUpstream)
    assert not has(actions, ClaimKey)


@pytest.mark.parametrize(
    ("state", "reason", "outcome"),
    [
        (ClaimState.RUNNING_ELSEWHERE, RefusalReason.KEY_RUNNING, Outcome.MAY_HAVE_RUN),
        (ClaimState.MAY_HAVE_RUN, RefusalReason.KEY_UNRESOLVED, Outcome.MAY_HAVE_RUN),
        (ClaimState.FINISHED, RefusalReason.KEY_UNRESOLVED, Outcome.RAN),
        (ClaimState.OTHER_BODY, RefusalReason.KEY_REUSED, Outcome.NOT_RUN),
        (ClaimState.TABLE_UNAVAILABLE, RefusalReason.TABLE_UNAVAILABLE, Outcome.NOT_RUN),
    ],
)
def test_a_failed_claim_ends_the_request(state, reason, outcome) -> None:
    requests = new_entry()
    request_id, _ = requests.accept(BOOKING, 0.0)
    requests.granted(SHARD, grant(request_id), FIRST, 0.0)
    actions = requests.claim_resolved(request_id, ClaimAnswer(state), 0.1)
    refusal = only(actions, SendRefusal)
    assert (refusal.reason, refusal.outcome) == (reason, outcome)
    assert has(actions, DeclineGrant)
    assert not has(actions, ReleaseKey)


def test_a_resend_gets_the_stored_answer() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(BOOKING, 0.0)
    requests.granted(SHARD, grant(request_id), FIRST, 0.0)
    kept = KeptAnswer(201, (("x-booking", "7"),), b"booked")
    actions = requests.claim_resolved(request_id, ClaimAnswer(ClaimState.FINISHED, kept), 0.1)
    assert only(actions, SendHead).status == 201
    assert only(actions, SendPart).data == b"booked"
    assert has(actions, SendEnd)


def test_a_key_is_released_only_while_its_request_is_not_dispatched() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(BOOKING, 0.0)
    requests.granted(SHARD, grant(request_id), FIRST, 0.0)
    assert has(requests.caller_gone(request_id, 0.0), ReleaseKey)
    assert has(requests.claim_resolved(request_id, CLAIMED, 0.1), ReleaseKey)

    sent_id = dispatched(requests, BOOKING)
    requests.answer_item(sent_id, UpstreamFault.RESET, 0.0)
    actions = requests.answer_item(sent_id, UpstreamFault.NOT_SUPPORTED, 0.0)
    assert has(actions, LeaveKeyClaimed)
    assert not has(actions, ReleaseKey)


def test_the_answer_of_a_booking_is_read_to_its_end_without_its_caller() -> None:
    requests = new_entry()
    request_id = dispatched(requests, BOOKING)
    assert requests.caller_gone(request_id, 0.1) == []
    assert requests.answer_item(request_id, AnswerHead(200), 0.2) == []
    assert not has(requests.answer_item(request_id, AnswerPart(b"ok"), 0.2), SendPart)
    actions = requests.answer_item(request_id, AnswerEnd(), 0.3)
    assert not has(actions, SendEnd)
    assert has(actions, ReportEnded)


def test_a_disconnected_caller_releases_its_capacity() -> None:
    requests = new_entry()
    waiting_id, _ = requests.accept(REQUEST, 0.0)
    assert has(requests.caller_gone(waiting_id, 0.0), WithdrawTicket)
    running_id = dispatched(requests)
    actions = requests.caller_gone(running_id, 0.0)
    assert has(actions, CancelUpstream)
    assert only(actions, ReportEnded).end is EndState.CALLER_GONE
    assert requests.refresh(SERVICE, 0.0) == ([], [])


@pytest.mark.parametrize("request_", [REQUEST, BOOKING])
def test_every_request_is_answered_at_its_deadline(request_) -> None:
    requests = new_entry()
    waiting_id, _ = requests.accept(request_, 0.0)
    running_id = dispatched(requests, request_)
    streaming_id = dispatched(requests, request_)
    requests.answer_item(streaming_id, AnswerHead(200), 1.0)
    assert requests.next_tick_s() <= request_.deadline_s
    actions = requests.tick(request_.deadline_s)
    refusals = {
        action.request_id: action.outcome for action in actions if isinstance(action, SendRefusal)
    }
    assert refusals == {waiting_id: Outcome.NOT_RUN, running_id: Outcome.MAY_HAVE_RUN}
    assert only(actions, BreakAnswer).request_id == streaming_id


def test_a_claim_pending_at_the_deadline_can_still_report_an_earlier_run() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(BOOKING, 0.0)
    requests.granted(SHARD, grant(request_id), FIRST, 0.0)
    assert not has(requests.tick(30.0), SendRefusal)
    answer = ClaimAnswer(ClaimState.MAY_HAVE_RUN)
    refusal = only(requests.claim_resolved(request_id, answer, 30.0), SendRefusal)
    assert refusal.outcome is Outcome.MAY_HAVE_RUN


def test_an_unresolved_claim_delays_the_answer_by_a_limited_time() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(BOOKING, 0.0)
    requests.granted(SHARD, grant(request_id), FIRST, 0.0)
    requests.tick(30.0)
    assert requests.next_tick_s() <= 30.5
    assert only(requests.tick(30.5), SendRefusal).outcome is Outcome.NOT_RUN
    assert has(requests.claim_resolved(request_id, CLAIMED, 31.0), ReleaseKey)


def test_a_claim_granted_after_the_deadline_is_not_used() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(BOOKING, 0.0)
    requests.granted(SHARD, grant(request_id, expires_s=40.0), FIRST, 0.0)
    actions = requests.claim_resolved(request_id, CLAIMED, 30.0)
    assert has(actions, ReleaseKey)
    assert only(actions, SendRefusal).reason is RefusalReason.EXPIRED


def test_the_answer_of_a_booking_is_awaited_for_a_limited_time() -> None:
    requests = new_entry()
    dispatched(requests, BOOKING)
    assert not has(requests.tick(30.0), LeaveKeyClaimed)
    assert has(requests.tick(95.0), LeaveKeyClaimed)
    assert requests.refresh(SERVICE, 95.0) == ([], [])


def test_the_tickets_of_an_unresponsive_scheduler_go_to_the_next_candidate() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(REQUEST, 0.0)
    actions = requests.tick(1.0)
    refreshes = {
        action.scheduler: action for action in actions if isinstance(action, RefreshScheduler)
    }
    assert [ticket.request_id for ticket in refreshes[SECOND].waiting] == [request_id]
    assert refreshes[FIRST].waiting == ()


def test_an_empty_refresh_expects_no_reply() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(REQUEST, 0.0)
    requests.record_scheduler_reply(SHARD, FIRST)
    requests.caller_gone(request_id, 0.1)
    requests.tick(2.0)
    requests.tick(4.0)
    _, actions = requests.accept(REQUEST, 4.0)
    assert only(actions, SubmitTicket).scheduler == FIRST


def test_a_scheduler_that_replies_stays_in_use() -> None:
    requests = new_entry()
    requests.accept(REQUEST, 0.0)
    requests.record_scheduler_reply(SHARD, FIRST)
    refresh = only(requests.tick(2.0), RefreshScheduler)
    assert refresh.scheduler == FIRST


def test_without_any_scheduler_the_entry_uses_its_local_share_in_tier_order() -> None:
    requests = new_entry()
    requests.set_local_share(SERVICE, (LocalUpstream(ENGINE, 1),))
    low_id, _ = requests.accept(replace(REQUEST, tier=Tier(3)), 0.0)
    high_id, _ = requests.accept(replace(REQUEST, tier=Tier(0)), 0.0)
    actions = requests.set_scheduler_order(SHARD, (), 0.1)
    assert only(actions, SendUpstream).request.request_id == high_id
    assert requests.may_send(high_id, Attempt(1), 0.1)
    requests.answer_item(high_id, AnswerHead(200), 0.2)
    requests.answer_item(high_id, AnswerEnd(), 0.3)
    assert only(requests.tick(0.4), SendUpstream).request.request_id == low_id


def test_an_idle_entry_stops_refreshing_after_three_empty_refreshes() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(REQUEST, 0.0)
    requests.caller_gone(request_id, 0.0)
    refreshes = 0
    now_s = 0.0
    for _ in range(10):
        now_s += 2.0
        requests.record_scheduler_reply(SHARD, FIRST)
        refreshes += has(requests.tick(now_s), RefreshScheduler)
    assert refreshes == 3


def test_a_planned_stop_serves_until_no_caller_can_have_the_address() -> None:
    requests = new_entry()
    requests.stop(0.0)
    request_id, actions = requests.accept(REQUEST, 10.0)
    assert has(actions, SubmitTicket)
    assert not requests.is_idle(20.0)
    requests.caller_gone(request_id, 20.0)
    assert not requests.is_idle(20.1)
    assert not requests.is_idle(20.5)
    assert requests.is_idle(21.0)


def test_a_planned_stop_serves_a_request_that_arrived_during_a_process_pause() -> None:
    requests = new_entry()
    requests.stop(0.0)
    assert not requests.is_idle(1.0)
    assert not requests.is_idle(20.0)
    _, actions = requests.accept(REQUEST, 20.0)
    assert has(actions, SubmitTicket)


def test_the_lowest_waiting_tier_is_displaced_first_at_the_memory_limit() -> None:
    requests = new_entry(max_held_body_bytes=4)
    low_id, _ = requests.accept(replace(REQUEST, tier=Tier(3)), 0.0)
    requests.accept(replace(REQUEST, tier=Tier(2)), 0.0)
    _, actions = requests.accept(replace(REQUEST, tier=Tier(1)), 0.0)
    displaced = only(actions, SendRefusal)
    assert (displaced.request_id, displaced.reason) == (low_id, RefusalReason.DISPLACED)
    assert has(actions, SubmitTicket)
    _, actions = requests.accept(replace(REQUEST, tier=Tier(3)), 0.0)
    assert only(actions, SendRefusal).reason is RefusalReason.OVERLOADED
