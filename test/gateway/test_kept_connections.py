"""Kept connections to upstreams that answer twice, late, with extra bytes, or not at all.

Pattern: an operator of a similar system met a second copy of an answer, late, on a connection that
was in use again; the next caller got an answer that was not its own.
"""

from dataclasses import dataclass, field
from enum import Enum

import trio
from gateway_samples import listing
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from result import Err

from lentilchute.gateway.upstream_connections import MAX_IDLE_CONNECTIONS, UpstreamConnections
from lentilchute.http.client import ClientRequest, HttpFault
from lentilchute.platform.headers import ATTEMPT_ID, decode_answer

LATE_S = 0.02


class Manner(Enum):
    """What the upstream does after, or instead of, the answer to a request."""

    PROPER = "proper"
    TWICE = "twice"
    TWICE_LATE = "twice-late"
    EXTRA_BYTES = "extra-bytes"
    CLOSES = "closes"
    RESETS_NEXT = "resets-next"
    UNNAMED = "unnamed"
    SILENT_END = "silent-end"
    """Close the connection in place of the answer."""


@dataclass
class RawUpstream:
    """A server that answers each request in the manner that is next."""

    manners: list[Manner]
    connections: int = 0
    runs: list[str] = field(default_factory=list)

    async def serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        resets_next = False
        try:
            while data := await stream.receive_some(65_536):
                if resets_next:
                    return
                manner = self.manners.pop(0) if self.manners else Manner.PROPER
                attempt = _attempt_of(bytes(data))
                self.runs.append(attempt)
                if manner is Manner.SILENT_END:
                    return
                await self._answer(stream, attempt, manner)
                resets_next = manner is Manner.RESETS_NEXT
                if manner is Manner.CLOSES:
                    return
        except trio.BrokenResourceError:
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _answer(self, stream: trio.SocketStream, attempt: str, manner: Manner) -> None:
        answer = _answer_to(attempt, names=manner is not Manner.UNNAMED)
        await stream.send_all(answer)
        if manner is Manner.TWICE:
            await stream.send_all(answer)
        if manner is Manner.TWICE_LATE:
            await trio.sleep(LATE_S)
            await stream.send_all(answer)
        if manner is Manner.EXTRA_BYTES:
            await stream.send_all(b"left over")


def _attempt_of(request: bytes) -> str:
    lines = request.decode().split("\r\n")
    return next(line.split(": ")[1] for line in lines if line.startswith(ATTEMPT_ID))


def _answer_to(attempt: str, *, names: bool) -> bytes:
    body = f"answer to {attempt}"
    name = f"{ATTEMPT_ID}: {attempt}\r\n" if names else ""
    return f"HTTP/1.1 200 OK\r\n{name}content-length: {len(body)}\r\n\r\n{body}".encode()


async def _call(
    connections: UpstreamConnections, address: str, attempt: str, *, needs_new: bool
) -> bytes | HttpFault:
    """Send one request as the forwarder does and return the accepted answer's body."""
    client = connections.client(listing("u", address=address))
    request = ClientRequest(
        "GET", "/view", ((ATTEMPT_ID, attempt),), needs_new_connection=needs_new, head_timeout_s=0.2
    )
    async with client.exchange(request) as exchange:
        head = await exchange.head()
        if isinstance(head, Err):
            return head.err_value
        answer = decode_answer(head.ok_value.headers)
        if not answer.belongs_to(attempt, must_name=exchange.is_reused):
            return HttpFault.WRONG_ANSWER
        part = await exchange.part()
        if isinstance(part, Err):
            return part.err_value
        end = await exchange.part()
        if isinstance(end, Err) or end.ok_value is not None:
            return HttpFault.WRONG_ANSWER
        return part.ok_value or b""


def _play(
    manners: list[Manner], pauses_s: list[float], needs_new: list[bool]
) -> tuple[RawUpstream, list[bytes | HttpFault]]:
    upstream = RawUpstream(list(manners))
    results: list[bytes | HttpFault] = []

    async def main() -> None:
        connections = UpstreamConnections()
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, upstream.serve, listeners)
            host, port = listeners[0].socket.getsockname()[:2]
            for number, pause_s in enumerate(pauses_s):
                results.append(
                    await _call(
                        connections, f"{host}:{port}", f"a{number}", needs_new=needs_new[number]
                    )
                )
                await trio.sleep(pause_s)
            await connections.close_idle()
            nursery.cancel_scope.cancel()

    trio.run(main)
    return upstream, results


CASES = st.integers(2, 7).flatmap(
    lambda count: st.tuples(
        st.lists(st.sampled_from(Manner), min_size=count, max_size=count),
        st.lists(st.sampled_from([0.0, 0.001, 2 * LATE_S]), min_size=count, max_size=count),
        st.lists(st.booleans(), min_size=count, max_size=count),
    )
)


@settings(max_examples=120, deadline=None, suppress_health_check=list(HealthCheck))
@given(CASES)
def test_nobody_gets_an_answer_to_another_request(
    case: tuple[list[Manner], list[float], list[bool]],
) -> None:
    manners, pauses_s, needs_new = case
    upstream, results = _play(manners, pauses_s, needs_new)
    for number, result in enumerate(results):
        own = f"answer to a{number}".encode()
        assert result == own or isinstance(result, HttpFault), (number, result)
    assert len(upstream.runs) == len(set(upstream.runs))


@settings(max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(CASES)
def test_a_request_with_a_connection_of_its_own_is_spoiled_by_nothing_before_it(
    case: tuple[list[Manner], list[float], list[bool]],
) -> None:
    manners, pauses_s, needs_new = case
    upstream, results = _play([*manners, Manner.PROPER], [*pauses_s, 0.0], [*needs_new, True])
    if len(upstream.runs) == len(results):
        assert results[-1] == f"answer to a{len(manners)}".encode()


def test_proper_answers_keep_one_connection_in_use() -> None:
    upstream, results = _play([], [0.0] * 6, [False] * 6)
    assert upstream.connections == 1
    assert results == [f"answer to a{number}".encode() for number in range(6)]


def test_few_idle_connections_are_kept() -> None:
    async def main() -> None:
        connections = UpstreamConnections()
        upstream = RawUpstream([])
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, upstream.serve, listeners)
            host, port = listeners[0].socket.getsockname()[:2]
            address = f"{host}:{port}"

            async def call(number: int) -> None:
                await _call(connections, address, f"a{number}", needs_new=True)

            async with trio.open_nursery() as callers:
                for number in range(6):
                    callers.start_soon(call, number)
            assert connections.client(listing("u", address=address)).idle_count == (
                MAX_IDLE_CONNECTIONS
            )
            assert connections.client(listing("u", started_ms=2, address=address)).idle_count == 0
            nursery.cancel_scope.cancel()

    trio.run(main)
