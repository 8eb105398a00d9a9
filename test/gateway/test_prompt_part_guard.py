"""Tests the detection of prompt parts that crash upstreams."""

from hypothesis import given
from hypothesis import strategies as st

from lentilchute.gateway.messages import BlockedPart, CrashedPrompt
from lentilchute.gateway.prompt_part_guard import (
    BLOCK_S,
    CRASHES_TO_BLOCK,
    EVIDENCE_LIFETIME_S,
    MAX_CRASHES,
    MAX_REMEMBERED_PARTS,
    PromptPartGuard,
)
from lentilchute.ids import Fingerprint, PromptPartId, UpstreamId

SHARED, DOCUMENT, CRASHING = (PromptPartId(part) for part in ("5c1e", "91bd", "bad0"))


class Crashes:
    """A guard, and the crashes that it is told of."""

    def __init__(self) -> None:
        self.guard = PromptPartGuard()
        self._upstreams = 0

    def crash(self, at_s: float, *prompts: tuple[str, ...], requests: str = "") -> None:
        """Report a crash of a new upstream under prompts with these parts, of unlike requests."""
        self._upstreams += 1
        upstream = UpstreamId(f"u{self._upstreams}")
        for index, parts in enumerate(prompts):
            request = Fingerprint(requests or f"{self._upstreams}-{index}")
            prompt = CrashedPrompt(request, tuple(PromptPartId(part) for part in parts))
            self.guard.record_crash((upstream, 1), prompt, at_s)

    def blocks(self, part: str, at_s: float) -> bool:
        return self.guard.blocked_part((PromptPartId(part),), at_s) is not None


def test_a_part_is_blocked_after_crashes_of_unlike_requests() -> None:
    crashes = Crashes()
    for at_s in (1.0, 1.5):
        crashes.crash(at_s, (SHARED, CRASHING))
        crashes.guard.record_answer((SHARED,), at_s + 0.1)
        assert not crashes.blocks(CRASHING, at_s)
    crashes.crash(2.0, (SHARED, CRASHING))
    assert crashes.blocks(CRASHING, 2.0)
    assert not crashes.blocks(SHARED, 2.0)


def test_the_part_that_was_answered_least_recently_is_to_blame() -> None:
    crashes = Crashes()
    crashes.guard.record_answer((SHARED, DOCUMENT), 0.5)
    for at_s in (1.0, 1.5, 2.0):
        crashes.crash(at_s, (SHARED, CRASHING, DOCUMENT))
    assert crashes.blocks(CRASHING, 2.0)
    assert not crashes.blocks(DOCUMENT, 2.0)
    assert not crashes.blocks(SHARED, 2.0)


def test_prompts_that_were_in_flight_beside_a_blocked_part_are_not_suspected_of_its_crashes() -> (
    None
):
    crashes = Crashes()
    crashes.guard.record_answer((DOCUMENT,), 0.5)
    for at_s in (1.0, 1.5, 2.0, 2.5):
        crashes.crash(at_s, (DOCUMENT,), (CRASHING,))
    assert crashes.blocks(CRASHING, 2.5)
    assert not crashes.blocks(DOCUMENT, 2.5)


def test_upstreams_that_crash_together_do_not_block_what_they_had_in_common() -> None:
    crashes = Crashes()
    for _ in range(10):
        crashes.crash(1.0, (DOCUMENT,), (DOCUMENT,))
    assert not crashes.blocks(DOCUMENT, 1.0)


def test_a_request_that_is_resent_does_not_block_its_parts() -> None:
    crashes = Crashes()
    for at_s in (1.0, 2.0, 3.0, 4.0):
        crashes.crash(at_s, (DOCUMENT,), requests="the same")
    assert not crashes.blocks(DOCUMENT, 4.0)


def test_an_answer_clears_its_parts() -> None:
    crashes = Crashes()
    for at_s in (1.0, 1.5, 2.0):
        crashes.crash(at_s, (DOCUMENT,))
    assert crashes.blocks(DOCUMENT, 2.0)
    assert crashes.guard.record_answer((SHARED, DOCUMENT), 2.5) == (DOCUMENT,)
    assert crashes.guard.record_answer((SHARED, DOCUMENT), 2.6) == ()
    assert not crashes.blocks(DOCUMENT, 2.5)
    crashes.crash(3.0, (DOCUMENT,))
    assert not crashes.blocks(DOCUMENT, 3.0)


