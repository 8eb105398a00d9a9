"""The active requests of an entry, its scheduler choices and the upstreams that are leaving."""

import heapq
import math
import random
from collections.abc import Iterator

from ..ids import (
    Attempt,
    IncarnationId,
    InstanceId,
    RequestId,
    ServiceName,
    ShardId,
    UpstreamId,
    request_id,
    shard_id,
)
from ..scheduler.tickets import InFlight, Ticket
from ..settings import NodeSettings
from .actions import AcceptedRequest, RefreshScheduler, SubmitTicket, WithdrawTicket
from .request_state import ActiveRequest, RequestState
from .scheduler_choice import SchedulerChoice


class RequestRegistry:
    """State shared by the entry's decision modules."""

    def __init__(
        self, incarnation: IncarnationId, settings: NodeSettings, rng: random.Random
    ) -> None:
        self.incarnation = incarnation
        self.settings = settings
        self.rng = rng
        self.active: dict[RequestId, ActiveRequest] = {}
        self.held_body_bytes = 0
        self.leaving: set[UpstreamId] = set()
        self.choices: dict[ShardId, SchedulerChoice] = {}
        self.empty_refreshes: dict[ShardId, int] = {}
        self._sequence = 0
        self._due: list[tuple[float, RequestId]] = []

    def new_request(self, request: AcceptedRequest, now_s: float) -> ActiveRequest:
        """Return a request with a new id and its first ticket, without registering it."""
        self._sequence += 1
        ticket = Ticket(
            request_id=request_id(self.incarnation, self._sequence),
            attempt=Attempt(1),
            entry=self.settings.instance_id,
            zone=self.settings.zone,
            service=request.service,
            tier=request.tier,
            client_account=request.client_account,
            deadline_s=request.deadline_s,
            prompt_tokens=request.prompt_tokens,
            max_output_tokens=request.max_output_tokens,
            model=request.model,
            fingerprint=request.fingerprint,
            prefix_hashes=request.prefix_hashes,
            idempotent=request.idempotent,
        )
        return ActiveRequest(ticket.request_id, request, now_s, ticket)

    def add(self, active: ActiveRequest) -> None:
        """Register a new request; its body counts as held until it is dispatched or ends."""
        self.active[active.request_id] = active
        self.held_body_bytes += len(active.request.body)
        self.empty_refreshes[active.shard] = 0
        self.wake_at(active, active.request.deadline_s)

    def wake_at(self, active: ActiveRequest, due_s: float) -> None:
        """Schedule the request to be returned by ``pop_due`` at ``due_s``."""
        heapq.heappush(self._due, (due_s, active.request_id))

    def pop_due(self, now_s: float) -> list[ActiveRequest]:
        """Remove the wake-ups that are due and return their requests, unless they have ended."""
        due = []
        while self._due and self._due[0][0] <= now_s:
            active = self.active.get(heapq.heappop(self._due)[1])
            if active is not None:
                due.append(active)
        return due

    def next_due_s(self) -> float:
        """Return the time of the next wake-up; ``math.inf`` if there is none."""
        return self._due[0][0] if self._due else math.inf

    def record_dispatch(self, active: ActiveRequest, now_s: float) -> None:
        """Record the time from which an upstream may run the request."""
        active.dispatched_s = now_s
        self.held_body_bytes -= len(active.request.body)

    def end(self, active: ActiveRequest) -> None:
        """Remove a request that has its final answer."""
        if active.state is RequestState.ENDED:
            return
        active.state = RequestState.ENDED
        if not active.is_dispatched:
            self.held_body_bytes -= len(active.request.body)
        del self.active[active.request_id]

    def choice(self, shard: ShardId) -> SchedulerChoice:
        """Return the scheduler choice of a shard, creating it on first use."""
        if shard not in self.choices:
            self.choices[shard] = SchedulerChoice(self.settings.entry.ticket_timeout_s)
        return self.choices[shard]

    def scheduler(self, active: ActiveRequest) -> InstanceId | None:
        """Return the scheduler in use for a request, or ``None`` when none responds."""
        return self.choice(active.shard).current

    def of_service(self, service: ServiceName) -> Iterator[ActiveRequest]:
        """Yield the requests of one service."""
        return (active for active in self.active.values() if active.request.service == service)

    def submit(self, active: ActiveRequest, now_s: float) -> list[SubmitTicket]:
        """Return the action that submits the request's ticket to the scheduler in use."""
        scheduler = self.scheduler(active)
        if scheduler is None:
            return []
        self.choice(active.shard).expect_reply(now_s)
        return [SubmitTicket(scheduler, active.shard, active.ticket)]

    def withdraw(self, active: ActiveRequest) -> list[WithdrawTicket]:
        """Return the action that withdraws the request's ticket from the scheduler in use."""
        scheduler = self.scheduler(active)
        if scheduler is None:
            return []
        return [WithdrawTicket(scheduler, active.shard, active.request_id)]

    def waiting_tickets(self, service: ServiceName) -> list[Ticket]:
        """Return the tickets of a service's requests that wait for a grant."""
        waiting = RequestState.WAITING
        return [active.ticket for active in self.of_service(service) if active.state is waiting]

    def in_flight(self, service: ServiceName, now_s: float) -> list[InFlight]:
        """Return the requests of a service that have a grant, dispatched or not."""
        reports = (active.in_flight(now_s) for active in self.of_service(service))
        return [report for report in reports if report is not None]

    def refresh_action(self, service: ServiceName, now_s: float) -> list[RefreshScheduler]:
        """Return a refresh of the scheduler in use with all active requests of a service."""
        shard = shard_id(service)
        scheduler = self.choice(shard).current
        if scheduler is None:
            return []
        waiting = tuple(self.waiting_tickets(service))
        in_flight = tuple(self.in_flight(service, now_s))
        is_empty = not waiting and not in_flight
        if not is_empty:
            # An empty refresh may get no reply: an instance ignores it if it hosts no scheduler of
            # the shard.
            self.choice(shard).expect_reply(now_s)
        self.empty_refreshes[shard] = self.empty_refreshes.get(shard, 0) + 1 if is_empty else 0
        return [RefreshScheduler(scheduler, shard, waiting, in_flight)]

    def retry_after_s(self) -> float:
        """Return a jittered retry delay for a refusal that carries none from a scheduler."""
        scheduler = self.settings.scheduler
        spread = 1.0 + scheduler.retry_after_jitter * self.rng.random()
        return scheduler.retry_after_min_s * spread
