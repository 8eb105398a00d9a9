"""Stand-in for a plain service: answers on any path and counts non-idempotent calls.

``GET /record`` lists the bodies of all ``POST``, ``PUT``, ``PATCH`` and ``DELETE`` calls with the
number of times each one ran. ``POST /control`` sets the switches.
"""

import json
from collections import Counter
from dataclasses import dataclass

import trio

from ..http.messages import JSON_HEADER, REQUEST_ID_HEADER, Headers, header_value
from ..http.responder import Responder
from ..http.server import HttpRequest
from .host import StandinHost
from .routes import Router, WireModel, read_body, reply_json

READ_METHODS = ("GET", "HEAD", "OPTIONS")


@dataclass(frozen=True, slots=True)
class PlainStandinSettings:
    """Address, speed and capacity of the stand-in."""

    listen: str = "127.0.0.1:0"
    call_s: float = 0.005
    max_running: int = 16
    load_lag_s: float = 1.0


class PlainControl(WireModel):
    """Switches; a control request replaces the ones that it contains."""

    slow_factor: float = 1.0
    frozen: bool = False
    leaving: bool = False
    crash: bool = False
    """Resets all connections once."""
    down_s: float = 0.5
    lost_answers: int = 0
    """The next N calls run, but their connection is cut without an answer."""
    short_answers: int = 0
    """The next N answers are cut in the middle of their body."""
    crossed_answers: bool = False
    """Answers carry the wrong request id."""
    poison_marker: str = ""
    """A body that contains this text crashes the service."""


class PlainStandin:
    """Request handlers of the plain stand-in."""

    def __init__(self, settings: PlainStandinSettings) -> None:
        self.settings = settings
        self.control = PlainControl()
        self.router = Router()
        self.host = StandinHost(settings.listen, self.router)
        self._slots = trio.Semaphore(settings.max_running)
        self._thawed = trio.Event()
        self._thawed.set()
        self._posted: Counter[str] = Counter()
        self._received: list[str] = []
        self._running = 0
        self._waiting = 0
        self.router.route("POST", "/control")(self._control)
        self.router.route("GET", "/record")(self._record)
        self.router.route("GET", "/load")(self._load)
        self.router.route("GET", "/state")(self._state)
        self.router.route("*", "/")(self._call)

    async def _call(self, request: HttpRequest, responder: Responder) -> None:
        await self._thawed.wait()
        request_id = header_value(request.headers, REQUEST_ID_HEADER) or ""
        self._received.append(request_id)
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            try:
                await self._run(request)
            finally:
                self._running -= 1
        await self._answer(request, request_id, responder)

    async def _run(self, request: HttpRequest) -> None:
        marker = self.control.poison_marker.encode()
        if marker and marker in request.body:
            self.host.crash(self.control.down_s)
            await trio.sleep_forever()
        await trio.sleep(self.settings.call_s * self.control.slow_factor)
        await self._thawed.wait()
        if request.method not in READ_METHODS:
            self._posted[request.body.decode("latin-1")] += 1

    async def _answer(self, request: HttpRequest, request_id: str, responder: Responder) -> None:
        answer = {"method": request.method, "path": request.path, "body_bytes": len(request.body)}
        body = json.dumps({**answer, "body": request.body.decode("latin-1")}).encode()
        echoed_id = "crossed" if self.control.crossed_answers else request_id
        headers: Headers = (JSON_HEADER, (REQUEST_ID_HEADER, echoed_id))
        if self._decrement_if_set("lost_answers"):
            responder.abort()
        elif self._decrement_if_set("short_answers"):
            await responder.start(200, headers)
            await responder.send(body[: len(body) // 2])
            responder.abort()
        else:
            await responder.answer(200, headers, body)

    def _decrement_if_set(self, switch: str) -> bool:
        count: int = getattr(self.control, switch)
        if count > 0:
            self.control = self.control.model_copy(update={switch: count - 1})
        return count > 0

    async def _load(self, _request: HttpRequest, responder: Responder) -> None:
        load = {"running": self._running, "waiting": self._waiting}
        report = {**load, "outstanding_prompt_tokens": 0, "age_s": self.settings.load_lag_s}
        await reply_json(responder, 200, report)

    async def _state(self, _request: HttpRequest, responder: Responder) -> None:
        await reply_json(responder, 200, {"ready": True, "leaving": self.control.leaving})

    async def _control(self, request: HttpRequest, responder: Responder) -> None:
        changes = read_body(PlainControl, request)
        named = {name: getattr(changes, name) for name in changes.model_fields_set}
        self.control = self.control.model_copy(update={**named, "crash": False})
        if not self.control.frozen:
            self._thawed.set()
        elif self._thawed.is_set():
            self._thawed = trio.Event()
        await reply_json(responder, 200, self.control.model_dump(mode="json"))
        if changes.crash:
            self.host.crash(self.control.down_s)

    async def _record(self, _request: HttpRequest, responder: Responder) -> None:
        await reply_json(responder, 200, {"received": self._received, "posted": self._posted})


async def serve(
    settings: PlainStandinSettings,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the stand-in until cancelled; the task status receives the bound address."""
    await PlainStandin(settings).host.run(task_status)
