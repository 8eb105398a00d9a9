"""Adapter for model engines: streams with event ids, resume, cancel, KV cache and orders.

``docs/reference/upstream-protocol.md`` describes the protocol.
"""

import json
from collections import OrderedDict
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import aclosing
from typing import Any
from urllib.parse import quote

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from ..http.client import ClientRequest, HttpClient, HttpExchange, HttpHead, always_send
from ..http.messages import header_value
from ..http.sse import SseEvent, SseReader
from ..ids import BlockHash, FencingNumber, RequestId
from ..scheduler.tickets import CacheEvent, LoadReport
from .adapters import (
    AnswerEnd,
    AnswerItem,
    AnswerPart,
    EngineOrder,
    EngineState,
    Upstream,
    UpstreamFault,
    UpstreamRequest,
    register_upstream,
)
from .calls import (
    MAX_DEADLINE_S,
    STATUS_NOT_SUPPORTED,
    ManagementClient,
    echoes_request_id,
    to_answer_head,
    to_client_request,
    to_upstream_fault,
)

MAX_BUFFERED_ANSWER_BYTES = 16 * 1024 * 1024
RESUME_HEAD_TIMEOUT_S = 10.0
MAX_TRACKED_REQUESTS = 4_096
"""Above this the oldest request is dropped; a resume of it uses the head timeout of a stream."""
_DONE = b"[DONE]"
_USAGE_KEY = b'"usage"'
_CACHE_EVENTS = TypeAdapter(list[dict[str, Any]])


@register_upstream("engine")
class EngineAdapter:
    """One model engine."""

    def __init__(self, upstream: Upstream) -> None:
        self._upstream = upstream.upstream
        self._client = HttpClient(upstream.address)
        self._management = ManagementClient(upstream.upstream, self._client)
        self._non_streaming: OrderedDict[RequestId, None] = OrderedDict()
        """Requests whose answers are not streamed: a resume waits until the answer is complete."""

    async def send(
        self, request: UpstreamRequest, before_first_byte: Callable[[], bool]
    ) -> AsyncIterator[AnswerItem]:
        """Send a request and yield its answer; closing the iterator abandons it."""
        message = to_client_request(request)
        if not request.streaming:
            self._track_non_streaming(request.request_id)
        items = self._exchange(message, request.request_id, before_first_byte)
        async with aclosing(items):
            async for item in items:
                yield item

    async def resume(self, request_id: RequestId, after_event: int) -> AsyncIterator[AnswerItem]:
        """Yield the rest of an answer, streamed or complete as it was first requested."""
        is_streamed = request_id not in self._non_streaming
        message = ClientRequest(
            "GET",
            _stream_path(request_id),
            (("last-event-id", str(after_event)),),
            head_timeout_s=RESUME_HEAD_TIMEOUT_S if is_streamed else MAX_DEADLINE_S,
        )
        items = self._exchange(message, request_id, always_send)
        async with aclosing(items):
            async for item in items:
                yield item

    async def cancel(self, request_id: RequestId) -> Result[None, UpstreamFault]:
        """Ask the engine to cancel a request."""
        answer = await self._management.call("DELETE", _stream_path(request_id))
        return answer.map(lambda _answer: None)

    async def load(self) -> Result[LoadReport, UpstreamFault]:
        """Return the engine's own load report, which lags."""
        return await self._management.load()

    async def cache_events(self, after: int) -> Result[list[CacheEvent], UpstreamFault]:
        """Return cache events with a sequence number above ``after``; there may be gaps."""
        value = await self._management.call_json("GET", f"/cache/events?after={after}")
        return value.and_then(self._parse_cache_events)

    async def export_kv(self, block: int) -> Result[bytes, UpstreamFault]:
        """Return the KV cache of one prefix block; ``NOT_SUPPORTED`` when it is not cached."""
        answer = await self._management.call("GET", f"/kv/{block}")
        return answer.map(lambda found: found.body)

    async def import_kv(self, block: int, body: bytes) -> Result[None, UpstreamFault]:
        """Load the KV cache of one prefix block into the engine."""
        answer = await self._management.call("PUT", f"/kv/{block}", body)
        return answer.map(lambda _answer: None)

    async def state(self) -> Result[EngineState, UpstreamFault]:
        """Return what the engine has loaded and whether it is leaving."""
        value = await self._management.call_json("GET", "/state")
        return value.and_then(_parse_state)

    async def order(self, order: EngineOrder) -> Result[None, UpstreamFault]:
        """Order the engine to reach a state; ``WRONG_ANSWER`` if it rejects the fencing number."""
        value = {
            "fencing": order.fencing,
            "model": order.model,
            "version": order.version,
            "adapters": list(order.adapters),
            "role": order.role,
        }
        return (await self._management.call_json("POST", "/orders", value)).map(
            lambda _answer: None
        )

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._client.aclose()

    def _track_non_streaming(self, request_id: RequestId) -> None:
        self._non_streaming[request_id] = None
        if len(self._non_streaming) > MAX_TRACKED_REQUESTS:
            self._non_streaming.popitem(last=False)

    async def _exchange(
        self, message: ClientRequest, request_id: RequestId, before_first_byte: Callable[[], bool]
    ) -> AsyncGenerator[AnswerItem, None]:
        async with self._client.exchange(message, before_first_byte) as exchange:
            head = await exchange.head()
            if isinstance(head, Err):
                yield to_upstream_fault(head.err_value)
                return
            if message.method == "GET" and head.ok_value.status in STATUS_NOT_SUPPORTED:
                yield UpstreamFault.NOT_SUPPORTED
                return
            if not echoes_request_id(head.ok_value, request_id, is_required=True):
                yield UpstreamFault.WRONG_ANSWER
                return
            is_stream = _is_event_stream(head.ok_value)
            read = _read_stream if is_stream else _read_buffered
            items = read(exchange, head.ok_value)
            async with aclosing(items):
                async for item in items:
                    yield item

    def _parse_cache_events(self, value: dict[str, Any]) -> Result[list[CacheEvent], UpstreamFault]:
        try:
            lines = _CACHE_EVENTS.validate_python(value.get("events"))
            events = [
                CacheEvent(
                    upstream=self._upstream,
                    sequence=int(line["sequence"]),
                    stored=tuple(BlockHash(int(block)) for block in line["stored"]),
                    evicted=tuple(BlockHash(int(block)) for block in line["evicted"]),
                )
                for line in lines
            ]
        except (ValidationError, KeyError, TypeError, ValueError):
            return Err(UpstreamFault.WRONG_ANSWER)
        return Ok(events)


