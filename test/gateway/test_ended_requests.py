"""What is left of a request's body once the request has ended, by each way in which it can end.

A node runs the cyclic collector seldom, so that a body in a reference cycle stays for long. In one
process the collector is off, and every block of memory as large as a body is looked for, whoever
refers to it. A node in a process of its own is measured as its platform does.
"""

import gc
import itertools
import math
import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path

import pytest
import trio
from gateway_world import HOST, KEY, GatewayWorld, run_world
from raw_upstreams import RawRequest, RawUpstream, raw_world, reset
from test_lost_paths import call_for, cut_off, refuse
from unruly_crowds import MEMORY_MB, Node, ordinary_call, running_node

from lentilchute.gateway.node import GatewayNode
from lentilchute.http.client import ClientRequest, HttpAnswer, HttpClient
from lentilchute.http.messages import Headers, split_address
from lentilchute.ids import UpstreamId
from lentilchute.platform.headers import ATTEMPT_ID, NOT_EXECUTED

BODY = bytes(900_000)
LEAST_BYTES = 400_000
"""A block of this size or more holds a body, or the larger part of one."""
FREED_WITHIN_S = 4.0
"""Connections that are closed have lingered by then."""
LONG_S = 1.5
"""Work that is still under way when a test ends its request otherwise."""
DEADLINE_MS = 4_000
SHORT_DEADLINE_MS = 200
TOKENS = "400,60"

End = Callable[[GatewayWorld], Awaitable[None]]
"""Sends requests with a large body, and sees to it that they end in a certain way."""
ENDS: dict[str, End] = {}


def way_to_end(function: End) -> End:
    """Register a way, named after its function."""
    ENDS[function.__name__.replace("_", " ")] = function
    return function


def statuses(*answers: HttpAnswer | None) -> list[int]:
    """Return the statuses of answers, 0 for one that is broken."""
    return [0 if answer is None else answer.status for answer in answers]


_numbers = itertools.count()


def upload_request(
    path: str, tokens: str | None = None, deadline_ms: int = DEADLINE_MS
) -> ClientRequest:
    """Return a request with a large body."""
    headers: Headers = (
        ("host", HOST),
        (ATTEMPT_ID, f"upload-{next(_numbers)}"),
        ("lentilchute-key", KEY),
        ("lentilchute-deadline-ms", str(deadline_ms)),
    )
    if tokens is not None:
        headers += (("lentilchute-token-counts", tokens),)
    return ClientRequest("POST", path, headers, BODY)


async def call_once(address: str, request: ClientRequest) -> HttpAnswer | None:
    """Send a request on a connection of its own; return its answer, ``None`` if that is broken."""
    client = HttpClient(address)
    try:
        return (await client.call(request)).ok()
    finally:
        await client.aclose()


async def upload(
    world: GatewayWorld,
    path: str = "/book/1",
    tokens: str | None = None,
    deadline_ms: int = DEADLINE_MS,
) -> HttpAnswer | None:
    """Send a large body to the first node and return the answer."""
    return await call_once(world.nodes[0].callers, upload_request(path, tokens, deadline_ms))


def behave(world: GatewayWorld, **faults: object) -> None:
    """Let all upstreams behave in a certain way."""
    for upstream in world.upstreams.values():
        for name, value in faults.items():
            setattr(upstream.standin.behaviour, name, value)


@way_to_end
async def answer(world: GatewayWorld) -> None:
    assert statuses(await upload(world)) == [200]


@way_to_end
async def stream(world: GatewayWorld) -> None:
    assert statuses(await upload(world, "/drafts/1", TOKENS)) == [200]


@way_to_end
async def answers_on_a_kept_connection(world: GatewayWorld) -> None:
    client = HttpClient(world.nodes[0].callers)
    for _ in range(3):
        assert (await client.call(upload_request("/book/1"))).unwrap().status == 200
    assert client.idle_count == 1
    await trio.sleep(0.1)
    check_freed(world)
    await client.aclose()


