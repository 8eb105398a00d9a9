"""A state machine that simulates entries and upstreams of one scheduler.

The entries' records are the ground truth; messages may be lost, duplicated or delayed.
"""

from dataclasses import dataclass, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule
from schedulers import document, group, scheduler, ticket, upstream

from lentilchute.document import TierEntry
from lentilchute.ids import Attempt, ClientAccountId, InstanceId, RequestId, UpstreamId
from lentilchute.scheduler.tickets import Decision, EndState, Grant, InFlight, RefusalReason, Ticket

NAMES = ["e1", "e2", "e3"]
TIERS = tuple(TierEntry(name=f"t{rank}", max_waiting=2) for rank in range(3))
GROUP = group(NAMES, max_streams=2)
SHED = {RefusalReason.OVERLOADED, RefusalReason.DISPLACED}


@dataclass
class EntryRequest:
    """The state of a request at its entry."""

    ticket: Ticket
    upstream: UpstreamId | None = None
    is_over: bool = False


class SchedulerMachine(RuleBasedStateMachine):
    requests: Bundle[RequestId] = Bundle("requests")
    grants: Bundle[Grant] = Bundle("grants")

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.scheduler = scheduler(document(GROUP, TIERS))
        self.requests_by_id: dict[RequestId, EntryRequest] = {}
        self.closed: set[str] = set()
        self.pending: list[Grant] = []

    def apply_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            request = self.requests_by_id[decision.request_id]
            assert decision.attempt <= request.ticket.attempt
            if isinstance(decision, Grant):
                assert decision.upstream not in self.closed
                assert decision.upstream not in request.ticket.excluded
                self.pending.append(decision)
                continue
            assert decision.retry_after_s > 0
            if decision.reason in SHED:
                waiting = self.scheduler.status(self.now_s).waiting
                assert not any(
                    count for tier, count in waiting.items() if tier > request.ticket.tier
                )
            if decision.attempt == request.ticket.attempt and request.upstream is None:
                request.is_over = True

    @rule(
        target=requests,
        tier=st.integers(0, 2),
        account=st.integers(0, 2),
        entry=st.sampled_from(["i1", "i2"]),
        prompt=st.sampled_from([10, 1_000, 50_000]),
        patience_s=st.sampled_from([1.0, 20.0, 500.0]),
    )
    def submit(
        self, tier: int, account: int, entry: str, prompt: int, patience_s: float
    ) -> RequestId:
        one = ticket(
            f"{len(self.requests_by_id)}",
            tier,
            entry=InstanceId(entry),
            client_account=ClientAccountId(f"acct-{account}"),
            prompt_tokens=prompt,
            deadline_s=self.now_s + patience_s,
        )
        self.requests_by_id[one.request_id] = EntryRequest(one)
        self.apply_decisions(self.scheduler.submit(one, self.now_s))
        return one.request_id

    @rule(request_id=requests)
    def submit_again(self, request_id: RequestId) -> None:
        """A duplicated or delayed message has no effect."""
        request = self.requests_by_id[request_id]
        if not request.is_over:
            before = self.scheduler.status(self.now_s)
            assert (
                self.scheduler.submit(replace(request.ticket, attempt=Attempt(1)), self.now_s) == []
            )
            assert self.scheduler.status(self.now_s).in_flight == before.in_flight

    @rule(request_id=requests)
    def decline_an_old_attempt(self, request_id: RequestId) -> None:
        before = self.scheduler.status(self.now_s)
        assert self.scheduler.declined(request_id, Attempt(0), self.now_s) == []
        assert self.scheduler.status(self.now_s) == before

    @rule(data=st.data(), delivery=st.sampled_from(["dispatch", "dispatch", "decline", "lose"]))
    def deliver(self, data: st.DataObject, delivery: str) -> None:
        if not self.pending:
            return
        grant = self.pending.pop(data.draw(st.integers(0, len(self.pending) - 1)))
        request = self.requests_by_id[grant.request_id]
        is_usable = grant.attempt == request.ticket.attempt and request.upstream is None
        is_usable = is_usable and not request.is_over and self.now_s < grant.expires_s
        if delivery == "lose":
            return
        if is_usable and delivery == "dispatch":
            request.upstream = grant.upstream
            arguments = (grant.request_id, grant.attempt, grant.upstream, self.now_s)
            self.apply_decisions(self.scheduler.dispatched(*arguments))
            self.apply_decisions(self.scheduler.dispatched(*arguments))
            return
        self.apply_decisions(self.scheduler.declined(grant.request_id, grant.attempt, self.now_s))
        if is_usable:
            excluded = request.ticket.excluded | {grant.upstream}
            attempt = Attempt(grant.attempt + 1)
            request.ticket = replace(request.ticket, attempt=attempt, excluded=excluded)
            self.apply_decisions(self.scheduler.submit(request.ticket, self.now_s))

    @rule(request_id=requests, tokens=st.integers(1, 50))
    def progress(self, request_id: RequestId, tokens: int) -> None:
        if self.requests_by_id[request_id].upstream is not None:
            self.scheduler.progress(request_id, tokens, self.now_s)

    @rule(request_id=consumes(requests), end=st.sampled_from(EndState), is_lost=st.booleans())
    def end(self, request_id: RequestId, end: EndState, is_lost: bool) -> None:
        request = self.requests_by_id[request_id]
        if request.is_over:
            return
        request.is_over = True
        if is_lost:
            return
        if request.upstream is None:
            self.apply_decisions(self.scheduler.withdraw(request_id, self.now_s))
        else:
            self.apply_decisions(self.scheduler.ended(request_id, end, 0, self.now_s))

    @rule(entry=st.sampled_from(["i1", "i2"]))
    def refresh(self, entry: str) -> None:
        waiting, in_flight = [], []
        for request in self.requests_by_id.values():
            if request.is_over or request.ticket.entry != entry:
                continue
            if request.upstream is None:
                waiting.append(request.ticket)
            else:
                in_flight.append(InFlight(request.ticket, request.upstream, self.now_s))
        self.apply_decisions(
            self.scheduler.refresh(InstanceId(entry), waiting, in_flight, self.now_s)
        )

    @rule(name=st.sampled_from(NAMES), is_leaving=st.booleans())
    def close(self, name: str, is_leaving: bool) -> None:
        self.closed.add(name)
        call = self.scheduler.mark_leaving if is_leaving else self.scheduler.remove_upstream
        self.apply_decisions(call(UpstreamId(name), self.now_s))

    @rule(name=st.sampled_from(NAMES))
    def reopen(self, name: str) -> None:
        self.apply_decisions(self.scheduler.remove_upstream(UpstreamId(name), self.now_s))
        self.closed.discard(name)
        self.apply_decisions(self.scheduler.add_upstream(upstream(name), GROUP, self.now_s))

    @rule(step_s=st.sampled_from([0.01, 0.7, 5.0]))
    def wait(self, step_s: float) -> None:
        self.now_s += step_s
        self.apply_decisions(self.scheduler.tick(self.now_s))

    @invariant()
    def reserved_capacity_is_never_negative(self) -> None:
        for one in self.scheduler.status(self.now_s).upstreams:
            assert one.outstanding_prompt_tokens >= 0 and one.streams >= 0

    def teardown(self) -> None:
        """Check that no ticket is left waiting and no capacity stays reserved."""
        for request in self.requests_by_id.values():
            request.is_over = True
        self.now_s += 1_000.0
        self.apply_decisions(self.scheduler.tick(self.now_s))
        assert sum(self.scheduler.status(self.now_s).waiting.values()) == 0
        for entry in ("i1", "i2"):
            self.scheduler.refresh(InstanceId(entry), [], [], self.now_s)
        status = self.scheduler.status(self.now_s)
        for one in status.upstreams:
            assert (one.streams, one.outstanding_prompt_tokens) == (0, 0)


SchedulerMachine.TestCase.settings = settings(max_examples=80, stateful_step_count=40)
TestSchedulerMachine = SchedulerMachine.TestCase
