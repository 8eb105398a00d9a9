"""Answers of the engine's stand-in on the wire: OpenAI-shaped JSON and server-sent events."""

import json
from dataclasses import dataclass
from typing import Any

from ..http.messages import JSON_HEADER, REQUEST_ID_HEADER, Headers
from ..http.responder import Responder
from .engine_batching import Run, RunState

EVENT_STREAM_HEADER = ("content-type", "text/event-stream")
DONE = "[DONE]"


@dataclass(frozen=True, slots=True)
class AnswerShape:
    """How an answer is written: for which path, model and request id."""

    request_id: str
    model: str
    is_chat: bool

    @property
    def headers(self) -> Headers:
        """Headers of every answer to this request."""
        return ((REQUEST_ID_HEADER, self.request_id),)


def usage(run: Run) -> dict[str, Any]:
    """Return the token counts of a request."""
    return {
        "prompt_tokens": run.request.prompt_tokens,
        "completion_tokens": len(run.tokens),
        "total_tokens": run.request.prompt_tokens + len(run.tokens),
        "prompt_tokens_details": {"cached_tokens": run.cached_tokens},
    }


def whole_answer(shape: AnswerShape, run: Run) -> bytes:
    """Return the body of an answer that is not streamed."""
    text = "".join(run.tokens)
    content: dict[str, Any] = {"text": text}
    if shape.is_chat:
        content = {"message": {"role": "assistant", "content": text}}
    choice = {"index": 0, **content, "finish_reason": "stop"}
    return json.dumps(_object(shape, "chat.completion", choice, usage(run))).encode()


def event(number: int, data: str) -> bytes:
    """Return one server-sent event with its id."""
    return f"id: {number}\ndata: {data}\n\n".encode()


def token_event(shape: AnswerShape, run: Run, index: int) -> bytes:
    """Return the event of the token at ``index``; event ids count from 1."""
    content: dict[str, Any] = {"text": run.tokens[index]}
    if shape.is_chat:
        content = {"delta": {"content": run.tokens[index]}}
    choice = {"index": 0, **content, "finish_reason": None}
    return event(index + 1, json.dumps(_object(shape, "chat.completion.chunk", choice, None)))


def last_events(shape: AnswerShape, run: Run) -> list[bytes]:
    """Return the events after the last token: finish reason with usage, and the end mark."""
    content: dict[str, Any] = {"delta": {}} if shape.is_chat else {"text": ""}
    choice = {"index": 0, **content, "finish_reason": "stop"}
    finish = json.dumps(_object(shape, "chat.completion.chunk", choice, usage(run)))
    number = len(run.tokens) + 1
    return [event(number, finish), event(number + 1, DONE)]


def _object(
    shape: AnswerShape, kind: str, choice: dict[str, Any], counts: dict[str, Any] | None
) -> dict[str, Any]:
    value: dict[str, Any] = {
        "id": shape.request_id,
        "object": kind,
        "model": shape.model,
        "choices": [choice],
    }
    if counts is not None:
        value["usage"] = counts
    return value


class StreamWriter:
    """Writes a run's events to one connection, from an event id on."""

    def __init__(
        self, shape: AnswerShape, run: Run, responder: Responder, cut_after_events: int
    ) -> None:
        self._shape = shape
        self._run = run
        self._responder = responder
        self._cut_after_events = cut_after_events
        self._sent_events = 0
        self.is_cut = False

    async def write(self, after_event: int) -> None:
        """Write the events after ``after_event`` as they come, and the end."""
        run = self._run
        next_index = after_event
        while not self.is_cut:
            changed = run.changed
            while next_index < len(run.tokens):
                if not await self._send(token_event(self._shape, run, next_index)):
                    return
                next_index += 1
            if run.is_ended:
                break
            await changed.wait()
        if run.state is not RunState.DONE or self.is_cut:
            self._responder.break_off()
            return
        for number, data in enumerate(last_events(self._shape, run), len(run.tokens) + 1):
            if number > after_event and not await self._send(data):
                return
        await self._responder.end()

    async def _send(self, data: bytes) -> bool:
        if self._cut_after_events and self._sent_events >= self._cut_after_events:
            self.is_cut = True
        if self.is_cut:
            self._responder.break_off()
            return False
        self._sent_events += 1
        if not self._responder.is_started:
            headers = (EVENT_STREAM_HEADER, ("cache-control", "no-cache"), *self._shape.headers)
            await self._responder.start(200, headers)
        return await self._responder.send(data)


async def write_whole(shape: AnswerShape, run: Run, responder: Responder) -> None:
    """Write an answer that is not streamed once the run has ended."""
    while not run.is_ended:
        await run.changed.wait()
    if run.state is RunState.DONE:
        headers = (JSON_HEADER, *shape.headers)
        await responder.answer(200, headers, whole_answer(shape, run))
    else:
        responder.break_off()
