"""Decision code for the requests that one process accepted, from acceptance to the final answer.

Only this process may dispatch these requests, each at most once. ``EntryRequests`` does no I/O: its
methods take the current time and return actions, and the results of those actions come back as
further calls. An action for a scheduler names the target instance.
"""

import math
import random

from ..ids import (
    Attempt,
    IncarnationId,
    InstanceId,
    RequestId,
    ServiceName,
    ShardId,
    UpstreamId,
    service_of,
    shard_id,
)
from ..scheduler.tickets import EndState, Grant, InFlight, Outcome, Refusal, RefusalReason, Ticket
from ..settings import NodeSettings
from ..state.claim_answers import ClaimAnswer, ClaimState
from ..upstream.adapters import AnswerItem
from .actions import AcceptedRequest, DeclineGrant, EntryAction, RefreshScheduler, ReleaseKey
from .admission import admit
from .answer_relay import relay_item, resume_if_due
from .grant_use import (
    awaits_grant,
    dispatch_reports,
    is_grant_usable,
    may_dispatch,
    resubmit,
    retry_unsent,
    send_if_still_granted,
    use_grant,
)
from .local_share import LocalUpstream, local_grants
from .request_endings import (
    abandon_after_dispatch,
    abandon_before_dispatch,
    fail,
    refuse,
    replay_kept_answer,
    stop_answering,
)
from .request_registry import RequestRegistry
from .request_state import ActiveRequest, ClaimStatus, RequestState

KEYED_ANSWER_GRACE_S = 60.0
"""How long past its deadline the answer to a request that holds its key is read, to store it."""

CLAIM_GRACE_S = 0.5
"""How long past its deadline a request waits for the result of a pending claim."""

ARRIVAL_MARGIN_S = 1.0
"""Allowance for a request in transit, or not yet read from its socket after a process pause."""

MIN_PROCESS_PAUSE_S = 0.5
"""A longer gap between two calls of ``is_idle`` counts as a pause of this process."""

MAX_EMPTY_REFRESHES = 3
"""Consecutive empty refreshes after which refreshing stops.

One is not enough: a refresh may be lost, and a scheduler ignores one for requests that it has only
just received or decided on. The scheduler drops what remains once its deadline has passed, or for a
granted request ``MAX_RUN_PAST_DEADLINE_S`` later.
"""

LOCAL_GRANT_LIFETIME_S = 5.0


_CLAIM_REFUSALS = {
    ClaimState.RUNNING_ELSEWHERE: (RefusalReason.KEY_RUNNING, Outcome.MAY_HAVE_RUN),
    ClaimState.FINISHED: (RefusalReason.KEY_UNRESOLVED, Outcome.RAN),
    ClaimState.MAY_HAVE_RUN: (RefusalReason.KEY_UNRESOLVED, Outcome.MAY_HAVE_RUN),
    ClaimState.OTHER_BODY: (RefusalReason.KEY_REUSED, Outcome.NOT_RUN),
    ClaimState.TABLE_UNAVAILABLE: (RefusalReason.TABLE_UNAVAILABLE, Outcome.NOT_RUN),
}


