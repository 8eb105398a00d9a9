"""The system under test: nodes, upstreams, a platform, the links between them, and callers."""

import random
from collections import Counter
from dataclasses import dataclass

from entry_fixtures import REQUEST
from system_nodes import SimNode
from system_oracle import (
    SHEDS,
    TICKET_VISIBLE_AFTER_FAULT_S,
    TICKET_VISIBLE_S,
    CallerRecord,
    Oracle,
)
from system_platform import FakePlatform
from system_upstreams import FakeUpstream
from system_world import World

from lentilchute.document import (
    AccountEntry,
    ServiceDocument,
    TierEntry,
    UpstreamEntry,
    UpstreamGroup,
    UpstreamKind,
)
from lentilchute.entry.actions import AcceptedRequest
from lentilchute.ids import ClientAccountId, Fingerprint, IdempotencyKey, ServiceName, Tier

NODES = ("entry-1", "entry-2", "entry-3")
DRAFTS = "drafts"
LEDGER = "ledger"
UPSTREAMS = {DRAFTS: ("engine-1", "engine-2", "engine-3"), LEDGER: ("book-1", "book-2")}
ANSWER_LIFETIME_S = 10.0
POISON = "poison"
"""Content that crashes every engine that runs it."""


def document(service: str, kind: UpstreamKind, max_streams: int) -> ServiceDocument:
    """Return a small document whose tiers have short queues, so that they shed requests."""
    members = tuple(
        UpstreamEntry(name=name, address="127.0.0.1:1", availability_zone="zone-1")
        for name in UPSTREAMS[service]
    )
    return ServiceDocument(
        service=service,
        upstreams=(UpstreamGroup(kind=kind, members=members, max_streams=max_streams),),
        tiers=tuple(TierEntry(name=f"tier-{rank}", max_waiting=2) for rank in range(3)),
        client_accounts=(AccountEntry(name="notary-1", key_sha256="0" * 64),),
    )


@dataclass
class Lookup:
    """The entries that a node named to a caller, as the caller caches them."""

    names: list[str]
    looked_up_s: float


