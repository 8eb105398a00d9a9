"""Crowds of callers that don't behave, and a node in a process of its own that has to bear them.

A crowd is a way of sending. Each of its members connects, sends, reads no answer, keeps its
connection until the node closes it, and begins again.
"""

import json
import os
import random
import resource
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import trio
from gateway_samples import config_row, upstream_row
from gateway_world import HOST, KEY, GatewayWorld, node_settings
from processes import ROOT
from result import Err

from lentilchute.gateway.settings import GatewaySettings
from lentilchute.http.client import ClientRequest, HttpAnswer, HttpClient, HttpClientSettings
from lentilchute.http.messages import Headers, header_value, join_address, split_address
from lentilchute.http.requests import HttpRequest
from lentilchute.http.responder import Responder
from lentilchute.http.server import open_listeners
from lentilchute.platform import headers as names
from lentilchute.platform import rows
from lentilchute.platform.endpoints import READY_PATH
from lentilchute.standins.routed_upstream import RoutedUpstream

MEMORY_MB = 100
"""Of the node's machine."""
MAX_DESCRIPTORS = 400
"""Of the node's process."""
USABLE_DESCRIPTORS = 0.9
"""The rest is left for connections to upstreams, peers and the store."""
MAX_BODY_BYTES = 1_000_000
MAX_HEADER_BYTES = 16_384
PRESSURE_S = 6.0
"""Longer than a caller that takes or sends nothing takes to be found dead."""
HOLD_S = 1.0
"""How long the upstream takes over a request whose path ends in ``hold``."""
AGAIN_AFTER_S = 0.05
SAMPLE_INTERVAL_S = 0.02
TRIES = 3
"""An ordinary caller comes back as it is told, so often at most."""
ANSWER_BYTES = 1_000_000

USUAL_HEAD = f"host: {HOST}\r\nlentilchute-key: {KEY}\r\n"
"""What a request needs to be served at all; it has no id, no deadline and no token counts."""


class Upstream(RoutedUpstream):
    """Answers late on paths that end in ``hold`` and large on those that end in ``large``."""

    async def _run(self, request: HttpRequest, responder: Responder, attempt: str) -> None:
        if request.path.endswith("hold"):
            await trio.sleep(HOLD_S)
        if request.path.endswith("large"):
            await responder.answer(200, self._signature(attempt), bytes(ANSWER_BYTES))
            return
        await super()._run(request, responder, attempt)


@dataclass
class Node:
    """The process."""

    settings: GatewaySettings
    process: subprocess.Popen[bytes]
    memory_mb: int
    max_descriptors: int
    peak_mb: float = 0.0
    """Most memory that it has had resident, with what waited in its sockets at the time."""
    most_descriptors: int = 0

    @property
    def callers(self) -> str:
        """Address for callers."""
        return self.settings.listen.callers

    async def sample(self) -> None:
        """Measure the process at intervals until cancelled."""
        while True:
            self.measure()
            await trio.sleep(SAMPLE_INTERVAL_S)

    def measure(self) -> None:
        """Bring the peaks up to date."""
        waiting_mb = unread_bytes(self.settings) / 1e6
        self.peak_mb = max(self.peak_mb, self._memory_mb("VmRSS") + waiting_mb)
        self.peak_mb = max(self.peak_mb, self._memory_mb("VmHWM"))
        descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        self.most_descriptors = max(self.most_descriptors, descriptors)

    def _memory_mb(self, name: str) -> float:
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        line = next(line for line in status.splitlines() if line.startswith(name))
        return int(line.split()[1]) * 1_024 / 1e6


def unread_bytes(settings: GatewaySettings) -> int:
    """Return how many bytes wait in the kernel's queues of a node's connections: what it has not
    read, and what has not been taken from it."""
    listen = settings.listen
    addresses = (listen.callers, listen.readiness, listen.directory, listen.metrics)
    ports = {f"{split_address(address)[1]:04X}" for address in addresses}
    waiting = 0
    for line in Path("/proc/net/tcp").read_text(encoding="utf-8").splitlines()[1:]:
        _, local, _, state, queues = line.split()[:5]
        if local.rpartition(":")[2] in ports and state != "0A":
            waiting += sum(int(size, 16) for size in queues.split(":"))
    return waiting


