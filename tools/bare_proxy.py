"""A proxy of the bare libraries, against which ``measure_gateway.py`` compares a node.

    .venv/bin/python tools/bare_proxy.py LISTEN UPSTREAM

It passes requests from LISTEN to UPSTREAM over kept connections, each body piece as it arrives, and
does nothing else: no placement, no check, no log line, no time limit.
"""

import sys
from collections.abc import Iterable, Sequence

import h11
import trio

from lentilchute.http.messages import READ_BYTES, split_address
from lentilchute.http.server import open_listeners

_HOP_BY_HOP = (b"connection", b"keep-alive")


async def next_event(http: h11.Connection, stream: trio.SocketStream) -> object:
    """Return the next event of a connection, reading as needed."""
    while (event := http.next_event()) is h11.NEED_DATA:
        http.receive_data(await stream.receive_some(READ_BYTES))
    return event


async def send(http: h11.Connection, stream: trio.SocketStream, events: Sequence[object]) -> None:
    """Write events with one call."""
    await stream.send_all(b"".join(http.send(event) or b"" for event in events))  # type: ignore[arg-type]


def without_hop_by_hop(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    return [(name, value) for name, value in headers if name not in _HOP_BY_HOP]


class BareProxy:
    """Serves callers on any number of connections, with a pool of connections to one upstream."""

    def __init__(self, upstream: str) -> None:
        self._upstream = split_address(upstream)
        self._idle: list[tuple[h11.Connection, trio.SocketStream]] = []

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection of a caller until it closes."""
        http = h11.Connection(h11.SERVER)
        try:
            while isinstance(request := await next_event(http, stream), h11.Request):
                parts: list[object] = [
                    h11.Request(
                        method=request.method,
                        target=request.target,
                        headers=without_hop_by_hop(request.headers),
                    )
                ]
                while isinstance(event := await next_event(http, stream), h11.Data):
                    parts.append(event)
                await self._forward([*parts, h11.EndOfMessage()], http, stream)
                http.start_next_cycle()
        except (trio.BrokenResourceError, h11.ProtocolError):
            pass
        await trio.aclose_forcefully(stream)

    async def _forward(
        self, parts: list[object], caller: h11.Connection, caller_stream: trio.SocketStream
    ) -> None:
        http, stream = self._idle.pop() if self._idle else await self._connect()
        await send(http, stream, parts)
        head = await next_event(http, stream)
        assert isinstance(head, h11.Response)
        answer: list[object] = [
            h11.Response(status_code=head.status_code, headers=without_hop_by_hop(head.headers))
        ]
        while isinstance(event := await next_event(http, stream), h11.Data):
            await send(caller, caller_stream, [*answer, event])
            answer = []
        await send(caller, caller_stream, [*answer, h11.EndOfMessage()])
        http.start_next_cycle()
        self._idle.append((http, stream))

    async def _connect(self) -> tuple[h11.Connection, trio.SocketStream]:
        stream = await trio.open_tcp_stream(*self._upstream)
        return h11.Connection(h11.CLIENT), stream


async def run(listen: str, upstream: str) -> None:
    """Serve until the process is ended."""
    proxy = BareProxy(upstream)
    await trio.serve_listeners(proxy.serve, await open_listeners(listen))


if __name__ == "__main__":
    trio.run(run, sys.argv[1], sys.argv[2])