class System:
    """Three nodes, three engines, two plain services, a platform, and callers."""

    def __init__(self, seed: int, coverage: Counter[str]) -> None:
        self.world = World(seed, coverage)
        self.rng = random.Random(seed)
        self.platform = FakePlatform(self.world)
        self.oracle = Oracle(coverage)
        self.documents = {
            DRAFTS: document(DRAFTS, UpstreamKind.ENGINE, 2),
            LEDGER: document(LEDGER, UpstreamKind.PLAIN, 1),
        }
        self.upstreams = {
            name: FakeUpstream(name, service == DRAFTS, self.world, self.oracle)
            for service, names in UPSTREAMS.items()
            for name in names
        }
        self.nodes: dict[str, SimNode] = {}
        for name in NODES:
            self.nodes[name] = SimNode(name, self)
        for node in self.nodes.values():
            node.start()
        self.run_for(2.0)
        self.lookup = Lookup(list(NODES), self.world.now_s)

    def run_for(self, duration_s: float) -> None:
        self.world.run_until(self.world.now_s + duration_s)

    def run_briefly(self) -> None:
        """Run for a short random time, so that the next fault can occur at any point."""
        self.run_for(self.rng.choice([0.0, 0.002, 0.01, 0.05, 0.2, 0.8]))

    def up_nodes(self) -> list[SimNode]:
        return [node for node in self.nodes.values() if node.is_up]

    def serving_nodes(self) -> list[SimNode]:
        return [node for node in self.up_nodes() if not node.is_stopping]

    def check_shed(self, record: CallerRecord) -> None:
        """Check a refusal by overload against the tickets that wait at all entries."""
        refusal = record.refusal
        if refusal is None or refusal.reason not in SHEDS or record.shed_s is None:
            return
        is_undisturbed = self.world.now_s - self.world.last_fault_s > TICKET_VISIBLE_AFTER_FAULT_S
        lower = [
            other
            for node in self.up_nodes()
            if self._may_know_tickets_of(record.shed_by or record.entry, node)
            for ticket in node.entry.refresh(ServiceName(record.service), self.world.now_s)[0]
            if (other := self.oracle.by_request[ticket.request_id]).tier > record.tier
            and other.shed_s is None
        ]
        visible_after_s = TICKET_VISIBLE_S if is_undisturbed else TICKET_VISIBLE_AFTER_FAULT_S
        self.oracle.check_shed(record, lower, visible_after_s, record.shed_s)

    def _may_know_tickets_of(self, scheduler: str, entry: SimNode) -> bool:
        """Return whether a scheduler could have received an entry's tickets.

        It could not while the entry's process is frozen or the link between the two is cut. Neither
        can then displace the other's tickets, and each serves only the tickets that it has.
        """
        unreachable_until_s = max(
            entry.frozen_until_s, self.world.cut_until_s(scheduler, entry.name)
        )
        return self.world.now_s - unreachable_until_s > TICKET_VISIBLE_AFTER_FAULT_S

    # Callers.

    def look_up(self) -> None:
        """Ask a random node which entries to use; callers cache the answer for its lifetime."""
        awake = [node for node in self.serving_nodes() if node.frozen_until_s <= self.world.now_s]
        if awake:
            node = self.rng.choice(awake)
            names = [info.instance for info in node.membership.alive(self.world.now_s)]
            self.lookup = Lookup(list(names), self.world.now_s)

    def send(
        self,
        node: int,
        service: str,
        tier: int,
        deadline_s: float,
        key: str | None,
        content: str | None,
    ) -> None:
        if self.world.now_s - self.lookup.looked_up_s > ANSWER_LIFETIME_S:
            self.look_up()
        if not self.lookup.names or self.world.now_s - self.lookup.looked_up_s > ANSWER_LIFETIME_S:
            return
        serial = len(self.oracle.records)
        record = CallerRecord(
            serial=serial,
            service=service,
            tier=tier,
            entry=self.lookup.names[node % len(self.lookup.names)],
            sent_s=self.world.now_s,
            deadline_s=self.world.now_s + deadline_s,
            key=key,
            content=content or f"content-{serial}",
            is_engine=service == DRAFTS,
            is_poison=content == POISON,
        )
        self.oracle.records[serial] = record
        self.world.after(self.world.latency_s(), lambda: self._arrive(record, deadline_s))

    def _arrive(self, record: CallerRecord, deadline_s: float) -> None:
        node = self.nodes[record.entry]
        if not node.is_up:
            assert (
                not node.ended_by_stop
            ), f"{node.name} stopped while callers may still use its address"
            record.end = "no connection"
            return
        record.has_arrived = True

        def accept() -> None:
            # The deadline header holds seconds, counted from when the entry reads the request.
            record.deadline_s = self.world.now_s + deadline_s
            node.accept(record, _request(record, record.deadline_s))

        node.guard(accept)()

    # Checks.

    def check_deadlines(self) -> None:
        """Check that requests are answered by their deadlines, except at frozen processes."""
        self.oracle.check_deadlines(self.world.now_s, lambda name: self.nodes[name].frozen_until_s)

    def leaks(self) -> list[str]:
        """Return the requests, claims, tickets and slots that are still open."""
        leaks = [f"{record} open" for record in self.oracle.records.values() if record.is_open]
        for node in self.up_nodes():
            leaks += self._leaks_of(node)
        return leaks

    def _leaks_of(self, node: SimNode) -> list[str]:
        leaks = [] if node.claims.is_idle else [f"{node.name} has open claims"]
        for service in UPSTREAMS:
            outstanding = node.entry.refresh(ServiceName(service), self.world.now_s)
            if outstanding != ([], []):
                leaks.append(f"{node.name} still has requests {outstanding}")
        for scheduler in node.schedulers.values():
            status = scheduler.status(self.world.now_s)
            if any(status.waiting.values()) or any(status.in_flight.values()):
                leaks.append(f"{node.name} has tickets or slots: {status}")
        return leaks


def _request(record: CallerRecord, deadline_s: float) -> AcceptedRequest:
    return AcceptedRequest(
        service=ServiceName(record.service),
        method="POST",
        path="/v1/chat/completions" if record.is_engine else "/postings",
        headers=(),
        body=str(record.serial).encode(),
        streaming=record.is_engine,
        tier=Tier(record.tier),
        client_account=ClientAccountId("notary-1"),
        deadline_s=deadline_s,
        prompt_tokens=10,
        max_output_tokens=8,
        model=REQUEST.model,
        fingerprint=Fingerprint(record.content),
        idempotent=record.key is None,
        idempotency_key=IdempotencyKey(record.key) if record.key is not None else None,
    )
