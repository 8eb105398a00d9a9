"""Compares full membership with iterative name resolution for locating a shard's scheduler.

    .venv/bin/python tools/compare_resolution.py [--seed 1]

As in the Peer Name Resolution Protocol, iterative resolution uses a cache with several levels: the
first level covers all ids, and each further level covers a tenth of the previous range around the
node's own id, with at most 20 entries per level. A look-up queries the entry closest to the target
id, then the closest entry that this node returns, until none is closer. Some nodes have been
replaced since the caches were filled; querying an entry for one of them costs a timeout.
"""

import argparse
import bisect
import json
import random
import statistics
from dataclasses import dataclass

ID_BITS = 128
ENTRIES_PER_LEVEL = 20
LEVEL_RATIO = 10
LOOKUPS = 4_000
MESSAGE_BYTES = 150
"""Size of a query or response that holds an id and a peer's address, with TCP/IP headers."""
SIZES = (9, 34, 100, 340)
REPLACED_SHARES = (0.0, 0.05)


@dataclass(frozen=True)
class Cost:
    nodes: int
    replaced_share: float
    entries: float
    hops_mean: float
    hops_p95: float
    timeouts_mean: float
    bytes_mean: float
    found_share: float


def distance(left: int, right: int) -> int:
    around = abs(left - right)
    return min(around, (1 << ID_BITS) - around)


def fill_cache(node_id: int, ids: list[int], rng: random.Random) -> list[int]:
    """Return a node's cache, with levels down to one that holds all ids in its range."""
    cache: set[int] = set()
    radius = 1 << (ID_BITS - 1)
    while True:
        candidates = [
            peer_id
            for peer_id in ids
            if peer_id != node_id and distance(peer_id, node_id) <= radius
        ]
        cache.update(rng.sample(candidates, min(ENTRIES_PER_LEVEL, len(candidates))))
        if len(candidates) <= ENTRIES_PER_LEVEL:
            return sorted(cache)
        radius //= LEVEL_RATIO


def closest_peer(cache: list[int], target: int, excluded: set[int]) -> int | None:
    usable = [peer_id for peer_id in cache if peer_id not in excluded]
    return min(usable, key=lambda peer_id: distance(peer_id, target), default=None)


def look_up(
    start: int, target: int, caches: dict[int, list[int]], dead: set[int]
) -> tuple[int, int, int]:
    """Return the node that the look-up ends at, and the number of hops and timeouts."""
    best, hops, timeouts = start, 0, 0
    failed: set[int] = set()
    while True:
        next_hop = closest_peer(caches[best], target, failed)
        if next_hop is None or distance(next_hop, target) >= distance(best, target):
            return best, hops, timeouts
        if next_hop in dead:
            failed.add(next_hop)
            timeouts += 1
            continue
        best = next_hop
        hops += 1


def measure(nodes: int, replaced_share: float, seed: int) -> Cost:
    rng = random.Random(seed)
    ids = sorted(rng.getrandbits(ID_BITS) for _ in range(nodes))
    caches = {peer_id: fill_cache(peer_id, ids, rng) for peer_id in ids}
    dead = set(rng.sample(ids, round(replaced_share * nodes)))
    alive = [peer_id for peer_id in ids if peer_id not in dead]
    hops, timeouts, found = [], [], 0
    for _ in range(LOOKUPS):
        target = rng.getrandbits(ID_BITS)
        index = bisect.bisect(alive, target)
        nearby = [alive[index % len(alive)], alive[index - 1]]
        closest_alive = min(nearby, key=lambda peer_id: distance(peer_id, target))
        node, hop_count, timeout_count = look_up(rng.choice(alive), target, caches, dead)
        hops.append(hop_count)
        timeouts.append(timeout_count)
        found += node == closest_alive
    return Cost(
        nodes,
        replaced_share,
        statistics.mean(len(cache) for cache in caches.values()),
        statistics.mean(hops),
        statistics.quantiles(hops, n=100)[94],
        statistics.mean(timeouts),
        2 * MESSAGE_BYTES * (statistics.mean(hops) + statistics.mean(timeouts) / 2),
        found / LOOKUPS,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    costs = [measure(nodes, share, arguments.seed) for nodes in SIZES for share in REPLACED_SHARES]
    if arguments.json:
        print(json.dumps([vars(cost) for cost in costs]))
        return
    for cost in costs:
        print(
            f"{cost.nodes:4} nodes, {cost.replaced_share:4.0%} replaced: {cost.entries:5.1f} "
            f"entries, {cost.hops_mean:4.2f} hops (p95 {cost.hops_p95:.0f}), "
            f"{cost.timeouts_mean:4.2f} timeouts, {cost.bytes_mean:4.0f} B per look-up, "
            f"correct node {cost.found_share:6.1%}"
        )


if __name__ == "__main__":
    main()
