"""Upstreams that name a limit on the requests a second that they take, among others that do not."""

import itertools

import pytest
import trio
from gateway_world import GatewayWorld, run_world

from lentilchute.standins.routed_upstream import RoutedUpstream

LIMIT_PER_S = 3.0
NOTICE_WITHIN_S = 3.0
"""How long after it named its limit an upstream may get more (platform)."""
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Requests that it may get in any window after that (platform)."""
CALL_PAUSE_S = 0.02
ANSWER_S = 1.0
"""Long enough that the other upstreams have no slots to spare."""
MANY_SLOTS = 12
LOW_LIMIT_PER_S = 0.5


async def call_until(world: GatewayWorld, end_s: float) -> list[int]:
    """Send requests to the nodes in turn, and return the statuses of the answers."""
    statuses: list[int] = []

    async def call(number: int) -> None:
        answer = await world.call(f"/view/{number}", number % len(world.nodes))
        statuses.append(0 if answer is None else answer.status)

    async with trio.open_nursery() as nursery:
        for number in itertools.count():
            if trio.current_time() >= end_s:
                return statuses
            nursery.start_soon(call, number)
            await trio.sleep(CALL_PAUSE_S)
    return statuses


def most_in_window(upstream: RoutedUpstream, from_s: float) -> int:
    """Return the most requests that arrived in one window that starts after a time."""
    arrivals_s = [at_s for at_s in upstream.received_s if at_s >= from_s]
    return max(
        (
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in arrivals_s)
            for start_s in arrivals_s
        ),
        default=0,
    )


@pytest.mark.parametrize("decides", ["the coordinator", "each node"])
def test_an_upstream_gets_no_more_requests_than_the_limit_that_it_names(decides: str) -> None:
    """Guards against nodes together sending an upstream in need more than it says it can take,
    whether or not they have a coordinator."""

    async def scenario(world: GatewayWorld) -> None:
        limited = world.upstreams["a0"].standin
        await call_until(world, trio.current_time() + 0.5)
        limited.behaviour.limit_per_s = LIMIT_PER_S
        named_s = trio.current_time()
        await call_until(world, named_s + 1.0)
        if decides == "each node":
            for node in world.nodes:
                node.node.context.choice.can_ask = lambda now_s: False  # type: ignore[method-assign]
        statuses = await call_until(world, named_s + NOTICE_WITHIN_S + WINDOW_S + 0.5)
        assert most_in_window(limited, named_s + NOTICE_WITHIN_S) <= MAX_IN_WINDOW
        assert all(status == 200 for status in statuses), "the other upstream has room for all"

    run_world(scenario, nodes=3)


def test_a_coordinator_that_starts_again_keeps_the_limits_that_upstreams_named() -> None:
    """Guards against a coordinator that has just started placing requests without the limits that
    the other nodes were told."""

    async def scenario(world: GatewayWorld) -> None:
        for name in ("a0", "a1", "a2", "a3"):
            world.upstreams[name].standin.behaviour.plain_s = ANSWER_S
            world.list_upstream(name, slots=MANY_SLOTS)
        limited = world.upstreams["a0"].standin
        limited.behaviour.limit_per_s = LOW_LIMIT_PER_S
        coordinator = next(node for node in world.nodes if node.node.context.choice.is_coordinator)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_until, world, trio.current_time() + 11.0)
            await trio.sleep(NOTICE_WITHIN_S + 1.0)
            from_s = trio.current_time()
            await world.restart_nodes([coordinator], pause_s=2.5)
        assert coordinator.node.context.choice.is_coordinator
        assert most_in_window(limited, from_s) <= 1.5 * LOW_LIMIT_PER_S * WINDOW_S + 5

    run_world(scenario, agendas=4, nodes=3)


def test_a_limit_ends_when_the_upstream_no_longer_names_it() -> None:
    """Guards against an upstream that has recovered being spared for ever."""

    async def scenario(world: GatewayWorld) -> None:
        for name in ("a0", "a1"):
            world.upstreams[name].standin.behaviour.limit_per_s = LIMIT_PER_S
        await call_until(world, trio.current_time() + 2.0)
        for name in ("a0", "a1"):
            world.upstreams[name].standin.behaviour.limit_per_s = None
        await call_until(world, trio.current_time() + 2.0)
        statuses = await call_until(world, trio.current_time() + 1.0)
        assert all(status == 200 for status in statuses)

    run_world(scenario, nodes=3)
