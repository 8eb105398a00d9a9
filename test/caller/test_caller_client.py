"""Tests of the caller's client against scripted entries, over memory streams, in virtual time."""

import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from trio.testing import MockClock, memory_stream_pair

from lentilchute.caller.client import (
    CallerClient,
    CallerSettings,
    CallRequest,
    CallResult,
    CallState,
)
from lentilchute.http.messages import Headers, header_value
from lentilchute.http.server import HttpRequest, HttpServer, HttpServerSettings, Responder
from lentilchute.scheduler.tickets import Outcome

NEAR, FAR = "127.0.0.1:1", "127.0.0.1:2"
RAN: Headers = (("lentilchute-outcome", "ran"),)
NOT_RUN: Headers = (("lentilchute-outcome", "not-run"), ("retry-after", "3"))
MAY_HAVE_RUN: Headers = (("lentilchute-outcome", "may-have-run"), ("retry-after", "1"))
Script = Callable[[Responder], Awaitable[None]]


def refusal(status: int, headers: Headers, kind: str) -> Script:
    async def answer(responder: Responder) -> None:
        await responder.answer(status, headers, json.dumps({"error": {"type": kind}}).encode())

    return answer


async def complete_answer(responder: Responder) -> None:
    await responder.start(200, RAN)
    await responder.send(b"the whole ")
    await responder.send(b"answer")
    await responder.end()


async def broken_answer(responder: Responder) -> None:
    await responder.start(200, RAN)
    await responder.send(b"the whole an")
    responder.abort()


async def different_answer(responder: Responder) -> None:
    await responder.answer(200, RAN, b"another answer altogether")


class Entries:
    """Entries at known addresses that answer each request with the next step of a script."""

    def __init__(self, *script: Script) -> None:
        self._script = list(script)
        self.refused: set[str] = set()
        self.listing_requests = 0
        self.received: list[tuple[str, HttpRequest]] = []
        self.keep_s = 10.0
        self.listing_delay_s = 0.0

    async def open(self, address: str, nursery: trio.Nursery) -> Any:
        if address in self.refused:
            raise ConnectionRefusedError
        ours, theirs = memory_stream_pair()

        async def handle(request: HttpRequest, responder: Responder) -> None:
            await self._handle(address, request, responder)

        nursery.start_soon(HttpServer(HttpServerSettings(), handle).serve_stream, theirs)
        return ours

    async def _handle(self, address: str, request: HttpRequest, responder: Responder) -> None:
        if request.path != "/entries":
            self.received.append((address, request))
            await self._script.pop(0)(responder)
            return
        self.listing_requests += 1
        await trio.sleep(self.listing_delay_s)
        lines = [
            {"instance": "far", "address": FAR, "availability_zone": "bizerte"},
            {"instance": "near", "address": NEAR, "availability_zone": "tunis-a"},
        ]
        answer = {"entries": lines, "keep_s": self.keep_s}
        await responder.answer(200, (), json.dumps(answer).encode())


def call(
    entries: Entries,
    times: int = 1,
    pause_s: float = 0.0,
    seed: int = 1,
    concurrent: bool = False,
    **fields: Any,
) -> tuple[list[CallResult], bytes, float]:
    """Make calls, in sequence or concurrently; return results, delivered bytes and duration."""
    delivered = bytearray()

    async def deliver(part: bytes) -> None:
        delivered.extend(part)

    async def main() -> tuple[list[CallResult], bytes, float]:
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:

            async def opener(address: str) -> Any:
                return await entries.open(address, nursery)

            settings = CallerSettings((FAR,), "a-key", "tunis-a")
            client = CallerClient(settings, random.Random(seed), opener)
            request = CallRequest("agenda-core", "bookings", body=b"{}", **fields)
            results = []

            async def call_once() -> None:
                results.append(await client.call(request, deliver))
                await trio.sleep(pause_s)

            async with trio.open_nursery() as calls:
                for _ in range(times):
                    if concurrent:
                        calls.start_soon(call_once)
                    else:
                        await call_once()
            await client.aclose()
            nursery.cancel_scope.cancel()
        return results, bytes(delivered), trio.current_time() - start_s

    return trio.run(main, clock=MockClock(autojump_threshold=0))


def test_entries_of_the_callers_zone_come_first() -> None:
    for seed in range(8):
        entries = Entries(complete_answer)
        call(entries, seed=seed)
        assert entries.received[0][0] == NEAR