@asynccontextmanager
async def unruly_world() -> AsyncIterator[GatewayWorld]:
    """Yield a world without nodes, with an upstream for each service that takes what it gets."""
    async with trio.open_nursery() as nursery:
        world = GatewayWorld(nursery)
        await world.open(nodes=0, drafters=0, agendas=0)
        for name, service in (("d0", "drafters"), ("a0", "agenda")):
            listeners = await open_listeners("127.0.0.1:0")
            await nursery.start(Upstream(name).server().serve, listeners)
            address = join_address(*listeners[0].socket.getsockname()[:2])
            row = upstream_row(service, address, slots=400)
            world.store.state.put(rows.UPSTREAMS_TABLE, name, row)
        config = json.loads(config_row(version=8))
        config["tenants"][0] |= {"rate-per-s": 1e9, "burst": 1e9}
        for route in config["routes"]:
            route["timeout-ms"] = 30_000
        config["services"][0]["engine"] |= {"slots": 400, "kv-tokens": 10**9}
        assert config["limits"]["max-body-bytes"] == MAX_BODY_BYTES
        assert config["limits"]["max-header-bytes"] == MAX_HEADER_BYTES
        world.store.state.put(rows.CONFIG_TABLE, rows.CONFIG_KEY, json.dumps(config).encode())
        yield world
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def running_node(
    world: GatewayWorld,
    directory: Path,
    memory_mb: int = MEMORY_MB,
    max_descriptors: int = MAX_DESCRIPTORS,
    more_settings: str = "",
) -> AsyncIterator[Node]:
    """Yield a node of a world, in a process of its own with little memory and few descriptors."""
    text = f"machine:\n  memory_mb: {memory_mb}\n{more_settings}"
    settings = node_settings("node-0", world.store_address, text)
    path, log = directory / "node.yaml", directory / "node.log"
    path.write_text(json.dumps(settings.model_dump(mode="json", exclude_none=True)))
    with log.open("wb") as output:
        process = subprocess.Popen(  # noqa: ASYNC220
            [sys.executable, "-m", "lentilchute.gateway"],
            cwd=ROOT,
            stdout=output,
            stderr=output,
            env={**os.environ, "LENTILCHUTE_CONFIG": str(path)},
        )
    limits = (max_descriptors, max_descriptors)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
    try:
        await _until_ready(settings.listen.readiness)
        yield Node(settings, process, memory_mb, max_descriptors)
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


async def _until_ready(address: str) -> None:
    client = HttpClient(address, HttpClientSettings())
    with trio.fail_after(30):
        while True:
            answer = await client.call(ClientRequest("GET", READY_PATH))
            if answer.is_ok() and answer.ok_value.status == 200:
                break
            await trio.sleep(0.05)
    await client.aclose()


async def ordinary_call(address: str, request: ClientRequest) -> HttpAnswer | None:
    """Return the answer to a request whose caller comes back as it is told, or ``None``."""
    for number in range(TRIES):
        client = HttpClient(address, HttpClientSettings())
        headers = (*caller_headers(f"ordinary-{number}"), *request.headers)
        answer = await client.call(
            ClientRequest(request.method, request.path, headers, request.body)
        )
        await client.aclose()
        pause_s = 0.5
        if not isinstance(answer, Err):
            if answer.ok_value.status not in (408, 429, 503):
                return answer.ok_value
            pause_s = float(header_value(answer.ok_value.headers, "retry-after") or pause_s)
        await trio.sleep(pause_s)
    return None


def caller_headers(attempt: str) -> Headers:
    """Return the headers that all callers of the platform send."""
    return (
        ("host", HOST),
        (names.ATTEMPT_ID, attempt),
        ("lentilchute-key", KEY),
        ("lentilchute-deadline-ms", "15000"),
    )


Send = Callable[[trio.SocketStream], Awaitable[None]]


@dataclass(frozen=True)
class Crowd:
    """How many callers send what, and to which of a node's addresses."""

    members: int
    send: Send
    listener: str = "callers"
    pressure_s: float = PRESSURE_S

    async def run(self, settings: GatewaySettings) -> None:
        """Press a node until cancelled."""
        address = getattr(settings.listen, self.listener)
        async with trio.open_nursery() as nursery:
            for _ in range(self.members):
                nursery.start_soon(self._press, address)

    async def _press(self, address: str) -> None:
        while True:
            try:
                stream = await trio.open_tcp_stream(*split_address(address))
                async with stream:
                    await self.send(stream)
                    await _until_closed(stream)
            except* (OSError, trio.BrokenResourceError):
                pass
            await trio.sleep(AGAIN_AFTER_S)


async def _until_closed(stream: trio.SocketStream) -> None:
    """Wait without reading until the other side has reset the connection, or half-closed it."""
    while True:
        await trio.sleep(AGAIN_AFTER_S)
        info = stream.socket.getsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_INFO, 1)
        if info[0] != TCP_ESTABLISHED:
            return


TCP_ESTABLISHED = 1

CROWDS: dict[str, Crowd] = {}


