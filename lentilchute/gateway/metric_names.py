"""Names of a gateway node's metrics; ``docs/OPERATIONS.md`` explains how to read them.

Labels have few values: services, outcomes and kinds of calls; only the gauges of an upstream carry
its id.
"""

from collections.abc import Callable, Iterable

from ..util.lean_dataclasses import dataclass

METRICS_PATH = "/metrics"

COUNTERS = (
    "lentilchute.gateway.requests",
    "lentilchute.gateway.attempts",
    "lentilchute.gateway.store.calls",
    "lentilchute.gateway.coordinator.silences",
    "lentilchute.gateway.returned_places",
    "lentilchute.gateway.crashed_requests",
    "lentilchute.gateway.unreachable",
    "lentilchute.gateway.prompt_tokens",
)
HISTOGRAMS = (
    "lentilchute.gateway.wait.duration",
    "lentilchute.gateway.first_event.duration",
    "lentilchute.gateway.longest_pause.duration",
)


@dataclass(frozen=True, slots=True)
class Gauge:
    """One value of a gauge, with its labels."""

    name: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


GAUGES = {
    "lentilchute.gateway.ready": "1 while the node is ready.",
    "lentilchute.gateway.coordinating": "1 while the node coordinates, as it sees it itself.",
    "lentilchute.gateway.requests.open": "Requests in progress.",
    "lentilchute.gateway.tickets.waiting": "Tickets that wait here, by service.",
    "lentilchute.gateway.room.rate": "Waiting tickets that find room in a second, as forecast.",
    "lentilchute.gateway.room.placed_share": (
        "Part of the requests of a client account, zone or kind that got room while others waited."
    ),
    "lentilchute.gateway.nodes.alive": "Nodes alive, as this one sees them.",
    "lentilchute.gateway.peers.unknown_messages": (
        "Messages or values of later builds, left unread."
    ),
    "lentilchute.gateway.peers.withheld_messages": (
        "Messages that peers of earlier builds were not sent."
    ),
    "lentilchute.gateway.peers.silent_links": (
        "Connections to peers that were replaced because nothing arrived over them."
    ),
    "lentilchute.gateway.nodes.covered": "Nodes whose shares of quotas this one spends.",
    "lentilchute.gateway.prompt_parts.blocked": "Parts of prompts that crash upstreams.",
    "lentilchute.gateway.held.bytes": "Bytes held for callers and peers, as counted.",
    "lentilchute.gateway.held.room": "Bytes that may be held, if the settings limit the memory.",
    "lentilchute.gateway.held.given_up": "Callers given up for want of memory, by state.",
    "lentilchute.gateway.connections.open": "Open connections to a server of the node.",
    "lentilchute.gateway.connections.refused": (
        "Connections turned away since the start, for want of places or memory."
    ),
    "lentilchute.gateway.connections.displaced": (
        "Connections closed since the start, as new ones needed their place."
    ),
    "lentilchute.gateway.memory.peak": "Most memory that the process has used, in bytes.",
    "lentilchute.gateway.config.version": "Version of the configuration in force here.",
    "lentilchute.gateway.knowledge.age": "Age of the copy of a store table, in seconds.",
    "lentilchute.gateway.upstream.running": "Requests at an upstream, as known here.",
    "lentilchute.gateway.upstream.pace": "Milliseconds to a first event per thousand tokens.",
    "lentilchute.gateway.upstream.slowdown": "How long work takes, relative to what is usual.",
    "lentilchute.gateway.upstream.failure_rate": "Part of recent requests that failed.",
    "lentilchute.gateway.upstream.limit": "Requests a second that an upstream takes, if limited.",
    "lentilchute.gateway.retry_budget.left": "Repeats that may still be sent, by service.",
    "lentilchute.gateway.quota.used": "Part of an account's quota used in the last window.",
    "lentilchute.gateway.rollout.running": "1 while a service's roll-out has no outcome yet.",
    "lentilchute.gateway.rollout.exposed": "Requests that a version may have got unjudged.",
    "lentilchute.gateway.rollout.bad": "1 if the version of a roll-out was judged bad.",
    "lentilchute.gateway.loop.lag": "How late the event loop woke last, in seconds.",
}
"""All gauges with their descriptions."""

GaugeSource = Callable[[], Iterable[Gauge]]
