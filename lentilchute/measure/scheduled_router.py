"""The router under test: simulated entries that request grants from the real scheduler."""

import math
import random
import time

from ..document import (
    AccountEntry,
    ServiceDocument,
    TierEntry,
    UpstreamEntry,
    UpstreamGroup,
    UpstreamKind,
)
from ..ids import (
    Attempt,
    AvailabilityZone,
    ClientAccountId,
    Fingerprint,
    InstanceId,
    ModelName,
    RequestId,
    ServiceName,
    ShardId,
    Tier,
    UpstreamId,
)
from ..scheduler.policy import Policy
from ..scheduler.shard import ShardScheduler
from ..scheduler.tickets import (
    CacheEvent,
    Decision,
    EndState,
    Grant,
    InFlight,
    LoadReport,
    Refusal,
    Ticket,
)
from ..settings import SchedulerSettings
from ..upstream.adapters import Upstream
from .cases import Case
from .job import Job, JobState
from .simulation import ENTRY_COUNT, REPORT_INTERVAL_S, Simulation
from .workload import ACCOUNT_SHARES, TIER_SHARES

LATENCY_S = 0.001
PROGRESS_INTERVAL_S = 0.5
REFRESH_INTERVAL_S = 2.0
FAILOVER_S = 1.5
"""Time until the other nodes declare the scheduler's node dead and replace the scheduler."""

ZONE = AvailabilityZone("tunis-a")
SERVICE = ServiceName("drafters")
MAX_WAITING = 1_000


def create_document(case: Case) -> ServiceDocument:
    """Return the service document of a case, with one group for each generation of hardware."""
    by_hardware: dict[str, list[UpstreamEntry]] = {}
    for spec in case.specs:
        member = UpstreamEntry(name=spec.name, address="127.0.0.1:1", availability_zone=ZONE)
        by_hardware.setdefault(spec.hardware, []).append(member)
    first = case.specs[0]
    groups = tuple(
        UpstreamGroup(
            kind=UpstreamKind.ENGINE,
            members=tuple(members),
            hardware=hardware,
            # The stream limit is twice the batch, and all groups get the first engine's rates, so
            # that the scheduler has to learn the limits and rates of the engines.
            max_streams=2 * first.max_batch,
            max_prompt_tokens=200_000,
            initial_prefill_tokens_per_s=first.prefill_tokens_per_s,
            initial_decode_tokens_per_s=1.0 / first.step_s,
            cache_tokens=first.cache_tokens,
        )
        for hardware, members in by_hardware.items()
    )
    tiers = tuple(
        TierEntry(name=f"tier-{rank}", max_waiting=MAX_WAITING) for rank in range(len(TIER_SHARES))
    )
    accounts = tuple(
        AccountEntry(name=f"account-{number}", key_sha256=f"{number:064x}")
        for number in range(len(ACCOUNT_SHARES))
    )
    return ServiceDocument(service=SERVICE, upstreams=groups, tiers=tiers, client_accounts=accounts)


