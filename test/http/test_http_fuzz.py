"""Fuzz tests of the HTTP server: any input gets a documented answer and the server keeps serving.

The clock is virtual, so that input which never ends reaches the server's timeouts without a wait.
"""

import json

import h11
import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st
from trio.testing import MockClock, memory_stream_pair

from lentilchute.http.server import HttpRequest, HttpServer, HttpServerSettings, Responder

SETTINGS = HttpServerSettings(max_header_bytes=1_000, max_body_bytes=200)
DOCUMENTED = {
    (400, "bad-request"),
    (501, "bad-request"),
    (505, "bad-request"),
    (408, "timeout"),
    (413, "too-large"),
    (431, "too-large"),
}
VALID_REQUEST = b"POST /v1?a=b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
LONGEST_S = (
    SETTINGS.keep_alive_timeout_s
    + SETTINGS.header_timeout_s
    + SETTINGS.body_timeout_s
    + SETTINGS.linger_s
)


async def echo(request: HttpRequest, responder: Responder) -> None:
    assert len(request.body) <= SETTINGS.max_body_bytes
    await responder.answer(200, (), request.body)


class Caller:
    """Sends pieces of a request to a server and reads the answer bytes."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._received = bytearray()
        self.elapsed_s = 0.0

    async def talk(self, pieces: list[bytes], pause_s: float, ends: bool) -> bytes:
        client_stream, server_stream = memory_stream_pair()
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._server.serve_stream, server_stream)
            nursery.start_soon(self._send, client_stream, pieces, pause_s, ends)
            while data := await client_stream.receive_some():
                self._received += data
            self.elapsed_s = trio.current_time() - start_s
            nursery.cancel_scope.cancel()
        return bytes(self._received)

    async def _send(
        self, stream: trio.abc.HalfCloseableStream, pieces: list[bytes], pause_s: float, ends: bool
    ) -> None:
        try:
            for piece in pieces:
                await stream.send_all(piece)
                await trio.sleep(pause_s)
            if ends:
                await stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


def answers(data: bytes) -> list[tuple[int, bytes]]:
    """Return status and body of each answer; raises when one is incomplete."""
    found = []
    client = h11.Connection(h11.CLIENT)
    client.receive_data(data)
    client.receive_data(b"")
    while client.trailing_data[0]:
        client.send(h11.Request(method="POST", target="/", headers=[("Host", "x")]))
        client.send(h11.EndOfMessage())
        found.append(_one_answer(client))
        if client.their_state is not h11.DONE or client.our_state is not h11.DONE:
            break
        client.start_next_cycle()
    return found


def _one_answer(client: h11.Connection) -> tuple[int, bytes]:
    status, body = 0, b""
    while True:
        event = client.next_event()
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return status, body
        else:
            assert isinstance(event, h11.InformationalResponse), event


def check(pieces: list[bytes], pause_s: float = 0.0, ends: bool = True) -> list[int]:
    """Send the pieces, check every answer, and check that the server keeps serving."""

    async def main() -> tuple[bytes, float, bytes]:
        server = HttpServer(SETTINGS, echo)
        caller = Caller(server)
        answer = await caller.talk(pieces, pause_s, ends)
        after = await Caller(server).talk([VALID_REQUEST], 0.0, ends=True)
        assert server.connection_count == 0 and server.reading_bytes == 0
        return answer, caller.elapsed_s, after

    answer, elapsed_s, after = trio.run(main, clock=MockClock(autojump_threshold=0))
    assert answers(after) == [(200, b"hello")]
    assert elapsed_s <= LONGEST_S * (1 + b"".join(pieces).count(b"HTTP/1.1"))
    found = answers(answer)
    assert found or not b"".join(pieces).strip()
    for status, body in found:
        if status != 200:
            error = json.loads(body)["error"]
            assert (status, error["type"]) in DOCUMENTED
            assert error["outcome"] == "not-run"
    return [status for status, _ in found]


@given(st.lists(st.binary(max_size=300), max_size=5), st.booleans())
def test_random_bytes(pieces: list[bytes], ends: bool) -> None:
    check(pieces, ends=ends)


HEADER_LINES = st.sampled_from(
    [
        b"Host: x",
        b"Host: y",
        b"Content-Length: 5",
        b"Content-Length: 00005",
        b"Content-Length: -1",
        b"Content-Length: 99999999999999999999999",
        b"Content-Length: 4, 5",
        b"Transfer-Encoding: chunked",
        b"Transfer-Encoding: gzip, chunked",
        b"Connection: close",
        b"Expect: 100-continue",
        b"Upgrade: h2c",
        b" folded",
        b"No-Colon",
        b"Sp ace: 1",
        b"X: \x00",
        b"X: \xff",
        b"X-Long: " + b"y" * 600,
        b": empty",
    ]
)
REQUEST_LINES = st.sampled_from(
    [
        b"GET / HTTP/1.1",
        b"POST /a HTTP/1.1",
        b"HEAD / HTTP/1.1",
        b"CONNECT x:1 HTTP/1.1",
        b"PRI * HTTP/2.0",
        b"GET / HTTP/1.0",
        b"GET /" + b"a" * 900 + b" HTTP/1.1",
        b"GET / HTTP/9.9",
        b"GET  / HTTP/1.1",
        b"get \xff HTTP/1.1",
        b"",
    ]
)
BODIES = st.sampled_from(
    [
        b"",
        b"hello",
        b"5\r\nhello\r\n0\r\n\r\n",
        b"5\r\nhel",
        b"zz\r\n",
        b"ffffffffffffffffff\r\n",
        b"5;ext=1\r\nhello\r\n0\r\nTrailer: 1\r\n\r\n",
        b"c8\r\n" + b"b" * 200 + b"\r\n1\r\nb\r\n0\r\n\r\n",
        VALID_REQUEST,
    ]
)


@given(REQUEST_LINES, st.lists(HEADER_LINES, max_size=6), BODIES, st.booleans())
@settings(max_examples=300)
@example(
    b"POST /a HTTP/1.1",
    [b"Host: x", b"Transfer-Encoding: chunked"],
    b"c8\r\n" + b"b" * 200 + b"\r\n1\r\nb\r\n0\r\n\r\n",
    False,
)
def test_requests_of_malformed_parts(
    line: bytes, headers: list[bytes], body: bytes, ends: bool
) -> None:
    check([b"\r\n".join([line, *headers, b"", body])], ends=ends)


@given(st.integers(0, len(VALID_REQUEST) - 1), st.booleans())
def test_a_truncated_request_never_reaches_the_handler(cut: int, ends: bool) -> None:
    statuses = check([VALID_REQUEST[:cut]], ends=ends)
    assert 200 not in statuses
    if cut > 0:
        assert statuses == [400 if ends else 408]


@given(st.integers(1, 40), st.floats(0.01, 5.0))
@example(1, 5.0)
def test_a_slowly_sent_request_is_served_in_time_or_timed_out(
    piece_bytes: int, pause_s: float
) -> None:
    pieces = [VALID_REQUEST[i : i + piece_bytes] for i in range(0, len(VALID_REQUEST), piece_bytes)]
    statuses = check(pieces, pause_s=pause_s, ends=False)
    assert statuses[0] in (200, 408)
    header_pieces = -(-(len(VALID_REQUEST) - 5) // piece_bytes)
    if (header_pieces - 1) * pause_s > SETTINGS.header_timeout_s + pause_s:
        assert statuses[0] == 408


@given(st.integers(0, 5_000), st.integers(0, 1_000))
def test_oversized_headers_and_bodies(header_bytes: int, body_bytes: int) -> None:
    head = b"POST / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * header_bytes
    body = b"\r\nContent-Length: %d\r\n\r\n" % body_bytes + b"z" * body_bytes
    statuses = check([head, body], ends=False)
    if header_bytes > SETTINGS.max_header_bytes:
        assert statuses == [431]
    elif body_bytes > SETTINGS.max_body_bytes and header_bytes < SETTINGS.max_header_bytes - 100:
        assert statuses == [413]
