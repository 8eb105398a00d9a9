"""Streams without length or chunks, which end with their connection."""

import trio
from gateway_samples import upstream_row
from gateway_world import GatewayWorld, run_world

from lentilchute.http.messages import join_address
from lentilchute.platform import rows
from lentilchute.standins.routed_upstream import event

DRAFT = {"method": "POST", "tokens": "1000,60", "body": b"prompt"}
WHOLE = b"".join(event(number) for number in range(1, 6))
CRASHING_PART = "bad0bad0"


class UnframedUpstream:
    """Answers each request with the same bytes of a stream, then closes the connection."""

    def __init__(self, stream: bytes, *, crashes: bool = False) -> None:
        self._stream = stream
        self._crashes = crashes
        self.requests = 0
        self._scope = trio.CancelScope()

    async def open(self, world: GatewayWorld, nursery: trio.Nursery, name: str) -> None:
        """Serve, and register in the store as the only upstream of its service."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")

        async def run() -> None:
            with self._scope:
                await trio.serve_listeners(self._serve, listeners)

        nursery.start_soon(run)
        address = join_address(*listeners[0].socket.getsockname()[:2])
        row = upstream_row("drafters", address)
        world.store.state.put(rows.UPSTREAMS_TABLE, name, row)

        def is_listed() -> bool:
            fleets = [node.node.context.fleet for node in world.nodes]
            return all(fleet.listing(name) is not None for fleet in fleets)  # type: ignore[arg-type]

        await world.until(is_listed)

    async def _serve(self, stream: trio.SocketStream) -> None:
        request = bytes(await stream.receive_some())
        if not request:
            # A node only checks whether the upstream is there.
            return
        self.requests += 1
        lines = request.split(b"\r\n")
        attempt = next(line for line in lines if line.lower().startswith(b"lentilchute-attempt-id"))
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s\r\n"
            b"Lentilchute-Engine-Stamp: signed.x\r\n\r\n" % attempt + self._stream
        )
        if self._crashes:
            self._scope.cancel()


def test_a_stream_that_ends_with_its_connection_is_whole() -> None:
    async def scenario(world: GatewayWorld) -> None:
        async with trio.open_nursery() as nursery:
            await UnframedUpstream(WHOLE).open(world, nursery, "u0")
            answer = await world.call("/drafts/1", **DRAFT)
            assert answer is not None and answer.body == WHOLE
            nursery.cancel_scope.cancel()

    run_world(scenario, drafters=0, nodes=1)


def test_a_stream_that_ends_inside_an_event_is_taken_up_elsewhere() -> None:
    async def scenario(world: GatewayWorld) -> None:
        async with trio.open_nursery() as nursery:
            cut = UnframedUpstream(WHOLE[:-3])
            await cut.open(world, nursery, "u0")
            while not cut.requests:
                answer = await world.call("/drafts/1", **DRAFT)
                assert answer is not None and answer.body == WHOLE
            nursery.cancel_scope.cancel()

    run_world(scenario, drafters=1, nodes=1)


def test_a_crash_that_ends_an_unframed_stream_is_noticed() -> None:
    """Guards against prompts whose crashes go unnoticed since the connection ends as it does after
    a whole answer."""

    async def scenario(world: GatewayWorld) -> None:
        guard = world.nodes[0].node.context.prompt_part_guard
        async with trio.open_nursery() as nursery:
            for number, sent in enumerate((b"", b"id: 1\nda", b"id: 1\nda")):
                name = f"u{number}"
                await UnframedUpstream(sent, crashes=True).open(world, nursery, name)
                prompt = (("lentilchute-prompt-prefix", f"{CRASHING_PART}:60,{number}:200"),)
                answer = await world.call(f"/drafts/{number}", headers=prompt, **DRAFT)
                assert answer is None or answer.status == 502
                await trio.sleep(0.3)
                world.store.state.put(rows.UPSTREAMS_TABLE, name, None)
            nursery.cancel_scope.cancel()
        assert guard.blocked_count(trio.current_time()) == 1

    run_world(scenario, drafters=0, nodes=1)
