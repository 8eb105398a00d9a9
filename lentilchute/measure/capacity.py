"""``python -m lentilchute.measure.capacity``: cost of membership and messages by group size.

Runs the membership protocol of all nodes of a group in one process, without a network, and encodes
and decodes each heartbeat as a real node would. It measures a node's bandwidth, processor time and
memory for each group size and fits lines to them, and measures the size and the encoding and
decoding time of the messages on the request path. Prints a table, or JSON with ``--json``. Times
are processor time and depend on the machine; sizes do not.
"""

import argparse
import gc
import json
import platform
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from ..ids import (
    Attempt,
    AvailabilityZone,
    BlockHash,
    ClientAccountId,
    Fingerprint,
    IncarnationId,
    InstanceId,
    ModelName,
    RequestId,
    ServiceName,
    Tier,
    UpstreamId,
)
from ..peers.codec import decode_message, encode_message
from ..peers.frames import HEAD_BYTES
from ..peers.heartbeats import PeerAddress, PeerInfo
from ..peers.membership import Membership
from ..peers.roles import Role
from ..peers.settings import MembershipSettings
from ..scheduler import messages
from ..scheduler.tickets import EndState, Grant, InFlight, Ticket

GROUP_SIZES = (3, 9, 16, 34, 100, 340)
MEASURED_S = 30.0
WARM_UP_S = 15.0
TCP_IP_BYTES = 52
"""TCP and IP header bytes of one segment; each message is counted as one segment."""
CODEC_ROUNDS = 2_000
PROMPT_BLOCKS = 39
"""Number of full blocks in a prompt of 2,500 tokens."""
SERVICE = ServiceName("drafts")
ENTRY = InstanceId("entry-001")


@dataclass(frozen=True, slots=True)
class MembershipCost:
    """Mean cost of membership per node: heartbeat traffic, processor time and memory."""

    nodes: int
    sent_bytes_per_s: float
    messages_per_s: float
    cpu_us_per_s: float
    memory_bytes: float


@dataclass(frozen=True, slots=True)
class MessageCost:
    """Size and encoding and decoding times of one message."""

    message: str
    frame_bytes: int
    encode_us: float
    decode_us: float


@dataclass(frozen=True, slots=True)
class Slope:
    """Least-squares line over group sizes; ``spread`` is the largest absolute residual."""

    quantity: str
    per_node: float
    constant: float
    spread: float


def measure_membership(nodes: int, seed: int = 1) -> MembershipCost:
    """Run a group in virtual time and return the mean cost per node after the warm-up."""
    settings = MembershipSettings()
    rng = random.Random(seed)
    infos = [_peer_info(number) for number in range(nodes)]
    seeds = [PeerAddress(info.instance, info.address) for info in infos[:3]]
    gc.collect()
    tracemalloc.start()
    group = {
        info.instance: Membership(info, settings, random.Random(rng.random()), 0.0, seeds)
        for info in infos
    }
    sent_bytes = sent_messages = 0
    cpu_s = 0.0
    now_s = 0.0
    while now_s < WARM_UP_S + MEASURED_S:
        now_s += settings.heartbeat_interval_s
        is_measured = now_s > WARM_UP_S
        if is_measured and tracemalloc.is_tracing():
            memory_bytes = tracemalloc.get_traced_memory()[0] / nodes
            tracemalloc.stop()
        started_s = time.process_time()
        frames = _send_heartbeats(group, now_s)
        for instance, frame in frames:
            group[instance].received(decode_message(frame, now_s).unwrap(), now_s)
        if is_measured:
            cpu_s += time.process_time() - started_s
            sent_messages += len(frames)
            overhead = HEAD_BYTES + TCP_IP_BYTES
            sent_bytes += sum(len(frame) + overhead for _, frame in frames)
    alive = {len(member.alive(now_s)) for member in group.values()}
    if alive != {nodes}:
        raise RuntimeError(f"not all nodes see each other as alive; counts of live nodes: {alive}")
    per_node_second = 1.0 / (nodes * MEASURED_S)
    return MembershipCost(
        nodes,
        sent_bytes * per_node_second,
        sent_messages * per_node_second,
        cpu_s * per_node_second * 1e6,
        memory_bytes,
    )


def _send_heartbeats(
    group: dict[InstanceId, Membership], now_s: float
) -> list[tuple[InstanceId, bytes]]:
    frames = []
    for member in group.values():
        member.tick(now_s)
        for outgoing in member.heartbeat(now_s):
            frames.append((outgoing.instance, encode_message(outgoing.heartbeat, now_s)))
    return frames


def _peer_info(number: int) -> PeerInfo:
    instance = InstanceId(f"entry-{number:03}")
    return PeerInfo(
        instance=instance,
        incarnation=IncarnationId(f"{instance}.{number:012x}"),
        generation=1_796_000_000 + number,
        address=f"10.20.{number // 250}.{number % 250}:7101",
        callers_address=f"10.20.{number // 250}.{number % 250}:7100",
        zone=AvailabilityZone(f"zone-{number % 7}"),
        region=f"region-{number % 2}",
        roles=tuple(Role),
        operators_address=f"10.20.{number // 250}.{number % 250}:7102",
    )


