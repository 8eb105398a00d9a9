"""Upstreams in trouble that send bytes without end, in a head or a body."""

import itertools
from contextlib import ExitStack

import pytest
import trio
from gateway_samples import upstream_row
from gateway_world import GatewayWorld, run_world

from lentilchute.gateway.answer_memory import (
    MAX_ANSWER_BYTES,
    MAX_BUFFERED_BYTES,
    SMALL_ANSWER_BYTES,
    AnswerMemory,
)
from lentilchute.http.messages import join_address
from lentilchute.platform import rows

MAX_SENT_BYTES = 32 * 1024 * 1024
"""Far above an answer's bound and what sockets hold, far below what a loopback link carries in the
time of a request."""
ENDS_WITHIN_S = 1.0
"""Half of the route's timeout: the request is given up by what came, not by its deadline."""

SIGNED_HEAD = (
    b"HTTP/1.1 200 OK\r\nLentilchute-Attempt-Id: %s\r\nLentilchute-Engine-Stamp: signed.x\r\n"
)
CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
ENDLESS = {
    "garbage in place of a head": (b"", b"x" * 4_096),
    "lines of a head": (b"HTTP/1.1 200 OK\r\n", b"X-Padding: more and more\r\n" * 100),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "a body in chunks": (SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "a body that ends with its connection": (SIGNED_HEAD + b"\r\n", b"x" * 0x4000),
}


class EndlessUpstream:
    """Sends a start and then the same bytes until its caller closes the connection."""

    def __init__(self, start: bytes, rest: bytes) -> None:
        self.sent_bytes: list[int] = []
        self._start = start
        self._rest = rest

    async def serve(self, stream: trio.SocketStream) -> None:
        request = bytes(await stream.receive_some())
        lines = request.split(b"\r\n")
        attempt = next(line for line in lines if line.lower().startswith(b"lentilchute-attempt-id"))
        index = len(self.sent_bytes)
        self.sent_bytes.append(0)
        start = self._start
        if b"%s" in start:
            start %= attempt.partition(b": ")[2]
        try:
            for part in itertools.chain((start,), itertools.repeat(self._rest)):
                await stream.send_all(part)
                self.sent_bytes[index] += len(part)
        except trio.BrokenResourceError:
            return


async def list_endless_upstream(
    world: GatewayWorld, nursery: trio.Nursery, kind: str
) -> EndlessUpstream:
    """List an endless upstream in place of the only one of its service."""
    name = "a0"
    endless = EndlessUpstream(*ENDLESS[kind])
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, endless.serve, listeners)
    address = join_address(*listeners[0].socket.getsockname()[:2])
    world.store.state.put(rows.UPSTREAMS_TABLE, name, upstream_row("agenda", address, started_ms=2))
    for node in world.nodes:
        fleet = node.node.context.fleet

        def is_listed() -> bool:
            listing = fleet.listing(name)  # type: ignore[arg-type]  # noqa: B023
            return listing is not None and listing.address == address

        await world.until(is_listed)
    return endless


@pytest.mark.parametrize("path", ["/view/1", "/book/1"])
@pytest.mark.parametrize("kind", ENDLESS)
def test_bytes_without_end_cost_their_request_only(kind: str, path: str) -> None:
    """Guards against an upstream that never stops sending holding a request, memory or the loop."""

    async def scenario(world: GatewayWorld) -> None:
        async with trio.open_nursery() as nursery:
            endless = await list_endless_upstream(world, nursery, kind)
            started_s = trio.current_time()
            answer = await world.call(path, method="POST" if "book" in path else "GET")
            assert answer is None or answer.status in (502, 504)
            assert trio.current_time() - started_s < ENDS_WITHIN_S
            assert max(endless.sent_bytes) <= MAX_SENT_BYTES
            nursery.cancel_scope.cancel()

    run_world(scenario, agendas=1, nodes=1)


def test_bytes_without_end_do_not_fill_the_memory() -> None:
    """Guards against bodies that each stay below the bound of an answer, but not all together."""
    memory = AnswerMemory()
    part = b"x" * 0x4000
    with ExitStack() as buffers:
        endless = [buffers.enter_context(memory.buffer()) for _ in range(20)]
        has_room = True
        while has_room:
            has_room = any(buffer.add(part) for buffer in endless)
            assert memory.held_bytes <= MAX_BUFFERED_BYTES + len(endless) * SMALL_ANSWER_BYTES
        with memory.buffer() as sound:
            assert sound.add(b"y" * SMALL_ANSWER_BYTES), "a small answer has room"
            assert not sound.add(b"y")
    assert memory.held_bytes == 0
    with memory.buffer() as large:
        assert large.add(b"z" * MAX_ANSWER_BYTES)
        assert not large.add(b"z")