@way_to_end
async def reset_without_an_answer(world: GatewayWorld) -> None:
    behave(world, drops_answer=True)
    assert statuses(await upload(world)) == [502]


@way_to_end
async def error_of_the_upstream(world: GatewayWorld) -> None:
    behave(world, status=500)
    assert statuses(await upload(world)) == [500]


@way_to_end
async def answer_of_nobody(world: GatewayWorld) -> None:
    behave(world, omits_signature=True)
    assert statuses(await upload(world)) == [502]


@way_to_end
async def refusal_by_all_upstreams(world: GatewayWorld) -> None:
    behave(world, sheds=True)
    assert statuses(await upload(world)) == [503]


@way_to_end
async def upstream_that_cannot_be_reached(world: GatewayWorld) -> None:
    world.upstreams["a0"].scope.cancel()
    world.upstreams["a1"].scope.cancel()
    await trio.sleep(0.1)
    assert statuses(await upload(world))[0] in (502, 503)


@way_to_end
async def retry_of_a_plain_request(world: GatewayWorld) -> None:
    world.upstreams["a0"].standin.behaviour.drops_answer = True
    broken = world.upstreams["a0"].standin
    while not broken.received:
        assert statuses(await upload(world, "/view/1")) == [200]


@way_to_end
async def retry_of_a_stream(world: GatewayWorld) -> None:
    behave(world, aborts_after_event=2)
    assert statuses(await upload(world, "/drafts/1", TOKENS)) == [200]
    received = [world.upstreams[name].standin.received for name in ("d0", "d1")]
    assert all(received), "it went on elsewhere"


@way_to_end
async def deadline_before_the_answer(world: GatewayWorld) -> None:
    behave(world, plain_s=LONG_S)
    assert statuses(await upload(world, deadline_ms=800)) == [504]


@way_to_end
async def deadline_in_a_stream(world: GatewayWorld) -> None:
    behave(world, stalls_after_event=2)
    assert statuses(await upload(world, "/drafts/1", TOKENS, 1_500)) == [0]


@way_to_end
async def caller_that_leaves(world: GatewayWorld) -> None:
    behave(world, plain_s=LONG_S, first_event_s=LONG_S)
    for path, tokens in (("/book/1", None), ("/drafts/1", TOKENS)):
        with trio.move_on_after(0.4) as scope:
            await upload(world, path, tokens)
        assert scope.cancelled_caught


@way_to_end
async def caller_that_leaves_before_its_request_is_whole(world: GatewayWorld) -> None:
    connection = await trio.open_tcp_stream(*split_address(world.nodes[0].callers))
    head = f"POST /book/1 HTTP/1.1\r\nhost: {HOST}\r\nlentilchute-key: {KEY}\r\n"
    await connection.send_all(f"{head}content-length: {len(BODY)}\r\n\r\n".encode())
    await connection.send_all(memoryview(BODY)[: len(BODY) - 1])
    await trio.sleep(0.2)
    await connection.aclose()


async def send_body(world: GatewayWorld, *chunks: bytes) -> bytes:
    """Send a body in chunks as they are given; return the first line of the answer."""
    connection = await trio.open_tcp_stream(*split_address(world.nodes[0].callers))
    head = f"POST /book/1 HTTP/1.1\r\nhost: {HOST}\r\nlentilchute-key: {KEY}\r\n"
    async with connection:
        await connection.send_all(f"{head}transfer-encoding: chunked\r\n\r\n".encode())
        for chunk in chunks:
            await connection.send_all(chunk)
        return (await connection.receive_some(65_536)).partition(b"\r\n")[0]


@way_to_end
async def body_that_breaks_off_in_no_chunk(world: GatewayWorld) -> None:
    chunk = b"%x\r\n%b\r\n" % (len(BODY), BODY)
    assert b" 400 " in await send_body(world, chunk, b"no chunk\r\n")


