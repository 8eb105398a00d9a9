"""``python -m lentilchute.measure.coordinator_cost``: processor time of a coordinator.

Nodes submit tickets to one placement registry in virtual time. Placed requests run for a while and
are reported as ended in batches; waiting tickets are polled; nodes send refreshes, and digests go
out. The table shows the processor time of each kind of work as a share of a core. ``messages`` is
the decoding and encoding of placement requests, replies and reports, without links.
"""

import gc
import heapq
import itertools
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Annotated

import cappa

from ..gateway.fleet import UpstreamListing, UpstreamState
from ..gateway.messages import (
    NOT_MEASURED,
    LoadRefresh,
    LoadReports,
    PlacementReply,
    PlacementRequest,
    ReplyState,
    Report,
    RunningTicket,
)
from ..gateway.placement_registry import PlacementRegistry, Scope
from ..gateway.settings import GatewaySettings
from ..gateway.tickets import Decision, Placement, Ticket, TicketKey
from ..ids import (
    AvailabilityZone,
    ClientAccountId,
    IncarnationId,
    ServiceName,
    SoftwareVersion,
    Tier,
    UpstreamId,
)
from ..peers.codec import decode_message, encode_message
from ..util.checked_yaml import default_settings, load_over_defaults

SERVICE = ServiceName("scribe")
ZONES = tuple(AvailabilityZone(name) for name in ("zone-1", "zone-2", "zone-3"))
ACCOUNTS = tuple(ClientAccountId(f"account-{number}") for number in range(16))
POLL_INTERVAL_S = 0.02
NODE_SETTINGS = """
instance: node-1
availability_zone: zone-1
region: region-1
listen: {callers: "127.0.0.1:1", readiness: "127.0.0.1:2", directory: "127.0.0.1:3",
  peers: "127.0.0.1:4", metrics: "127.0.0.1:5"}
store: {address: "127.0.0.1:6"}
shared_key: key-of-the-measure
"""
OBJECTIVES_S = (0.6, 0.6, 1.0)
"""Latency objective of each tier."""


@dataclass
class CoordinatorCost:
    """Measure the coordinator's decisions in virtual time."""

    nodes: Annotated[int, cappa.Arg(long=True)] = 110
    upstreams: Annotated[int, cappa.Arg(long=True)] = 112
    slots: Annotated[int, cappa.Arg(long=True)] = 7
    per_s: Annotated[float, cappa.Arg(long=True)] = 1_200.0
    """Tickets a second."""
    load: Annotated[list[float], cappa.Arg(long=True, num_args=-1)] = field(
        default_factory=lambda: [0.7, 2.0]
    )
    """Offered work as a multiple of the upstreams' slots."""
    seconds: Annotated[float, cappa.Arg(long=True)] = 5.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1


