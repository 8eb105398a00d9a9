"""Upstreams that fall over when they have to turn away too many requests in a second."""

import itertools

import pytest
import trio
from gateway_world import GatewayWorld, run_world

BRITTLE_LIMIT = 2
ROOM = 4
"""As many as the upstream's slots: it lets no request wait."""
NOTICE_WITHIN_S = 3.0
"""How long after upstreams named it they may still let requests wait (platform)."""
PRESSED_S = 6.0
CALL_PAUSE_S = 0.01
ANSWER_S = 0.2
UPSTREAMS = 3
MAX_FALLS = 2 + 0.1 * UPSTREAMS
"""Times that the upstreams of a service may fall over while they say that they are brittle
(platform)."""
MIN_SERVED_SHARE = 0.5
"""Of what the upstreams have room for."""


async def press(world: GatewayWorld, duration_s: float) -> int:
    """Send more requests to the nodes than the upstreams have room for; return how many are
    served."""
    served = 0

    async def call(number: int) -> None:
        nonlocal served
        answer = await world.call(f"/view/{number}", number % len(world.nodes))
        served += answer is not None and answer.status == 200

    async with trio.open_nursery() as nursery:
        end_s = trio.current_time() + duration_s
        for number in itertools.count():
            if trio.current_time() >= end_s:
                break
            nursery.start_soon(call, number)
            await trio.sleep(CALL_PAUSE_S)
    return served


@pytest.mark.parametrize("decides", ["the coordinator", "each node"])
def test_brittle_upstreams_are_not_pressed_until_they_fall_over(decides: str) -> None:
    """Guards against nodes together sending more to an upstream that is brittle than it has room
    for, whether or not they have a coordinator."""

    async def scenario(world: GatewayWorld) -> None:
        standins = [world.upstreams[f"a{number}"].standin for number in range(UPSTREAMS)]
        for standin in standins:
            standin.behaviour.plain_s = ANSWER_S
            standin.behaviour.brittle_limit = BRITTLE_LIMIT
        if decides == "each node":
            for node in world.nodes:
                node.node.context.choice.can_ask = lambda now_s: False  # type: ignore[method-assign]
        await press(world, NOTICE_WITHIN_S)
        for standin in standins:
            standin.behaviour.room = ROOM
        served = await press(world, PRESSED_S)
        falls = sum(len(standin.falls_s) for standin in standins)
        assert falls <= MAX_FALLS
        assert served >= MIN_SERVED_SHARE * UPSTREAMS * ROOM * PRESSED_S / ANSWER_S

    run_world(scenario, agendas=UPSTREAMS, nodes=4)