def test_a_call_sends_its_headers_and_delivers_its_answer() -> None:
    entries = Entries(complete_answer)
    (result,), delivered, _ = call(entries, tier="signing", idempotency_key="k-1", deadline_s=9)
    assert (result.state, result.outcome) == (CallState.COMPLETE, Outcome.RAN)
    assert delivered == b"the whole answer"
    _, request = entries.received[0]
    assert request.path == "/services/agenda-core/bookings"
    assert header_value(request.headers, "authorization") == "Bearer a-key"
    assert header_value(request.headers, "lentilchute-tier") == "signing"
    assert header_value(request.headers, "lentilchute-deadline-s") == "9.000"
    assert header_value(request.headers, "idempotency-key") == "k-1"


def test_the_listing_of_entries_is_cached_for_its_lifetime() -> None:
    entries = Entries(*[complete_answer] * 4)
    call(entries, times=4, pause_s=4.0)
    assert entries.listing_requests == 2


def test_the_listings_lifetime_counts_from_before_the_request() -> None:
    entries = Entries(complete_answer, complete_answer)
    entries.keep_s, entries.listing_delay_s = 3.0, 2.0
    call(entries, times=2, pause_s=1.5)
    assert entries.listing_requests == 2


def test_concurrent_calls_fetch_the_listing_once() -> None:
    entries = Entries(*[complete_answer] * 5)
    entries.listing_delay_s = 1.0
    call(entries, times=5, concurrent=True)
    assert entries.listing_requests == 1


def test_an_unreachable_entry_is_skipped() -> None:
    entries = Entries(complete_answer)
    entries.refused = {NEAR}
    (result,), _, _ = call(entries)
    assert result.state is CallState.COMPLETE and entries.received[0][0] == FAR
    assert result.attempts == 1
    entries.refused = {NEAR, FAR}
    (result,), _, took_s = call(entries, deadline_s=5.0)
    assert (result.state, result.outcome) == (CallState.UNREACHABLE, Outcome.NOT_RUN)
    assert took_s <= 5.0


def test_a_refused_request_that_did_not_run_is_retried_after_the_retry_delay() -> None:
    busy = refusal(503, NOT_RUN, "overloaded")
    (result,), _, took_s = call(Entries(busy, busy, complete_answer))
    assert result.state is CallState.COMPLETE and result.attempts == 3
    assert 6.0 <= took_s < 6.1
    (result,), _, took_s = call(Entries(busy, busy, complete_answer), deadline_s=5.0)
    assert (result.state, result.outcome) == (CallState.REFUSED, Outcome.NOT_RUN)
    assert result.retry_after_s == 3.0 and took_s < 5.0


def test_a_final_refusal_is_not_retried() -> None:
    entries = Entries(refusal(422, NOT_RUN, "crashes-upstreams"), complete_answer)
    (result,), _, _ = call(entries)
    assert (result.state, result.reason) == (CallState.REFUSED, "crashes-upstreams")
    assert len(entries.received) == 1


def test_a_request_that_may_have_run_is_not_retried_without_a_key() -> None:
    for first in (refusal(502, MAY_HAVE_RUN, "upstream-failed"), broken_answer):
        entries = Entries(first, complete_answer)
        (result,), _, _ = call(entries)
        assert result.outcome is Outcome.MAY_HAVE_RUN
        assert result.state in (CallState.REFUSED, CallState.BROKEN)
        assert len(entries.received) == 1


def test_a_broken_answer_is_completed_by_a_resend_with_the_key() -> None:
    entries = Entries(
        broken_answer, refusal(409, MAY_HAVE_RUN, "idempotency-key-running"), complete_answer
    )
    (result,), delivered, _ = call(entries, idempotency_key="k-1")
    assert (result.state, result.outcome) == (CallState.COMPLETE, Outcome.RAN)
    assert delivered == b"the whole answer"


def test_a_resend_with_a_different_answer_stays_broken() -> None:
    (result,), delivered, _ = call(Entries(broken_answer, different_answer), idempotency_key="k-1")
    assert (result.state, result.outcome) == (CallState.BROKEN, Outcome.MAY_HAVE_RUN)
    assert delivered == b"the whole an"


def test_a_later_refusal_does_not_change_the_outcome_of_an_earlier_attempt() -> None:
    script = (broken_answer, refusal(401, NOT_RUN, "unknown-client-account"))
    (result,), _, _ = call(Entries(*script), idempotency_key="k-1")
    assert (result.state, result.outcome) == (CallState.REFUSED, Outcome.MAY_HAVE_RUN)
