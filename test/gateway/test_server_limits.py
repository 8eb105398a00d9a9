"""Limits of a node's servers on its machine, and what the log says when they are reached."""

import pytest
import trio
from gateway_samples import config_row
from gateway_world import GatewayWorld, run_world

from lentilchute.gateway.connection_watch import ConnectionWatchController
from lentilchute.gateway.held_memory import HeldMemory, room_bytes
from lentilchute.gateway.server_limits import (
    MAX_CONNECTIONS,
    Listener,
    caller_settings,
    max_connections,
    query_settings,
)
from lentilchute.http.messages import split_address
from lentilchute.platform.rows import decode_config

SMALLEST_MACHINE = 2_870
"""Descriptors of the smallest machine that the platform has stated."""


@pytest.mark.parametrize("descriptors", [256, 400, SMALLEST_MACHINE, 4_100, 8_192, 1_000_000])
def test_connections_leave_descriptors_for_the_rest(descriptors: int) -> None:
    """Guards against callers that take the descriptors for upstreams, peers and the store."""
    limits = {listener: max_connections(listener, descriptors) for listener in Listener}
    # Each connection of a caller may need one to an upstream, and a sixteenth is being refused.
    used = limits[Listener.CALLERS] + 17 / 16 * sum(limits.values())
    assert used <= 0.96 * descriptors
    assert all(limits[listener] <= MAX_CONNECTIONS[listener] for listener in Listener)


def test_a_large_machine_keeps_the_usual_limits() -> None:
    assert max_connections(Listener.CALLERS, 4_100) == MAX_CONNECTIONS[Listener.CALLERS]
    assert max_connections(Listener.CALLERS, SMALLEST_MACHINE) > 1_000


def test_limits_follow_the_configuration_and_the_memory() -> None:
    config = decode_config(config_row()).unwrap()
    memory = HeldMemory(room_bytes(150.0))
    settings = caller_settings(config, 4_100, memory)
    assert settings.max_header_bytes == config.limits.max_header_bytes
    assert settings.max_body_bytes == config.limits.max_body_bytes
    assert settings.max_reading_bytes == int(memory.room_bytes)
    assert caller_settings(config, 4_100, HeldMemory()).max_reading_bytes < 32 * 1024 * 1024
    assert query_settings(Listener.DIRECTORY, 4_100).max_body_bytes < settings.max_body_bytes


def test_the_log_says_when_connections_exceed_their_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against connections that are closed without a trace."""
    logged: list[str] = []

    def record(event: object, **fields: object) -> None:
        logged.append(f"{event.name} {fields['listener']}")  # type: ignore[attr-defined]

    monkeypatch.setattr("lentilchute.gateway.connection_watch.log_event", record)

    async def scenario(world: GatewayWorld) -> None:
        node = world.nodes[0]
        watch = node.node.context.controller(ConnectionWatchController)
        server = node.node.context.servers[Listener.CALLERS]
        address = split_address(node.callers)
        limit = server.settings.max_connections
        crowd = [await trio.open_tcp_stream(*address) for _ in range(limit)]
        await world.until(lambda: server.connection_count == limit)
        await trio.sleep(0.2)
        crowd.append(await trio.open_tcp_stream(*address))
        await world.until(lambda: server.displaced_connections == 1)
        watch.check()
        watch.check()
        assert logged == ["CONNECTIONS_SHORT callers", "CONNECTIONS_EASED callers"]
        for stream in crowd:
            await stream.aclose()

    run_world(scenario, settings="machine:\n  max_descriptors: 256", nodes=1, drafters=0, agendas=1)
