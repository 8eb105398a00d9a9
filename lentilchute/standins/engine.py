"""Stand-in for an engine: an OpenAI-compatible model engine with deterministic answers.

``docs/reference/upstream-protocol.md`` describes the interface. ``POST /control`` sets the
switches, and ``GET /record`` returns which requests the engine received and ran.
"""

import json
from dataclasses import asdict
from typing import Any
from urllib.parse import unquote

import trio

from ..entry.prompts import estimate_tokens, prefix_hashes, prompt_text
from ..http.messages import REQUEST_ID_HEADER, header_value
from ..http.responder import Responder
from ..http.server import HttpRequest
from ..ids import BlockHash, ModelName
from .engine_batching import BatchSimulator, EngineRecord, Generation, GenerationRequest
from .engine_orders import AssignmentState, OrderBody
from .engine_settings import EngineControl, EngineStandinSettings
from .engine_stream import AnswerFormat, StreamWriter, write_unstreamed
from .host import StandinHost
from .routes import BadBodyError, Route, Router, read_body, reply_error, reply_json

DEFAULT_OUTPUT_TOKENS = 16
KV_BYTES_PER_BLOCK = 1_024


class EngineStandin:
    """Request handlers of the engine stand-in."""

    def __init__(self, settings: EngineStandinSettings) -> None:
        self.settings = settings
        self.record = EngineRecord()
        self.router = Router()
        self.host = StandinHost(settings.listen, self.router)
        self.simulator = BatchSimulator(settings, self._crash, self.record)
        self.assignment_state = AssignmentState(settings)
        self._writers: set[StreamWriter] = set()
        self._previous_generation: Generation | None = None
        for method, prefix, handler in (
            ("POST", "/v1/chat/completions", self._complete),
            ("POST", "/v1/completions", self._complete),
            ("GET", "/v1/streams/", self._resume),
            ("DELETE", "/v1/streams/", self._cancel),
            ("GET", "/load", self._load),
            ("GET", "/cache/events", self._cache_events),
            ("GET", "/kv/", self._export_kv),
            ("PUT", "/kv/", self._import_kv),
            ("POST", "/orders", self._handle_order),
            ("GET", "/state", self._state),
        ):
            self.router.route(method, prefix)(self._wait_while_frozen(handler))
        self.router.route("POST", "/control")(self._control)
        self.router.route("GET", "/record")(self._get_record)

    def _wait_while_frozen(self, handler: Route) -> Route:
        async def guarded(request: HttpRequest, responder: Responder) -> None:
            await self.simulator.thawed.wait()
            await handler(request, responder)

        return guarded

    def _crash(self) -> None:
        self.record.crashes += 1
        self._writers.clear()
        self.host.crash(self.simulator.control.down_s)
        self.simulator.reset()
        self.assignment_state = AssignmentState(self.settings)

    async def _complete(self, request: HttpRequest, responder: Responder) -> None:
        call = _json_object(request.body)
        generation_request = self._generation_request(request, call)
        answer_format = AnswerFormat(
            generation_request.request_id, str(call["model"]), generation_request.is_chat
        )
        if not self.assignment_state.is_ready:
            await reply_error(
                responder, 503, "not-ready", "the engine is loading", answer_format.headers
            )
            return
        if not self.assignment_state.serves(answer_format.model):
            message = f"no model {answer_format.model}"
            await reply_error(responder, 404, "model_not_found", message, answer_format.headers)
            return
        generation = self.simulator.accept(generation_request, self.host.tasks)
        answer_format, answered = self._cross_answers(answer_format, generation)
        await self._write_answer(answer_format, answered, responder, after_event=0)

    def _generation_request(self, request: HttpRequest, call: dict[str, Any]) -> GenerationRequest:
        request_id = header_value(request.headers, REQUEST_ID_HEADER)
        prompt = prompt_text(call)
        if not request_id or prompt is None or not isinstance(call.get("model"), str):
            raise BadBodyError("x-request-id, model and either messages or prompt are required")
        tokens = call.get("max_completion_tokens") or call.get("max_tokens")
        return GenerationRequest(
            request_id=request_id,
            prompt=prompt,
            prompt_tokens=estimate_tokens(prompt),
            hashes=prefix_hashes(prompt, ModelName(call["model"]), self.settings.block_tokens),
            output_tokens=tokens if isinstance(tokens, int) else DEFAULT_OUTPUT_TOKENS,
            is_streamed=call.get("stream") is True,
            is_chat=request.path.startswith("/v1/chat"),
        )

    def _cross_answers(
        self, answer_format: AnswerFormat, generation: Generation
    ) -> tuple[AnswerFormat, Generation]:
        """Return what to answer with; under ``crossed_answers`` the preceding request's."""
        before = self._previous_generation
        self._previous_generation = generation
        if not self.simulator.control.crossed_answers or before is None:
            return answer_format, generation
        return (
            AnswerFormat(before.request.request_id, answer_format.model, answer_format.is_chat),
            before,
        )

    async def _write_answer(
        self,
        answer_format: AnswerFormat,
        generation: Generation,
        responder: Responder,
        after_event: int,
    ) -> None:
        if not generation.request.is_streamed:
            await write_unstreamed(answer_format, generation, responder)
            return
        writer = StreamWriter(
            answer_format, generation, responder, self.simulator.control.cut_after_events
        )
        self._writers.add(writer)
        try:
            await writer.write(after_event)
        finally:
            self._writers.discard(writer)

    async def _resume(self, request: HttpRequest, responder: Responder) -> None:
        generation = self.simulator.generations.get(_last_path_segment(request))
        after = header_value(request.headers, "last-event-id") or "0"
        if generation is None or not after.isdecimal():
            await reply_error(responder, 404, "not-found", "no such stream")
            return
        request_id = generation.request.request_id
        self.record.resumed.append(request_id)
        answer_format = AnswerFormat(
            request_id, self.assignment_state.assignment.model, generation.request.is_chat
        )
        await self._write_answer(answer_format, generation, responder, int(after))

    async def _cancel(self, request: HttpRequest, responder: Responder) -> None:
        generation = self.simulator.generations.get(_last_path_segment(request))
        if generation is None:
            await reply_error(responder, 404, "not-found", "no such stream")
            return
        self.record.cancelled.append(generation.request.request_id)
        self.simulator.drop(generation)
        await reply_json(responder, 200, {})

    async def _load(self, _request: HttpRequest, responder: Responder) -> None:
        report = asdict(self.simulator.load())
        await reply_json(responder, 200, {**report, "age_s": self.settings.load_lag_s})

    async def _cache_events(self, request: HttpRequest, responder: Responder) -> None:
        after = request.path.partition("after=")[2]
        until_s = trio.current_time() - self.settings.cache_event_lag_s
        events = self.simulator.cache.events(
            int(after) if after.isdecimal() else 0,
            until_s,
            self.simulator.control.cache_event_gap_share,
        )
        entries = [
            {"sequence": event.sequence, "stored": event.stored, "evicted": event.evicted}
            for event in events
        ]
        await reply_json(responder, 200, {"events": entries})

    async def _export_kv(self, request: HttpRequest, responder: Responder) -> None:
        block = _block_hash(request)
        if not self.simulator.cache.has(block):
            await reply_error(responder, 404, "not-found", "the block is not cached")
            return
        body = block.to_bytes(8, "big") * (KV_BYTES_PER_BLOCK // 8)
        await responder.answer(200, (("content-type", "application/octet-stream"),), body)

    async def _import_kv(self, request: HttpRequest, responder: Responder) -> None:
        block = _block_hash(request)
        if request.body[:8] != block.to_bytes(8, "big"):
            await reply_error(
                responder, 400, "bad-request", "the body is not the KV cache of this block"
            )
            return
        self.simulator.cache.store((block,), trio.current_time())
        await reply_json(responder, 200, {})

    async def _handle_order(self, request: HttpRequest, responder: Responder) -> None:
        order = read_body(OrderBody, request)
        self.record.orders.append(order.fencing)
        if not self.assignment_state.admits(order):
            await reply_error(responder, 409, "old-fencing", "a higher fencing number was seen")
            return
        if self.assignment_state.apply_order(order):
            self.assignment_state.is_ready = False
            # Loading takes the memory of running requests; the sender of an order must drain the
            # engine first.
            for generation in list(self.simulator.generations.values()):
                self.simulator.drop(generation)
            self.simulator.cache.clear(trio.current_time())
            self.host.tasks.start_soon(self._load_model)
        await reply_json(responder, 200, {})

    async def _load_model(self) -> None:
        assignment = self.assignment_state.assignment
        await self.simulator.simulate_work(self.settings.load_model_s)
        if self.assignment_state.assignment is assignment:
            self.assignment_state.is_ready = True

    async def _state(self, _request: HttpRequest, responder: Responder) -> None:
        state = {
            **asdict(self.assignment_state.assignment),
            "ready": self.assignment_state.is_ready,
            "leaving": self.simulator.control.leaving,
            "highest_fencing": self.assignment_state.highest_fencing,
        }
        await reply_json(responder, 200, state)

    async def _control(self, request: HttpRequest, responder: Responder) -> None:
        changes = read_body(EngineControl, request)
        one_shot = {"crash": False, "cut_streams": False}
        named = {name: getattr(changes, name) for name in changes.model_fields_set}
        self.simulator.control = self.simulator.control.model_copy(update={**named, **one_shot})
        self._apply_freeze()
        if changes.cut_streams:
            self._cut_streams()
        await reply_json(responder, 200, self.simulator.control.model_dump(mode="json"))
        if changes.crash:
            self._crash()

    def _apply_freeze(self) -> None:
        if self.simulator.control.frozen:
            if self.simulator.thawed.is_set():
                self.simulator.thawed = trio.Event()
        else:
            self.simulator.thawed.set()

    def _cut_streams(self) -> None:
        for writer in self._writers:
            writer.is_cut = True
        for generation in self.simulator.generations.values():
            generation.notify()

    async def _get_record(self, _request: HttpRequest, responder: Responder) -> None:
        await reply_json(responder, 200, asdict(self.record))


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        call = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadBodyError("the body is not JSON") from error
    if not isinstance(call, dict):
        raise BadBodyError("the body is not a JSON object")
    return call


def _last_path_segment(request: HttpRequest) -> str:
    """Return the decoded last segment of the path."""
    return unquote(request.path.rsplit("/", 1)[1])


def _block_hash(request: HttpRequest) -> BlockHash:
    text = _last_path_segment(request)
    if not text.isdecimal() or int(text) >= 2**64:
        raise BadBodyError("the block must be a 64-bit number")
    return BlockHash(int(text))


async def serve(
    settings: EngineStandinSettings,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the stand-in until cancelled; the task status receives the bound address."""
    await EngineStandin(settings).host.run(task_status)