def crowd(
    members: int, listener: str = "callers", pressure_s: float = PRESSURE_S
) -> Callable[[Send], Send]:
    """Register a crowd, named after the function that sends for each of its members."""

    def register(send: Send) -> Send:
        CROWDS[send.__name__.replace("_", " ")] = Crowd(members, send, listener, pressure_s)
        return send

    return register


async def _send_again(stream: trio.SocketStream, request: bytes, size: int) -> None:
    """Send a request again and again, some megabytes in all."""
    block = request * (1 + 65_536 // len(request))
    for _ in range(max(1, size // len(block))):
        await stream.send_all(block)


@crowd(24)
async def many_requests_ahead(stream: trio.SocketStream) -> None:
    await _send_again(stream, f"GET /view/1 HTTP/1.1\r\n{USUAL_HEAD}\r\n".encode(), 8_000_000)


@crowd(24)
async def many_requests_ahead_that_are_refused(stream: trio.SocketStream) -> None:
    await _send_again(stream, b"GET /view/1 HTTP/1.1\r\nhost: x\r\n\r\n", 8_000_000)


@crowd(24)
async def many_requests_ahead_with_bodies(stream: trio.SocketStream) -> None:
    body = bytes(MAX_BODY_BYTES)
    head = f"POST /drafts/hold HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
    await _send_again(stream, head.encode() + body, 16_000_000)


@crowd(60)
async def large_answers_unread(stream: trio.SocketStream) -> None:
    await _send_again(stream, f"GET /view/large HTTP/1.1\r\n{USUAL_HEAD}\r\n".encode(), 65_536)


def _post_head(framing: str) -> bytes:
    return f"POST /book/hold HTTP/1.1\r\n{USUAL_HEAD}{framing}\r\n\r\n".encode()


@crowd(80)
async def large_bodies(stream: trio.SocketStream) -> None:
    await stream.send_all(_post_head(f"content-length: {MAX_BODY_BYTES}") + bytes(MAX_BODY_BYTES))


@crowd(80)
async def large_bodies_short_of_their_end(stream: trio.SocketStream) -> None:
    await stream.send_all(_post_head(f"content-length: {MAX_BODY_BYTES}"))
    await stream.send_all(bytes(MAX_BODY_BYTES - 1))


@crowd(80)
async def large_bodies_in_pieces(stream: trio.SocketStream) -> None:
    piece = bytes(10_000)
    await stream.send_all(_post_head("transfer-encoding: chunked"))
    for _ in range(MAX_BODY_BYTES // len(piece)):
        await stream.send_all(b"%x\r\n%b\r\n" % (len(piece), piece))


@crowd(40, pressure_s=12.0)
async def bodies_in_tiny_pieces(stream: trio.SocketStream) -> None:
    await stream.send_all(_post_head("transfer-encoding: chunked"))
    await stream.send_all(b"2\r\nxx\r\n" * 200_000)


@crowd(300)
async def heads_of_many_fields(stream: trio.SocketStream) -> None:
    fields = b"a:\r\n" * ((MAX_HEADER_BYTES - 1_000) // 5)
    await stream.send_all(_post_head("content-length: 1000")[:-2] + fields + b"\r\n")


@crowd(300)
async def heads_short_of_their_end(stream: trio.SocketStream) -> None:
    await stream.send_all(_post_head("x: " + "x" * (MAX_HEADER_BYTES - 1_000))[:-1])


@crowd(800)
async def silent_connections(_stream: trio.SocketStream) -> None:
    pass


@crowd(80, listener="directory")
async def bodies_for_the_directory(stream: trio.SocketStream) -> None:
    await stream.send_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2000000\r\n\r\n")
    await stream.send_all(bytes(1_999_999))


@crowd(80, listener="readiness")
async def bodies_for_the_readiness_check(stream: trio.SocketStream) -> None:
    await stream.send_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2000000\r\n\r\n")
    await stream.send_all(bytes(1_999_999))


@crowd(8, pressure_s=40.0)
async def prompts_with_long_ids(stream: trio.SocketStream) -> None:
    """Send prompts of parts that nobody has named before, and read the answers."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_discard, stream)
        for _ in range(10_000):
            part = random.randbytes(MAX_HEADER_BYTES // 2 - 500).hex()
            fields = f"{names.TOKENS}: 20,20\r\n{names.PROMPT_PARTS}: {part}:10,a:10\r\n"
            head = f"POST /drafts/1 HTTP/1.1\r\n{USUAL_HEAD}{fields}content-length: 0\r\n\r\n"
            await stream.send_all(head.encode())
        nursery.cancel_scope.cancel()


async def _discard(stream: trio.SocketStream) -> None:
    while await stream.receive_some(65_536):
        pass
