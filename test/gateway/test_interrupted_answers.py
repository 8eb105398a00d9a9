"""Upstreams that stop within an answer, before a node in a process of its own.

What another upstream answers then is no part of the answer that has begun, unless it goes on with
it; and a head that stops is no head.
"""

import itertools
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import h11
import pytest
import trio
from raw_upstreams import RawRequest, RawUpstream, raw_world, reset
from unruly_crowds import caller_headers, running_node

from lentilchute.http.messages import split_address, to_wire
from lentilchute.standins.routed_upstream import event

BUDGET = "retries:\n  slack: 1000.0"
"""Each stream goes on once."""
BEGUN = event(1) + event(2)
ERROR = b"data: the engine has failed\n\n"
"""Text that would pass for an event."""
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def chunk(data: bytes) -> bytes:
    """Return data as a chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


Break = Callable[[trio.SocketStream], Awaitable[None]]
BREAKS: dict[str, Break] = {}


def way_to_break(function: Break) -> Break:
    """Register a way in which a stream breaks off, named after its function."""
    BREAKS[function.__name__.replace("_", " ")] = function
    return function


@way_to_break
async def reset_after_an_event(stream: trio.SocketStream) -> None:
    await trio.sleep(0.02)
    reset(stream)


@way_to_break
async def close_after_an_event(stream: trio.SocketStream) -> None:
    stream.socket.close()


@way_to_break
async def close_within_an_event(stream: trio.SocketStream) -> None:
    await stream.send_all(chunk(event(3)[:7]))
    stream.socket.close()


@way_to_break
async def close_within_a_chunk(stream: trio.SocketStream) -> None:
    await stream.send_all(chunk(event(3))[:9])
    stream.socket.close()


FRAMINGS = {
    "with a length": b"Content-Length: %d\r\n\r\n%%b" % len(ERROR),
    "in chunks": CHUNKED + b"\r\n%x\r\n%%b\r\n0\r\n\r\n" % len(ERROR),
    "until the end": b"Connection: close\r\n\r\n%b",
}
STATUSES = (302, 400, 404, 408, 421, 429, 500, 502, 503, 504)
ERRORS = {
    f"{status} {framing}": b"HTTP/1.1 %d Trouble\r\n{signed}" % status + rest % ERROR
    for status in STATUSES
    for framing, rest in FRAMINGS.items()
} | {
    "not executed": b"HTTP/1.1 503 Busy\r\n{signed}Lentilchute-Not-Executed: 1\r\n"
    + FRAMINGS["with a length"] % ERROR,
    "200 that nobody signed": b"HTTP/1.1 200 OK\r\n" + FRAMINGS["with a length"] % ERROR,
    "200 of another type": b"HTTP/1.1 200 OK\r\n{signed}Content-Type: text/plain\r\n"
    + FRAMINGS["with a length"] % ERROR,
    "200 of another type, in chunks": b"HTTP/1.1 200 OK\r\n{signed}Content-Type: text/html\r\n"
    + FRAMINGS["in chunks"] % ERROR,
    "200 that ends before its first event": b"HTTP/1.1 200 OK\r\n{signed}\r\n",
    "200 that stops within its length": b"HTTP/1.1 200 OK\r\n{signed}Content-Length: 99\r\n\r\n",
    "a part of a head": b"HTTP/1.1 500 Trouble\r\n{signed}",
    "text": ERROR,
    "nothing": b"",
}


class BreakingUpstream(RawUpstream):
    """Begins each stream, breaks it off, and answers whatever a table says when it is to go on."""

    def __init__(self) -> None:
        super().__init__(self._answer)
        self.sends: Counter[str] = Counter()

    async def _answer(self, stream: trio.SocketStream, request: RawRequest) -> None:
        name, way = request.path.split("/")[2:]
        self.sends[request.attempt] += 1
        if self.sends[request.attempt] == 1:
            head = b"HTTP/1.1 200 OK\r\n%bContent-Type: text/event-stream\r\n" % request.signed
            await stream.send_all(head + CHUNKED + b"\r\n" + chunk(BEGUN))
            await BREAKS[list(BREAKS)[int(way)]](stream)
            return
        await stream.send_all(ERRORS[list(ERRORS)[int(name)]].replace(b"{signed}", request.signed))
        stream.socket.close()


async def read_raw(address: str, path: str, attempt: str) -> tuple[int, bytes, bool]:
    """Call a node; return the status, all of the body, and whether it is whole."""
    http = h11.Connection(h11.CLIENT)
    headers = (*caller_headers(attempt), ("lentilchute-token-counts", "100,30"))
    request = h11.Request(
        method="POST", target=path, headers=to_wire((*headers, ("content-length", "0")))
    )
    status, body = 0, b""
    stream = await trio.open_tcp_stream(*split_address(address))
    async with stream:
        await stream.send_all((http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b""))
        while True:
            found = http.next_event()
            if found is h11.NEED_DATA:
                try:
                    http.receive_data(await stream.receive_some(65_536))
                    found = http.next_event()
                except (trio.BrokenResourceError, h11.RemoteProtocolError):
                    return status, body, False
            if isinstance(found, h11.Response):
                status = found.status_code
            elif isinstance(found, h11.Data):
                body += bytes(found.data)
            elif isinstance(found, h11.EndOfMessage):
                return status, body, True
            elif isinstance(found, h11.ConnectionClosed):
                return status, body, False


@pytest.mark.parametrize("way", BREAKS)
def test_an_error_is_no_part_of_a_stream_that_has_begun(way: str, tmp_path: Path) -> None:
    """Guards against callers who find an error of the next upstream within their stream, or get
    the stream as complete."""
    upstream = BreakingUpstream()
    got: dict[str, tuple[int, bytes, bool]] = {}

    async def main() -> None:
        async with (
            raw_world(drafters=upstream) as world,
            trio.open_nursery() as nursery,
        ):
            for number in range(2):
                await upstream.open(world, nursery, f"more-{number}", "drafters")
            async with running_node(world, tmp_path, 300, more_settings=BUDGET) as node:
                for number, name in enumerate(ERRORS):
                    path = f"/drafts/{number}/{list(BREAKS).index(way)}"
                    got[name] = await read_raw(node.callers, path, f"attempt-{number}")
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert set(upstream.sends.values()) == {2}, "streams go on at another upstream"
    wrong = {name: found for name, found in got.items() if found != (200, BEGUN, False)}
    assert not wrong, "\n".join(f"{name}: {found}" for name, found in wrong.items())


HEAD = b"HTTP/1.1 200 OK\r\n{signed}Content-Length: 5\r\n\r\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\r\n"
ENDS: dict[str, Callable[[trio.SocketStream], None]] = {
    "closed": lambda stream: stream.socket.close(),
    "reset": reset,
}


def parts_of(head: bytes) -> list[bytes]:
    """Return what a head may be when its upstream stops: around each line's end, and within."""
    ends = [place for place, byte in enumerate(head) if byte == ord("\n")]
    places = {place + more for place in ends for more in (-4, -1, 0, 1)}
    return [head[:place] for place in sorted({0, 1, 8, 12, *places}) if place < len(head)]


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("route", ["book", "view", "drafts"])
def test_a_head_that_stops_is_no_answer(route: str, end: str, tmp_path: Path) -> None:
    """Guards against an empty or short body framed as whole, after a head that has no end."""
    sent: list[bytes] = []

    async def answer(stream: trio.SocketStream, request: RawRequest) -> None:
        if request.path.endswith("sound"):
            await stream.send_all(request.sound)
            return
        head = STREAM_HEAD if route == "drafts" else HEAD
        parts = parts_of(head.replace(b"{signed}", request.signed))
        part = parts[int(request.path.rpartition("/")[2]) % len(parts)]
        sent.append(part)
        await stream.send_all(part)
        # What is sent at once with the reset would be dropped by the kernel.
        await trio.sleep(0.01)
        ENDS[end](stream)

    parts = len(parts_of(STREAM_HEAD if route == "drafts" else HEAD))
    got: dict[int, tuple[int, bytes, bool]] = {}

    async def main() -> None:
        upstream = RawUpstream(answer)
        services = {"drafters": upstream, "agenda": upstream}
        async with raw_world(**services) as world, running_node(world, tmp_path, 300) as node:
            for number, turn in itertools.product(range(parts + 4), range(2)):
                if turn and route != "drafts":
                    # The next request goes out on a kept connection.
                    await read_raw(node.callers, f"/{route}/sound", f"sound-{number}")
                attempt = f"attempt-{number}-{turn}"
                got[2 * number + turn] = await read_raw(node.callers, f"/{route}/{number}", attempt)

    trio.run(main)
    assert len(set(sent)) >= parts
    wrong = {number: found for number, found in got.items() if found[0] == 200 or not found[0]}
    assert not wrong, wrong
    assert {status for status, _, _ in got.values()} <= {502, 503, 504}
