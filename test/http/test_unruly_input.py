"""What a server holds for callers that send more than they should, and who gives way."""

from collections import Counter
from collections.abc import Awaitable, Callable

import h11
import pytest
import trio
from trio.testing import (
    MockClock,
    lockstep_stream_pair,
    memory_stream_pair,
    wait_all_tasks_blocked,
)

from lentilchute.http.caller_account import (
    AHEAD_BYTES,
    KERNEL_FACTOR,
    RECEIVE_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
)
from lentilchute.http.requests import HttpRequest, HttpServerSettings
from lentilchute.http.responder import Responder
from lentilchute.http.server import LARGE_HEADS_AT_ONCE, HttpServer, open_listeners

GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"
WAITING_GET = GET.replace(b"/", b"/wait", 1)


class Account:
    """Counts what connections hold, up to a limit."""

    def __init__(self, limit_bytes: int = 10_000_000) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.most_bytes = 0
        self.is_awaited = False
        self.is_closed = False

    def add(self, size: int, _now_s: float) -> bool:
        if self.held_bytes + size > self.limit_bytes:
            return False
        self.add_always(size)
        return True

    def add_always(self, size: int) -> None:
        self.held_bytes += size
        self.most_bytes = max(self.most_bytes, self.held_bytes)

    def remove(self, size: int) -> None:
        self.held_bytes -= size
        assert self.held_bytes >= 0

    def record_unread(self, _now_s: float) -> None:
        self.is_awaited = True

    def record_all_read(self) -> None:
        self.is_awaited = False

    def is_short(self) -> bool:
        return self.held_bytes > self.limit_bytes

    def close(self) -> None:
        self.is_closed = True


class World:
    """A server with callers, each over a stream of its own."""

    def __init__(self, nursery: trio.Nursery, settings: HttpServerSettings) -> None:
        self.nursery = nursery
        self.account = Account()
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


def test_all_that_waits_is_counted_and_given_back() -> None:
    """Guards against input, or answers that nobody takes, that no bound on the memory knows of."""

    async def scenario(world: World) -> None:
        world.server.open_account = lambda give_up: world.account
        caller = world.connect()
        await caller.send_all(WAITING_GET + 2_000 * GET)
        await wait_all_tasks_blocked()
        assert world.account.held_bytes >= AHEAD_BYTES + KERNEL_FACTOR * RECEIVE_BUFFER_BYTES
        world.may_answer.release()
        served = 0
        while served < 2_001:
            served += (await caller.receive_some()).count(b"HTTP/1.1 200")
        await wait_all_tasks_blocked()
        kernel_bytes = KERNEL_FACTOR * (RECEIVE_BUFFER_BYTES + SEND_BUFFER_BYTES)
        most_bytes = AHEAD_BYTES + kernel_bytes + 2_000
        assert world.account.most_bytes <= most_bytes
        assert world.account.held_bytes == 0
        await caller.aclose()
        await wait_all_tasks_blocked()
        assert world.account.is_closed

    run(HttpServerSettings(), scenario)


def test_input_without_room_is_refused_as_not_run() -> None:
    async def scenario(world: World) -> None:
        world.account.limit_bytes = 1_500
        world.server.open_account = lambda give_up: world.account
        caller = world.connect()
        await caller.send_all(POST + bytes(999))
        answer = await caller.receive_some()
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"lentilchute-outcome: not-run" in answer and b"retry-after" in answer

    run(HttpServerSettings(), scenario)


def test_a_stalled_body_gives_way_to_others() -> None:
    """Guards against bodies that stop short of their end keeping all others out."""

    async def scenario(world: World) -> None:
        stalled, sound = world.connect(), world.connect()
        await stalled.send_all(POST + bytes(900))
        await trio.sleep(2.0)
        await sound.send_all(POST + bytes(1_000))
        assert (await sound.receive_some()).startswith(b"HTTP/1.1 200 ")
        assert (await stalled.receive_some()) == b"", "it is closed"
        assert world.server.reading_bytes == 0

    run(HttpServerSettings(max_reading_bytes=1_500), scenario)


