"""Tests of relaying an answer: no gaps or repeats, and no clean end of an incomplete answer."""

from dataclasses import replace

from entry_fixtures import (
    BOOKING,
    FIRST,
    REQUEST,
    SHARD,
    dispatched,
    grant,
    has,
    new_entry,
    only,
)

from lentilchute.entry.actions import (
    BreakAnswer,
    KeepAnswer,
    RecordGoodput,
    RecordWastedPrefill,
    ReportEnded,
    ReportProgress,
    ResumeUpstream,
    SendEnd,
    SendPart,
    SendRefusal,
    SendUpstream,
)
from lentilchute.scheduler.tickets import EndState
from lentilchute.upstream.adapters import AnswerEnd, AnswerHead, AnswerPart, UpstreamFault


def test_a_complete_answer_is_relayed_and_counted() -> None:
    requests = new_entry()
    request_id = dispatched(requests)
    requests.answer_item(request_id, AnswerHead(200), 0.5)
    actions = requests.answer_item(request_id, AnswerPart(b"a", 1, tokens=1), 1.0)
    assert only(actions, SendPart).data == b"a"
    assert only(actions, ReportProgress).output_tokens == 1
    actions = requests.answer_item(request_id, AnswerEnd(), 1.1)
    assert has(actions, SendEnd)
    assert only(actions, RecordGoodput).first_token_s == 1.0


def test_an_upstream_request_has_the_services_idle_timeout() -> None:
    requests = new_entry()
    request_id, _ = requests.accept(replace(REQUEST, stream_idle_timeout_s=3.0), 0.0)
    actions = requests.granted(SHARD, grant(request_id), FIRST, 0.0)
    assert only(actions, SendUpstream).request.idle_timeout_s == 3.0


def test_a_broken_stream_is_resumed_without_repeats() -> None:
    requests = new_entry()
    request_id = dispatched(requests)
    requests.answer_item(request_id, AnswerHead(200), 0.5)
    requests.answer_item(request_id, AnswerPart(b"a", 1), 0.5)
    actions = requests.answer_item(request_id, UpstreamFault.RESET, 0.6)
    assert only(actions, ResumeUpstream).after_event == 1
    assert requests.answer_item(request_id, AnswerHead(200), 0.7) == []
    assert requests.answer_item(request_id, AnswerPart(b"a", 1), 0.7) == []
    assert has(requests.answer_item(request_id, AnswerPart(b"b", 2), 0.7), SendPart)
    assert has(requests.answer_item(request_id, AnswerEnd(), 0.8), SendEnd)


def test_parts_after_a_gap_are_not_relayed() -> None:
    requests = new_entry()
    request_id = dispatched(requests)
    requests.answer_item(request_id, AnswerHead(200), 0.5)
    actions = requests.answer_item(request_id, AnswerPart(b"c", 3), 0.5)
    assert not has(actions, SendPart)
    assert only(actions, ResumeUpstream).after_event == 0


def test_a_stream_that_cannot_be_resumed_is_broken_off() -> None:
    requests = new_entry()
    request_id = dispatched(requests)
    requests.answer_item(request_id, AnswerHead(200), 0.5)
    requests.answer_item(request_id, AnswerPart(b"a", 1), 0.5)
    now_s = 0.6
    for _ in range(3):
        requests.answer_item(request_id, UpstreamFault.RESET, now_s)
        now_s += 1.0
        requests.tick(now_s)
    actions = requests.answer_item(request_id, UpstreamFault.RESET, now_s)
    assert has(actions, BreakAnswer)
    assert only(actions, RecordWastedPrefill).prompt_tokens == 100
    assert not has(actions, SendEnd)


def test_a_crash_is_reported_at_once() -> None:
    requests = new_entry()
    request_id = dispatched(requests)
    requests.answer_item(request_id, UpstreamFault.RESET, 1.0)
    actions = requests.answer_item(request_id, UpstreamFault.NOT_SENT, 1.0)
    assert only(actions, ReportEnded).end is EndState.UPSTREAM_CRASHED


def test_a_repeated_resume_is_delayed() -> None:
    requests = new_entry()
    request_id = dispatched(requests)
    assert has(requests.answer_item(request_id, UpstreamFault.RESET, 1.0), ResumeUpstream)
    assert not has(requests.answer_item(request_id, UpstreamFault.RESET, 1.0), ResumeUpstream)
    assert requests.next_tick_s() <= 1.2
    assert has(requests.tick(1.2), ResumeUpstream)


def test_an_end_without_a_head_does_not_complete_the_answer() -> None:
    requests = new_entry()
    request_id = dispatched(requests)
    assert not has(requests.answer_item(request_id, AnswerEnd(), 0.5), SendEnd)


def test_a_part_without_event_id_cannot_be_resumed() -> None:
    requests = new_entry()
    request_id = dispatched(requests)
    requests.answer_item(request_id, AnswerHead(200), 0.5)
    requests.answer_item(request_id, AnswerPart(b"half"), 0.5)
    actions = requests.answer_item(request_id, UpstreamFault.RESET, 0.6)
    assert has(actions, BreakAnswer)


def test_an_error_status_after_a_resume_is_not_relayed() -> None:
    requests = new_entry()
    request_id = dispatched(requests)
    requests.answer_item(request_id, UpstreamFault.RESET, 0.5)
    actions = requests.answer_item(request_id, AnswerHead(404), 0.6)
    assert has(actions, SendRefusal)


def test_the_answer_of_a_booking_is_stored_only_if_complete() -> None:
    requests = new_entry()
    request_id = dispatched(requests, BOOKING)
    requests.answer_item(request_id, AnswerHead(201, (("x", "1"),)), 0.5)
    requests.answer_item(request_id, AnswerPart(b"booked"), 0.5)
    kept = only(requests.answer_item(request_id, AnswerEnd(), 0.6), KeepAnswer).kept
    assert kept is not None
    assert (kept.status, kept.body) == (201, b"booked")

    request_id = dispatched(requests, BOOKING)
    requests.answer_item(request_id, AnswerHead(201), 0.5)
    requests.answer_item(request_id, AnswerPart(b"x" * 70_000), 0.5)
    requests.answer_item(request_id, AnswerPart(b"tail"), 0.5)
    assert only(requests.answer_item(request_id, AnswerEnd(), 0.6), KeepAnswer).kept is None
