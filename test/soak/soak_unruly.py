"""Callers of the soak that don't behave: none of their requests is complete, or has a key."""

import random

import trio
from soak_world import SoakWorld

from lentilchute.http.messages import split_address

MEMORY_SETTINGS = {"machine": {"memory_mb": 150}}
"""Settings of nodes that bound their memory."""
MEMBERS = 40
PRESS_S = (2.0, 8.0)
PAUSE_S = (0.0, 2.0)
AGAIN_AFTER_S = 0.05
_POST = b"POST /book/x HTTP/1.1\r\nHost: a.example\r\n"
CROWDS = (
    b"",
    b"GET /view/x HTTP/1.1\r\nHost: a.example\r\n\r\n" * 50_000,
    _POST + b"Content-Length: 200000\r\n\r\n" + bytes(199_999),
    _POST + b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nxx\r\n" * 50_000,
    _POST + b"a:\r\n" * 3_000,
)
"""What each member of a crowd sends before it keeps its connection open and reads nothing."""


async def press_nodes(world: SoakWorld, rng: random.Random) -> None:
    """Let one crowd after the other press a node, until cancelled."""
    while True:
        node, sent = rng.choice(world.nodes), rng.choice(CROWDS)
        with trio.move_on_after(rng.uniform(*PRESS_S)):
            async with trio.open_nursery() as members:
                for _ in range(MEMBERS):
                    members.start_soon(_press, node.callers, sent)
        await trio.sleep(rng.uniform(*PAUSE_S))


async def _press(address: str, sent: bytes) -> None:
    while True:
        try:
            stream = await trio.open_tcp_stream(*split_address(address))
            async with stream:
                await stream.send_all(sent)
                await trio.sleep(max(PRESS_S))
        except (OSError, trio.BrokenResourceError):
            # The node is gone, or has closed the connection.
            await trio.sleep(AGAIN_AFTER_S)
