"""Tests the detection of requests that crash upstreams."""

from lentilchute.gateway.crash_guard import MAX_SUSPECTS, CrashGuard, fingerprint
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
    guard.record_completion(CONTENT)
    assert not guard.is_refused(CONTENT, 2.0)


def test_a_request_that_completes_is_cleared() -> None:
    guard = CrashGuard()
    guard.record_crash(CONTENT, FIRST, 0.0)
    assert guard.record_completion(CONTENT)
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


def test_fingerprints_distinguish_all_but_resends() -> None:
    same = fingerprint("POST", "/drafts/1", "key", b"body")
    assert same == CONTENT
    assert fingerprint("POST", "/drafts/1", "key", b"other") != CONTENT
    assert fingerprint("POST", "/drafts/1", "other", b"body") != CONTENT
    assert fingerprint("POST", "/drafts/1k", "ey", b"body") != CONTENT
