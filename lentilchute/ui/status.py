"""``lentilchute status``: show the state of all nodes, services and upstreams."""

import json
from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import trio

from ..errors import ExitCode
from ..ids import DocumentVersion, ServiceName
from ..operators.api import StatusAnswer, UpstreamAnswer
from ..operators.cluster import ClusterStatus
from .nodes import NodeOptions, open_cluster
from .registry import register_command
from .text_table import columns


@register_command("status", help="Show nodes, versions in force, upstreams and queued work.")
@dataclass
class Status(NodeOptions):
    """Queries every node and lists those that do not answer."""

    json: Annotated[bool, cappa.Arg(long=True, help="Print the state as JSON.")] = False

    def __call__(self) -> ExitCode:
        status = trio.run(self._fetch_status)
        print(as_json(status) if self.json else as_text(status))
        return ExitCode.OK

    async def _fetch_status(self) -> ClusterStatus:
        async with open_cluster(self) as cluster:
            return cluster.status


@dataclass(frozen=True, slots=True)
class ServiceSummary:
    """The state of one service on all nodes."""

    versions: dict[int, list[str]]
    """Nodes by the version in force on them; version 0 means that the service is unknown."""
    waiting: Counter[str]
    in_flight: Counter[str]
    upstreams: dict[str, UpstreamAnswer]


def summarize(status: ClusterStatus) -> dict[ServiceName, ServiceSummary]:
    """Aggregate the state of each service over all nodes."""
    names: set[ServiceName] = set()
    for node in status.nodes:
        names |= node.documents.keys()
        names |= {shard.service for shard in node.shards}
    return {name: _summary(status.nodes, name) for name in sorted(names)}


def _summary(nodes: tuple[StatusAnswer, ...], service: ServiceName) -> ServiceSummary:
    versions: dict[int, list[str]] = defaultdict(list)
    waiting: Counter[str] = Counter()
    in_flight: Counter[str] = Counter()
    upstreams: dict[str, UpstreamAnswer] = {}
    for node in nodes:
        versions[node.documents.get(service, DocumentVersion(0))].append(node.instance)
        for shard in node.shards:
            if shard.service == service:
                waiting.update(shard.waiting)
                in_flight.update(shard.in_flight)
                upstreams.update({entry.upstream: entry for entry in shard.upstreams})
    return ServiceSummary(dict(versions), waiting, in_flight, upstreams)


def as_json(status: ClusterStatus) -> str:
    """Return the state as JSON, for scripts."""
    value: dict[str, Any] = {
        "nodes": [node.model_dump(mode="json") for node in status.nodes],
        "silent": [{"name": node.name, "reason": node.reason} for node in status.unresponsive],
    }
    return json.dumps(value)


def as_text(status: ClusterStatus) -> str:
    """Return the state as plain text."""
    parts = [_nodes_text(status)]
    for name, summary in summarize(status).items():
        parts.append(_service_text(name, summary))
    return "\n\n".join(parts)


def _nodes_text(status: ClusterStatus) -> str:
    rows = [("node", "zone", "state", "build", "notes")]
    for node in status.nodes:
        faults = [f"no answer from {name}" for name in node.platform_faults]
        build = node.build or "not stated"
        rows.append((node.instance, node.availability_zone, _state(node), build, ", ".join(faults)))
    for unresponsive in status.unresponsive:
        rows.append((unresponsive.name, "", "no answer", "", unresponsive.reason))
    return columns(rows)


def _state(node: StatusAnswer) -> str:
    if node.stopping:
        return "stopping"
    return "ready" if node.ready else "not ready"


def _service_text(name: str, summary: ServiceSummary) -> str:
    lines = [f"service {name}: {_versions_text(summary.versions)}"]
    # Nodes list tiers from the highest to the lowest.
    tiers = list(dict.fromkeys([*summary.waiting, *summary.in_flight]))
    if tiers:
        rows = [("tier", "waiting", "in flight")]
        for tier in tiers:
            rows.append((tier, str(summary.waiting[tier]), str(summary.in_flight[tier])))
        lines.append(columns(rows, indent="  "))
    if summary.upstreams:
        upstream_rows = [("upstream", "state", "streams", "prompt tokens", "prefill/s", "decode/s")]
        upstream_rows += [_upstream_row(entry) for _, entry in sorted(summary.upstreams.items())]
        lines.append(columns(upstream_rows, indent="  "))
    return "\n".join(lines)


def _versions_text(versions: dict[int, list[str]]) -> str:
    if len(versions) == 1:
        return f"version {next(iter(versions))} in force on all nodes that answer"
    parts = [f"{version} on {', '.join(nodes)}" for version, nodes in sorted(versions.items())]
    return "versions differ: " + "; ".join(parts)


def _upstream_state(entry: UpstreamAnswer) -> str:
    if entry.leaving:
        return "leaving"
    return "declined" if entry.declined else "in use"


def _upstream_row(entry: UpstreamAnswer) -> tuple[str, str, str, str, str, str]:
    return (
        entry.upstream,
        _upstream_state(entry),
        f"{entry.streams}/{entry.stream_limit}",
        f"{entry.outstanding_prompt_tokens}/{entry.prompt_token_limit}",
        f"{entry.prefill_tokens_per_s:.0f}",
        f"{entry.decode_tokens_per_s:.1f}",
    )