class ScheduledRouter:
    """Simulates the entries and one scheduler; messages between them take ``LATENCY_S``."""

    def __init__(self, policy: Policy, seed: int) -> None:
        self._policy = policy
        self._rng = random.Random(seed + 3_000)
        self._jobs: dict[RequestId, Job] = {}
        self._attempts: dict[RequestId, Attempt] = {}
        self._excluded: dict[RequestId, frozenset[UpstreamId]] = {}
        self._scheduler: ShardScheduler | None = None
        self._tick_s = math.inf
        self.decision_s = 0.0
        self.call_count = 0

    def start(self, simulation: Simulation) -> None:
        """Start a run with a scheduler that has all engines."""
        self._simulation = simulation
        self._document = create_document(simulation.case)
        self._listed = set(range(len(simulation.engines)))
        self._create_scheduler()
        simulation.clock.after(REPORT_INTERVAL_S, self._report_loads)
        simulation.clock.after(PROGRESS_INTERVAL_S, self._report_progress)
        for entry in range(ENTRY_COUNT):
            simulation.clock.after(
                REFRESH_INTERVAL_S * (entry + 1) / ENTRY_COUNT, self._refresh_periodically, entry
            )

    def _create_scheduler(self) -> None:
        now_s = self._simulation.clock.now_s
        self._scheduler = ShardScheduler(
            ShardId("drafters/0"),
            self._document,
            SchedulerSettings(),
            self._rng,
            now_s,
            policy=self._policy,
        )
        for engine in sorted(self._listed):
            self._add_engine(engine)

    def _add_engine(self, engine: int) -> None:
        name = UpstreamId(self._simulation.case.specs[engine].name)
        group = self._document.group_of(name)
        assert group is not None and self._scheduler is not None
        upstream = Upstream(name, "127.0.0.1:1", ZONE, UpstreamKind.ENGINE)
        self._send_decisions(
            self._scheduler.add_upstream(upstream, group, self._simulation.clock.now_s)
        )

    # Messages between entries and the scheduler

    def _send_to_scheduler(self, method: str, *arguments: object) -> None:
        self._simulation.clock.after(LATENCY_S, self._deliver, self._scheduler, method, arguments)

    def _deliver(
        self, scheduler: ShardScheduler | None, method: str, arguments: tuple[object, ...]
    ) -> None:
        if scheduler is None or scheduler is not self._scheduler:
            return
        started = time.perf_counter()
        decisions = getattr(scheduler, method)(*arguments, self._simulation.clock.now_s)
        self.decision_s += time.perf_counter() - started
        self.call_count += 1
        self._send_decisions(decisions or [])

    def _send_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Grant):
                self._simulation.clock.after(LATENCY_S, self._on_grant, decision)
            else:
                self._simulation.clock.after(LATENCY_S, self._on_refusal, decision)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        if self._scheduler is None:
            return
        next_s = self._scheduler.next_tick_s()
        if next_s < self._tick_s:
            self._tick_s = next_s
            self._simulation.clock.at(next_s, self._tick, next_s)

    def _tick(self, scheduled_s: float) -> None:
        if scheduled_s != self._tick_s:
            return
        self._tick_s = math.inf
        self._deliver(self._scheduler, "tick", ())

    # Entries

    def _build_ticket(self, request_id: RequestId, job: Job) -> Ticket:
        return Ticket(
            request_id,
            self._attempts[request_id],
            InstanceId(f"i{job.entry}"),
            ZONE,
            SERVICE,
            Tier(job.tier),
            ClientAccountId(f"account-{job.account}"),
            job.deadline_s,
            job.prompt_tokens,
            job.max_output_tokens,
            ModelName("m"),
            Fingerprint(str(job.origin)),
            job.blocks,
            excluded=self._excluded.get(request_id, frozenset()),
        )

    def arrive(self, job: Job) -> None:
        """Submit a ticket for a new request."""
        request_id = _request_id(job)
        self._jobs[request_id] = job
        self._attempts[request_id] = Attempt(1)
        self._send_to_scheduler("submit", self._build_ticket(request_id, job))

    def _on_grant(self, grant: Grant) -> None:
        job = self._jobs.get(grant.request_id)
        if job is None or job.state is not JobState.WAITING:
            self._send_to_scheduler("declined", grant.request_id, grant.attempt)
            return
        if grant.attempt != self._attempts[grant.request_id]:
            return
        engine = int(grant.upstream[1:])
        if self._simulation.dispatch(job, engine):
            self._send_to_scheduler("dispatched", grant.request_id, grant.attempt, grant.upstream)
            return
        self._send_to_scheduler("declined", grant.request_id, grant.attempt)
        self._attempts[grant.request_id] = Attempt(grant.attempt + 1)
        excluded = self._excluded.get(grant.request_id, frozenset())
        self._excluded[grant.request_id] = excluded | {grant.upstream}
        self._send_to_scheduler("submit", self._build_ticket(grant.request_id, job))

    def _on_refusal(self, refusal: Refusal) -> None:
        job = self._jobs.get(refusal.request_id)
        if job is not None and job.state is JobState.WAITING:
            del self._jobs[refusal.request_id]
            self._simulation.refuse(job, refusal.retry_after_s)

    def timed_out(self, job: Job) -> None:
        """Withdraw the request's ticket, or report its end if it was dispatched."""
        request_id = _request_id(job)
        self._jobs.pop(request_id, None)
        if job.started_s is None:
            self._send_to_scheduler("withdraw", request_id)
        else:
            self._send_to_scheduler("ended", request_id, EndState.CALLER_GONE, job.cached_tokens)

    def first_token(self, job: Job) -> None:
        """Report the first token to the scheduler."""
        self._send_to_scheduler("progress", _request_id(job), 1)

    def ended(self, job: Job) -> None:
        """Report the end of a dispatched request to the scheduler."""
        request_id = _request_id(job)
        self._jobs.pop(request_id, None)
        is_done = job.state is JobState.DONE
        end = EndState.COMPLETE if is_done else EndState.UPSTREAM_CRASHED
        self._send_to_scheduler("ended", request_id, end, job.cached_tokens)

    def _report_progress(self) -> None:
        for request_id, job in self._jobs.items():
            if job.state is JobState.RUNNING and job.first_token_s is not None:
                assert job.engine is not None
                tokens = self._simulation.engines[job.engine].output_so_far(job)
                self._send_to_scheduler("progress", request_id, tokens)
        self._simulation.clock.after(PROGRESS_INTERVAL_S, self._report_progress)

    def _refresh_periodically(self, entry: int) -> None:
        if not self._simulation.entry_is_up[entry]:
            return
        self._send_refresh(entry)
        self._simulation.clock.after(REFRESH_INTERVAL_S, self._refresh_periodically, entry)

    def _send_refresh(self, entry: int) -> None:
        waiting = []
        in_flight = []
        for request_id, job in self._jobs.items():
            if job.entry != entry:
                continue
            ticket = self._build_ticket(request_id, job)
            if job.state is JobState.WAITING:
                waiting.append(ticket)
            elif job.state is JobState.RUNNING:
                in_flight.append(self._describe_in_flight(ticket, job))
        self._send_to_scheduler("refresh", InstanceId(f"i{entry}"), waiting, in_flight)

    def _describe_in_flight(self, ticket: Ticket, job: Job) -> InFlight:
        assert job.engine is not None and job.started_s is not None
        tokens = self._simulation.engines[job.engine].output_so_far(job)
        return InFlight(ticket, UpstreamId(f"e{job.engine}"), job.started_s, tokens)

    # The platform and the engines

    def _report_loads(self) -> None:
        lag_s = self._simulation.case.report_lag_s
        for engine in self._simulation.engines:
            if engine.is_up:
                report = engine.load_report()
                delayed_report = LoadReport(
                    report.upstream,
                    report.running,
                    report.waiting,
                    report.outstanding_prompt_tokens,
                    lag_s,
                )
                self._simulation.clock.after(
                    lag_s, self._deliver, self._scheduler, "load_report", (delayed_report,)
                )
        self._simulation.clock.after(REPORT_INTERVAL_S, self._report_loads)

    def cache_event(self, engine: int, event: CacheEvent) -> None:
        """Forward a cache event to the scheduler."""
        self._send_to_scheduler("cache_events", [event])

    def list_changed(self, engine: int, is_listed: bool) -> None:
        """Add or remove an engine when the platform's listing changes."""
        if is_listed:
            self._listed.add(engine)
            if self._scheduler is not None:
                self._add_engine(engine)
        else:
            self._listed.discard(engine)
            self._send_to_scheduler("remove_upstream", UpstreamId(f"e{engine}"))

    def node_killed(self, lost: list[Job]) -> None:
        """Drop the scheduler; its replacement rebuilds its state from the entries' refreshes."""
        for job in lost:
            self._jobs.pop(_request_id(job), None)
        self._scheduler = None
        self._tick_s = math.inf
        self._simulation.clock.after(FAILOVER_S, self._fail_over)

    def _fail_over(self) -> None:
        self._create_scheduler()
        for entry in range(ENTRY_COUNT):
            self._send_refresh(entry)


def _request_id(job: Job) -> RequestId:
    return RequestId(f"i{job.entry}.a/{job.number}")
