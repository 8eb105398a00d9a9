"""Which connections give way to others."""

from lentilchute.http.awaited_callers import AwaitedCallers, Wait


def test_stalled_input_is_listed_from_the_longest_wait_on() -> None:
    awaited = AwaitedCallers[str]()
    awaited.wait_for("answer", Wait.ANSWER, 0.0)
    for now_s, name in enumerate(("first", "second", "third")):
        awaited.wait_for(name, Wait.INPUT, float(now_s))
    assert list(awaited.stalled(2.0)) == ["first", "second"]
