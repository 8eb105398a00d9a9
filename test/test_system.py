"""The decision code of several nodes under combined faults, checked against a simple oracle.

Hypothesis draws faults and load. Time is virtual, and every run can be repeated from its seed. The
test reports how often each fault and situation occurred, and fails if one never did.
"""

from collections import Counter

from coverage_counter import REPORTS
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
from system_group import DRAFTS, LEDGER, NODES, System

from lentilchute.ids import ServiceName
from lentilchute.upstream.adapters import UpstreamFault

EXAMPLES = 150
STEPS = 50
RECOVERY_TIMEOUT_S = 120.0
RECOVERY_STEP_S = 5.0
COVERAGE: Counter[str] = Counter()

SITUATIONS = (
    "caller disconnected",
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
    "key abandoned with unknown outcome",
    "link cut both ways",
    "link cut one way",
    "list lags",
    "message cut off",
    "message duplicated",
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
    "resend got the stored answer",
    "resend with another body",
    "resend with the same key",
    "resume of a stream that is gone",
    "stream resumed",
    "stream timed out",
    "upstream leaving",
    "complete answer",
)


class SystemMachine(RuleBasedStateMachine):
    """Three nodes, three engines, two plain services, a platform, and callers."""

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        self.system = System(seed, COVERAGE)
        self.world = self.system.world
        self.rng = self.system.rng
        self.platform = self.system.platform
        self.oracle = self.system.oracle
        self.upstreams = self.system.upstreams
        self.nodes = self.system.nodes

    # Callers.

    @rule(
        node=st.integers(0, 2),
        service=st.sampled_from([DRAFTS, LEDGER]),
        tier=st.integers(0, 2),
        deadline_s=st.sampled_from([0.5, 3.0, 10.0, 20.0]),
        count=st.integers(1, 8),
    )
    def send(self, node: int, service: str, tier: int, deadline_s: float, count: int) -> None:
        """Callers send several requests of one kind at the same time."""
        for number in range(count):
            key = f"key-{len(self.oracle.records)}" if service == LEDGER else None
            self.system.send(node + number, service, tier, deadline_s, key, None)
        self.system.run_briefly()

    @rule(node=st.integers(0, 2), count=st.integers(2, 10))
    def send_mixed(self, node: int, count: int) -> None:
        """Callers of random tiers send to all entries."""
        for number in range(count):
            self.system.send(node + number, DRAFTS, self.rng.randrange(3), 15.0, None, None)
        self.system.run_briefly()

    @rule(node=st.integers(0, 2), count=st.integers(1, 3), resends=st.integers(0, 2))
    def post(self, node: int, count: int, resends: int) -> None:
        """Callers post to the ledger, and some resend before they have an answer."""
        for number in range(count):
            key = f"key-{len(self.oracle.records)}"
            content = f"posting-{key}"
            self.system.send(node + number, LEDGER, 0, 12.0, key, content)
            for again in range(resends):
                self.world.count("resend with the same key")
                self.system.run_for(self.rng.choice([0.0, 0.03, 0.1]))
                self.system.send(node + number + again, LEDGER, 0, 12.0, key, content)
        self.system.run_briefly()

    @rule(node=st.integers(0, 2), back=st.integers(0, 5), other_body=st.booleans())
    def resend(self, node: int, back: int, other_body: bool) -> None:
        """A caller reuses an earlier key, with the same body or another, at any entry."""
        keyed = [record for record in self.oracle.records.values() if record.key is not None]
        if not keyed:
            return
        first = keyed[-1 - back % len(keyed)]
        self.world.count("resend with another body" if other_body else "resend with the same key")
        content = "other" if other_body else first.content
        self.system.send(node, LEDGER, first.tier, 10.0, first.key, content)
        self.system.run_briefly()

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
            record.has_disconnected = True
            self.world.count("caller disconnected")
            node = self.nodes[record.entry]
            node.guard(lambda: node.caller_disconnected(record))()

    @rule()
    def look_up(self) -> None:
        """Callers ask a random node which entries to use, and cache the answer for its lifetime."""
        self.system.look_up()

    # Nodes and links.

    @precondition(lambda self: len(self.system.serving_nodes()) > 1)
    @rule(node=st.integers(0, 2))
    def kill(self, node: int) -> None:
        """Kill a process."""
        victim = self.nodes[NODES[node]]
        if victim.is_up and victim in self.system.serving_nodes():
            self.world.count_fault("node killed")
            if any(victim.entry.refresh(ServiceName(DRAFTS), self.world.now_s)):
                self.world.count("node killed with requests in flight")
            victim.kill()

    @precondition(lambda self: len(self.system.serving_nodes()) > 1)
    @rule(node=st.integers(0, 2))
    def kill_under_posts(self, node: int) -> None:
        """Kill a process with postings in flight; their callers resend them to another entry."""
        self.post(node, 3, 0)
        sent = [record for record in self.oracle.records.values() if record.key is not None][-3:]
        self.kill(NODES.index(sent[0].entry) if sent else node)
        for record in sent:
            self.world.count("resend with the same key")
            self.system.send(node + 1, LEDGER, 0, 12.0, record.key, record.content)
        self.system.run_for(self.rng.choice([0.1, 3.0]))

    @rule()
    def start_all(self) -> None:
        """Start all nodes that are down."""
        for node in self.nodes.values():
            if not node.is_up:
                node.start()

    @rule(node=st.integers(0, 2), duration_s=st.sampled_from([0.3, 2.0, 4.0, 12.0]))
    def freeze(self, node: int, duration_s: float) -> None:
        """A process pauses and later resumes without noticing."""
        victim = self.nodes[NODES[node]]
        if victim.is_up:
            self.world.count_fault("node frozen")
            until_s = self.world.now_s + duration_s
            victim.frozen_until_s = max(victim.frozen_until_s, until_s)

    @precondition(lambda self: len(self.system.serving_nodes()) > 1)
    @rule(node=st.integers(0, 2))
    def stop(self, node: int) -> None:
        """Start a planned stop of a node."""
        leaving = self.nodes[NODES[node]]
        if leaving in self.system.serving_nodes() and leaving.frozen_until_s <= self.world.now_s:
            self.world.count("planned stop began")
            leaving.stop()

    @rule(node=st.integers(0, 2))
    def freeze_before_dispatch(self, node: int) -> None:
        """Freeze all processes between grant and first byte, until the grants have expired."""
        self.heal_upstreams()
        for _ in range(4):
            self.system.send(node, DRAFTS, 0, 10.0, None, None)
        self.system.run_for(self.rng.uniform(0.005, 0.03))
        for one in self.system.serving_nodes():
            one.frozen_until_s = max(one.frozen_until_s, self.world.now_s + 1.5)
        self.world.count_fault("node frozen")
        self.system.run_for(2.0)

    @rule(one=st.integers(0, 2), two=st.integers(0, 2), both=st.booleans())
    def cut(self, one: int, two: int, both: bool) -> None:
        """Cut the link between two nodes, in one direction or both."""
        if one == two:
            return
        self.world.count_fault("link cut both ways" if both else "link cut one way")
        self.world.cuts.add((NODES[one], NODES[two]))
        if both:
            self.world.cuts.add((NODES[two], NODES[one]))

    @rule(is_unreliable=st.booleans())
    def heal_links(self, is_unreliable: bool) -> None:
        """Restore all links; unreliable ones then lose, duplicate and delay messages."""
        self.world.heal_links()
        self.world.is_unreliable = is_unreliable

    # The platform.

    @rule(fault=st.sampled_from(["down", "slow", "loses answers", "none", "none"]))
    def platform_fault(self, fault: str) -> None:
        """Set or clear a fault of the platform."""
        self.platform.is_down = fault == "down"
        self.platform.is_slow = fault == "slow"
        self.platform.loses_answers = fault == "loses answers"

    @rule(node=st.integers(0, 2), duration_s=st.sampled_from([0.5, 14.0]))
    def outage(self, node: int, duration_s: float) -> None:
        """Callers post while the platform is down, for less or more than their deadlines."""
        self.platform.is_down = True
        self.post(node, 2, 1)
        self.system.run_for(duration_s)
        self.platform.is_down = self.rng.random() < 0.3

    @rule(node=st.integers(0, 2), number=st.integers(0, 2))
    def stall(self, node: int, number: int) -> None:
        """An engine freezes under requests with short deadlines."""
        self.world.count("engine frozen")
        list(self.upstreams.values())[number].is_frozen = True
        self.send(node, DRAFTS, 0, 2.0, 4)
        self.system.run_for(self.rng.choice([1.0, 4.0]))

    @rule(lag_s=st.sampled_from([0.0, 1.0]))
    def list_lags(self, lag_s: float) -> None:
        """Set how far the list of instances lags."""
        self.platform.lag_s = lag_s
        if lag_s:
            self.world.count("list lags")

    # Upstreams.

    @rule(number=st.integers(0, 4), action=st.sampled_from(["leave", "return", "return"]))
    def upstream_leaves(self, number: int, action: str) -> None:
        """The list shows an upstream as leaving, or as back."""
        name = list(self.upstreams)[number]
        if action == "return":
            self.platform.leaving.pop(name, None)
        elif name not in self.platform.leaving:
            self.world.count("upstream leaving")
            self.platform.leaving[name] = self.world.now_s + self.platform.lag_s
            self.system.run_for(self.platform.lag_s)
            self.send_mixed(number, 6)

    @rule(number=st.integers(0, 4), fault=st.sampled_from(["crash", "slow", "freeze", "reset"]))
    def upstream_fault(self, number: int, fault: str) -> None:
        """An upstream crashes, slows down, freezes, or one of its connections breaks."""
        upstream = list(self.upstreams.values())[number]
        if fault == "crash" and upstream.is_up:
            self.world.count_fault("engine crashed")
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
        """An engine's stream carries another request's answer, or misses an event."""
        self.heal_upstreams()
        self.send_mixed(number, 6)
        engine = list(self.upstreams.values())[number]
        engine.break_stream(UpstreamFault.WRONG_ANSWER, skips_event=fault == "gap")

    @rule(node=st.integers(0, 2))
    def crash_under_posts(self, node: int) -> None:
        """The plain services crash with postings in flight, and their callers resend."""
        self.heal_upstreams()
        self.post(node, 3, 0)
        services = [one for one in self.upstreams.values() if not one.is_engine]
        limit_s = self.world.now_s + 0.5
        while self.world.now_s < limit_s and not any(one.streams for one in services):
            self.system.run_for(0.01)
        sent = [record for record in self.oracle.records.values() if record.key is not None][-3:]
        for service in services:
            self.world.count_fault("engine crashed")
            service.crash()
            service.restart()
        self.system.run_for(self.rng.choice([0.1, 2.0]))
        for record in sent:
            self.world.count("resend with the same key")
            self.system.send(node + 1, LEDGER, 0, 12.0, record.key, record.content)
        self.system.run_for(self.rng.choice([0.1, 3.0]))

    @rule()
    def heal_upstreams(self) -> None:
        """Clear the faults of all upstreams; crashed ones restart at the same addresses."""
        for upstream in self.upstreams.values():
            upstream.is_slow = False
            upstream.is_frozen = False
            if not upstream.is_up:
                upstream.restart()

    # Time.

    @rule(duration_s=st.sampled_from([0.01, 0.1, 0.1, 0.5, 1.0, 3.0, 11.0]))
    def wait(self, duration_s: float) -> None:
        """Advance virtual time."""
        self.system.run_for(duration_s)

    @invariant()
    def no_request_is_silent(self) -> None:
        if hasattr(self, "system"):
            self.system.check_deadlines()

    def teardown(self) -> None:
        """Clear all faults; afterwards no request, slot, claim or ticket may be left over."""
        if not hasattr(self, "system"):
            return
        self.heal_links(False)
        self.platform_fault("none")
        self.platform.leaving.clear()
        self.heal_upstreams()
        recover_by_s = self.world.now_s + RECOVERY_TIMEOUT_S
        while self.world.now_s < recover_by_s and self.system.leaks():
            self.system.run_for(RECOVERY_STEP_S)
            self.start_all()
            self.system.check_deadlines()
        assert not self.system.leaks(), self.system.leaks()


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
    counts = ", ".join(f"{name} {count}" for name, count in sorted(COVERAGE.items()))
    REPORTS.append(f"coverage system: {counts}")
    missing = [name for name in SITUATIONS if not COVERAGE[name]]
    assert not missing, f"never reached: {missing}"
