"""Wire format of the engine stand-in's answers: OpenAI-compatible JSON and server-sent events."""

import json
from dataclasses import dataclass
from typing import Any

from ..http.messages import JSON_HEADER, REQUEST_ID_HEADER, Headers
from ..http.responder import Responder
from .engine_batching import Generation, GenerationState

EVENT_STREAM_HEADER = ("content-type", "text/event-stream")
END_OF_STREAM = "[DONE]"


@dataclass(frozen=True, slots=True)
class AnswerFormat:
    """Values that determine an answer's format: request id, model and kind of path."""

    request_id: str
    model: str
    is_chat: bool

    @property
    def headers(self) -> Headers:
        """Headers of every response to this request."""
        return ((REQUEST_ID_HEADER, self.request_id),)


def usage(generation: Generation) -> dict[str, Any]:
    """Return the token counts of a request."""
    return {
        "prompt_tokens": generation.request.prompt_tokens,
        "completion_tokens": len(generation.tokens),
        "total_tokens": generation.request.prompt_tokens + len(generation.tokens),
        "prompt_tokens_details": {"cached_tokens": generation.cached_tokens},
    }


def unstreamed_body(answer_format: AnswerFormat, generation: Generation) -> bytes:
    """Return the body of an answer that is not streamed."""
    text = "".join(generation.tokens)
    content: dict[str, Any] = {"text": text}
    if answer_format.is_chat:
        content = {"message": {"role": "assistant", "content": text}}
    choice = {"index": 0, **content, "finish_reason": "stop"}
    return json.dumps(
        _completion_object(answer_format, "chat.completion", choice, usage(generation))
    ).encode()


def event(number: int, data: str) -> bytes:
    """Return one server-sent event with its id."""
    return f"id: {number}\ndata: {data}\n\n".encode()


def token_event(answer_format: AnswerFormat, generation: Generation, index: int) -> bytes:
    """Return the event of the token at ``index``; event ids count from 1."""
    content: dict[str, Any] = {"text": generation.tokens[index]}
    if answer_format.is_chat:
        content = {"delta": {"content": generation.tokens[index]}}
    choice = {"index": 0, **content, "finish_reason": None}
    return event(
        index + 1,
        json.dumps(_completion_object(answer_format, "chat.completion.chunk", choice, None)),
    )


def final_events(answer_format: AnswerFormat, generation: Generation) -> list[bytes]:
    """Return the events after the last token: the finish reason with usage, and the end marker."""
    content: dict[str, Any] = {"delta": {}} if answer_format.is_chat else {"text": ""}
    choice = {"index": 0, **content, "finish_reason": "stop"}
    finish = json.dumps(
        _completion_object(answer_format, "chat.completion.chunk", choice, usage(generation))
    )
    number = len(generation.tokens) + 1
    return [event(number, finish), event(number + 1, END_OF_STREAM)]


def _completion_object(
    answer_format: AnswerFormat, kind: str, choice: dict[str, Any], counts: dict[str, Any] | None
) -> dict[str, Any]:
    value: dict[str, Any] = {
        "id": answer_format.request_id,
        "object": kind,
        "model": answer_format.model,
        "choices": [choice],
    }
    if counts is not None:
        value["usage"] = counts
    return value


class StreamWriter:
    """Writes the events of a generation to one connection, starting after an event id."""

    def __init__(
        self,
        answer_format: AnswerFormat,
        generation: Generation,
        responder: Responder,
        cut_after_events: int,
    ) -> None:
        self._format = answer_format
        self._generation = generation
        self._responder = responder
        self._cut_after_events = cut_after_events
        self._sent_events = 0
        self.is_cut = False

    async def write(self, after_event: int) -> None:
        """Write the events after ``after_event`` as they are generated, then the final events."""
        generation = self._generation
        next_index = after_event
        while not self.is_cut:
            changed = generation.changed
            while next_index < len(generation.tokens):
                if not await self._send(token_event(self._format, generation, next_index)):
                    return
                next_index += 1
            if generation.is_ended:
                break
            await changed.wait()
        if generation.state is not GenerationState.DONE or self.is_cut:
            self._responder.abort()
            return
        for number, data in enumerate(
            final_events(self._format, generation), len(generation.tokens) + 1
        ):
            if number > after_event and not await self._send(data):
                return
        await self._responder.end()

    async def _send(self, data: bytes) -> bool:
        if self._cut_after_events and self._sent_events >= self._cut_after_events:
            self.is_cut = True
        if self.is_cut:
            self._responder.abort()
            return False
        self._sent_events += 1
        if not self._responder.is_started:
            headers = (EVENT_STREAM_HEADER, ("cache-control", "no-cache"), *self._format.headers)
            await self._responder.start(200, headers)
        return await self._responder.send(data)


async def write_unstreamed(
    answer_format: AnswerFormat, generation: Generation, responder: Responder
) -> None:
    """Write an answer that is not streamed once its generation has ended."""
    while not generation.is_ended:
        await generation.changed.wait()
    if generation.state is GenerationState.DONE:
        headers = (JSON_HEADER, *answer_format.headers)
        await responder.answer(200, headers, unstreamed_body(answer_format, generation))
    else:
        responder.abort()
