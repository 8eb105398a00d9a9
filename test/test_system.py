"""The whole system against a simple oracle: real decision code of several nodes, faults together.

Hypothesis draws faults and load freely. Time is virtual and every run is repeatable. The last check
prints how often each fault and each situation was reached, and fails when one never was.
"""

import random
from collections import Counter
from dataclasses import dataclass

from entry_fixtures import REQUEST
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from system_nodes import SimNode
from system_oracle import (
    CALM_SETTLE_S,
    SHEDS,
    TROUBLE_SETTLE_S,
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
from lentilchute.entry_actions import AcceptedRequest
from lentilchute.ids import ClientAccountId, Fingerprint, IdempotencyKey, ServiceName, Tier
from lentilchute.upstreams import UpstreamFault

EXAMPLES = 150
STEPS = 50
NODES = ("entry-1", "entry-2", "entry-3")
DRAFTS = "drafts"
LEDGER = "ledger"
UPSTREAMS = {DRAFTS: ("engine-1", "engine-2", "engine-3"), LEDGER: ("book-1", "book-2")}
ANSWER_LIFETIME_S = 10.0
QUIET_S = 120.0
QUIET_STEP_S = 5.0
COVERAGE: Counter[str] = Counter()

SITUATIONS = (
    "caller left",
    "caller lost its entry",
    "caller saw a broken answer",
    "claim finished",
    "claim granted",
    "claim may-have-run",
    "claim other-body",
    "claim running-elsewhere",
    "claim table-unavailable",
    "connection refused before dispatch",
    "dispatch stopped before the first byte",
    "dispatch to an upstream that the list shows leaving, within the limit",
    "engine crashed",
    "engine frozen",
    "engine slow",
    "event missing in a stream",
    "key left with unknown end",
    "link cut both ways",
    "link cut one way",
    "list lags",
    "message cut off",
    "message doubled",
    "message lost",
    "message reordered or delayed",
    "node frozen",
    "node killed",
    "node killed with requests in flight",
    "planned stop began",
    "planned stop ended",
    "platform answer lost after the write",
    "platform call late",
    "platform call while down",
    "refused deadline-passed (may-have-run)",
    "refused deadline-passed (not-run)",
    "refused displaced (not-run)",
    "refused overloaded (not-run)",
    "resend got the kept answer",
    "resend with another body",
    "resend with the same key",
    "resume of a stream that is gone",
    "stream resumed",
    "stream timed out",
    "upstream leaving",
    "whole answer",
)


def document(service: str, kind: UpstreamKind, max_streams: int) -> ServiceDocument:
    """A small document, whose tiers have few places so that they are shed."""
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
    """An answer to "which entries", as a caller keeps it."""

    names: list[str]
    asked_s: float


class SystemMachine(RuleBasedStateMachine):
    """Three nodes, three engines, two plain services, a platform, and callers."""

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        self.world = World(seed, COVERAGE)
        self.rng = random.Random(seed)
        self.platform = FakePlatform(self.world)
        self.oracle = Oracle(COVERAGE)
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

    # Helpers.

    def run_for(self, duration_s: float) -> None:
        self.world.run_until(self.world.now_s + duration_s)

    def run_briefly(self) -> None:
        """Let some of the work happen, so that the next fault meets it at any point."""
        self.run_for(self.rng.choice([0.0, 0.002, 0.01, 0.05, 0.2, 0.8]))

    def up_nodes(self) -> list[SimNode]:
        return [node for node in self.nodes.values() if node.is_up]

    def serving(self) -> list[SimNode]:
        return [node for node in self.up_nodes() if not node.is_stopping]

    def shed(self, record: CallerRecord) -> None:
        """Check a refusal by overload against what waits in the whole system."""
        refusal = record.refusal
        if refusal is None or refusal.reason not in SHEDS or record.shed_s is None:
            return
        calm = self.world.now_s - self.world.last_trouble_s > TROUBLE_SETTLE_S
        lower = [
            other
            for node in self.up_nodes()
            if self._could_know(record.shed_by or record.entry, node)
            for ticket in node.entry.refresh(ServiceName(record.service), self.world.now_s)[0]
            if (other := self.oracle.by_request[ticket.request_id]).tier > record.tier
            and other.shed_s is None
        ]
        settled_s = CALM_SETTLE_S if calm else TROUBLE_SETTLE_S
        self.oracle.check_shed(record, lower, settled_s, record.shed_s)

    def _could_know(self, scheduler: str, entry: SimNode) -> bool:
        """Tell whether a scheduler could know of an entry's tickets.

        It cannot when the entry's process stands still or the link between the two is cut. Then
        neither can displace the other's tickets, and each serves what it knows of.
        """
        apart_until_s = max(entry.frozen_until_s, self.world.cut_until_s(scheduler, entry.name))
        return self.world.now_s - apart_until_s > TROUBLE_SETTLE_S

    # Callers.

    @rule(
        node=st.integers(0, 2),
        service=st.sampled_from([DRAFTS, LEDGER]),
        tier=st.integers(0, 2),
        deadline_s=st.sampled_from([0.5, 3.0, 10.0, 20.0]),
        count=st.integers(1, 8),
    )
    def send(self, node: int, service: str, tier: int, deadline_s: float, count: int) -> None:
        """Callers send requests of one kind at once, or shortly after each other."""
        for number in range(count):
            key = f"key-{len(self.oracle.records)}" if service == LEDGER else None
            self._send(node + number, service, tier, deadline_s, key, None)
        self.run_briefly()

    @rule(node=st.integers(0, 2), count=st.integers(2, 10))
    def send_mixed(self, node: int, count: int) -> None:
        """Callers of all tiers send to all entries."""
        for number in range(count):
            self._send(node + number, DRAFTS, self.rng.randrange(3), 15.0, None, None)
        self.run_briefly()

    @rule(node=st.integers(0, 2), count=st.integers(1, 3), resends=st.integers(0, 2))
    def post(self, node: int, count: int, resends: int) -> None:
        """Callers post to the ledger, and some send again before the first answer."""
        for number in range(count):
            key = f"key-{len(self.oracle.records)}"
            content = f"posting-{key}"
            self._send(node + number, LEDGER, 0, 12.0, key, content)
            for again in range(resends):
                self.world.count("resend with the same key")
                self.run_for(self.rng.choice([0.0, 0.03, 0.1]))
                self._send(node + number + again, LEDGER, 0, 12.0, key, content)
        self.run_briefly()

    @rule(node=st.integers(0, 2), back=st.integers(0, 5), other_body=st.booleans())
    def resend(self, node: int, back: int, other_body: bool) -> None:
        """A caller sends an earlier key again, perhaps to another entry or with another body."""
        keyed = [record for record in self.oracle.records.values() if record.key is not None]
        if not keyed:
            return
        first = keyed[-1 - back % len(keyed)]
        self.world.count("resend with another body" if other_body else "resend with the same key")
        content = "other" if other_body else first.content
        self._send(node, LEDGER, first.tier, 10.0, first.key, content)
        self.run_briefly()

    @rule(back=st.integers(0, 5))
    def caller_leaves(self, back: int) -> None:
        """A caller closes its connection."""
        waiting = [
            record
            for record in self.oracle.records.values()
            if record.is_open and record.request_id is not None
        ]
        if waiting:
            record = waiting[-1 - back % len(waiting)]
            record.has_left = True
            self.world.count("caller left")
            node = self.nodes[record.entry]
            node.guard(lambda: node.caller_left(record))()

    @rule()
    def look_up(self) -> None:
        """Callers ask some node which entries to use, and keep the answer for its lifetime."""
        awake = [node for node in self.serving() if node.frozen_until_s <= self.world.now_s]
        if awake:
            node = self.rng.choice(awake)
            names = [info.instance for info in node.membership.alive(self.world.now_s)]
            self.lookup = Lookup(list(names), self.world.now_s)

    def _send(
        self,
        node: int,
        service: str,
        tier: int,
        deadline_s: float,
        key: str | None,
        content: str | None,
    ) -> None:
        if self.world.now_s - self.lookup.asked_s > ANSWER_LIFETIME_S:
            self.look_up()
        if not self.lookup.names or self.world.now_s - self.lookup.asked_s > ANSWER_LIFETIME_S:
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
        )
        self.oracle.records[serial] = record
        self.world.after(self.world.latency_s(), lambda: self._arrive(record, deadline_s))

    def _arrive(self, record: CallerRecord, deadline_s: float) -> None:
        node = self.nodes[record.entry]
        if not node.is_up:
            assert not node.ended_by_stop, f"{node.name} left before its callers could know"
            record.end = "no connection"
            return
        record.has_arrived = True

        def accept() -> None:
            # The header gives seconds, which count from when the entry reads it.
            record.deadline_s = self.world.now_s + deadline_s
            node.accept(record, _request(record, record.deadline_s))

        node.guard(accept)()

    # Nodes and links.

    @precondition(lambda self: len(self.serving()) > 1)
    @rule(node=st.integers(0, 2))
    def kill(self, node: int) -> None:
        """A process dies."""
        victim = self.nodes[NODES[node]]
        if victim.is_up and victim in self.serving():
            self.world.trouble("node killed")
            if any(victim.entry.refresh(ServiceName(DRAFTS), self.world.now_s)):
                self.world.count("node killed with requests in flight")
            victim.kill()

    @precondition(lambda self: len(self.serving()) > 1)
    @rule(node=st.integers(0, 2))
    def kill_under_posts(self, node: int) -> None:
        """A process dies with postings on their way, and their callers send again elsewhere."""
        self.post(node, 3, 0)
        sent = [record for record in self.oracle.records.values() if record.key is not None][-3:]
        self.kill(NODES.index(sent[0].entry) if sent else node)
        for record in sent:
            self.world.count("resend with the same key")
            self._send(node + 1, LEDGER, 0, 12.0, record.key, record.content)
        self.run_for(self.rng.choice([0.1, 3.0]))

    @rule()
    def start_all(self) -> None:
        """The platform's operators replace what is gone."""
        for node in self.nodes.values():
            if not node.is_up:
                node.start()

    @rule(node=st.integers(0, 2), duration_s=st.sampled_from([0.3, 2.0, 4.0, 12.0]))
    def freeze(self, node: int, duration_s: float) -> None:
        """A process stands still, and wakes not knowing it."""
        victim = self.nodes[NODES[node]]
        if victim.is_up:
            self.world.trouble("node frozen")
            until_s = self.world.now_s + duration_s
            victim.frozen_until_s = max(victim.frozen_until_s, until_s)

    @precondition(lambda self: len(self.serving()) > 1)
    @rule(node=st.integers(0, 2))
    def stop(self, node: int) -> None:
        """A planned stop begins."""
        leaving = self.nodes[NODES[node]]
        if leaving in self.serving() and leaving.frozen_until_s <= self.world.now_s:
            self.world.count("planned stop began")
            leaving.stop()

    @rule(one=st.integers(0, 2), two=st.integers(0, 2), both=st.booleans())
    def cut(self, one: int, two: int, both: bool) -> None:
        """A link between two nodes fails, one way or both."""
        if one == two:
            return
        self.world.trouble("link cut both ways" if both else "link cut one way")
        self.world.cuts.add((NODES[one], NODES[two]))
        if both:
            self.world.cuts.add((NODES[two], NODES[one]))

    @rule(is_stormy=st.booleans())
    def heal_links(self, is_stormy: bool) -> None:
        """Links work again, or lose, double and delay messages from now on."""
        self.world.heal_links()
        self.world.is_stormy = is_stormy

    # The platform.

    @rule(fault=st.sampled_from(["down", "slow", "loses answers", "none", "none"]))
    def platform_fault(self, fault: str) -> None:
        """The platform's table fails in one way, or works again."""
        self.platform.is_down = fault == "down"
        self.platform.is_slow = fault == "slow"
        self.platform.loses_answers = fault == "loses answers"

    @rule(node=st.integers(0, 2), duration_s=st.sampled_from([0.5, 14.0]))
    def outage(self, node: int, duration_s: float) -> None:
        """Callers post while the table is down, perhaps for longer than they wait."""
        self.platform.is_down = True
        self.post(node, 2, 1)
        self.run_for(duration_s)
        self.platform.is_down = self.rng.random() < 0.3

    @rule(node=st.integers(0, 2), number=st.integers(0, 2))
    def stall(self, node: int, number: int) -> None:
        """An engine freezes under requests whose callers do not wait long."""
        self.world.count("engine frozen")
        list(self.upstreams.values())[number].is_frozen = True
        self.send(node, DRAFTS, 0, 2.0, 4)
        self.run_for(self.rng.choice([1.0, 4.0]))

    @rule(lag_s=st.sampled_from([0.0, 1.0]))
    def list_lags(self, lag_s: float) -> None:
        """The list of instances lags."""
        self.platform.lag_s = lag_s
        if lag_s:
            self.world.count("list lags")

    # Upstreams.

    @rule(number=st.integers(0, 4), action=st.sampled_from(["leave", "return", "return"]))
    def upstream_leaves(self, number: int, action: str) -> None:
        """The list shows an upstream as leaving, or live again."""
        name = list(self.upstreams)[number]
        if action == "return":
            self.platform.leaving.pop(name, None)
        elif name not in self.platform.leaving:
            self.world.count("upstream leaving")
            self.platform.leaving[name] = self.world.now_s + self.platform.lag_s

    @rule(number=st.integers(0, 4), fault=st.sampled_from(["crash", "slow", "freeze", "reset"]))
    def upstream_fault(self, number: int, fault: str) -> None:
        """An upstream crashes, slows down, freezes, or one of its connections breaks."""
        upstream = list(self.upstreams.values())[number]
        if fault == "crash" and upstream.is_up:
            self.world.trouble("engine crashed")
            upstream.crash()
        elif fault == "slow":
            self.world.count("engine slow")
            upstream.is_slow = True
        elif fault == "freeze":
            self.world.count("engine frozen")
            upstream.is_frozen = True
        else:
            upstream.break_stream(UpstreamFault.RESET)

    @rule(number=st.integers(0, 2), fault=st.sampled_from(["crossed", "gap"]))
    def bad_answer(self, number: int, fault: str) -> None:
        """An engine's answer comes crossed, or with an event missing."""
        engine = list(self.upstreams.values())[number]
        engine.break_stream(UpstreamFault.WRONG_ANSWER, skips_event=fault == "gap")

    @rule()
    def heal_upstreams(self) -> None:
        """All upstreams work again, under the same addresses."""
        for upstream in self.upstreams.values():
            upstream.is_slow = False
            upstream.is_frozen = False
            if not upstream.is_up:
                upstream.restart()

    # Time.

    @rule(duration_s=st.sampled_from([0.01, 0.1, 0.1, 0.5, 1.0, 3.0, 11.0]))
    def wait(self, duration_s: float) -> None:
        """Time passes."""
        self.run_for(duration_s)

    @invariant()
    def no_request_is_silent(self) -> None:
        if hasattr(self, "oracle"):
            self.oracle.check_deadlines(
                self.world.now_s, lambda name: self.nodes[name].frozen_until_s
            )

    def teardown(self) -> None:
        """Heal everything: nothing may stay stuck, and no slot, claim or ticket may leak."""
        if not hasattr(self, "oracle"):
            return
        self.heal_links(False)
        self.platform_fault("none")
        self.platform.leaving.clear()
        self.heal_upstreams()
        quiet_by_s = self.world.now_s + QUIET_S
        while self.world.now_s < quiet_by_s and self._leaks():
            self.run_for(QUIET_STEP_S)
            self.start_all()
            self.no_request_is_silent()
        assert not self._leaks(), self._leaks()

    def _leaks(self) -> list[str]:
        """Return what is still open, waiting or held anywhere."""
        leaks = [f"{record} open" for record in self.oracle.records.values() if record.is_open]
        for node in self.up_nodes():
            leaks += self._leaks_of(node)
        return leaks

    def _leaks_of(self, node: SimNode) -> list[str]:
        leaks = [] if node.claims.is_idle else [f"{node.name} has claims open"]
        for service in UPSTREAMS:
            held = node.entry.refresh(ServiceName(service), self.world.now_s)
            if held != ([], []):
                leaks.append(f"{node.name} still holds {held}")
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


def test_what_must_always_hold_holds_under_all_faults_together() -> None:
    COVERAGE.clear()
    run_state_machine_as_test(
        SystemMachine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            phases=(Phase.generate,),
            report_multiple_bugs=False,
        ),
    )
    for name, count in sorted(COVERAGE.items()):
        print(f"{count:6d}  {name}")
    missing = [name for name in SITUATIONS if not COVERAGE[name]]
    assert not missing, f"never reached: {missing}"