def test_a_body_that_comes_on_does_not_give_way() -> None:
    async def scenario(world: World) -> None:
        first, second = world.connect(), world.connect()
        await first.send_all(POST + bytes(900))
        await trio.sleep(0.5)
        await second.send_all(POST + bytes(1_000))
        assert (await second.receive_some()).startswith(b"HTTP/1.1 503 ")
        await first.send_all(bytes(100))
        assert (await first.receive_some()).startswith(b"HTTP/1.1 200 ")

    run(HttpServerSettings(max_reading_bytes=1_500), scenario)


def test_a_silent_connection_gives_its_place_to_a_new_one() -> None:
    """Guards against silent connections that take all places of a server."""

    async def scenario(world: World) -> None:
        silent = world.connect()
        await trio.sleep(1.0)
        new = world.connect()
        await new.send_all(GET)
        assert (await new.receive_some()).startswith(b"HTTP/1.1 200 ")
        assert (await silent.receive_some()) == b""
        assert world.server.displaced_connections == 1

    run(HttpServerSettings(max_connections=1), scenario)


def test_a_request_that_is_handled_keeps_its_place() -> None:
    """Guards against requests in progress being cut off for new connections."""

    async def scenario(world: World) -> None:
        busy = world.connect()
        await busy.send_all(WAITING_GET)
        await trio.sleep(5.0)
        new = world.connect()
        assert (await new.receive_some()).startswith(b"HTTP/1.1 503 ")
        world.may_answer.release()
        assert (await busy.receive_some()).startswith(b"HTTP/1.1 200 ")

    run(HttpServerSettings(max_connections=1), scenario)


def test_an_answer_that_nobody_takes_gives_its_place_to_a_new_connection() -> None:
    """Guards against callers that read nothing keeping all places of a server, for as long as a
    write may take."""

    async def scenario(world: World) -> None:
        async def handle(request: HttpRequest, responder: Responder) -> None:
            if request.path == "/large":
                responder.account = Account()
                request.caller_gone.is_set()
            await responder.answer(200, (), bytes(100_000))

        world.server.handler = handle
        world.server.open_account = lambda give_up: world.account
        unread, stream = lockstep_stream_pair()
        world.nursery.start_soon(world.server.serve_stream, stream)
        await unread.send_all(GET.replace(b"/", b"/large", 1))
        await trio.sleep(0.5)
        early = world.connect()
        assert (await early.receive_some()).startswith(b"HTTP/1.1 503 "), "it may still be taken"
        await trio.sleep(5.0)
        new = world.connect()
        await new.send_all(GET)
        assert (await new.receive_some()).startswith(b"HTTP/1.1 200 ")
        assert world.server.displaced_connections == 1

    run(HttpServerSettings(max_connections=1), scenario)


def test_refused_connections_give_way_to_new_ones() -> None:
    """Guards against refusals that linger keeping out a caller for whom there is a place."""

    async def scenario(world: World) -> None:
        silent = [world.connect() for _ in range(32)]
        await trio.sleep(0.01)
        refused = [world.connect() for _ in range(2)]
        await trio.sleep(1.0)
        assert world.server.refused_connections == 2
        new = world.connect()
        await new.send_all(GET)
        assert (await new.receive_some()).startswith(b"HTTP/1.1 200 ")
        for each in silent + refused:
            await each.aclose()

    run(HttpServerSettings(max_connections=32), scenario)


def test_connections_far_beyond_the_limit_are_closed_at_once() -> None:
    """Guards against refusals that take a descriptor each for as long as callers like."""

    async def scenario(world: World) -> None:
        busy = [world.connect() for _ in range(32)]
        for each in busy:
            await each.send_all(WAITING_GET)
        await trio.sleep(1.0)
        crowd = [world.connect() for _ in range(100)]
        await trio.sleep(0.01)
        assert world.server.connection_count <= 34
        assert world.server.refused_connections == 100
        for each in busy:
            world.may_answer.release()
            assert (await each.receive_some()).startswith(b"HTTP/1.1 200 ")
        for each in crowd:
            await each.aclose()

    run(HttpServerSettings(max_connections=32), scenario)