class EntryRequests:
    """Tracks the active requests of one entry and decides what happens to them."""

    def __init__(
        self, incarnation: IncarnationId, settings: NodeSettings, rng: random.Random
    ) -> None:
        self._registry = RequestRegistry(incarnation, settings, rng)
        self._settings = settings
        self._sequence = 0
        self._outbox: list[EntryAction] = []
        self._local_upstreams: dict[ServiceName, tuple[LocalUpstream, ...]] = {}
        self._last_refresh_s: dict[ShardId, float] = {}
        self._stop_began_s: float | None = None
        self._last_idle_check_s = -math.inf
        self._last_pause_end_s = -math.inf

    # Callers.

    def accept(self, request: AcceptedRequest, now_s: float) -> tuple[RequestId, list[EntryAction]]:
        """Admit or refuse a new request; return its id and the first actions."""
        active = self._registry.new_request(request, now_s)
        actions = admit(self._registry, active, now_s)
        if active.request_id in self._registry.active:
            actions += self._registry.submit(active, now_s)
            actions += self._grant_locally(request.service, now_s)
        return active.request_id, actions

    def caller_gone(self, request: RequestId, now_s: float) -> list[EntryAction]:
        """Handle a caller that disconnected before the end of its answer."""
        active = self._registry.active.get(request)
        if active is None or not active.caller_connected:
            return []
        if not active.is_dispatched:
            return abandon_before_dispatch(self._registry, active)
        if active.claim is ClaimStatus.HELD:
            # The request may not run twice, so its answer is still read and stored for a resend.
            active.caller_connected = False
            return []
        return abandon_after_dispatch(self._registry, active)

    # Schedulers.

    def set_scheduler_order(
        self, shard: ShardId, order: tuple[InstanceId, ...], now_s: float
    ) -> list[EntryAction]:
        """Set the scheduler candidates in the order given by membership."""
        choice = self._registry.choice(shard)
        if not choice.set_order(order, now_s):
            return []
        return self._refresh_all(shard, now_s)

    def scheduler_of(self, service: ServiceName) -> InstanceId | None:
        """Return the scheduler in use; ``None`` while this entry schedules locally."""
        return self._registry.choice(shard_id(service)).current

    def record_scheduler_reply(self, shard: ShardId, scheduler: InstanceId) -> None:
        """Record a message from a scheduler about this shard; any counts as a reply."""
        self._registry.choice(shard).record_reply(scheduler)

    def granted(
        self, shard: ShardId, grant: Grant, scheduler: InstanceId, now_s: float
    ) -> list[EntryAction]:
        """Use a scheduler's grant of an attempt, or decline it."""
        active = self._registry.active.get(grant.request_id)
        if active is not None and active.grant == grant and active.granted_by == scheduler:
            # A duplicate message: declining it would release the capacity that the request uses.
            return []
        declined: list[EntryAction] = [DeclineGrant(scheduler, shard, grant)]
        if active is None or not awaits_grant(active, grant):
            return declined
        if not is_grant_usable(self._registry, active, grant, now_s):
            return declined + resubmit(self._registry, active, active.ticket.excluded, now_s)
        active.grant = grant
        active.granted_by = scheduler
        return use_grant(active)

    def refused(self, refusal: Refusal, scheduler: InstanceId, now_s: float) -> list[EntryAction]:
        """Refuse a waiting request because the scheduler in use refused it."""
        active = self._registry.active.get(refusal.request_id)
        if active is None or active.state is not RequestState.WAITING:
            return []
        if active.attempt != refusal.attempt or self._registry.scheduler(active) != scheduler:
            return []
        return refuse(self._registry, active, refusal.reason, refusal.retry_after_s)

    def refresh(self, service: ServiceName, now_s: float) -> tuple[list[Ticket], list[InFlight]]:
        """Return the waiting tickets and the in-flight requests of a service."""
        return self._registry.waiting_tickets(service), self._registry.in_flight(service, now_s)

    # Claims.

    def claim_resolved(
        self, request: RequestId, answer: ClaimAnswer, now_s: float
    ) -> list[EntryAction]:
        """Handle the result of claiming an idempotency key."""
        active = self._registry.active.get(request)
        if active is None:
            return [ReleaseKey(request)] if answer.state is ClaimState.GRANTED else []
        if active.state is not RequestState.CLAIMING:
            return []
        if answer.state is ClaimState.GRANTED:
            active.claim = ClaimStatus.HELD
            actions = send_if_still_granted(self._registry, active, now_s)
            return actions + self._grant_locally(active.request.service, now_s)
        active.claim = ClaimStatus.NONE
        if answer.state is ClaimState.FINISHED and answer.kept is not None:
            return replay_kept_answer(self._registry, active, answer.kept)
        reason, outcome = _CLAIM_REFUSALS[answer.state]
        return refuse(self._registry, active, reason, outcome=outcome)

    # Upstreams.

    def may_send(self, request: RequestId, attempt: Attempt, now_s: float) -> bool:
        """Return whether to dispatch now; called just before the first byte is written.

        True is returned at most once per request. The reports to the schedulers are then available
        from ``take_actions``.
        """
        active = self._registry.active.get(request)
        if (
            active is None
            or active.attempt != attempt
            or not may_dispatch(self._registry, active, now_s)
        ):
            return False
        self._registry.record_dispatch(active, now_s)
        self._outbox += dispatch_reports(self._registry, active)
        return True

    def take_actions(self) -> list[EntryAction]:
        """Return and clear the actions queued by ``may_send``, which cannot return them itself."""
        actions, self._outbox = self._outbox, []
        return actions

    def answer_item(self, request: RequestId, item: AnswerItem, now_s: float) -> list[EntryAction]:
        """Handle the next item of an upstream's answer: a head, a part, the end or a fault."""
        active = self._registry.active.get(request)
        if active is None:
            return []
        if active.is_dispatched:
            return relay_item(self._registry, active, item, now_s)
        if active.state is not RequestState.SENDING:
            return []
        actions = retry_unsent(self._registry, active, now_s)
        return actions + self._grant_locally(active.request.service, now_s)

    def upstream_leaving(self, upstream: UpstreamId) -> None:
        """Stop dispatching requests to an upstream that is leaving."""
        self._registry.leaving.add(upstream)

    def upstream_returned(self, upstream: UpstreamId) -> None:
        """Allow dispatching to an upstream again that is no longer leaving."""
        self._registry.leaving.discard(upstream)

    def set_local_share(self, service: ServiceName, upstreams: tuple[LocalUpstream, ...]) -> None:
        """Set the capacity that this entry may use while no scheduler responds."""
        self._local_upstreams[service] = upstreams

    # Time.

    def stop(self, now_s: float) -> list[EntryAction]:
        """Begin a planned stop: serve until no caller can still have this address in its listing.

        Every request that arrives before the process exits is served: one that waited in a socket
        while the process was paused cannot be told apart from one that was sent too late.
        """
        if self._stop_began_s is None:
            self._stop_began_s = now_s
        return []

    def is_idle(self, now_s: float) -> bool:
        """Return whether a planned stop may end: no request is active and none can still arrive.

        Must be polled several times a second once the stop began, so that a pause of the process
        is detected.
        """
        if now_s - self._last_idle_check_s > MIN_PROCESS_PAUSE_S:
            self._last_pause_end_s = now_s
        self._last_idle_check_s = now_s
        return self._stop_window_is_over(now_s) and not self._registry.active

    def tick(self, now_s: float) -> list[EntryAction]:
        """Process what is due: deadlines, stream resumes, scheduler timeouts and refreshes."""
        actions: list[EntryAction] = []
        for active in self._registry.pop_due(now_s):
            actions += self._tick_request(active, now_s)
        for shard in list(self._registry.choices):
            actions += self._tick_shard(shard, now_s)
        return actions

    def next_tick_s(self) -> float:
        """Return when ``tick`` is due next; ``math.inf`` if nothing is scheduled."""
        times = [self._registry.next_due_s()]
        times += [choice.next_tick_s() for choice in self._registry.choices.values()]
        times += [self._refresh_due_s(shard) for shard in self._registry.choices]
        return min(times)

    # Schedulers.

    def _refresh_all(self, shard: ShardId, now_s: float) -> list[EntryAction]:
        """Refresh the scheduler in use, and send former ones an empty refresh."""
        self._last_refresh_s[shard] = now_s
        actions: list[EntryAction] = [
            RefreshScheduler(former, shard, (), ())
            for former in self._registry.choice(shard).pop_former_schedulers()
        ]
        actions += self._registry.refresh_action(service_of(shard), now_s)
        actions += self._grant_locally(service_of(shard), now_s)
        return actions

    def _grant_locally(self, service: ServiceName, now_s: float) -> list[EntryAction]:
        if self._registry.choice(shard_id(service)).current is not None:
            return []
        grants = local_grants(
            self._registry.of_service(service),
            self._local_upstreams.get(service, ()),
            frozenset(self._registry.leaving),
            now_s + LOCAL_GRANT_LIFETIME_S,
        )
        actions: list[EntryAction] = []
        for grant in grants:
            active = self._registry.active[grant.request_id]
            active.grant = grant
            actions += use_grant(active)
        return actions

    def _refresh_due_s(self, shard: ShardId) -> float:
        is_up_to_date = (
            self._registry.empty_refreshes.get(shard, MAX_EMPTY_REFRESHES) >= MAX_EMPTY_REFRESHES
        )
        if is_up_to_date and not self._registry.choice(shard).has_former_schedulers:
            return math.inf
        last_s = self._last_refresh_s.get(shard, 0.0)
        return last_s + self._settings.scheduler.refresh_interval_s

    # Time.

    def _tick_shard(self, shard: ShardId, now_s: float) -> list[EntryAction]:
        changed = self._registry.choice(shard).tick(now_s)
        if changed or now_s >= self._refresh_due_s(shard):
            return self._refresh_all(shard, now_s)
        return self._grant_locally(service_of(shard), now_s)

    def _tick_request(self, active: ActiveRequest, now_s: float) -> list[EntryAction]:
        if now_s < active.request.deadline_s:
            return resume_if_due(active, now_s)
        if not active.is_dispatched:
            return self._expire(active, now_s)
        keyed_answer_end_s = active.request.deadline_s + KEYED_ANSWER_GRACE_S
        if active.claim is ClaimStatus.HELD and now_s < keyed_answer_end_s:
            self._registry.wake_at(active, keyed_answer_end_s)
            actions = stop_answering(self._registry, active, RefusalReason.EXPIRED)
            return actions + resume_if_due(active, now_s)
        return fail(self._registry, active, RefusalReason.EXPIRED, EndState.BROKEN)

    def _expire(self, active: ActiveRequest, now_s: float) -> list[EntryAction]:
        claim_wait_end_s = active.request.deadline_s + CLAIM_GRACE_S
        if active.state is RequestState.CLAIMING and now_s < claim_wait_end_s:
            # The claim also ends at the deadline, and its result may show that an earlier request
            # with this key ran.
            self._registry.wake_at(active, claim_wait_end_s)
            return []
        return refuse(self._registry, active, RefusalReason.EXPIRED)

    def _stop_window_is_over(self, now_s: float) -> bool:
        if self._stop_began_s is None:
            return False
        # Another node lists this address until it learns of the stop or its failure detector
        # suspects this node. A node that resumes from a pause shorter than the pause limit does
        # not treat its view as stale, so it may list this address as well.
        membership = self._settings.membership
        last_listed_s = self._stop_began_s + max(
            membership.suspect_after_s, membership.pause_limit_s
        )
        last_arrival_s = last_listed_s + self._settings.entry.answer_lifetime_s + ARRIVAL_MARGIN_S
        return now_s >= max(last_arrival_s, self._last_pause_end_s + ARRIVAL_MARGIN_S)
