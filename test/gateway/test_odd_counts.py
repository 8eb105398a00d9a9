"""Requests that state sizes far beyond what any upstream has room for."""

import json

import pytest
import trio
from gateway_samples import config_row
from gateway_world import GatewayWorld, run_world

from lentilchute.platform import headers as names
from lentilchute.platform import rows

REPORTED_AFTER_S = 2.5
"""Reports to the coordinator leave every 20 ms, full ones every 2 s."""


@pytest.mark.parametrize("tokens", ["3000000000,80", "80,3000000000", "999999999999999,1"])
@pytest.mark.parametrize("hint", ["", "999999999999999"])
def test_huge_counts_do_not_end_a_node(tokens: str, hint: str) -> None:
    """Guards against a request that ends the nodes which place it while the coordinator is
    silent, as what they report of it fits into no message."""

    async def scenario(world: GatewayWorld) -> None:
        config = json.loads(config_row(version=8))
        config["tenants"][0] |= {"rate-per-s": 1e15, "burst": 1e15}
        world.store.state.put(rows.CONFIG_TABLE, rows.CONFIG_KEY, json.dumps(config).encode())
        contexts = [node.node.context for node in world.nodes]
        await world.until(
            lambda: all(each.config and each.config.version == 8 for each in contexts)
        )
        silent = next(each for each in contexts if each.choice.is_coordinator)
        silent.links.receiver = lambda sender, message: None
        other = 1 - contexts.index(silent)
        hints = ((names.LENGTH_HINT, hint),) if hint else ()
        world.upstreams["d0"].standin.behaviour.events = 300
        before = await world.call("/view/1", node=other)
        assert before is not None and before.status == 200, "the silence is noticed"
        answer = await world.call(
            "/drafts/1", node=other, method="POST", tokens=tokens, headers=hints
        )
        assert answer is not None and answer.status in (200, 503)
        await trio.sleep(REPORTED_AFTER_S)
        after = await world.call("/view/1", node=other)
        assert after is not None and after.status == 200

    run_world(scenario, drafters=1)
