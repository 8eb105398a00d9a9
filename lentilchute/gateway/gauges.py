"""Collects the gauges of a node for its metrics page."""

import resource
from collections.abc import Iterator

from .context import GatewayContext
from .metric_names import Gauge
from .reading import ReadingController
from .rollouts.judgement import Verdict

PREFIX = "lentilchute.gateway."
MAXRSS_UNIT_BYTES = 1024
"""Linux reports ``ru_maxrss`` in units of 1024 bytes."""


def read_gauges(context: GatewayContext, open_requests: int, loop_lag_s: float) -> Iterator[Gauge]:
    """Yield the current value of every gauge of a node."""
    now_s = context.now_s()
    yield Gauge(f"{PREFIX}ready", float(context.is_ready))
    yield Gauge(f"{PREFIX}coordinating", float(context.choice.is_coordinator))
    yield Gauge(f"{PREFIX}requests.open", open_requests)
    yield Gauge(f"{PREFIX}nodes.alive", len(context.membership.alive(now_s)))
    yield Gauge(f"{PREFIX}peers.unknown_messages", context.links.unknown_messages)
    yield Gauge(f"{PREFIX}peers.withheld_messages", context.links.withheld_messages)
    yield Gauge(f"{PREFIX}peers.silent_links", context.links.silent_links)
    yield Gauge(f"{PREFIX}nodes.covered", context.placements.scope.covered)
    yield Gauge(f"{PREFIX}loop.lag", loop_lag_s)
    blocked_parts = context.prompt_part_guard.blocked_count(now_s)
    yield Gauge(f"{PREFIX}prompt_parts.blocked", blocked_parts)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    yield Gauge(f"{PREFIX}memory.peak", peak * MAXRSS_UNIT_BYTES)
    yield Gauge(f"{PREFIX}held.bytes", context.memory.held_bytes)
    if context.memory.is_bounded:
        yield Gauge(f"{PREFIX}held.room", context.memory.room_bytes)
    for state, count in context.memory.given_up.items():
        yield Gauge(f"{PREFIX}held.given_up", count, (("state", state.value),))
    for listener, server in context.servers.items():
        server_labels = (("listener", listener.value),)
        yield Gauge(f"{PREFIX}connections.open", server.connection_count, server_labels)
        yield Gauge(f"{PREFIX}connections.refused", server.refused_connections, server_labels)
        yield Gauge(f"{PREFIX}connections.displaced", server.displaced_connections, server_labels)
    if context.config is not None:
        yield Gauge(f"{PREFIX}config.version", context.config.version)
    for table, age_s in context.controller(ReadingController).ages_s(now_s).items():
        yield Gauge(f"{PREFIX}knowledge.age", age_s, (("table", table),))
    for account, share in context.placements.quotas.used_shares(now_s).items():
        yield Gauge(f"{PREFIX}quota.used", share, (("account", str(account)),))
    yield from _rollout_gauges(context)
    for service, dispatcher in context.placements.dispatchers.items():
        labels = (("service", str(service)),)
        yield Gauge(f"{PREFIX}tickets.waiting", dispatcher.waiting, labels)
        if dispatcher.waiting:
            yield Gauge(f"{PREFIX}room.rate", dispatcher.room_per_s(now_s), labels)
        for item in dispatcher.placed_shares(now_s):
            share_labels = (
                *labels,
                ("tier", str(item.tier)),
                ("group", item.group),
                ("value", str(item.value)),
            )
            yield Gauge(f"{PREFIX}room.placed_share", item.share, share_labels)
        remaining = context.placements.budget.remaining(
            service, context.placements.scope.share, now_s
        )
        yield Gauge(f"{PREFIX}retry_budget.left", remaining, labels)
        for model in dispatcher.models():
            load = model.load(now_s)
            upstream_labels = (*labels, ("upstream", str(load.upstream)))
            yield Gauge(f"{PREFIX}upstream.running", load.running, upstream_labels)
            yield Gauge(
                f"{PREFIX}upstream.failure_rate", model.failure_rate(now_s), upstream_labels
            )
            if load.limit_per_s is not None:
                yield Gauge(f"{PREFIX}upstream.limit", load.limit_per_s, upstream_labels)
            if model.states_slowdown:
                slowdown = model.slowdown(now_s)
                yield Gauge(f"{PREFIX}upstream.slowdown", slowdown, upstream_labels)
            if load.pace_weight > 0.1:
                yield Gauge(f"{PREFIX}upstream.pace", load.pace_ms, upstream_labels)


def _rollout_gauges(context: GatewayContext) -> Iterator[Gauge]:
    tracker = context.placements.rollouts
    for rollout in () if tracker is None else tracker.rollouts():
        record = rollout.record
        labels = (("service", str(rollout.order.service)), ("version", str(rollout.order.to)))
        yield Gauge(f"{PREFIX}rollout.running", float(not rollout.is_ended), labels)
        if record is not None:
            yield Gauge(f"{PREFIX}rollout.exposed", record.exposed, labels)
            yield Gauge(f"{PREFIX}rollout.bad", float(rollout.verdict is Verdict.BAD), labels)
