"""Tests of the engine adapter against the stand-in engine on loopback."""

import json
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing, asynccontextmanager
from dataclasses import replace
from typing import Any

import pytest
import trio
from result import Err, Ok

from lentilchute.document import UpstreamKind
from lentilchute.entry.prompts import prefix_hashes, prompt_text
from lentilchute.http.client import ClientRequest, HttpClient, HttpFault, always_send
from lentilchute.ids import FencingNumber, ModelName, RequestId, UpstreamId
from lentilchute.standins import engine
from lentilchute.standins.engine_batching import answer_text
from lentilchute.standins.engine_settings import EngineStandinSettings
from lentilchute.upstream import engine as upstream_engine
from lentilchute.upstream.adapters import (
    AnswerEnd,
    AnswerHead,
    AnswerItem,
    AnswerPart,
    EngineOrder,
    Upstream,
    UpstreamFault,
    UpstreamRequest,
    adapter_for,
)
from lentilchute.upstream.engine import EngineAdapter

FAST = EngineStandinSettings(
    prefill_tokens_per_s=1e6,
    decode_tokens_per_s=5_000,
    load_lag_s=0.0,
    cache_event_lag_s=0.0,
    load_model_s=0.01,
)
TOKENS = 12
PROMPT = "a deed file " * 60


class Bench:
    """An adapter, and a client for the control interface of its stand-in."""

    def __init__(self, address: str) -> None:
        upstream = Upstream(UpstreamId("e-1"), address, "tunis-a", UpstreamKind.ENGINE)
        adapter = adapter_for(upstream)
        assert isinstance(adapter, EngineAdapter)
        self.adapter = adapter
        self._client = HttpClient(address)

    async def control(self, **switches: Any) -> None:
        request = ClientRequest("POST", "/control", (), json.dumps(switches).encode())
        assert (await self._client.call(request)).unwrap().status == 200

    async def record(self) -> dict[str, Any]:
        request = ClientRequest("GET", "/record")
        # After a crash the stand-in refuses connections until it has restarted.
        while (answer := await self._client.call(request)) == Err(HttpFault.NOT_SENT):
            await trio.lowlevel.checkpoint()
        found: dict[str, Any] = json.loads(answer.unwrap().body)
        return found


@asynccontextmanager
async def bench(settings: EngineStandinSettings = FAST) -> AsyncIterator[Bench]:
    async with trio.open_nursery() as nursery:
        address = await nursery.start(engine.serve, settings)
        yield Bench(address)
        nursery.cancel_scope.cancel()


def request(number: int = 1, streaming: bool = True, prompt: str = PROMPT) -> UpstreamRequest:
    call = _call(prompt, streaming)
    return UpstreamRequest(
        request_id=RequestId(f"entry-1.9f/{number}"),
        method="POST",
        path="/v1/chat/completions",
        headers=(("content-type", "application/json"), ("x-request-id", "the caller's own")),
        body=json.dumps(call).encode(),
        streaming=streaming,
        head_timeout_s=5.0,
        idle_timeout_s=5.0,
    )


def _call(prompt: str, streaming: bool) -> dict[str, Any]:
    messages = [{"role": "user", "content": prompt}]
    return {"model": "model", "messages": messages, "max_tokens": TOKENS, "stream": streaming}


def expected_text(prompt: str = PROMPT) -> str:
    text = prompt_text(_call(prompt, True))
    assert text is not None
    return answer_text(text, TOKENS)


def streamed_text(items: list[AnswerItem]) -> str:
    text = ""
    for item in items:
        if isinstance(item, AnswerPart) and b"[DONE]" not in item.data:
            chunk = json.loads(item.data.partition(b"data: ")[2])
            text += chunk["choices"][0]["delta"].get("content", "")
    return text


async def collect(items: AsyncIterator[AnswerItem]) -> list[AnswerItem]:
    return [item async for item in items]


async def send(b: Bench, message: UpstreamRequest) -> list[AnswerItem]:
    return await collect(b.adapter.send(message, always_send))


