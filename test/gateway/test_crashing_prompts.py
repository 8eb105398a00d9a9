"""A part of a prompt that crashes every upstream that begins to answer it, among sound prompts."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
import trio
from gateway_world import GatewayWorld, Node, run_world

from lentilchute.http.messages import header_value
from lentilchute.platform import headers as names
from lentilchute.platform import rows

CRASHING_PART = "bad0bad0"
SHARED_PART = "5c1e07a2"
"""Part that crashing and sound prompts have in common, as they have the client account."""
RESTART_S = 0.3
CRASHES_TO_NOTICE = 5
NOTICE_WITHIN_S = 3.0
"""How long after so many crashes requests with the part may still reach upstreams (platform)."""
MAX_LATE_ARRIVALS = 3
"""Requests with the part that may reach upstreams later than that (platform)."""
MIN_SERVED_SHARE = 0.5
"""Share of the usual at which sound requests must begin meanwhile (platform)."""


@dataclass
class CrashRecord:
    """What upstreams saw of the crashing part, and callers of sound prompts."""

    crashes_s: list[float] = field(default_factory=list)
    arrivals_s: list[float] = field(default_factory=list)
    sound_s: list[tuple[float, bool]] = field(default_factory=list)
    """When sound requests were sent, and whether they were served."""

    def late_arrivals(self) -> int:
        """Return the requests with the part that reached upstreams when they no longer may."""
        if len(self.crashes_s) < CRASHES_TO_NOTICE:
            return 0
        noticed_s = self.crashes_s[CRASHES_TO_NOTICE - 1] + NOTICE_WITHIN_S
        return sum(at_s > noticed_s for at_s in self.arrivals_s)

    def served_share(self, from_s: float) -> float:
        """Return the share of the sound requests sent since a time that were served."""
        served = [is_served for at_s, is_served in self.sound_s if at_s >= from_s]
        return sum(served) / len(served)


class CrashingWorld:
    """Upstreams that crash on one part of a prompt and are replaced, and callers of both kinds."""

    def __init__(self, world: GatewayWorld, nursery: trio.Nursery) -> None:
        self.record = CrashRecord()
        self._world = world
        self._nursery = nursery
        self._numbers = itertools.count(1)
        for name in [name for name in world.upstreams if name.startswith("d")]:
            self._arm(name)

    async def block_part(self) -> None:
        """Send prompts with the part until all nodes refuse it."""
        shared = f"{SHARED_PART}:60,{CRASHING_PART}:140"
        with trio.move_on_after(5.0):
            await self.send(shared, 0.2, self._is_blocked_everywhere)
        assert self._is_blocked_everywhere()

    def _is_blocked_everywhere(self) -> bool:
        contexts = [node.node.context for node in self._world.nodes]
        return all(each.prompt_part_guard.blocked_count(each.now_s()) for each in contexts)

    def _arm(self, name: str) -> None:
        standin = self._world.upstreams[name].standin
        standin.behaviour.crashing_part = CRASHING_PART
        standin.on_crash = lambda: self._crash(name)

    def _crash(self, name: str) -> None:
        self.record.crashes_s.append(trio.current_time())
        self._world.upstreams[name].scope.cancel()
        self._nursery.start_soon(self._replace, name)

    async def _replace(self, name: str) -> None:
        await trio.sleep(RESTART_S)
        self._world.store.state.put(rows.UPSTREAMS_TABLE, name, None)
        replacement = f"d-{next(self._numbers)}"
        await self._world.add_upstream(replacement, "drafters")
        self._arm(replacement)

    async def send(self, parts: str, pause_s: float, until: Callable[[], bool]) -> None:
        """Send prompts with these shared parts, no two alike, to the nodes in turn."""
        while not until():
            number = next(self._numbers)
            self._nursery.start_soon(self._send_one, parts, number)
            await trio.sleep(pause_s)

    async def _send_one(self, parts: str, number: int) -> None:
        sent_s = trio.current_time()
        answer = await self._world.call(
            f"/drafts/{number}",
            number % len(self._world.nodes),
            method="POST",
            tokens="400,60",
            headers=(("lentilchute-prompt-prefix", f"{parts},{number:x}:200"),),
            body=b"prompt %d" % number,
        )
        if CRASHING_PART not in parts:
            self.record.sound_s.append((sent_s, answer is not None and answer.status == 200))

    def count_arrivals(self) -> None:
        """Collect when upstreams got requests with the part."""
        for upstream in self._world.upstreams.values():
            standin = upstream.standin
            self.record.arrivals_s += [
                at_s
                for request, at_s in zip(standin.received, standin.received_s, strict=True)
                if CRASHING_PART in (header_value(request.headers, names.PROMPT_PARTS) or "")
            ]


def test_a_prompt_part_that_crashes_upstreams_stops_reaching_them() -> None:
    """Guards against unlike requests that share a crashing part crashing one upstream after
    another, and against refusing sound requests that share their account and their other parts."""

    async def scenario(world: GatewayWorld) -> None:
        async with trio.open_nursery() as nursery:
            crashing = CrashingWorld(world, nursery)
            end_s = trio.current_time() + 8.0

            def is_over() -> bool:
                return trio.current_time() >= end_s

            shared = f"{SHARED_PART}:60"
            nursery.start_soon(crashing.send, f"{shared},{CRASHING_PART}:140", 0.15, is_over)
            nursery.start_soon(crashing.send, shared, 0.05, is_over)
            nursery.start_soon(crashing.send, f"{shared},91bd3f06:140", 0.05, is_over)
        crashing.count_arrivals()
        record = crashing.record
        assert len(record.crashes_s) >= 3, "the part has crashed upstreams"
        assert record.late_arrivals() <= MAX_LATE_ARRIVALS, len(record.crashes_s)
        assert record.served_share(end_s - 2.0) >= MIN_SERVED_SHARE

    run_world(scenario, drafters=6, nodes=3)


RESTARTED: dict[str, Callable[[Node], bool]] = {
    "the coordinator": lambda node: node.node.context.choice.is_coordinator,
    "all other nodes": lambda node: not node.node.context.choice.is_coordinator,
    "all nodes": lambda node: True,
}


@pytest.mark.parametrize("restarted", RESTARTED)
def test_a_node_that_starts_again_learns_which_parts_are_blocked(restarted: str) -> None:
    """Guards against a node that starts again sending requests to upstreams whose part nodes have
    found to crash them."""
    is_restarted = RESTARTED[restarted]

    async def scenario(world: GatewayWorld) -> None:
        async with trio.open_nursery() as nursery:
            crashing = CrashingWorld(world, nursery)
            await crashing.block_part()
            await trio.sleep(0.3)
            await world.restart_nodes([node for node in world.nodes if is_restarted(node)])
            await trio.sleep(NOTICE_WITHIN_S)
            from_s = trio.current_time()

            def is_over() -> bool:
                return trio.current_time() >= from_s + 1.5

            await crashing.send(f"{SHARED_PART}:60,{CRASHING_PART}:140", 0.1, is_over)
        crashing.count_arrivals()
        arrivals_s = crashing.record.arrivals_s
        assert sum(at_s >= from_s for at_s in arrivals_s) <= MAX_LATE_ARRIVALS

    run_world(scenario, drafters=6, nodes=3)
