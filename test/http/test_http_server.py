"""Tests of the HTTP server, over memory streams with a virtual clock."""

import json
import socket

import pytest
import trio
from trio.testing import MockClock, memory_stream_pair

from lentilchute.http.messages import KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S
from lentilchute.http.responder import Responder
from lentilchute.http.server import (
    HeadCheck,
    HeadRefusal,
    HttpRequest,
    HttpServer,
    HttpServerSettings,
    RequestHead,
    open_listeners,
)
from lentilchute.util.log_limit import MAX_LINES_PER_S

SETTINGS = HttpServerSettings(max_header_bytes=2_000, max_body_bytes=100)
GET = b"GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n"


async def echo(request: HttpRequest, responder: Responder) -> None:
    if request.path == "/stream":
        await responder.start(200, (("content-type", "text/plain"),))
        await responder.send(b"one")
        await responder.send(b"two")
        await responder.end()
    elif request.path == "/broken":
        await responder.start(200, ())
        await responder.send(b"one")
        responder.abort()
    elif request.path == "/fails":
        raise RuntimeError("handler error")
    else:
        body = f"{request.method} {request.path} ".encode() + request.body
        await responder.answer(200, (), body)


async def read_all(stream: trio.abc.ReceiveStream) -> bytes:
    data = b""
    while part := await stream.receive_some():
        data += part
    return data


async def talk(
    *pieces: bytes, pause_s: float = 0.0, eof: bool = True, check_head: HeadCheck | None = None
) -> bytes:
    """Send pieces to a server and return all bytes that it answers."""
    server = HttpServer(SETTINGS, echo, check_head)
    client_stream, server_stream = memory_stream_pair()
    answer = b""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve_stream, server_stream)

        async def send() -> None:
            for piece in pieces:
                await client_stream.send_all(piece)
                await trio.sleep(pause_s)
            if eof:
                await client_stream.send_eof()

        nursery.start_soon(send)
        answer = await read_all(client_stream)
        nursery.cancel_scope.cancel()
    assert server.connection_count == 0
    return answer


def run(
    *pieces: bytes, pause_s: float = 0.0, eof: bool = True, check_head: HeadCheck | None = None
) -> bytes:
    async def main() -> bytes:
        return await talk(*pieces, pause_s=pause_s, eof=eof, check_head=check_head)

    return trio.run(main, clock=MockClock(autojump_threshold=0))


def error_type(answer: bytes) -> str:
    head, _, body = answer.partition(b"\r\n\r\n")
    assert b"lentilchute-outcome: not-run" in head.lower()
    return str(json.loads(body)["error"]["type"])


def test_one_connection_serves_several_requests() -> None:
    answer = run(GET, GET.replace(b"/a?b=c", b"/stream"), GET, eof=False)
    assert answer.count(b"GET /a?b=c ") == 2
    assert b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n" in answer


def test_an_aborted_answer_lacks_its_last_chunk() -> None:
    answer = run(b"GET /broken HTTP/1.1\r\nHost: x\r\n\r\n", eof=False)
    assert answer.endswith(b"3\r\none\r\n")


def test_a_handler_error_is_answered_with_500_and_the_connection_stays_usable() -> None:
    answer = run(b"GET /fails HTTP/1.1\r\nHost: x\r\n\r\n", GET, eof=False)
    assert b" 500 " in answer.split(b"\r\n")[0]
    assert b"may-have-run" in answer
    assert b"GET /a?b=c " in answer


@pytest.mark.parametrize(
    ("piece", "status", "reason"),
    [
        (b"hello\r\n\r\n", 400, "bad-request"),
        (b"GET / HTTP/1.1\r\n\r\n", 400, "bad-request"),
        (b"GET / HTTP/1.0\r\nHost: x\r\n\r\n", 505, "bad-request"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 3_000, 431, "too-large"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 3_000 + b"\r\n\r\n", 431, "too-large"),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n", 413, "too-large"),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + b"z" * 101,
            413,
            "too-large",
        ),
        (b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n", 501, "bad-request"),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nshort", 408, "timeout"),
        (b"GET / HTTP/1.1\r\nHost", 408, "timeout"),
    ],
)
def test_invalid_input_is_answered_with_an_error(piece: bytes, status: int, reason: str) -> None:
    answer = run(piece, eof=False)
    assert f" {status} ".encode() in answer.split(b"\r\n")[0]
    assert error_type(answer) == reason


def test_a_slowly_sent_header_is_timed_out() -> None:
    pieces = [GET[i : i + 1] for i in range(len(GET))]
    answer = run(*pieces, pause_s=SETTINGS.header_timeout_s / 10, eof=False)
    assert error_type(answer) == "timeout"


def test_a_slowly_sent_body_is_timed_out() -> None:
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n"
    answer = run(head, *[b"z"] * 50, pause_s=SETTINGS.body_timeout_s / 10, eof=False)
    assert error_type(answer) == "timeout"


