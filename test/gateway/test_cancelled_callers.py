"""Callers that leave in the moment in which their requests are placed."""

import dataclasses

import trio
from gateway_samples import ticket
from gateway_world import GatewayWorld, run_world

from lentilchute.gateway.context import GatewayContext
from lentilchute.gateway.coordinator import CoordinatorController
from lentilchute.gateway.tickets import Placement, Ticket
from lentilchute.ids import ServiceName

SERVICE = ServiceName("agenda")


def make_ticket(context: GatewayContext, number: int) -> Ticket:
    now_s = context.now_s()
    made = ticket(number, node=context.incarnation, arrived_s=now_s, deadline_s=now_s + 4.0)
    return dataclasses.replace(made, service=SERVICE, objective_s=2.0)


def fill(context: GatewayContext) -> list[Ticket]:
    """Take all places of the service."""
    placed: list[Ticket] = []
    while True:
        filler = make_ticket(context, 1_000 + len(placed))
        if not isinstance(context.placements.submit(filler, context.now_s()), Placement):
            context.placements.drop(SERVICE, filler.key, context.now_s())
            return placed
        placed.append(filler)


def places_taken(context: GatewayContext) -> int:
    models = context.placements.dispatcher(SERVICE).models()
    return sum(model.load(context.now_s()).running for model in models)


# Places that were given between the cancellation of a request and its task's next turn were lost
# for good, until a service refused everything.
def test_a_place_that_is_given_to_a_cancelled_request_is_returned() -> None:
    async def scenario(world: GatewayWorld) -> None:
        context = world.nodes[0].node.context
        controller = context.controller(CoordinatorController)
        placed = fill(context)
        scope = trio.CancelScope()

        async def wait() -> None:
            with scope:
                await controller.place_locally(make_ticket(context, 1))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await world.until(lambda: bool(controller._local_waits))
            scope.cancel()
            context.placements.drop(SERVICE, placed[0].key, context.now_s())
            controller.poll(SERVICE)
            assert places_taken(context) == len(placed)
        assert places_taken(context) == len(placed) - 1

    run_world(scenario, nodes=1)
