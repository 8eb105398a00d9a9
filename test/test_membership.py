"""Tests of membership: one group of nodes under lost, late and doubled heartbeats."""

import random

from lentilchute.ids import AvailabilityZone, IncarnationId, InstanceId, ShardId
from lentilchute.membership import Membership
from lentilchute.peers import PeerAddress, PeerInfo
from lentilchute.settings import MembershipSettings, Role

SETTINGS = MembershipSettings()


def peer_info(name: str, run: str = "a", generation: int = 1) -> PeerInfo:
    return PeerInfo(
        instance=InstanceId(name),
        incarnation=IncarnationId(f"{name}.{run}"),
        generation=generation,
        address=f"address-of-{name}",
        callers_address=f"callers-of-{name}",
        zone=AvailabilityZone("zone-1"),
        region="region-1",
        roles=tuple(Role),
    )


def test_nodes_that_know_one_seed_find_each_other_and_agree_on_the_scheduler() -> None:
    names = [f"entry-{number}" for number in range(9)]
    seed = PeerAddress(InstanceId(names[0]), f"address-of-{names[0]}")
    nodes = {
        name: Membership(peer_info(name), SETTINGS, random.Random(name), 0.0, [seed])
        for name in names
    }
    now_s = 0.0
    for _ in range(12):
        now_s += SETTINGS.heartbeat_interval_s
        for node in nodes.values():
            node.tick(now_s)
            for outgoing in node.heartbeat(now_s):
                nodes[outgoing.instance].received(outgoing.heartbeat, now_s)
    orders = {node.scheduler_order(ShardId("fleet/0"), now_s) for node in nodes.values()}
    assert len(orders) == 1
    assert sorted(orders.pop()) == names
