"""Tests of the queue between the entry's decisions and a caller's connection."""

import trio
import trio.testing

from lentilchute.entry.actions import BreakAnswer, SendEnd, SendHead, SendPart
from lentilchute.entry.caller_answer import MAX_PENDING_PARTS, CallerAnswer
from lentilchute.ids import RequestId

REQUEST = RequestId("entry-1.a/1")


class FakeResponder:
    """Records everything that is written."""

    def __init__(self) -> None:
        self.written: list[object] = []

    async def start(self, status: int, headers: tuple[tuple[str, str], ...]) -> bool:
        self.written.append((status, dict(headers)["lentilchute-outcome"]))
        return True

    async def send(self, data: bytes) -> bool:
        self.written.append(data)
        return True

    async def end(self) -> bool:
        self.written.append("end")
        return True

    def abort(self) -> None:
        self.written.append("broken")


def test_queued_parts_are_joined_into_one_write_in_order() -> None:
    answer, responder = CallerAnswer(), FakeResponder()
    answer.put(SendHead(REQUEST, 200, ()))
    for data in (b"a", b"b", b"c"):
        answer.put(SendPart(REQUEST, data))
    answer.put(SendEnd(REQUEST))
    trio.run(answer.write, responder)
    assert responder.written == [(200, "ran"), b"abc", "end"]


def test_a_broken_answer_has_no_end() -> None:
    answer, responder = CallerAnswer(), FakeResponder()
    answer.put(SendHead(REQUEST, 200, ()))
    answer.put(SendPart(REQUEST, b"a"))
    answer.put(BreakAnswer(REQUEST))
    trio.run(answer.write, responder)
    assert responder.written[-1] == "broken"


def test_a_slow_caller_applies_backpressure_to_its_upstream() -> None:
    answer = CallerAnswer()
    for _ in range(MAX_PENDING_PARTS):
        answer.put(SendPart(REQUEST, b"x"))

    async def main() -> None:
        waited = False
        with trio.move_on_after(1):
            await answer.wait_for_room()
            waited = True
        assert not waited
        answer.put(SendEnd(REQUEST))
        await answer.write(FakeResponder())
        await answer.wait_for_room()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
