"""Tests of prompt sizes and chained prefix hashes."""

from hypothesis import given
from hypothesis import strategies as st

from lentilchute.entry.prompts import estimate_tokens, prefix_hashes, prompt_text
from lentilchute.ids import ModelName

MODEL = ModelName("m")


@given(st.binary(max_size=200), st.binary(max_size=200), st.binary(max_size=200))
def test_hashes_of_a_shared_prefix_are_equal(common, one, other) -> None:
    first = prefix_hashes(common + one, MODEL, 4)
    second = prefix_hashes(common + other, MODEL, 4)
    shared_blocks = len(common) // 16
    assert first[:shared_blocks] == second[:shared_blocks]


def test_a_difference_changes_all_later_hashes() -> None:
    first = prefix_hashes(b"a" * 64, MODEL, 4)
    second = prefix_hashes(b"b" + b"a" * 63, MODEL, 4)
    assert len(first) == 4
    assert not set(first) & set(second)
    assert first != prefix_hashes(b"a" * 64, ModelName("other"), 4)


def test_a_prompt_is_read_from_messages_and_from_a_string() -> None:
    call = {"messages": [{"role": "user", "content": [{"type": "text", "text": "hi"}]}]}
    assert prompt_text(call) == b"<user>hi\n"
    assert prompt_text({"prompt": "hi"}) == b"hi"
    assert prompt_text({"messages": []}) is None
    assert estimate_tokens(b"") == 1
