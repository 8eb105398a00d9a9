"""Tests of the plain adapter against the stand-in plain service on loopback."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio
from result import Err

from lentilchute.document import UpstreamKind
from lentilchute.http.client import ClientRequest, HttpClient, always_send
from lentilchute.ids import RequestId, UpstreamId
from lentilchute.standins import plain
from lentilchute.upstream.adapters import (
    AnswerEnd,
    AnswerHead,
    AnswerItem,
    AnswerPart,
    Upstream,
    UpstreamFault,
    UpstreamRequest,
    adapter_for,
)
from lentilchute.upstream.plain import PlainAdapter

BOOKING = b'{"slot": "tunis-a 9:30"}'


class Bench:
    """An adapter, and a client for the control interface of its stand-in."""

    def __init__(self, address: str) -> None:
        upstream = Upstream(UpstreamId("p-1"), address, "tunis-a", UpstreamKind.PLAIN)
        self.adapter = adapter_for(upstream)
        self._client = HttpClient(address)

    async def control(self, **switches: Any) -> None:
        request = ClientRequest("POST", "/control", (), json.dumps(switches).encode())
        assert (await self._client.call(request)).unwrap().status == 200

    async def posted(self) -> dict[str, int]:
        answer = await self._client.call(ClientRequest("GET", "/record"))
        found: dict[str, int] = json.loads(answer.unwrap().body)["posted"]
        return found

    async def book(self) -> list[AnswerItem]:
        request = UpstreamRequest(
            RequestId("entry-1.9f/1"), "POST", "/bookings?day=2", (), BOOKING, False
        )
        return [item async for item in self.adapter.send(request, always_send)]


@asynccontextmanager
async def bench() -> AsyncIterator[Bench]:
    async with trio.open_nursery() as nursery:
        address = await nursery.start(plain.serve, plain.PlainStandinSettings(call_s=0.0))
        with trio.fail_after(30):
            yield Bench(address)
        nursery.cancel_scope.cancel()


def test_a_call_runs_once_and_its_answer_is_complete() -> None:
    async def main() -> None:
        async with bench() as b:
            head, part, end = await b.book()
            assert isinstance(head, AnswerHead) and head.status == 200
            assert isinstance(part, AnswerPart) and isinstance(end, AnswerEnd)
            answer = json.loads(part.data)
            assert answer["path"] == "/bookings?day=2" and answer["body"] == BOOKING.decode()
            assert await b.posted() == {BOOKING.decode(): 1}

    trio.run(main)


def test_a_lost_or_short_answer_is_a_reset_and_the_call_is_not_repeated() -> None:
    async def main() -> None:
        async with bench() as b:
            await b.control(lost_answers=1, short_answers=1)
            assert await b.book() == [UpstreamFault.RESET]
            assert (await b.book())[-1] is UpstreamFault.RESET
            assert await b.posted() == {BOOKING.decode(): 2}
            await b.control(poison_marker="slot", down_s=0.0)
            assert await b.book() == [UpstreamFault.RESET]

    trio.run(main)


def test_an_answer_with_another_request_id_is_a_fault() -> None:
    async def main() -> None:
        async with bench() as b:
            await b.control(crossed_answers=True)
            assert await b.book() == [UpstreamFault.WRONG_ANSWER]

    trio.run(main)


def test_load_state_and_calls_that_a_plain_service_does_not_support() -> None:
    async def main() -> None:
        async with bench() as b:
            await b.control(leaving=True)
            assert (await b.adapter.state()).unwrap().leaving
            assert (await b.adapter.load()).unwrap().running == 0
            assert await b.adapter.cancel(RequestId("x/1")) == Err(UpstreamFault.NOT_SUPPORTED)
            resumed = [item async for item in b.adapter.resume(RequestId("x/1"), 0)]
            assert resumed == [UpstreamFault.NOT_SUPPORTED]
            assert isinstance(b.adapter, PlainAdapter)

    trio.run(main)