def sample_messages() -> list[object]:
    """Return the messages sent for one streamed request, and a refresh of 64 tickets."""
    ticket = _build_ticket(1)
    grant = Grant(
        ticket.request_id, ticket.attempt, ENTRY, UpstreamId("engine-001"), 1.0, "wait 0.10 s"
    )
    progress_lines = tuple(
        messages.ProgressLine(RequestId(f"{ENTRY}.0123456789ab/{number}"), 100)
        for number in range(32)
    )
    in_flight = tuple(
        InFlight(_build_ticket(n), UpstreamId("engine-001"), 0.0, 9) for n in range(32)
    )
    waiting = tuple(_build_ticket(n) for n in range(32, 64))
    return [
        messages.Submit(ticket),
        messages.GrantNotice(SERVICE, grant),
        messages.Dispatched(SERVICE, ticket.request_id, ticket.attempt, grant.upstream),
        messages.Progress(SERVICE, progress_lines),
        messages.Ended(SERVICE, ticket.request_id, EndState.COMPLETE, 1_024),
        messages.SchedulerAck(SERVICE),
        messages.Refresh(SERVICE, ENTRY, waiting, in_flight),
    ]


def _build_ticket(number: int) -> Ticket:
    rng = random.Random(number)
    return Ticket(
        request_id=RequestId(f"{ENTRY}.0123456789ab/{number}"),
        attempt=Attempt(1),
        entry=ENTRY,
        zone=AvailabilityZone("zone-1"),
        service=SERVICE,
        tier=Tier(number % 4),
        client_account=ClientAccountId(f"account-{number % 340}"),
        deadline_s=30.0,
        prompt_tokens=2_500,
        max_output_tokens=256,
        model=ModelName("drafter"),
        fingerprint=Fingerprint(f"{rng.getrandbits(128):032x}"),
        prefix_hashes=tuple(BlockHash(rng.getrandbits(64)) for _ in range(PROMPT_BLOCKS)),
    )


def measure_message(message: object) -> MessageCost:
    """Measure the size of one message and its mean encoding and decoding times."""
    data = encode_message(message, 0.0)
    return MessageCost(
        type(message).__name__,
        len(data) + HEAD_BYTES,
        _mean_us(lambda: encode_message(message, 0.0)),
        _mean_us(lambda: decode_message(data, 0.0)),
    )


def _mean_us(call: Callable[[], object]) -> float:
    started_s = time.process_time()
    for _ in range(CODEC_ROUNDS):
        call()
    return (time.process_time() - started_s) / CODEC_ROUNDS * 1e6


def fit_line(quantity: str, points: list[tuple[float, float]]) -> Slope:
    """Fit a least-squares line to points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / variance
    constant = mean_y - slope * mean_x
    spread = max(abs(y - constant - slope * x) for x, y in points)
    return Slope(quantity, slope, constant, spread)


def fit_slopes(costs: list[MembershipCost]) -> list[Slope]:
    """Fit lines separately to full-mesh groups and to larger groups, which gossip."""
    mesh_limit = MembershipSettings().full_mesh_nodes
    slopes = []
    for name, group_costs in (
        ("full mesh", [cost for cost in costs if cost.nodes <= mesh_limit]),
        ("gossip", [cost for cost in costs if cost.nodes > mesh_limit]),
    ):
        if len(group_costs) < 2:
            continue
        slopes += [
            fit_line(f"{name}: sent bytes/s", [(c.nodes, c.sent_bytes_per_s) for c in group_costs]),
            fit_line(f"{name}: processor us/s", [(c.nodes, c.cpu_us_per_s) for c in group_costs]),
            fit_line(f"{name}: memory bytes", [(c.nodes, c.memory_bytes) for c in group_costs]),
        ]
    return slopes


def main() -> None:
    """Run all measurements and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--nodes", type=int, nargs="+", default=list(GROUP_SIZES))
    arguments = parser.parse_args()
    costs = [measure_membership(nodes) for nodes in arguments.nodes]
    message_costs = [measure_message(message) for message in sample_messages()]
    slopes = fit_slopes(costs)
    if arguments.json:
        groups: dict[str, list[Any]] = {
            "membership": costs,
            "messages": message_costs,
            "slopes": slopes,
        }
        print(json.dumps({name: [asdict(row) for row in rows] for name, rows in groups.items()}))
        return
    print(f"Python {platform.python_version()}, {platform.machine()}")
    for cost in costs:
        print(
            f"{cost.nodes:4} nodes: {cost.sent_bytes_per_s:7.0f} B/s in {cost.messages_per_s:5.1f} "
            f"messages/s, {cost.cpu_us_per_s:7.0f} us/s, {cost.memory_bytes / 1024:6.1f} KiB"
        )
    for line in slopes:
        print(
            f"{line.quantity}: {line.per_node:.2f} per node + {line.constant:.0f}, "
            f"spread {line.spread:.0f}"
        )
    for size in message_costs:
        print(
            f"{size.message:14} {size.frame_bytes:6} B, encode {size.encode_us:6.1f} us, "
            f"decode {size.decode_us:6.1f} us"
        )


if __name__ == "__main__":
    main()