def run(test: Callable[[Bench], Any], settings: EngineStandinSettings = FAST) -> None:
    async def main() -> None:
        with trio.fail_after(30):
            async with bench(settings) as b:
                await test(b)

    trio.run(main)


def test_a_streamed_answer_is_complete_with_event_ids_and_token_counts() -> None:
    async def test(b: Bench) -> None:
        for cached_blocks in (0, 2):
            items = await send(b, request(cached_blocks))
            assert isinstance(items[0], AnswerHead) and items[0].status == 200
            assert streamed_text(items) == expected_text()
            parts = [item for item in items if isinstance(item, AnswerPart)]
            assert [part.event_id for part in parts] == list(range(1, TOKENS + 3))
            assert sum(part.tokens for part in parts) == TOKENS
            end = items[-1]
            assert isinstance(end, AnswerEnd)
            assert end.cached_prompt_tokens == cached_blocks * 64
            assert end.prompt_tokens > cached_blocks * 64
        assert (await b.record())["ran"] == ["entry-1.9f/0", "entry-1.9f/2"]

    run(test)


def test_an_answer_that_is_not_streamed_is_complete() -> None:
    async def test(b: Bench) -> None:
        head, part, end = await send(b, request(streaming=False))
        assert isinstance(head, AnswerHead) and isinstance(part, AnswerPart)
        content = json.loads(part.data)["choices"][0]["message"]["content"]
        assert content == expected_text()
        assert part.tokens == TOKENS and isinstance(end, AnswerEnd)

    run(test)


@pytest.mark.parametrize("streaming", [True, False])
def test_an_answer_with_another_request_id_is_a_fault(streaming: bool) -> None:
    async def test(b: Bench) -> None:
        await b.control(crossed_answers=True)
        await send(b, request(1, streaming, "another prompt"))
        assert await send(b, request(2, streaming)) == [UpstreamFault.WRONG_ANSWER]

    run(test)


def test_a_cut_stream_is_a_reset_and_resumes_without_gaps_or_repeats() -> None:
    async def test(b: Bench) -> None:
        await b.control(cut_after_events=5)
        items = await send(b, request())
        assert items[-1] is UpstreamFault.RESET
        parts = [item for item in items if isinstance(item, AnswerPart)]
        while items[-1] is UpstreamFault.RESET:
            last_event = parts[-1].event_id
            assert last_event is not None
            items = await collect(b.adapter.resume(RequestId("entry-1.9f/1"), last_event))
            parts += [item for item in items if isinstance(item, AnswerPart)]
        assert isinstance(items[-1], AnswerEnd)
        assert [part.event_id for part in parts] == list(range(1, TOKENS + 3))
        assert streamed_text(list(parts)) == expected_text()
        record = await b.record()
        assert record["ran"] == ["entry-1.9f/1"] and record["prefilled_tokens"] < 300

    run(test)


def test_a_stream_needs_both_its_done_event_and_the_final_chunk() -> None:
    """Neither the final chunk alone nor ``[DONE]`` alone completes a stream."""
    event = b"id: 1\ndata: {}\n\n"
    done = b"id: 2\ndata: [DONE]\n\n"
    assert _scripted_end(event, b"0\r\n\r\n") is UpstreamFault.WRONG_ANSWER
    assert _scripted_end(event + done, b"") is UpstreamFault.RESET
    assert _scripted_end(event + done + event, b"0\r\n\r\n") is UpstreamFault.WRONG_ANSWER
    assert _scripted_end(event + done[:-1], b"0\r\n\r\n") is UpstreamFault.WRONG_ANSWER
    assert isinstance(_scripted_end(event + done, b"0\r\n\r\n"), AnswerEnd)


def _scripted_end(body: bytes, tail: bytes) -> AnswerItem:
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: entry-1.9f/1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(head + f"{len(body):x}\r\n".encode() + body + b"\r\n" + tail)

    async def main() -> AnswerItem:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            b = Bench(f"127.0.0.1:{listeners[0].socket.getsockname()[1]}")
            items = await send(b, request())
            nursery.cancel_scope.cancel()
        return items[-1]

    return trio.run(main)


