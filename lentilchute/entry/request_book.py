"""The requests that an entry holds, and its view of the schedulers and upstreams around them."""

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
from .request_state import HeldRequest, RequestState
from .scheduler_choice import SchedulerChoice


class RequestBook:
    """State that the entry's decision modules share."""

    def __init__(
        self, incarnation: IncarnationId, settings: NodeSettings, rng: random.Random
    ) -> None:
        self.incarnation = incarnation
        self.settings = settings
        self.rng = rng
        self.held: dict[RequestId, HeldRequest] = {}
        self.held_body_bytes = 0
        self.leaving: set[UpstreamId] = set()
        self.choices: dict[ShardId, SchedulerChoice] = {}
        self.quiet_refreshes: dict[ShardId, int] = {}
        self._sequence = 0
        self._due: list[tuple[float, RequestId]] = []

    def new_request(self, request: AcceptedRequest, now_s: float) -> HeldRequest:
        """Return a request with a new id and its first ticket; it is not held yet."""
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
        return HeldRequest(ticket.request_id, request, now_s, ticket)

    def add(self, held: HeldRequest) -> None:
        """Hold a new request; its body counts until it is dispatched or ended."""
        self.held[held.request_id] = held
        self.held_body_bytes += len(held.request.body)
        self.quiet_refreshes[held.shard] = 0
        self.wake_at(held, held.request.deadline_s)

    def wake_at(self, held: HeldRequest, due_s: float) -> None:
        """Have ``take_due`` return the request at ``due_s``."""
        heapq.heappush(self._due, (due_s, held.request_id))

    def take_due(self, now_s: float) -> list[HeldRequest]:
        """Return the requests whose time has come and that have not ended."""
        due = []
        while self._due and self._due[0][0] <= now_s:
            held = self.held.get(heapq.heappop(self._due)[1])
            if held is not None:
                due.append(held)
        return due

    def next_due_s(self) -> float:
        """Return when ``take_due`` may have something; ``math.inf`` for never."""
        return self._due[0][0] if self._due else math.inf

    def dispatched(self, held: HeldRequest, now_s: float) -> None:
        """Note the instant from which an upstream may run the request."""
        held.dispatched_s = now_s
        self.held_body_bytes -= len(held.request.body)

    def end(self, held: HeldRequest) -> None:
        """Forget a request that has its final answer."""
        if held.state is RequestState.ENDED:
            return
        held.state = RequestState.ENDED
        if not held.is_dispatched:
            self.held_body_bytes -= len(held.request.body)
        del self.held[held.request_id]

    def choice(self, shard: ShardId) -> SchedulerChoice:
        """Return the choice of scheduler for a shard."""
        if shard not in self.choices:
            self.choices[shard] = SchedulerChoice(self.settings.entry.ticket_timeout_s)
        return self.choices[shard]

    def scheduler(self, held: HeldRequest) -> InstanceId | None:
        """Return the scheduler in use for a request, or ``None`` when none answers."""
        return self.choice(held.shard).current

    def of_service(self, service: ServiceName) -> Iterator[HeldRequest]:
        """Yield the requests of one service."""
        return (held for held in self.held.values() if held.request.service == service)

    def submit(self, held: HeldRequest, now_s: float) -> list[SubmitTicket]:
        """Send the request's ticket to the scheduler in use, if there is one."""
        scheduler = self.scheduler(held)
        if scheduler is None:
            return []
        self.choice(held.shard).asked(now_s)
        return [SubmitTicket(scheduler, held.shard, held.ticket)]

    def withdraw(self, held: HeldRequest) -> list[WithdrawTicket]:
        """Take the request's ticket back from the scheduler in use, if there is one."""
        scheduler = self.scheduler(held)
        if scheduler is None:
            return []
        return [WithdrawTicket(scheduler, held.shard, held.request_id)]

    def waiting_tickets(self, service: ServiceName) -> list[Ticket]:
        """Return the tickets of a service that wait for a grant."""
        waiting = RequestState.WAITING
        return [held.ticket for held in self.of_service(service) if held.state is waiting]

    def in_flight(self, service: ServiceName, now_s: float) -> list[InFlight]:
        """Return the requests of a service that hold a grant or run."""
        reports = (held.in_flight(now_s) for held in self.of_service(service))
        return [report for report in reports if report is not None]

    def refresh_action(self, service: ServiceName, now_s: float) -> list[RefreshScheduler]:
        """Tell the scheduler in use all that this entry holds for a service."""
        shard = shard_id(service)
        scheduler = self.choice(shard).current
        if scheduler is None:
            return []
        waiting = tuple(self.waiting_tickets(service))
        in_flight = tuple(self.in_flight(service, now_s))
        is_quiet = not waiting and not in_flight
        if not is_quiet:
            # An empty refresh need not be answered: it may find no scheduler of the shard there.
            self.choice(shard).asked(now_s)
        self.quiet_refreshes[shard] = self.quiet_refreshes.get(shard, 0) + 1 if is_quiet else 0
        return [RefreshScheduler(scheduler, shard, waiting, in_flight)]

    def retry_after_s(self) -> float:
        """Return when a caller may try again after a refusal that no scheduler priced."""
        scheduler = self.settings.scheduler
        spread = 1.0 + scheduler.retry_after_jitter * self.rng.random()
        return scheduler.retry_after_min_s * spread
