"""A node in a process of its own, with little memory and few descriptors, among callers that don't
behave: each crowd alone, and then single requests as large as callers may send."""

import dataclasses
from pathlib import Path

import pytest
import trio
import unruly_crowds as crowds
from unruly_crowds import CROWDS, Node, ordinary_call, running_node, unruly_world

from lentilchute.http.client import ClientRequest, HttpAnswer
from lentilchute.http.messages import split_address

LARGE_CROWD = 1_000
USUAL_MEMORY_MB = 150
USUAL_DESCRIPTORS = 4_100
ORDINARY = ClientRequest("POST", "/book/1", body=bytes(10_000))


@pytest.mark.parametrize("name", CROWDS)
def test_a_node_bears_a_crowd_and_serves_others(name: str, tmp_path: Path) -> None:
    """Guards against a node that is killed over its memory, runs out of descriptors, or has
    nothing left for others, because of callers that it doesn't control."""

    async def main() -> None:
        async with unruly_world() as world, running_node(world, tmp_path) as node:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.sample)
                nursery.start_soon(CROWDS[name].run, node.settings)
                await trio.sleep(CROWDS[name].pressure_s)
                answer = await ordinary_call(node.callers, ORDINARY)
                nursery.cancel_scope.cancel()
            check(node, answer, name)

    trio.run(main)


def check(node: Node, answer: HttpAnswer | None, name: str) -> None:
    """Check what holds whatever a crowd does."""
    status = None if answer is None else answer.status
    print(f"{name}: {node.peak_mb:.0f} MB, {node.most_descriptors} descriptors, {status}")
    assert node.process.poll() is None, "the node lives"
    assert node.peak_mb <= node.memory_mb
    assert node.most_descriptors <= crowds.USABLE_DESCRIPTORS * node.max_descriptors
    assert status == 200


@pytest.mark.parametrize("name", ["heads of many fields", "many requests ahead"])
def test_a_node_of_usual_size_bears_a_large_crowd(name: str, tmp_path: Path) -> None:
    """Guards against what shows only if hundreds of callers are served in one pass of the loop."""
    large = dataclasses.replace(CROWDS[name], members=LARGE_CROWD)

    async def main() -> None:
        async with (
            unruly_world() as world,
            running_node(world, tmp_path, USUAL_MEMORY_MB, USUAL_DESCRIPTORS) as node,
        ):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.sample)
                nursery.start_soon(large.run, node.settings)
                await trio.sleep(large.pressure_s)
                answer = await ordinary_call(node.callers, ORDINARY)
                nursery.cancel_scope.cancel()
            check(node, answer, name)

    trio.run(main)


def test_a_node_bears_all_crowds_at_once(tmp_path: Path) -> None:
    """Guards against bounds that hold for each way of misbehaving, but not for all together."""

    async def main() -> None:
        async with unruly_world() as world, running_node(world, tmp_path) as node:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.sample)
                for each in CROWDS.values():
                    part = dataclasses.replace(each, members=each.members // 8)
                    nursery.start_soon(part.run, node.settings)
                await trio.sleep(crowds.PRESSURE_S)
                answer = await ordinary_call(node.callers, ORDINARY)
                nursery.cancel_scope.cancel()
            check(node, answer, "all")

    trio.run(main)


def largest_head(fields: int) -> tuple[tuple[str, str], ...]:
    """Return further headers that fill the head of an ordinary request up to the limit."""
    used = sum(len(name) + len(value) + 4 for name, value in crowds.caller_headers("ordinary-0"))
    left = crowds.MAX_HEADER_BYTES - 100 - used
    size = left // fields - len("x-padding-0000") - 4
    return tuple((f"x-padding-{number:04}", "x" * size) for number in range(fields))


@pytest.mark.parametrize("fields", [1, 700])
def test_the_largest_request_is_served_in_calm(fields: int, tmp_path: Path) -> None:
    """Guards against limits that turn away what callers may send."""

    async def main() -> None:
        async with unruly_world() as world, running_node(world, tmp_path) as node:
            request = ClientRequest(
                "POST", "/book/1", largest_head(fields), bytes(crowds.MAX_BODY_BYTES)
            )
            answer = await ordinary_call(node.callers, request)
            assert answer is not None and answer.status == 200

    trio.run(main)


@pytest.mark.parametrize("piece_bytes", [16, 4_096, 1_000_000])
def test_the_largest_body_in_pieces_is_served_in_calm(piece_bytes: int, tmp_path: Path) -> None:
    """Guards against limits, or costs, that turn away a body for the way in which it is sent."""

    async def main() -> None:
        async with unruly_world() as world, running_node(world, tmp_path) as node:
            head = "".join(f"{name}: {value}\r\n" for name, value in crowds.caller_headers("whole"))
            head = f"POST /book/1 HTTP/1.1\r\n{head}transfer-encoding: chunked\r\n\r\n"
            piece = b"%x\r\n%b\r\n" % (piece_bytes, bytes(piece_bytes))
            stream = await trio.open_tcp_stream(*split_address(node.callers))
            async with stream:
                body = piece * (crowds.MAX_BODY_BYTES // piece_bytes) + b"0\r\n\r\n"
                await stream.send_all(head.encode() + body)
                with trio.fail_after(30):
                    answer = await stream.receive_some()
            assert answer.startswith(b"HTTP/1.1 200 "), answer

    trio.run(main)