def test_a_block_ends_some_time_after_the_last_crash_and_one_more_crash_renews_it() -> None:
    crashes = Crashes()
    for at_s in (1.0, 1.5, 2.0):
        crashes.crash(at_s, (CRASHING,))
    assert crashes.blocks(CRASHING, 1.9 + BLOCK_S)
    assert not crashes.blocks(CRASHING, 2.0 + BLOCK_S)
    crashes.crash(BLOCK_S + 10.0, (CRASHING,))
    assert crashes.blocks(CRASHING, BLOCK_S + 10.0)
    late_s = BLOCK_S + EVIDENCE_LIFETIME_S + 11.0
    crashes.crash(late_s, (CRASHING,))
    assert not crashes.blocks(CRASHING, late_s)


def test_old_crashes_and_answers_are_forgotten() -> None:
    crashes = Crashes()
    crashes.crash(1.0, (CRASHING,))
    crashes.crash(1.5, (CRASHING,))
    for number in range(MAX_CRASHES):
        crashes.crash(2.0, (f"{number:x}",))
    crashes.crash(3.0, (CRASHING,))
    assert not crashes.blocks(CRASHING, 3.0)
    parts = [PromptPartId(f"{number:x}") for number in range(2 * MAX_REMEMBERED_PARTS)]
    crashes.guard.record_answer(parts, 4.0)
    assert len(crashes.guard._answered_s) == MAX_REMEMBERED_PARTS


def test_a_part_that_another_node_blocks_is_blocked_until_it_is_answered() -> None:
    crashes = Crashes()
    assert crashes.guard.adopt([BlockedPart(CRASHING, 1.0)], 10.0) == [CRASHING]
    assert crashes.guard.adopt([BlockedPart(CRASHING, 1.5)], 10.6) == []
    assert crashes.blocks(CRASHING, 8.9 + BLOCK_S)
    assert not crashes.blocks(CRASHING, 9.0 + BLOCK_S), "hearing of it again is no news"
    crashes.crash(20.0, (CRASHING, DOCUMENT))
    assert crashes.blocks(CRASHING, 19.9 + BLOCK_S)
    assert crashes.guard.record_answer((CRASHING,), 30.0) == (CRASHING,)
    crashes.guard.adopt([BlockedPart(CRASHING, 11.0)], 31.0)
    assert not crashes.blocks(CRASHING, 31.0)


def test_blocked_parts_of_one_node_are_adopted_by_another() -> None:
    crashes, other = Crashes(), PromptPartGuard()
    for at_s in (1.0, 1.5, 2.0):
        crashes.crash(at_s, (CRASHING,))
    assert crashes.guard.blocked(3.0) == (BlockedPart(CRASHING, 1.0),)
    other.adopt(crashes.guard.blocked(3.0), 103.0)
    assert other.blocked(104.0) == (BlockedPart(CRASHING, 2.0),)
    assert crashes.guard.blocked(2.0 + BLOCK_S) == ()


@given(
    st.lists(
        st.tuples(st.sampled_from(("crash", "coincidence", "answer")), st.integers(1, 4)),
        min_size=60,
        max_size=120,
    )
)
def test_a_crashing_part_is_found_among_sound_ones(steps: list[tuple[str, int]]) -> None:
    """Whatever the order of crashes and answers, the part is blocked in time, and no part that was
    answered since the last crash is."""
    crashes, at_s, crashed = Crashes(), 0.0, 0
    for kind, number in steps:
        at_s += 0.2
        document = PromptPartId(f"d{number}")
        if kind == "answer":
            crashes.guard.record_answer((SHARED, document), at_s)
            assert not crashes.blocks(SHARED, at_s)
            assert not crashes.blocks(document, at_s)
        elif kind == "coincidence":
            crashes.crash(at_s, (SHARED, document))
        elif not crashes.blocks(CRASHING, at_s):
            crashed += 1
            crashes.crash(at_s, (SHARED, CRASHING, document))
            crashes.guard.record_answer((SHARED, document), at_s + 0.1)
    assert crashed <= CRASHES_TO_BLOCK + 1