def test_the_handler_is_notified_at_once_when_the_caller_disconnects() -> None:
    seen: list[float] = []

    async def wait_for_gone(request: HttpRequest, responder: Responder) -> None:
        with trio.fail_after(60):
            await request.caller_gone.wait()
        seen.append(trio.current_time())
        assert not await responder.answer(200, (), b"")

    async def main() -> None:
        server = HttpServer(SETTINGS, wait_for_gone)
        client_stream, server_stream = memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve_stream, server_stream)
            await client_stream.send_all(GET)
            await trio.sleep(5)
            await client_stream.aclose()
            closed_s = trio.current_time()
        assert seen == [closed_s]

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_a_planned_close_serves_a_request_in_flight_and_closes_idle_connections() -> None:
    async def main() -> None:
        server = HttpServer(SETTINGS, echo)
        used, server_stream = memory_stream_pair()
        idle, idle_server_stream = memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve_stream, server_stream)
            nursery.start_soon(server.serve_stream, idle_server_stream)
            for stream in (used, idle):
                await stream.send_all(GET)
                assert b"keep-alive: timeout=10" in await stream.receive_some()
            server.begin_close()
            # The caller may still use the connection within the announced keep-alive time.
            await trio.sleep(SETTINGS.advertised_keep_alive_s - 0.1)
            await used.send_all(GET)
            answer = await read_all(used)
            assert b" 200 " in answer and b"connection: close" in answer
            assert await read_all(idle) == b""
            waited_s = SETTINGS.advertised_keep_alive_s + SETTINGS.linger_s
            assert trio.current_time() <= waited_s + 0.1

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_the_announced_keep_alive_is_shorter_than_the_servers_timeout() -> None:
    assert HttpServerSettings().keep_alive_header_s == 10
    assert HttpServerSettings(keep_alive_timeout_s=6.5, linger_s=2.0).keep_alive_header_s == 4
    short = HttpServerSettings(keep_alive_timeout_s=2.0, linger_s=2.0)

    async def main() -> bytes:
        client_stream, server_stream = memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(HttpServer(short, echo).serve_stream, server_stream)
            await client_stream.send_all(GET)
            answer = await read_all(client_stream)
            nursery.cancel_scope.cancel()
        return answer

    answer = trio.run(main, clock=MockClock(autojump_threshold=0))
    assert b"connection: close" in answer and b"keep-alive" not in answer


def test_a_refused_head_is_answered_before_its_body() -> None:
    def check_head(head: RequestHead) -> int | HeadRefusal:
        refusal = HeadRefusal(401, (("lentilchute-outcome", "not-run"),), b"who are you?")
        return refusal if head.path == "/closed" else 5

    head = b"POST /closed HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n"
    answer = run(head, eof=False, check_head=check_head)
    assert b" 401 " in answer and answer.endswith(b"who are you?")
    head = head.replace(b"/closed", b"/open").replace(b"50", b"6")
    assert error_type(run(head, eof=False, check_head=check_head)) == "too-large"


def test_connections_above_the_limit_are_refused() -> None:
    async def main() -> bytes:
        server = HttpServer(HttpServerSettings(max_connections=1), echo)
        _first, first_server_stream = memory_stream_pair()
        second, second_server_stream = memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve_stream, first_server_stream)
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(server.serve_stream, second_server_stream)
            answer = await read_all(second)
            nursery.cancel_scope.cancel()
        return answer

    answer = trio.run(main, clock=MockClock(autojump_threshold=0))
    assert b" 503 " in answer and error_type(answer) == "overloaded"


def test_invalid_input_does_not_fill_the_log(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against callers that write a line of the log with each byte that they send."""
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(
        "lentilchute.http.connection.log_event", lambda event, **fields: lines.append(fields)
    )

    async def main() -> None:
        server = HttpServer(SETTINGS, echo)
        async with trio.open_nursery() as nursery:
            for second in range(2):
                await trio.sleep(second)
                for _ in range(10 * MAX_LINES_PER_S):
                    caller, stream = memory_stream_pair()
                    await caller.send_all(b"hello\r\n\r\n")
                    await caller.send_eof()
                    nursery.start_soon(server.serve_stream, stream)
                await trio.testing.wait_all_tasks_blocked()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert len(lines) == 2 * MAX_LINES_PER_S
    left_out = sum(int(str(fields["left_out"])) for fields in lines)
    assert left_out == 9 * MAX_LINES_PER_S, "the first line of a second tells of the one before"


def test_accepted_connections_have_keepalive() -> None:
    """Guards against connections of vanished callers that are kept for good, as accepted
    connections only have what their listening socket was set to."""

    async def main() -> list[int]:
        listeners = await open_listeners("127.0.0.1:0")
        caller = await trio.open_tcp_stream(*listeners[0].socket.getsockname())
        accepted = await listeners[0].accept()
        options = (socket.SO_KEEPALIVE,), (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL)
        values = [
            accepted.socket.getsockopt(level, option)
            for level, names in zip((socket.SOL_SOCKET, socket.IPPROTO_TCP), options, strict=True)
            for option in names
        ]
        for resource in (caller, accepted, *listeners):
            await resource.aclose()
        return values

    assert trio.run(main) == [1, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S]