async def _read_stream(exchange: HttpExchange, head: HttpHead) -> AsyncGenerator[AnswerItem, None]:
    """Yield an event stream; it is complete only with both ``[DONE]`` and the final chunk."""
    yield to_answer_head(head)
    reader = SseReader()
    end: AnswerEnd | None = None
    counts = AnswerEnd()
    while True:
        part = await exchange.part()
        if isinstance(part, Err):
            yield to_upstream_fault(part.err_value)
            return
        if part.ok_value is None:
            yield UpstreamFault.WRONG_ANSWER if end is None or reader.has_partial_event else end
            return
        events = reader.feed(part.ok_value)
        if isinstance(events, Err):
            yield UpstreamFault.WRONG_ANSWER
            return
        for event in events.ok_value:
            if end is not None:
                yield UpstreamFault.WRONG_ANSWER
                return
            counts = _usage_of_event(event) or counts
            end = counts if event.data == _DONE else None
            yield AnswerPart(event.raw, event.event_id, _token_count(event))


async def _read_buffered(
    exchange: HttpExchange, head: HttpHead
) -> AsyncGenerator[AnswerItem, None]:
    """Yield an answer that is not streamed, once all of it has arrived."""
    body = bytearray()
    while True:
        part = await exchange.part()
        if isinstance(part, Err):
            yield to_upstream_fault(part.err_value)
            return
        if part.ok_value is None:
            break
        body += part.ok_value
        if len(body) > MAX_BUFFERED_ANSWER_BYTES:
            yield UpstreamFault.WRONG_ANSWER
            return
    counts = _parse_usage(bytes(body)) if head.status == 200 else None
    tokens = counts[1] if counts else 0
    yield to_answer_head(head)
    yield AnswerPart(bytes(body), None, tokens)
    yield counts[0] if counts else AnswerEnd()


def _is_event_stream(head: HttpHead) -> bool:
    content_type = header_value(head.headers, "content-type") or ""
    return content_type.partition(";")[0].strip() == "text/event-stream"


def _stream_path(request_id: RequestId) -> str:
    return "/v1/streams/" + quote(request_id, safe="")


def _token_count(event: SseEvent) -> int:
    has_text = event.data not in (b"", _DONE) and _USAGE_KEY not in event.data
    return 1 if has_text else 0


def _usage_of_event(event: SseEvent) -> AnswerEnd | None:
    if _USAGE_KEY not in event.data:
        return None
    counts = _parse_usage(event.data)
    return counts[0] if counts else None


def _parse_usage(body: bytes) -> tuple[AnswerEnd, int] | None:
    """Return the token counts of an answer, and its number of output tokens."""
    try:
        usage = json.loads(body)["usage"]
        details = usage.get("prompt_tokens_details") or {}
        end = AnswerEnd(
            cached_prompt_tokens=int(details.get("cached_tokens", 0)),
            prompt_tokens=int(usage["prompt_tokens"]),
        )
        return end, int(usage["completion_tokens"])
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError):
        return None


def _parse_state(value: dict[str, Any]) -> Result[EngineState, UpstreamFault]:
    known = {"model", "version", "adapters", "role", "ready", "leaving", "highest_fencing"}
    try:
        state = EngineState(
            model=str(value["model"]),
            version=str(value["version"]),
            adapters=tuple(str(name) for name in value["adapters"]),
            role=str(value["role"]),
            ready=value["ready"] is True,
            leaving=value["leaving"] is True,
            highest_fencing=FencingNumber(int(value["highest_fencing"])),
            extra={name: item for name, item in value.items() if name not in known},
        )
    except (KeyError, TypeError, ValueError):
        return Err(UpstreamFault.WRONG_ANSWER)
    return Ok(state)
