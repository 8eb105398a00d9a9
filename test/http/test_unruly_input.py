"""What a server holds for callers that send more than they should, and who gives way."""

from collections.abc import Awaitable, Callable

import h11
import pytest
import trio
from trio.testing import MockClock, memory_stream_pair, wait_all_tasks_blocked

from lentilchute.http.connection import AHEAD_BYTES
from lentilchute.http.requests import HttpRequest, HttpServerSettings
from lentilchute.http.responder import Responder
from lentilchute.http.server import HttpServer

GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
WAITING_GET = GET.replace(b"/", b"/wait", 1)


class World:
    """A server with callers, each over a stream of its own."""

    def __init__(self, nursery: trio.Nursery, settings: HttpServerSettings) -> None:
        self.nursery = nursery
        self.may_answer = trio.Semaphore(0)
        """Each release lets one request be answered that waits for it."""
        self.server = HttpServer(settings, self._handle)

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == "/wait":
            request.caller_gone.is_set()
            await self.may_answer.acquire()
        await responder.answer(200, (), request.body)

    def connect(self) -> trio.StapledStream:
        caller, stream = memory_stream_pair()
        self.nursery.start_soon(self.server.serve_stream, stream)
        return caller


def run(settings: HttpServerSettings, scenario: Callable[[World], Awaitable[None]]) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await scenario(World(nursery, settings))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_little_is_read_beyond_the_request_that_is_handled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that send ahead filling the memory: each request that was served let
    the server read as much again."""
    parsers: list[h11.Connection] = []
    new_parser = h11.Connection

    def record_parser(*arguments: object, **options: object) -> h11.Connection:
        parsers.append(new_parser(*arguments, **options))  # type: ignore[arg-type]
        return parsers[-1]

    monkeypatch.setattr(h11, "Connection", record_parser)

    async def scenario(world: World) -> None:
        caller = world.connect()
        await caller.send_all(40_000 * WAITING_GET)
        for _ in range(20):
            await wait_all_tasks_blocked()
            assert len(parsers[0].trailing_data[0]) <= AHEAD_BYTES
            world.may_answer.release()
            assert (await caller.receive_some()).startswith(b"HTTP/1.1 200 ")

    run(HttpServerSettings(), scenario)