@way_to_end
async def body_beyond_the_limit(world: GatewayWorld) -> None:
    chunk = b"%x\r\n%b\r\n" % (len(BODY), BODY)
    assert b" 413 " in await send_body(world, chunk, chunk)


@way_to_end
async def path_through_a_peer(world: GatewayWorld) -> None:
    await cut_off(world, [0], refuse)
    await call_for(world, "bookings", 0.5)
    assert world.nodes[0].node.context.path_health.is_cut_off
    assert statuses(await upload(world)) == [200]
    assert statuses(await upload(world, "/drafts/1", TOKENS)) == [200]
    behave(world, drops_answer=True)
    assert statuses(await upload(world)) == [502]


@way_to_end
async def caller_that_leaves_a_path_through_a_peer(world: GatewayWorld) -> None:
    await cut_off(world, [0], refuse)
    await call_for(world, "bookings", 0.5)
    behave(world, plain_s=LONG_S)
    with trio.move_on_after(0.5) as scope:
        await upload(world)
    assert scope.cancelled_caught


@way_to_end
async def refusals_by_the_node(world: GatewayWorld) -> None:
    assert statuses(await upload(world, "/nowhere/1")) == [404]
    context = world.nodes[0].node.context
    room_bytes, context.memory.room_bytes = context.memory.room_bytes, 1.0
    assert statuses(await upload(world)) == [503]
    context.memory.room_bytes = room_bytes
    world.list_upstream("a0", state="draining")
    world.list_upstream("a1", state="draining")
    await world.until(lambda: not context.fleet.takes_work(UpstreamId("a1"), 1, context.now_s()))
    assert statuses(await upload(world)) == [503]


@way_to_end
async def waiting_until_the_node_refuses(world: GatewayWorld) -> None:
    behave(world, plain_s=LONG_S)
    answers: list[HttpAnswer | None] = []

    async def send() -> None:
        answers.append(await upload(world))

    async with trio.open_nursery() as nursery:
        for _ in range(20):
            nursery.start_soon(send)
    assert 503 in statuses(*answers)
    answers.clear()


@way_to_end
async def planned_stop(world: GatewayWorld) -> None:
    behave(world, plain_s=30.0)
    answers: list[HttpAnswer | None] = []

    async def send() -> None:
        answers.append(await upload(world))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        await world.until(lambda: any(each.standin.running for each in world.upstreams.values()))
        world.nodes[0].node.stop()
    assert statuses(*answers) == [504]


@way_to_end
async def kill_of_the_node(world: GatewayWorld) -> None:
    behave(world, plain_s=LONG_S)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(upload, world)
        await trio.sleep(0.3)
        world.nodes[0].scope.cancel()
    world.nodes[0].node = GatewayNode(world.nodes[0].settings)


@way_to_end
async def failure_of_the_node_itself(world: GatewayWorld) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError("a defect")

    world.nodes[0].node.context.placements.may_send = fail  # type: ignore[method-assign]
    assert statuses(await upload(world)) == [500]


@contextmanager
def without_collector() -> Iterator[None]:
    """Leave cycles where they are, and trace what is allocated."""
    gc.collect()
    gc.disable()
    tracemalloc.start(8)
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


def held_blocks(world: GatewayWorld) -> list[tracemalloc.Trace]:
    """Return the blocks as large as a body, but for those that stand-ins keep on purpose."""
    for upstream in world.upstreams.values():
        upstream.standin.received.clear()
    traces = tracemalloc.take_snapshot().traces
    return [trace for trace in traces if trace.size >= LEAST_BYTES]


def check_freed(world: GatewayWorld) -> None:
    """Check that no block is left, and say where the first one came from."""
    held = held_blocks(world)
    place = "\n".join(held[0].traceback.format()) if held else ""
    assert not held, f"{len(held)} bodies are left, the first one allocated at\n{place}"


