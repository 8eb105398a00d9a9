"""All requests that one process accepted, from acceptance to their final answer.

Only this process may dispatch them, each at most once. The object is free of I/O: it takes the time
and returns actions, whose results come back by further calls. An action to a scheduler names the
instance it goes to.
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
    ask_again,
    dispatch_reports,
    is_awaited,
    is_usable,
    may_dispatch,
    send_if_still_granted,
    use_grant,
    wait_again,
)
from .local_share import LocalUpstream, local_grants
from .request_book import RequestBook
from .request_endings import (
    answer_from_key,
    fail,
    leave_after_dispatch,
    leave_before_dispatch,
    refuse,
    stop_answering,
)
from .request_state import ClaimHold, HeldRequest, RequestState

KEY_WAIT_S = 60.0
"""How long a non-idempotent answer is awaited past its deadline, for the sake of its key."""

CLAIM_ANSWER_S = 0.5
"""How long after its deadline a request waits for the end of its claim."""

ARRIVAL_MARGIN_S = 1.0
"""Time for a request to arrive after its caller sent it, and to be read after a pause."""

PAUSE_S = 0.5
"""A gap between two calls of ``is_idle`` from which this process counts as having stood still."""

QUIET_REFRESHES = 3
"""Empty refreshes after which a scheduler certainly knows that nothing is held here."""

LOCAL_GRANT_S = 5.0


_KEY_REFUSALS = {
    ClaimState.RUNNING_ELSEWHERE: (RefusalReason.KEY_RUNNING, Outcome.MAY_HAVE_RUN),
    ClaimState.FINISHED: (RefusalReason.KEY_UNRESOLVED, Outcome.RAN),
    ClaimState.MAY_HAVE_RUN: (RefusalReason.KEY_UNRESOLVED, Outcome.MAY_HAVE_RUN),
    ClaimState.OTHER_BODY: (RefusalReason.KEY_REUSED, Outcome.NOT_RUN),
    ClaimState.TABLE_UNAVAILABLE: (RefusalReason.TABLE_UNAVAILABLE, Outcome.NOT_RUN),
}


class EntryRequests:
    """The decisions about the requests of one entry."""

    def __init__(
        self, incarnation: IncarnationId, settings: NodeSettings, rng: random.Random
    ) -> None:
        self._book = RequestBook(incarnation, settings, rng)
        self._settings = settings
        self._sequence = 0
        self._outbox: list[EntryAction] = []
        self._local: dict[ServiceName, tuple[LocalUpstream, ...]] = {}
        self._refreshed_s: dict[ShardId, float] = {}
        self._stopping_s: float | None = None
        self._asked_idle_s = -math.inf
        self._woke_s = -math.inf

    # Callers.

    def accept(self, request: AcceptedRequest, now_s: float) -> tuple[RequestId, list[EntryAction]]:
        """Take a request in; return its id and the first actions, which may refuse it."""
        held = self._book.new_request(request, now_s)
        actions = admit(self._book, held, now_s)
        if held.request_id in self._book.held:
            actions += self._book.submit(held, now_s)
            actions += self._grant_locally(request.service, now_s)
        return held.request_id, actions

    def caller_gone(self, request: RequestId, now_s: float) -> list[EntryAction]:
        """The caller left before its answer ended."""
        held = self._book.held.get(request)
        if held is None or not held.caller_present:
            return []
        if not held.is_dispatched:
            return leave_before_dispatch(self._book, held)
        if held.claim is ClaimHold.HELD:
            # The work may not be repeated, so its answer is still read and kept for a resend.
            held.caller_present = False
            return []
        return leave_after_dispatch(self._book, held)

    # Schedulers.

    def set_scheduler_order(
        self, shard: ShardId, order: tuple[InstanceId, ...], now_s: float
    ) -> list[EntryAction]:
        """Take the order of scheduler candidates from membership."""
        choice = self._book.choice(shard)
        if not choice.set_order(order, now_s):
            return []
        return self._refresh_all(shard, now_s)

    def scheduler_of(self, service: ServiceName) -> InstanceId | None:
        """Return the scheduler in use; ``None`` while this entry schedules for itself."""
        return self._book.choice(shard_id(service)).current

    def scheduler_heard(self, shard: ShardId, scheduler: InstanceId) -> None:
        """A scheduler acknowledged a message about this shard."""
        self._book.choice(shard).heard(scheduler)

    def granted(
        self, shard: ShardId, grant: Grant, scheduler: InstanceId, now_s: float
    ) -> list[EntryAction]:
        """A scheduler granted an attempt: use the grant, or decline it."""
        held = self._book.held.get(grant.request_id)
        if held is not None and held.grant == grant and held.granted_by == scheduler:
            # The same message again; declining it would free the room that is in use.
            return []
        declined: list[EntryAction] = [DeclineGrant(scheduler, shard, grant)]
        if held is None or not is_awaited(held, grant):
            return declined
        if not is_usable(self._book, held, grant, now_s):
            return declined + wait_again(self._book, held, held.ticket.excluded, now_s)
        held.grant = grant
        held.granted_by = scheduler
        return use_grant(held)

    def refused(self, refusal: Refusal, scheduler: InstanceId, now_s: float) -> list[EntryAction]:
        """The scheduler in use gave a waiting request up; the caller hears it at once."""
        held = self._book.held.get(refusal.request_id)
        if held is None or held.state is not RequestState.WAITING:
            return []
        if held.attempt != refusal.attempt or self._book.scheduler(held) != scheduler:
            return []
        return refuse(self._book, held, refusal.reason, refusal.retry_after_s)

    def refresh(self, service: ServiceName, now_s: float) -> tuple[list[Ticket], list[InFlight]]:
        """Return what waits and what runs here for a service."""
        return self._book.waiting_tickets(service), self._book.in_flight(service, now_s)

    # Claims.

    def claim_resolved(
        self, request: RequestId, answer: ClaimAnswer, now_s: float
    ) -> list[EntryAction]:
        """The claim of an idempotency key came to an end."""
        held = self._book.held.get(request)
        if held is None:
            return [ReleaseKey(request)] if answer.state is ClaimState.GRANTED else []
        if held.state is not RequestState.CLAIMING:
            return []
        if answer.state is ClaimState.GRANTED:
            held.claim = ClaimHold.HELD
            actions = send_if_still_granted(self._book, held, now_s)
            return actions + self._grant_locally(held.request.service, now_s)
        held.claim = ClaimHold.NONE
        if answer.state is ClaimState.FINISHED and answer.kept is not None:
            return answer_from_key(self._book, held, answer.kept)
        reason, outcome = _KEY_REFUSALS[answer.state]
        return refuse(self._book, held, reason, outcome=outcome)

    # Upstreams.

    def may_send(self, request: RequestId, attempt: Attempt, now_s: float) -> bool:
        """Decide, just before the first byte, whether to dispatch; true at most once a request.

        ``take_actions`` then holds the report to the scheduler.
        """
        held = self._book.held.get(request)
        if held is None or held.attempt != attempt or not may_dispatch(self._book, held, now_s):
            return False
        self._book.dispatched(held, now_s)
        self._outbox += dispatch_reports(self._book, held)
        return True

    def take_actions(self) -> list[EntryAction]:
        """Return the actions that calls without a result left behind."""
        actions, self._outbox = self._outbox, []
        return actions

    def answer_item(self, request: RequestId, item: AnswerItem, now_s: float) -> list[EntryAction]:
        """An upstream's answer went on, ended or broke."""
        held = self._book.held.get(request)
        if held is None:
            return []
        if held.is_dispatched:
            return relay_item(self._book, held, item, now_s)
        if held.state is not RequestState.SENDING:
            return []
        actions = ask_again(self._book, held, now_s)
        return actions + self._grant_locally(held.request.service, now_s)

    def upstream_leaving(self, upstream: UpstreamId) -> None:
        """An upstream is leaving: nothing that is not yet dispatched goes there."""
        self._book.leaving.add(upstream)

    def upstream_back(self, upstream: UpstreamId) -> None:
        """An upstream that was leaving takes work again."""
        self._book.leaving.discard(upstream)

    def set_local_share(self, service: ServiceName, upstreams: tuple[LocalUpstream, ...]) -> None:
        """Take the room that this entry may use while no scheduler answers."""
        self._local[service] = upstreams

    # Time.

    def stop(self, now_s: float) -> list[EntryAction]:
        """Begin a planned stop: serve on until no caller may still hold this address.

        Whatever arrives before the process ends is served, since it cannot tell a request that
        waited in a socket while it stood still from one that was sent too late.
        """
        if self._stopping_s is None:
            self._stopping_s = now_s
        return []

    def is_idle(self, now_s: float) -> bool:
        """Tell whether a planned stop may end: nothing held, and nothing more to come.

        Ask several times a second from the stop on, so that a pause of the process is noticed.
        """
        if now_s - self._asked_idle_s > PAUSE_S:
            self._woke_s = now_s
        self._asked_idle_s = now_s
        return self._stop_window_is_over(now_s) and not self._book.held

    def tick(self, now_s: float) -> list[EntryAction]:
        """Do what has become due: deadlines, resumes, silent schedulers, refreshes."""
        actions: list[EntryAction] = []
        for held in self._book.take_due(now_s):
            actions += self._tick_request(held, now_s)
        for shard in list(self._book.choices):
            actions += self._tick_shard(shard, now_s)
        return actions

    def next_tick_s(self) -> float:
        """Return when ``tick`` has work; ``math.inf`` for never."""
        times = [self._book.next_due_s()]
        times += [choice.next_tick_s() for choice in self._book.choices.values()]
        times += [self._refresh_due_s(shard) for shard in self._book.choices]
        return min(times)

    # Schedulers.

    def _refresh_all(self, shard: ShardId, now_s: float) -> list[EntryAction]:
        """Bring the scheduler in use up to date, and former ones to forget this entry."""
        self._refreshed_s[shard] = now_s
        actions: list[EntryAction] = [
            RefreshScheduler(former, shard, (), ())
            for former in self._book.choice(shard).take_farewells()
        ]
        actions += self._book.refresh_action(service_of(shard), now_s)
        actions += self._grant_locally(service_of(shard), now_s)
        return actions

    def _grant_locally(self, service: ServiceName, now_s: float) -> list[EntryAction]:
        if self._book.choice(shard_id(service)).current is not None:
            return []
        grants = local_grants(
            self._book.of_service(service),
            self._local.get(service, ()),
            frozenset(self._book.leaving),
            now_s + LOCAL_GRANT_S,
        )
        actions: list[EntryAction] = []
        for grant in grants:
            held = self._book.held[grant.request_id]
            held.grant = grant
            actions += use_grant(held)
        return actions

    def _refresh_due_s(self, shard: ShardId) -> float:
        is_quiet = self._book.quiet_refreshes.get(shard, QUIET_REFRESHES) >= QUIET_REFRESHES
        if is_quiet and not self._book.choice(shard).has_farewells:
            return math.inf
        last_s = self._refreshed_s.get(shard, 0.0)
        return last_s + self._settings.scheduler.refresh_interval_s

    # Time.

    def _tick_shard(self, shard: ShardId, now_s: float) -> list[EntryAction]:
        changed = self._book.choice(shard).tick(now_s)
        if changed or now_s >= self._refresh_due_s(shard):
            return self._refresh_all(shard, now_s)
        return self._grant_locally(service_of(shard), now_s)

    def _tick_request(self, held: HeldRequest, now_s: float) -> list[EntryAction]:
        if now_s < held.request.deadline_s:
            return resume_if_due(held, now_s)
        if not held.is_dispatched:
            return self._expire(held, now_s)
        key_wait_end_s = held.request.deadline_s + KEY_WAIT_S
        if held.claim is ClaimHold.HELD and now_s < key_wait_end_s:
            self._book.wake_at(held, key_wait_end_s)
            actions = stop_answering(self._book, held, RefusalReason.EXPIRED)
            return actions + resume_if_due(held, now_s)
        return fail(self._book, held, RefusalReason.EXPIRED, EndState.BROKEN)

    def _expire(self, held: HeldRequest, now_s: float) -> list[EntryAction]:
        answer_by_s = held.request.deadline_s + CLAIM_ANSWER_S
        if held.state is RequestState.CLAIMING and now_s < answer_by_s:
            # The claim ends at the deadline too, and may know of an earlier run of the key.
            self._book.wake_at(held, answer_by_s)
            return []
        return refuse(self._book, held, RefusalReason.EXPIRED)

    def _stop_window_is_over(self, now_s: float) -> bool:
        if self._stopping_s is None:
            return False
        # Another node may name this address until it hears of the stop or takes us for gone, and
        # one that stands still for less than the pause limit does not doubt its view on waking.
        membership = self._settings.membership
        learned_s = self._stopping_s + max(membership.suspect_after_s, membership.pause_limit_s)
        last_arrival_s = learned_s + self._settings.entry.answer_lifetime_s + ARRIVAL_MARGIN_S
        return now_s >= max(last_arrival_s, self._woke_s + ARRIVAL_MARGIN_S)
