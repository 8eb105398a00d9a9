"""Tests the detection of requests that crash upstreams."""

from lentilchute.gateway.crash_guard import MAX_SUSPECTS, MAX_TOLD, CrashGuard, fingerprint
from lentilchute.ids import Fingerprint, UpstreamId

FIRST, SECOND = (UpstreamId("a"), 1_000), (UpstreamId("b"), 1_000)
CONTENT = fingerprint("POST", "/drafts/1", "key", b"body")


def test_a_request_is_refused_after_its_second_crash() -> None:
    guard = CrashGuard()
    guard.record_crash(CONTENT, FIRST, 0.0)
    assert not guard.is_refused(CONTENT, 0.1)
    guard.record_crash(CONTENT, FIRST, 0.2)
    assert not guard.is_refused(CONTENT, 0.3), "one crash, reported twice"
    guard.record_crash(CONTENT, SECOND, 0.4)
    assert guard.is_refused(CONTENT, 0.5)


# Crashes of an upstream that comes back under its id were counted once, and never led to a refusal.
def test_incarnations_of_one_upstream_count_each() -> None:
    guard = CrashGuard()
    upstream, started_ms = FIRST
    guard.record_crash(CONTENT, FIRST, 0.0)
    assert guard.record_crash(CONTENT, (upstream, started_ms + 4_000), 4.0) == 2
    assert guard.is_refused(CONTENT, 4.1)


# The first event at each further upstream cleared a stream that crashed each of them after it.
def test_crashes_after_the_first_event_count_until_the_request_completes() -> None:
    guard = CrashGuard()
    for number in range(2):
        guard.record_crash(CONTENT, (UpstreamId(f"u{number}"), 1), 1.0 * number, had_begun=True)
        assert not guard.is_refused(CONTENT, 1.0 * number)
    guard.record_crash(CONTENT, (UpstreamId("u2"), 1), 2.0, had_begun=True)
    assert guard.is_refused(CONTENT, 2.0)
    guard.record_completion(CONTENT, 2.0)
    assert not guard.is_refused(CONTENT, 2.0)


def test_a_request_that_completes_is_cleared() -> None:
    guard = CrashGuard()
    guard.record_crash(CONTENT, FIRST, 0.0)
    assert guard.record_completion(CONTENT, 0.5)
    guard.record_crash(CONTENT, SECOND, 1.0)
    assert not guard.is_refused(CONTENT, 1.0)


def test_suspicion_expires() -> None:
    guard = CrashGuard()
    guard.record_crash(CONTENT, FIRST, 0.0)
    guard.record_crash(CONTENT, SECOND, 0.0)
    assert not guard.is_refused(CONTENT, 61.0)


def test_the_number_of_suspects_is_bounded() -> None:
    guard = CrashGuard()
    for number in range(MAX_SUSPECTS + 10):
        guard.record_crash(Fingerprint(str(number)), FIRST, 0.0)
        guard.record_crash(Fingerprint(str(number)), SECOND, 0.0)
    assert not guard.is_refused(Fingerprint("0"), 0.0)
    assert guard.is_refused(Fingerprint(str(MAX_SUSPECTS)), 0.0)


def tell(teller: CrashGuard, told: CrashGuard, now_s: float, told_now_s: float) -> None:
    """Pass on what a node knows, to one whose clock shows another time."""
    for notice in teller.crashes(now_s):
        assert notice.age_s is not None
        for content in notice.contents:
            told.record_crash(
                content,
                (notice.upstream, notice.started_ms or 0),
                told_now_s - notice.age_s,
                had_begun=content in notice.begun,
            )


# A node that had started passed a request on that all others refused.
def test_a_node_that_is_told_refuses_the_same() -> None:
    teller, told = CrashGuard(), CrashGuard()
    begun = Fingerprint("begun")
    for number in range(3):
        incarnation = UpstreamId(f"u{number}"), 1
        teller.record_crash(begun, incarnation, 1.0, had_begun=True)
        if number < 2:
            teller.record_crash(CONTENT, incarnation, 1.0)
    tell(teller, told, 2.0, 102.0)
    assert told.is_refused(CONTENT, 102.0) and told.is_refused(begun, 102.0)
    assert {(each.upstream, each.contents) for each in told.refused(102.0)} == {
        (each.upstream, each.contents) for each in teller.refused(2.0)
    }


# Each telling must not begin the time of a refusal anew.
def test_a_refusal_that_is_told_on_ends_when_it_would_have_ended() -> None:
    guards = [CrashGuard() for _ in range(3)]
    guards[0].record_crash(CONTENT, FIRST, 0.0)
    guards[0].record_crash(CONTENT, SECOND, 0.0)
    tell(guards[0], guards[1], 40.0, 40.0)
    tell(guards[1], guards[2], 59.0, 59.0)
    assert all(guard.is_refused(CONTENT, 60.0) for guard in guards)
    tell(guards[2], guards[0], 60.0, 60.0)
    assert not any(guard.is_refused(CONTENT, 60.5) for guard in guards)
    assert not any(guard.crashes(60.5) for guard in guards)


def test_a_request_that_completed_is_not_suspected_for_an_earlier_crash() -> None:
    teller, told = CrashGuard(), CrashGuard()
    for guard in (teller, told):
        guard.record_crash(CONTENT, FIRST, 0.0)
        guard.record_crash(CONTENT, SECOND, 1.0)
    told.record_completion(CONTENT, 2.0)
    tell(teller, told, 3.0, 3.0)
    assert not told.is_refused(CONTENT, 3.0)
    told.record_crash(CONTENT, FIRST, 4.0)
    assert not told.is_refused(CONTENT, 4.0)


def test_a_node_is_told_of_those_that_are_refused_first() -> None:
    guard = CrashGuard()
    guard.record_crash(CONTENT, FIRST, 0.0)
    guard.record_crash(CONTENT, SECOND, 0.0)
    for number in range(2 * MAX_TOLD):
        guard.record_crash(Fingerprint(str(number)), FIRST, 1.0)
    told = [content for notice in guard.crashes(2.0) for content in notice.contents]
    assert told.count(CONTENT) == 2
    assert len(set(told)) == MAX_TOLD
    assert {content for each in guard.refused(2.0) for content in each.contents} == {CONTENT}


def test_fingerprints_distinguish_all_but_resends() -> None:
    same = fingerprint("POST", "/drafts/1", "key", b"body")
    assert same == CONTENT
    assert fingerprint("POST", "/drafts/1", "key", b"other") != CONTENT
    assert fingerprint("POST", "/drafts/1", "other", b"body") != CONTENT
    assert fingerprint("POST", "/drafts/1k", "ey", b"body") != CONTENT
