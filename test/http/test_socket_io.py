"""Tests of reads and writes without trio's scheduling, on real sockets."""

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from lentilchute.http.socket_io import read_some, write_now

Scenario = Callable[[trio.SocketStream, trio.SocketStream], Awaitable[None]]


def _run(scenario: Scenario) -> None:
    async def main() -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        client = await trio.open_tcp_stream(*listener.socket.getsockname()[:2])
        server = await listener.accept()
        with trio.fail_after(5):
            await scenario(client, server)

    trio.run(main)


def test_bytes_written_at_once_are_read() -> None:
    async def scenario(client: trio.SocketStream, server: trio.SocketStream) -> None:
        assert write_now(client, b"deed") == 4
        assert await read_some(server, 100) == b"deed"

    _run(scenario)


def test_a_full_buffer_takes_a_part_and_then_nothing() -> None:
    async def scenario(client: trio.SocketStream, server: trio.SocketStream) -> None:
        data = bytes(1024 * 1024)
        # The kernel moves bytes to the peer's buffer meanwhile, so several writes fit.
        written = [write_now(client, data) for _ in range(1_000)]
        assert 0 < written[0] <= len(data)
        assert written[-1] == 0

    _run(scenario)


def test_the_end_of_the_stream_is_an_empty_read() -> None:
    async def scenario(client: trio.SocketStream, server: trio.SocketStream) -> None:
        await client.aclose()
        assert await read_some(server, 100) == b""

    _run(scenario)


def test_a_closed_socket_raises_on_both_sides() -> None:
    async def scenario(client: trio.SocketStream, server: trio.SocketStream) -> None:
        await client.aclose()
        with pytest.raises(trio.ClosedResourceError):
            write_now(client, b"x")
        with pytest.raises(trio.ClosedResourceError):
            await read_some(client, 1)
        write_now(server, b"x")
        with pytest.raises(trio.BrokenResourceError):
            for _ in range(1_000):
                write_now(server, b"x")
                await trio.sleep(0.001)

    _run(scenario)


def test_closing_wakes_a_reader() -> None:
    async def scenario(client: trio.SocketStream, server: trio.SocketStream) -> None:
        async with trio.open_nursery() as nursery:

            async def read() -> None:
                with pytest.raises(trio.ClosedResourceError):
                    await read_some(server, 1)

            nursery.start_soon(read)
            await trio.testing.wait_all_tasks_blocked()
            await server.aclose()

    _run(scenario)


def test_a_read_can_be_cancelled_without_losing_bytes() -> None:
    async def scenario(client: trio.SocketStream, server: trio.SocketStream) -> None:
        with trio.move_on_after(0.01):
            await read_some(server, 1)
        write_now(client, b"later")
        assert await read_some(server, 100) == b"later"

    _run(scenario)
