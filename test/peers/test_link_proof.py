"""Tests of the proof that a connection between nodes still carries what is sent."""

from lentilchute.peers.link_proof import (
    CONFIRM_INTERVAL_S,
    CONFIRM_TIMEOUT_S,
    MAX_CHECK_GAP_S,
    ConfirmationPace,
    LinkProof,
)

CHECK_S = 0.25


def check_until(proof: LinkProof, start_s: float, end_s: float) -> float | None:
    """Check a connection regularly; return when it counts as silent."""
    now_s = start_s
    while now_s < end_s:
        if proof.is_silent(now_s):
            return now_s
        now_s += CHECK_S
    return None


def test_a_connection_without_traffic_is_not_silent() -> None:
    proof = LinkProof(0.0)
    assert check_until(proof, 0.0, 100.0) is None
    assert proof.needs_probe(100.0)


def test_what_is_sent_right_after_a_confirmation_asks_for_none() -> None:
    # The receiver confirms what arrives within its interval together, and may not confirm it alone.
    proof = LinkProof(0.0)
    proof.record_sent(CONFIRM_INTERVAL_S / 2)
    assert check_until(proof, 0.0, 100.0) is None


def test_an_overdue_confirmation_makes_a_connection_silent() -> None:
    proof = LinkProof(0.0)
    proof.record_sent(1.0)
    proof.record_sent(1.5)
    assert not proof.needs_probe(1.5)
    found_s = check_until(proof, 1.0, 100.0)
    assert found_s is not None
    assert 0 <= found_s - (1.0 + CONFIRM_TIMEOUT_S) <= 2 * CHECK_S


def test_a_confirmation_in_time_keeps_a_connection() -> None:
    proof = LinkProof(0.0)
    for second in range(1, 100):
        proof.record_sent(float(second))
        assert check_until(proof, float(second), second + 0.9) is None
        proof.record_confirmed(second + 0.9)


# A process that was suspended finds its timer and its confirmations at the same moment.
def test_a_paused_process_reads_confirmations_before_it_judges() -> None:
    proof = LinkProof(0.0)
    proof.record_sent(1.0)
    assert not proof.is_silent(1.25)
    woken_s = 1.25 + 10 * MAX_CHECK_GAP_S
    assert not proof.is_silent(woken_s)
    assert check_until(proof, woken_s, woken_s + 100.0) is not None


def test_the_receiver_confirms_at_once_and_then_at_its_interval() -> None:
    pace = ConfirmationPace()
    times_s = [number / 100 for number in range(1000)]
    due_s = [now_s for now_s in times_s if pace.is_due(now_s)]
    assert due_s[0] == 0.0
    assert len(due_s) == 10.0 / CONFIRM_INTERVAL_S
