"""Stand-in for an upstream on the platform: signs answers, counts runs, and fails on demand."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from ..http.messages import RETRY_AFTER_HEADER, Headers, header_value
from ..http.requests import HttpRequest, HttpServerSettings
from ..http.responder import Responder
from ..http.server import HttpServer
from ..platform import headers as names

DRIP_PAUSE_S = 0.2
DOWN_S = 1.0
"""Time for which an upstream that fell over is away."""


@dataclass(slots=True)
class UpstreamBehaviour:
    """How a stand-in responds to requests, including its faults."""

    events: int = 5
    event_pause_s: float = 0.005
    first_event_s: float = 0.01
    plain_s: float = 0.01
    plain_busy_s: float | None = None
    """The same while another request runs; ``None`` if that makes no difference."""
    status: int = 200
    sheds: bool = False
    """Respond that the request was not executed."""
    aborts_after_event: int | None = None
    """Abort a stream in the middle of the event after this one, once."""
    stalls_after_event: int | None = None
    """Stop sending after this event without closing the connection, once."""
    drips_after_event: int | None = None
    """Send a byte now and then after this event, which completes nothing, once."""
    drops_answer: bool = False
    """Run the request and close the connection without an answer."""
    retry_after_s: float | None = None
    """Sent with the answer of a request that is shed."""
    limit_per_s: float | None = None
    """Named in every answer as the requests a second that the upstream takes."""
    says_leaving: bool = False
    """Announce the leaving in every answer."""
    room: int | None = None
    """Requests that fit; further ones are shed."""
    brittle_limit: int | None = None
    """Named in every answer; the upstream falls over when it sheds more than this in a second."""
    omits_signature: bool = False
    wrong_id: bool = False
    crashing_part: str = ""
    """Crash when the answer to a prompt with this part begins."""


@dataclass(slots=True)
class RoutedUpstream:
    """One process of an upstream."""

    upstream: str
    version: str = ""
    """Named in every event, as events of two software versions do not fit together."""
    behaviour: UpstreamBehaviour = field(default_factory=UpstreamBehaviour)
    runs: Counter[str] = field(default_factory=Counter)
    """Number of executions started per attempt id."""
    abandoned: list[str] = field(default_factory=list)
    """Attempt ids whose caller closed the connection."""
    received: list[HttpRequest] = field(default_factory=list)
    received_s: list[float] = field(default_factory=list)
    """When each of these arrived."""
    running: int = 0
    busy_s: list[float] = field(default_factory=list)
    """When requests arrived that take ``plain_busy_s``."""
    falls_s: list[float] = field(default_factory=list)
    """When the upstream fell over."""
    shed_s: list[float] = field(default_factory=list)
    """When it shed requests for want of room, since it fell over last."""
    on_crash: Callable[[], None] | None = None
    """Ends the process; the stand-in only says when."""

    def server(self) -> HttpServer:
        """Return an HTTP server for this upstream."""
        return HttpServer(HttpServerSettings(linger_s=0.01), self.handle)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        self.received.append(request)
        self.received_s.append(trio.current_time())
        attempt = header_value(request.headers, names.ATTEMPT_ID) or ""
        if header_value(request.headers, names.EXPECTED_UPSTREAM) != self.upstream:
            await responder.answer(421, ((names.UPSTREAM_ID, self.upstream), *self._notices()), b"")
            return
        if self._is_down():
            responder.abort()
            return
        if self.behaviour.sheds or self._lacks_room():
            await responder.answer(503, ((names.NOT_EXECUTED, "1"), *self._notices()), b"")
            return
        self.runs[attempt] += 1
        self.running += 1
        try:
            await self._run(request, responder, attempt)
        finally:
            self.running -= 1
            if request.caller_gone.is_set():
                self.abandoned.append(attempt)

    def _is_down(self) -> bool:
        return bool(self.falls_s) and trio.current_time() < self.falls_s[-1] + DOWN_S

    def _lacks_room(self) -> bool:
        """Return whether a request does not fit; falls over after too many of them."""
        behaviour, now_s = self.behaviour, trio.current_time()
        if behaviour.room is None or self.running < behaviour.room:
            return False
        self.shed_s = [at_s for at_s in self.shed_s if at_s > now_s - 1.0] + [now_s]
        if behaviour.brittle_limit is not None and len(self.shed_s) > behaviour.brittle_limit:
            self.falls_s.append(now_s)
            self.shed_s.clear()
        return True

    async def _run(self, request: HttpRequest, responder: Responder, attempt: str) -> None:
        behaviour = self.behaviour
        if behaviour.drops_answer:
            responder.abort()
            return
        headers = self._signature(attempt)
        if header_value(request.headers, names.TOKENS) is not None:
            await self._stream(request, responder, headers)
            return
        plain_s = behaviour.plain_s
        if behaviour.plain_busy_s is not None and self.running > 1:
            plain_s = behaviour.plain_busy_s
            self.busy_s.append(trio.current_time())
        await _sleep(plain_s, request)
        await responder.answer(behaviour.status, headers, b"answer of " + self.upstream.encode())

    def _signature(self, attempt: str) -> Headers:
        echoed_id = "another" if self.behaviour.wrong_id else attempt
        headers = ((names.ATTEMPT_ID, echoed_id), *self._notices())
        if self.behaviour.omits_signature:
            return headers
        return (*headers, (names.STAMP, f"signed.{self.upstream}"))

    def _notices(self) -> Headers:
        """Return what the upstream says of itself."""
        behaviour = self.behaviour
        notices: list[tuple[str, str]] = []
        if behaviour.says_leaving:
            notices.append((names.LEAVING, "1"))
        if behaviour.limit_per_s is not None:
            notices.append((names.REQUEST_LIMIT, f"{behaviour.limit_per_s:g}"))
        if behaviour.brittle_limit is not None:
            notices.append((names.BRITTLE_LIMIT, str(behaviour.brittle_limit)))
        if behaviour.sheds and behaviour.retry_after_s is not None:
            notices.append((RETRY_AFTER_HEADER, f"{behaviour.retry_after_s:g}"))
        return tuple(notices)

    async def _stream(self, request: HttpRequest, responder: Responder, headers: Headers) -> None:
        behaviour = self.behaviour
        await _sleep(behaviour.first_event_s, request)
        last = int(header_value(request.headers, names.LAST_EVENT_ID) or 0)
        await responder.start(200, (*headers, ("content-type", "text/event-stream")))
        if self._crashes_on(request):
            assert self.on_crash is not None, "a crash needs somebody who ends the process"
            self.on_crash()
            await trio.sleep_forever()
        for number in range(last + 1, behaviour.events + 1):
            if request.caller_gone.is_set():
                return
            await responder.send(event(number, self.version))
            if behaviour.aborts_after_event == number:
                behaviour.aborts_after_event = None
                await responder.send(event(number + 1, self.version)[:6])
                responder.abort()
                return
            if behaviour.stalls_after_event == number:
                behaviour.stalls_after_event = None
                await request.caller_gone.wait()
                return
            if behaviour.drips_after_event == number:
                behaviour.drips_after_event = None
                while not request.caller_gone.is_set():
                    await responder.send(b":")
                    await _sleep(DRIP_PAUSE_S, request)
                return
            await _sleep(behaviour.event_pause_s, request)
        await responder.end()

    def _crashes_on(self, request: HttpRequest) -> bool:
        prompt = header_value(request.headers, names.PROMPT_PARTS) or ""
        parts = [item.partition(":")[0] for item in prompt.split(",")]
        return bool(self.behaviour.crashing_part) and self.behaviour.crashing_part in parts


def event(number: int, version: str = "") -> bytes:
    """Return one event of a stream, with the software version that made it, if given."""
    origin = f" at {version}" if version else ""
    return f"id: {number}\ndata: piece {number}{origin}\n\n".encode()


async def _sleep(seconds: float, request: HttpRequest) -> None:
    with trio.move_on_after(seconds):
        await request.caller_gone.wait()
