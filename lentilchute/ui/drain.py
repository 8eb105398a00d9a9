"""``lentilchute drain``: drain an upstream and wait for its requests in flight."""

import json
from dataclasses import dataclass
from typing import Annotated

import cappa
import trio
from result import Err

from ..errors import ExitCode, UserError
from ..ids import UpstreamId
from ..operators.cluster import ClusterStatus, fetch_cluster_status
from .nodes import Cluster, NodeOptions, open_cluster
from .progress import Progress
from .registry import register_command

POLL_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class DrainResult:
    """Outcome of a drain or its end.

    ``notified`` lists the nodes that know the upstream and accepted the request, ``unresponsive``
    those that did not answer or failed.
    """

    upstream: UpstreamId
    notified: tuple[str, ...]
    unresponsive: tuple[str, ...]
    in_flight: int
    is_undo: bool = False


@register_command("drain", help="Stop assigning new work to an upstream and wait until it is idle.")
@dataclass
class Drain(NodeOptions):
    """Drains the upstream on every node that answers; requests in flight run to their end."""

    upstream: Annotated[str, cappa.Arg(help="Name of the upstream.")]
    wait_s: Annotated[
        float, cappa.Arg(long=True, help="How long to wait until no request is in flight there.")
    ] = 300.0
    undo: Annotated[bool, cappa.Arg(long=True, help="End the drain instead.")] = False
    json: Annotated[bool, cappa.Arg(long=True, help="Print the result as JSON.")] = False

    def __call__(self) -> ExitCode:
        progress = Progress()
        try:
            result = trio.run(self._run, progress)
        finally:
            progress.close()
        print(as_json(result) if self.json else as_text(result))
        if result.in_flight:
            return ExitCode.FAILED
        return ExitCode.OK

    async def _run(self, progress: Progress) -> DrainResult:
        upstream = UpstreamId(self.upstream)
        addresses, key = self.addresses_and_key()
        async with open_cluster(self) as cluster:
            notified, failed = await _notify_nodes(upstream, cluster, undo=self.undo)
        if not notified:
            raise UserError(f"no node knows an upstream {upstream}")
        unresponsive = {node.name for node in cluster.status.unresponsive} | set(failed)
        if self.undo:
            return DrainResult(
                upstream, tuple(notified), tuple(sorted(unresponsive)), 0, is_undo=True
            )
        remaining = await _wait_idle(upstream, addresses, key, self.wait_s, progress)
        return DrainResult(upstream, tuple(notified), tuple(sorted(unresponsive)), remaining)


async def _notify_nodes(
    upstream: UpstreamId, cluster: Cluster, *, undo: bool
) -> tuple[list[str], list[str]]:
    """Drain or undrain on all nodes; return those that know the upstream, and those that failed."""
    notified: list[str] = []
    failed: list[str] = []
    for instance, client in sorted(cluster.clients.items()):
        result = await (client.undrain(upstream) if undo else client.drain(upstream))
        if isinstance(result, Err):
            failed.append(instance)
        elif result.ok_value.known:
            notified.append(instance)
    return notified, failed


async def _wait_idle(
    upstream: UpstreamId, addresses: list[str], key: str, wait_s: float, progress: Progress
) -> int:
    """Wait until the upstream is idle or ``wait_s`` has passed; return its requests in flight."""
    deadline_s = trio.current_time() + wait_s
    while True:
        remaining = in_flight_at(upstream, await fetch_cluster_status(addresses, key))
        if remaining == 0 or trio.current_time() >= deadline_s:
            return remaining
        progress.update(f"{upstream}: {remaining} requests in flight")
        await trio.sleep(POLL_INTERVAL_S)


def in_flight_at(upstream: UpstreamId, status: ClusterStatus) -> int:
    """Return the highest number of streams that any scheduler counts at the upstream."""
    counts = [
        entry.streams
        for node in status.nodes
        for shard in node.shards
        for entry in shard.upstreams
        if entry.upstream == upstream
    ]
    return max(counts, default=0)


def as_json(result: DrainResult) -> str:
    """Return the result as JSON, for scripts."""
    return json.dumps(
        {
            "upstream": result.upstream,
            "told": result.notified,
            "silent": result.unresponsive,
            "in_flight": result.in_flight,
        }
    )


def as_text(result: DrainResult) -> str:
    """Return the result as plain text."""
    if result.is_undo:
        return f"{result.upstream} may get new work again from {len(result.notified)} nodes"
    lines = [f"{result.upstream} gets no new work from {len(result.notified)} nodes"]
    if result.unresponsive:
        lines.append(f"no answer from: {', '.join(result.unresponsive)}")
    if result.in_flight:
        lines.append(f"{result.in_flight} requests are still in flight there")
    else:
        lines.append("nothing is in flight there")
    return "\n".join(lines)