def test_a_caller_that_gives_way_is_told_so() -> None:
    """Guards against a reset in place of the refusal, which says that the request did not run: a
    caller that is sending sees the reset first."""

    resets: list[float] = []

    async def scenario(world: World) -> None:
        give_ups: list[Callable[[], None]] = []

        def open_account(give_up: Callable[[], None]) -> Account:
            give_ups.append(give_up)
            return world.account

        world.account.limit_bytes = 10**9
        world.server.open_account = open_account
        listeners = await open_listeners("127.0.0.1:0")
        world.nursery.start_soon(world.server.serve, listeners)
        caller = await trio.open_tcp_stream(*listeners[0].socket.getsockname())
        body_bytes = 50_000_000
        await caller.send_all(POST.replace(b"1000", str(body_bytes).encode()))
        world.nursery.start_soon(send_on, caller, body_bytes)
        await trio.sleep(0.05)
        give_ups[0]()
        await trio.sleep(0.05)
        answer = await caller.receive_some()
        assert answer.startswith(b"HTTP/1.1 503 ") and b"lentilchute-outcome: not-run" in answer
        assert not resets, "it may send on until it has read that"
        assert world.account.is_closed, "its memory is free before it has gone"

    async def send_on(caller: trio.SocketStream, body_bytes: int) -> None:
        try:
            for _ in range(body_bytes // 10_000):
                await caller.send_all(bytes(10_000))
                await trio.sleep(0.001)
        except trio.BrokenResourceError:
            resets.append(trio.current_time())

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await scenario(World(nursery, HttpServerSettings()))
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_request_whose_connection_gives_way_as_it_ends_is_answered() -> None:
    """Guards against a reset for a request whose last bytes come in the moment in which its
    connection gives way."""

    async def scenario(world: World) -> None:
        give_ups: list[Callable[[], None]] = []

        def open_account(give_up: Callable[[], None]) -> Account:
            give_ups.append(give_up)
            return Account()

        world.server.open_account = open_account
        listeners = await open_listeners("127.0.0.1:0")
        world.nursery.start_soon(world.server.serve, listeners)
        address = listeners[0].socket.getsockname()
        statuses: Counter[bytes] = Counter()
        for _ in range(60):
            async with await trio.open_tcp_stream(*address) as caller:
                await caller.send_all(POST + bytes(999))
                await trio.sleep(0.005)
                await caller.send_all(b"x")
                give_ups[-1]()
                statuses[(await caller.receive_some())[:12]] += 1
        assert set(statuses) <= {b"HTTP/1.1 200", b"HTTP/1.1 503"}
        assert statuses[b"HTTP/1.1 503"], "some gave way before their request was handled"

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await scenario(World(nursery, HttpServerSettings(linger_s=0.05)))
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_large_heads_are_parsed_in_turns() -> None:
    """Guards against hundreds of heads with thousands of fields that arrive together and hold the
    loop up for seconds."""

    async def scenario(world: World) -> None:
        parsed_in_pass = [0]

        async def handle(request: HttpRequest, responder: Responder) -> None:
            parsed_in_pass[-1] += 1
            await responder.answer(200, (), b"")

        async def count_passes() -> None:
            while True:
                parsed_in_pass.append(0)
                await trio.lowlevel.checkpoint()

        world.server.handler = handle
        callers = [world.connect() for _ in range(60)]
        await wait_all_tasks_blocked()
        head = GET[:-2] + b"a:\r\n" * 2_000 + b"\r\n"
        world.nursery.start_soon(count_passes)
        for caller in callers:
            world.nursery.start_soon(caller.send_all, head)
        for caller in callers:
            assert (await caller.receive_some()).startswith(b"HTTP/1.1 200 ")
        assert max(parsed_in_pass) <= 2 * LARGE_HEADS_AT_ONCE

    run(HttpServerSettings(), scenario)