@pytest.mark.parametrize("way", ENDS)
def test_the_body_of_a_request_goes_with_it(way: str) -> None:
    """Guards against bodies that reference cycles keep after their requests have ended."""

    async def scenario(world: GatewayWorld) -> None:
        with without_collector():
            await ENDS[way](world)
            with trio.move_on_after(FREED_WITHIN_S):
                while held_blocks(world):  # noqa: ASYNC110
                    await trio.sleep(0.2)
            check_freed(world)

    run_world(scenario, nodes=2)


CALLER_LEAVES_S = 0.15
RECOVERY_S = 2.0
"""A node sends on to an upstream that has refused much before."""
UPLOADS = 80
"""So many bodies are larger together than the node's memory."""


async def answer_soundly(stream: trio.SocketStream, request: RawRequest) -> None:
    await _take_body(stream)
    await stream.send_all(request.sound)


async def answer_early_and_reset(stream: trio.SocketStream, request: RawRequest) -> None:
    await stream.send_all(request.sound)
    reset(stream)


async def reset_unanswered(stream: trio.SocketStream, _request: RawRequest) -> None:
    await _take_body(stream)
    reset(stream)


async def answer_never(stream: trio.SocketStream, _request: RawRequest) -> None:
    await _take_body(stream)
    await trio.sleep(LONG_S)


async def refuse_unexecuted(stream: trio.SocketStream, request: RawRequest) -> None:
    await _take_body(stream)
    fields = f"{NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n".encode()
    await stream.send_all(b"HTTP/1.1 503 Busy\r\n%b%b" % (request.signed, fields))


async def _take_body(stream: trio.SocketStream) -> None:
    """Read the rest of a body, of which the first few kB may have come with the head."""
    with trio.move_on_after(0.05) as scope:
        while await stream.receive_some(1_000_000):
            scope.deadline = trio.current_time() + 0.02


ANSWERS = {
    "answered": (answer_soundly, {200}),
    "answered early": (answer_early_and_reset, {200, 502, 0}),
    "reset": (reset_unanswered, {502, 503}),
    "timed out": (answer_never, {504, 503}),
    "refused": (refuse_unexecuted, {503}),
    "caller gone": (answer_never, {0}),
}


@asynccontextmanager
async def measured_node(upstream: RawUpstream, directory: Path) -> AsyncIterator[Node]:
    """Yield a node in a process of its own whose memory is sampled."""
    async with (
        raw_world(agenda=upstream) as world,
        running_node(world, directory) as node,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(node.sample)
        yield node
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("way", ANSWERS)
def test_uploads_one_after_another_do_not_fill_a_node(way: str, tmp_path: Path) -> None:
    """Guards against a node that is killed over its memory though all its requests have ended."""
    answer_to, expected = ANSWERS[way]

    async def answer_some(stream: trio.SocketStream, request: RawRequest) -> None:
        handle = answer_soundly if request.path.endswith("sound") else answer_to
        await handle(stream, request)

    async def upload_to(node: Node) -> int:
        deadline_ms = SHORT_DEADLINE_MS if way == "timed out" else DEADLINE_MS
        answer = None
        with trio.move_on_after(CALLER_LEAVES_S if way == "caller gone" else math.inf):
            answer = await call_once(node.callers, upload_request("/book/1", None, deadline_ms))
        return statuses(answer)[0]

    async def main() -> None:
        async with measured_node(RawUpstream(answer_some), tmp_path) as node:
            found = {await upload_to(node) for _ in range(UPLOADS)}
            await trio.sleep(RECOVERY_S)
            sound = await ordinary_call(node.callers, ClientRequest("GET", "/view/sound"))
            print(f"{way}: {node.peak_mb:.0f} MB, {found}")
            assert found <= expected
            assert node.process.poll() is None, "the node lives"
            assert node.peak_mb <= MEMORY_MB
            assert statuses(sound) == [200]

    trio.run(main)