def test_a_crash_in_flight_is_a_reset_and_an_abandoned_answer_leaves_no_idle_connection() -> None:
    async def test(b: Bench) -> None:
        async with aclosing(b.adapter.send(request(1), always_send)) as items:  # type: ignore
            async for item in items:
                if isinstance(item, AnswerPart):
                    break
        assert b.adapter._client.idle_count == 0
        await b.control(poison_marker="poison", down_s=0.0)
        assert await send(b, request(2, prompt="some poison")) == [UpstreamFault.RESET]
        record = await b.record()
        assert record["crashes"] == 1 and record["ran"][-1] == "entry-1.9f/2"
        resumed = await collect(b.adapter.resume(RequestId("entry-1.9f/2"), 0))
        assert resumed == [UpstreamFault.NOT_SUPPORTED]

    run(test)


def test_a_frozen_engine_times_out() -> None:
    async def test(b: Bench) -> None:
        await b.control(frozen=True)
        message = request()
        hurried = UpstreamRequest(
            message.request_id, "POST", message.path, (), message.body, True, head_timeout_s=0.05
        )
        assert await send(b, hurried) == [UpstreamFault.TIMED_OUT]

    run(test)


def test_an_answer_that_is_not_streamed_has_no_head_or_idle_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream_engine, "RESUME_HEAD_TIMEOUT_S", 0.01)
    slow = EngineStandinSettings(decode_tokens_per_s=60)

    async def test(b: Bench) -> None:
        message = replace(request(streaming=False), head_timeout_s=0.01, idle_timeout_s=0.01)
        assert isinstance((await send(b, message))[-1], AnswerEnd)
        with trio.move_on_after(0.05):
            await send(b, replace(message, request_id=RequestId("entry-1.9f/2")))
        resumed = await collect(b.adapter.resume(RequestId("entry-1.9f/2"), 0))
        assert isinstance(resumed[-1], AnswerEnd)

    run(test, slow)


def test_cancel_load_cache_events_and_kv() -> None:
    async def test(b: Bench) -> None:
        await send(b, request())
        text = prompt_text(_call(PROMPT, True))
        assert text is not None
        hashes = prefix_hashes(text, ModelName("model"), FAST.block_tokens)
        events = (await b.adapter.cache_events(0)).unwrap()
        assert events[0].stored == hashes and events[0].sequence == 1
        assert await b.adapter.cache_events(1) == Ok([])
        load = (await b.adapter.load()).unwrap()
        assert (load.running, load.waiting, load.outstanding_prompt_tokens) == (0, 0, 0)
        kv = (await b.adapter.export_kv(hashes[0])).unwrap()
        assert await b.adapter.export_kv(7) == Err(UpstreamFault.NOT_SUPPORTED)
        assert await b.adapter.import_kv(hashes[0], kv) == Ok(None)
        assert await b.adapter.import_kv(hashes[0], b"x") == Err(UpstreamFault.WRONG_ANSWER)
        assert await b.adapter.cancel(RequestId("entry-1.9f/1")) == Ok(None)
        unknown = await b.adapter.cancel(RequestId("entry-1.9f/9"))
        assert unknown == Err(UpstreamFault.NOT_SUPPORTED)

    run(test)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_an_order_with_a_stale_fencing_number_is_rejected_if_the_engine_checks_it(
    checks_fencing: bool,
) -> None:
    settings = EngineStandinSettings(checks_fencing=checks_fencing, load_model_s=0.0)

    async def test(b: Bench) -> None:
        newer = EngineOrder(FencingNumber(5), "model-b", "2", ("tn",))
        older = EngineOrder(FencingNumber(4), "model-a", "1")
        assert await b.adapter.order(newer) == Ok(None)
        expected = Err(UpstreamFault.WRONG_ANSWER) if checks_fencing else Ok(None)
        assert await b.adapter.order(older) == expected
        state = (await b.adapter.state()).unwrap()
        assert state.model == ("model-b" if checks_fencing else "model-a")
        assert state.highest_fencing == 5 and not state.leaving

    run(test, settings)