class CoordinatorLoad:
    """One placement registry under the load of many nodes."""

    def __init__(self, options: CoordinatorCost, load: float, settings: GatewaySettings) -> None:
        self._options = options
        self._settings = settings
        self._rng = random.Random(options.seed)
        self._mean_s = load * options.upstreams * options.slots / options.per_s
        self._registry = PlacementRegistry(settings, self._rng)
        self._registry.scope = Scope(options.nodes, options.nodes)
        self._registry.dispatcher(SERVICE).set_upstreams(_listings(options), options.slots)
        self._nodes = [IncarnationId(f"node-{number}.1") for number in range(options.nodes)]
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._running: dict[IncarnationId, dict[int, tuple[UpstreamId, float]]] = defaultdict(dict)
        self._reports: dict[IncarnationId, list[Report]] = defaultdict(list)
        self.cpu_s: dict[str, float] = defaultdict(float)
        self.outcomes: Counter[str] = Counter()

    def run(self) -> None:
        """Play the load."""
        self._at(0.0, self._arrive)
        self._at(POLL_INTERVAL_S, self._poll)
        for node in self._nodes:
            interval_s = self._settings.dispatch.refresh_interval_s
            self._at(interval_s * self._rng.random(), self._refresh_of(node))
        self._at(self._settings.dispatch.digest_interval_s, self._digest)
        while self._events and self._events[0][0] < self._options.seconds:
            at_s, _, act = heapq.heappop(self._events)
            act(at_s)

    def _at(self, at_s: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), act))

    @contextmanager
    def _timed(self, kind: str) -> Iterator[None]:
        started_s = time.process_time()
        yield
        self.cpu_s[kind] += time.process_time() - started_s

    def _arrive(self, now_s: float) -> None:
        self._at(now_s + self._rng.expovariate(self._options.per_s), self._arrive)
        ticket = self._new_ticket(now_s)
        data = encode_message(_request(ticket, now_s), now_s)
        with self._timed("messages"):
            decode_message(data, now_s)
        with self._timed("submit"):
            decision = self._registry.submit(ticket, now_s)
        self.outcomes["requests"] += 1
        if decision is None:
            self.outcomes["waited"] += 1
        else:
            self._decided(ticket, decision, now_s)

    def _new_ticket(self, now_s: float) -> Ticket:
        tier = self._rng.choice((0, 1, 2, 2))
        tokens = (6_610, 628, 1_800)[tier]
        return Ticket(
            key=TicketKey(self._rng.choice(self._nodes), self.outcomes["requests"]),
            zone=self._rng.choice(ZONES),
            service=SERVICE,
            tier=Tier(tier),
            prompt_tokens=int(tokens * self._rng.lognormvariate(0, 0.7)),
            expected_events=30.0,
            max_events=300.0,
            arrived_s=now_s,
            objective_s=OBJECTIVES_S[tier],
            deadline_s=now_s + 10.0,
            may_repeat=True,
            account=self._rng.choice(ACCOUNTS),
            route=f"kind-{tier}",
            subject=f"subject-{self._rng.randrange(40)}",
            size=float(tokens),
            caller=f"{self.outcomes['requests']:016x}",
        )

    def _decided(self, ticket: Ticket, decision: Decision, now_s: float) -> None:
        with self._timed("messages"):
            encode_message(_reply(ticket, decision), now_s)
        if not isinstance(decision, Placement):
            self.outcomes["refused"] += 1
            return
        self.outcomes["placed"] += 1
        node, number = ticket.key
        upstream = decision.listing.upstream
        self._running[node][number] = upstream, now_s
        ends_s = now_s + self._mean_s * self._rng.lognormvariate(-0.125, 0.5)
        self._at(ends_s, lambda at_s: self._end(ticket, upstream, at_s - now_s, at_s))

    def _end(self, ticket: Ticket, upstream: UpstreamId, took_s: float, now_s: float) -> None:
        node, number = ticket.key
        del self._running[node][number]
        if not self._reports[node]:
            at_s = now_s + self._settings.dispatch.report_interval_s
            self._at(at_s, lambda sent_s: self._report(node, sent_s))
        self._reports[node].append(_end_report(number, upstream, took_s))

    def _report(self, node: IncarnationId, now_s: float) -> None:
        data = encode_message(LoadReports(node, tuple(self._reports.pop(node))), now_s)
        with self._timed("messages"):
            reports = decode_message(data, now_s).unwrap()
        with self._timed("reports"):
            for report in reports.items:
                self._registry.record_report(node, report, now_s)
        self._poll_once(now_s, only_placements=True)

    def _poll(self, now_s: float) -> None:
        self._at(now_s + POLL_INTERVAL_S, self._poll)
        self._poll_once(now_s)

    def _poll_once(self, now_s: float, *, only_placements: bool = False) -> None:
        with self._timed("poll"):
            decided = self._registry.poll(SERVICE, now_s, only_placements=only_placements)
        for ticket, decision in decided:
            self._decided(ticket, decision, now_s)

    def _refresh_of(self, node: IncarnationId) -> Callable[[float], None]:
        def refresh(now_s: float) -> None:
            self._at(now_s + self._settings.dispatch.refresh_interval_s, refresh)
            running = tuple(
                RunningTicket(number, SERVICE, upstream, 1_000, 5_000, now_s - sent_s, True)
                for number, (upstream, sent_s) in self._running[node].items()
            )
            data = encode_message(LoadRefresh(node, running, (), (), 0.0, (), ()), now_s)
            with self._timed("refreshes"):
                self._registry.apply_refresh(decode_message(data, now_s).unwrap(), now_s)

        return refresh

    def _digest(self, now_s: float) -> None:
        self._at(now_s + 2 * self._settings.dispatch.digest_interval_s, self._digest)
        with self._timed("digests"):
            digest = self._registry.digest(now_s)
            encode_message(digest, now_s)


def _listings(options: CoordinatorCost) -> list[UpstreamListing]:
    return [
        UpstreamListing(
            upstream=UpstreamId(f"upstream-{number}"),
            service=SERVICE,
            address="127.0.0.1:1",
            zone=ZONES[number % len(ZONES)],
            slots=options.slots,
            state=UpstreamState.READY,
            started_ms=1,
            version=SoftwareVersion("v1"),
        )
        for number in range(options.upstreams)
    ]


def _request(ticket: Ticket, now_s: float) -> PlacementRequest:
    return PlacementRequest(
        node=ticket.key.node,
        zone=ticket.zone,
        number=ticket.key.number,
        service=ticket.service,
        tier=ticket.tier,
        prompt_tokens=ticket.prompt_tokens,
        expected_events=ticket.expected_events,
        max_events=ticket.max_events,
        waited_s=0.0,
        objective_s=ticket.objective_s,
        time_left_s=ticket.deadline_s - now_s,
        may_repeat=True,
        is_repeat=False,
        excluded=(),
        account=ticket.account or ClientAccountId(""),
        cost=0.0,
        route=ticket.route,
        subject=ticket.subject,
        size=ticket.size,
        caller=ticket.caller,
    )


def _reply(ticket: Ticket, decision: Decision) -> PlacementReply:
    is_placed = isinstance(decision, Placement)
    return PlacementReply(
        number=ticket.key.number,
        state=ReplyState.PLACED if is_placed else ReplyState.REFUSED,
        upstream=decision.listing.upstream if isinstance(decision, Placement) else UpstreamId(""),
        started_ms=1,
        expected_s=0.1,
        gap_s=0.01,
        miss_probability=0.0,
        work_tokens=5_000,
        running=1,
        pace_ms=10.0,
        failure_rate=0.0,
        reason="",
        retry_after_s=0.0,
    )


def _end_report(number: int, upstream: UpstreamId, took_s: float) -> Report:
    return Report(
        number=number,
        service=SERVICE,
        upstream=upstream,
        first_event_s=0.3 * took_s,
        gap_ms=20.0,
        failure=0.0,
        ended=True,
        unreachable=False,
        pause_s=NOT_MEASURED,
    )


def _settings() -> GatewaySettings:
    """Return the default settings; the measure binds no address."""
    defaults = default_settings("lentilchute.gateway", "gateway_default.yaml")
    return load_over_defaults(NODE_SETTINGS, "node.yaml", GatewaySettings, defaults).unwrap()


def main(options: CoordinatorCost) -> None:
    """Measure each load and print a table."""
    for load in options.load:
        played = CoordinatorLoad(options, load, _settings())
        gc.collect()
        played.run()
        print(f"load {load:g}, {options.per_s:g} tickets/s, {options.nodes} nodes:", end=" ")
        print(", ".join(f"{name} {count}" for name, count in played.outcomes.items()))
        for kind, cpu_s in sorted(played.cpu_s.items(), key=lambda item: -item[1]):
            print(f"  {kind:<10} {cpu_s / options.seconds:7.3f} of a core")
        print(f"  {'total':<10} {sum(played.cpu_s.values()) / options.seconds:7.3f} of a core")


if __name__ == "__main__":
    main(cappa.parse(CoordinatorCost))
