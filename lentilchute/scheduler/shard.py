"""The scheduler of one shard: decides which waiting request goes to which upstream, and when.

It performs no I/O. Methods take the current time and return decisions. Its state is soft: the
entries send it again in their refreshes. A ticket waits until it is granted, withdrawn or refused,
or until its deadline passes::

    scheduler = ShardScheduler(shard, document, SchedulerSettings(), random.Random(1), now_s)
    scheduler.add_upstream(upstream, group, now_s)
    for decision in scheduler.submit(ticket, now_s):
        ...
"""

import random
from collections import OrderedDict
from collections.abc import Iterable, Mapping

from ..document import ServiceDocument, UpstreamGroup
from ..ids import Attempt, InstanceId, ModelName, RequestId, ShardId, Tier, UpstreamId
from ..settings import SchedulerSettings
from ..upstream.adapters import Upstream
from .admission import Admission
from .degradation import mark_degraded
from .forecast import OutputForecast
from .granting import Granter
from .placement_lifecycle import PlacementLifecycle
from .placements import PlacementRegistry, PlacementState
from .policy import FULL_POLICY, Policy
from .prefix_index import PrefixIndex
from .retry_after import DrainRate, RetryAfter
from .shard_status import ShardStatus
from .suspects import PoisonVerdict, SuspectTracker
from .tickets import (
    CacheEvent,
    Decision,
    EndState,
    InFlight,
    LoadReport,
    Refusal,
    RefusalReason,
    Ticket,
)
from .upstream_pool import UpstreamPool
from .waiting_list import WaitingList, WaitingTicket

MAX_ENDED_REQUESTS = 4_096
"""Ended requests that are kept to recognise their late or repeated messages."""

REFRESH_GRACE_S = 0.5
"""A refresh may predate changes that are more recent than this, so it does not remove them."""

COMPARISON_INTERVAL_S = 0.5
"""Minimum interval between comparisons of the upstreams' rates."""

_FINAL_ATTEMPT = Attempt(2**31)
"""Recorded for a dispatched request that ended; exceeds any real attempt, so none is admitted."""


class ShardScheduler:
    """Queues the tickets of one shard and grants them to its upstreams."""

    def __init__(
        self,
        shard: ShardId,
        document: ServiceDocument,
        settings: SchedulerSettings,
        rng: random.Random,
        now_s: float,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._shard = shard
        self._settings = settings
        self._policy = policy
        self._forecast = OutputForecast()
        self._suspects = SuspectTracker()
        self._prefixes = PrefixIndex(settings.prefix_block_tokens)
        self._pool = UpstreamPool(policy, self._forecast, self._prefixes, self._suspects)
        self._next_comparison_s = now_s
        self._waiting = WaitingList(policy)
        self._placements = PlacementRegistry()
        self._ended: OrderedDict[RequestId, Attempt] = OrderedDict()
        self._drain = DrainRate(now_s)
        self._retry_after = RetryAfter(settings, rng, policy.retry_spread)
        self._granter = Granter(
            self._pool,
            self._prefixes,
            self._forecast,
            self._suspects,
            self._waiting,
            self._placements,
            settings,
            policy,
        )
        self._admission = Admission(
            self._pool, self._waiting, self._suspects, self._granter.grant_rates, settings, policy
        )
        self._lifecycle = PlacementLifecycle(
            self._pool, self._placements, self._prefixes, self._forecast, self._suspects, policy
        )
        self._apply_document(document)

    def _apply_document(self, document: ServiceDocument) -> None:
        self._document = document
        self._granter.configure(document)
        self._admission.configure(document)

    # Upstreams

    def configure(self, document: ServiceDocument, now_s: float) -> list[Decision]:
        """Apply a new service document; waiting tickets are kept."""
        self._apply_document(document)
        for load in self._pool.all():
            group = document.group_of(load.upstream)
            if group is not None and load.group is not None:
                load.configure(group, document.limits.first_token_target_s)
        self._pool.update_rates()
        return self._decide(now_s)

    def add_upstream(
        self, upstream: Upstream, group: UpstreamGroup, now_s: float
    ) -> list[Decision]:
        """Add an upstream or update its limits from its group; a leaving one stays leaving."""
        target_s = self._document.limits.first_token_target_s
        self._pool.get_or_create(upstream.upstream).configure(group, target_s)
        self._pool.update_rates()
        self._prefixes.add_upstream(upstream.upstream, group.cache_tokens)
        return self._decide(now_s)

    def remove_upstream(self, upstream_id: UpstreamId, now_s: float) -> list[Decision]:
        """Stop granting to an upstream and remove it once it has no requests in flight."""
        load = self._pool.get(upstream_id)
        if load is not None:
            load.group = None
            self._pool.update_availability(load)
            self._prefixes.remove_upstream(upstream_id)
            self._lifecycle.discard_if_idle(upstream_id)
        return self._decide(now_s)

    def mark_leaving(self, upstream_id: UpstreamId, now_s: float) -> list[Decision]:
        """Stop granting to an upstream until ``clear_leaving``."""
        load = self._pool.get(upstream_id)
        if load is not None:
            load.leaving = True
            self._pool.update_availability(load)
        return self._decide(now_s)

    def clear_leaving(self, upstream_id: UpstreamId, now_s: float) -> list[Decision]:
        """Resume granting to an upstream that was leaving."""
        load = self._pool.get(upstream_id)
        if load is not None:
            load.leaving = False
        return self._decide(now_s)

    def await_models(self, upstream_id: UpstreamId) -> None:
        """Grant no model call to an upstream until ``set_models``."""
        self._pool.get_or_create(upstream_id).awaits_models = True

    def set_models(
        self, models: Mapping[UpstreamId, frozenset[ModelName] | None], now_s: float
    ) -> list[Decision]:
        """Set the models that upstreams serve; ``None`` for one that does not list its models."""
        for upstream_id, held in models.items():
            load = self._pool.get(upstream_id)
            if load is not None:
                load.models = held
                load.awaits_models = False
        return self._decide(now_s)

    def load_report(self, report: LoadReport, now_s: float) -> list[Decision]:
        """Handle an upstream's load report; its figures are not used."""
        return self._decide(now_s)

    def cache_events(self, events: Iterable[CacheEvent], now_s: float) -> None:
        """Apply events from upstreams' prefix cache logs, which may have gaps."""
        for event in events:
            self._prefixes.apply_event(event)

    # Tickets

    def submit(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Submit a ticket; an attempt that is not newer than the known one is ignored."""
        if not self._is_new_attempt(ticket):
            return []
        self._remove_request(ticket.request_id)
        return self._admit(ticket, now_s) + self._decide(now_s)

    def _is_new_attempt(self, ticket: Ticket) -> bool:
        known_attempts: list[Attempt] = []
        request_id = ticket.request_id
        if request_id in self._ended:
            known_attempts.append(self._ended[request_id])
        waiting = self._waiting.get(request_id)
        if waiting is not None:
            known_attempts.append(waiting.ticket.attempt)
        placement = self._placements.get(request_id)
        if placement is not None:
            known_attempts.append(placement.ticket.attempt)
        return all(ticket.attempt > attempt for attempt in known_attempts)

    def _remove_request(self, request_id: RequestId) -> None:
        self._waiting.remove(request_id)
        self._lifecycle.release(request_id)

    def _admit(self, ticket: Ticket, now_s: float) -> list[Decision]:
        reason = self._admission.refusal_reason(ticket, now_s)
        if reason is not None:
            return [self._refuse(ticket, reason)]
        self._waiting.add(WaitingTicket(ticket, now_s, self._admission.latest_start_s(ticket)))
        return []

    def withdraw(self, request_id: RequestId, now_s: float) -> list[Decision]:
        """Drop a request that its entry abandoned before dispatch."""
        waiting = self._waiting.remove(request_id)
        if waiting is not None:
            self._record_end(request_id, waiting.ticket.attempt)
        placement = self._lifecycle.release(request_id)
        if placement is not None:
            self._record_end(request_id, placement.ticket.attempt)
        return self._decide(now_s)

    def _record_end(self, request_id: RequestId, attempt: Attempt) -> None:
        self._ended[request_id] = attempt
        self._ended.move_to_end(request_id)
        if len(self._ended) > MAX_ENDED_REQUESTS:
            self._ended.popitem(last=False)

    def _refuse(self, ticket: Ticket, reason: RefusalReason) -> Refusal:
        self._record_end(ticket.request_id, ticket.attempt)
        ahead = self._waiting.count_up_to(ticket.tier) + 1
        retry_after_s = self._retry_after.draw_s(ahead, self._drain.per_s)
        return Refusal(ticket.request_id, ticket.attempt, ticket.entry, reason, retry_after_s)

    # Progress of granted requests

    def dispatched(
        self, request_id: RequestId, attempt: Attempt, upstream_id: UpstreamId, now_s: float
    ) -> list[Decision]:
        """Record that the first byte of a granted request was sent to its upstream."""
        placement = self._placements.get(request_id)
        if placement is None or placement.ticket.attempt != attempt:
            return []
        if placement.upstream != upstream_id:
            self._lifecycle.release(request_id)
            tokens = placement.prompt_tokens
            placement = self._granter.reserve(placement.ticket, upstream_id, tokens, now_s)
        if placement.state is not PlacementState.DISPATCHED:
            placement.state = PlacementState.DISPATCHED
            placement.dispatched_s = now_s
        return []

    def progress(self, request_id: RequestId, output_tokens: int, now_s: float) -> None:
        """Record the output tokens of a request so far; the first report marks its first token."""
        placement = self._placements.get(request_id)
        if placement is None or output_tokens <= placement.output_tokens:
            return
        self._lifecycle.record_progress(placement, output_tokens, now_s)

    def ended(
        self, request_id: RequestId, end: EndState, cached_prompt_tokens: int, now_s: float
    ) -> list[Decision]:
        """Record the end of a dispatched request and release its capacity."""
        self._waiting.remove(request_id)
        placement = self._placements.get(request_id)
        if placement is not None and end is EndState.UPSTREAM_CRASHED:
            self._lifecycle.attribute_crash(placement, now_s)
        self._lifecycle.release(request_id)
        if placement is not None:
            self._lifecycle.record_end(placement, end, cached_prompt_tokens)
        self._record_end(request_id, _FINAL_ATTEMPT)
        self._drain.record(now_s)
        condemned = self._refuse_condemned() if end is EndState.UPSTREAM_CRASHED else []
        return condemned + self._decide(now_s)

    def declined(self, request_id: RequestId, attempt: Attempt, now_s: float) -> list[Decision]:
        """Release the capacity of an unused grant; the entry submits a newer attempt."""
        placement = self._placements.get(request_id)
        if placement is None or placement.ticket.attempt != attempt:
            return []
        if placement.state is PlacementState.DISPATCHED:
            return []
        self._lifecycle.release(request_id)
        self._record_end(request_id, attempt)
        return self._decide(now_s)

    # Refreshes from entries

    def refresh(
        self, entry: InstanceId, waiting: list[Ticket], in_flight: list[InFlight], now_s: float
    ) -> list[Decision]:
        """Reconcile the requests of one entry with the entry's own lists."""
        decisions: list[Decision] = []
        reported = {ticket.request_id for ticket in waiting}
        reported.update(flight.ticket.request_id for flight in in_flight)
        self._drop_unreported(entry, reported, now_s)
        for flight in in_flight:
            self._reconcile_in_flight(flight, now_s)
        for ticket in waiting:
            decisions += self._reconcile_waiting(ticket, now_s)
        return decisions + self._decide(now_s)

    def _drop_unreported(self, entry: InstanceId, reported: set[RequestId], now_s: float) -> None:
        for waiting in self._waiting.of_entry(entry):
            if self._is_obsolete(waiting.ticket, reported, waiting.enqueued_s, now_s):
                self._waiting.remove(waiting.ticket.request_id)
        for placement in self._placements.of_entry(entry):
            since_s = max(placement.granted_s, placement.dispatched_s)
            if placement.state is PlacementState.GRANTED:
                continue
            if self._is_obsolete(placement.ticket, reported, since_s, now_s):
                self._lifecycle.release(placement.ticket.request_id)

    @staticmethod
    def _is_obsolete(
        ticket: Ticket, reported: set[RequestId], since_s: float, now_s: float
    ) -> bool:
        return ticket.request_id not in reported and now_s - since_s >= REFRESH_GRACE_S

    def _reconcile_in_flight(self, flight: InFlight, now_s: float) -> None:
        request_id = flight.ticket.request_id
        if request_id in self._ended and self._ended[request_id] == _FINAL_ATTEMPT:
            return
        placement = self._placements.get(request_id)
        if placement is None or placement.upstream != flight.upstream:
            self._remove_request(request_id)
            tokens = 0 if flight.output_tokens else flight.ticket.prompt_tokens
            self._granter.reserve(flight.ticket, flight.upstream, tokens, now_s)
        self.dispatched(request_id, flight.ticket.attempt, flight.upstream, now_s)
        self.progress(request_id, flight.output_tokens, now_s)

    def _reconcile_waiting(self, ticket: Ticket, now_s: float) -> list[Decision]:
        placement = self._placements.get(ticket.request_id)
        if placement is not None and placement.state is PlacementState.UNCONFIRMED:
            # The entry still lists the request as waiting, so it did not use the expired grant.
            self._lifecycle.release(ticket.request_id)
        if self._ended.get(ticket.request_id) == ticket.attempt:
            # The refusal of this attempt did not reach the entry. The ticket is decided again, so
            # that its caller gets an answer and no ticket of a lower tier waits in its place.
            del self._ended[ticket.request_id]
        if not self._is_new_attempt(ticket):
            return []
        self._remove_request(ticket.request_id)
        return self._admit(ticket, now_s)

    def remove_entry(self, entry: InstanceId, now_s: float) -> list[Decision]:
        """Drop all requests of an entry that is suspected to have failed or is gone."""
        for waiting in self._waiting.of_entry(entry):
            self._waiting.remove(waiting.ticket.request_id)
        for placement in self._placements.of_entry(entry):
            self._lifecycle.release(placement.ticket.request_id)
        return self._decide(now_s)

    # Suspects

    def apply_peer_verdict(self, verdict: PoisonVerdict, now_s: float) -> list[Decision]:
        """Apply a peer's verdict on a fingerprint."""
        self._suspects.apply_peer_verdict(verdict)
        return self._refuse_condemned() + self._decide(now_s)

    def pop_new_verdicts(self) -> list[PoisonVerdict]:
        """Return the verdicts reached here since the last call."""
        return self._suspects.pop_new_verdicts()

    def _refuse_condemned(self) -> list[Decision]:
        refusals: list[Decision] = []
        for waiting in self._waiting.all():
            if self._suspects.is_condemned(waiting.ticket.fingerprint):
                self._waiting.remove(waiting.ticket.request_id)
                refusals.append(self._refuse(waiting.ticket, RefusalReason.POISON))
        return refusals

    # Decisions

    def tick(self, now_s: float) -> list[Decision]:
        """Process timeouts and grant waiting tickets."""
        return self._decide(now_s)

    def next_tick_s(self) -> float:
        """Return when ``tick`` is due next; infinity for never."""
        placements = self._placements
        return min(
            self._waiting.next_late_s(),
            placements.next_expiry_s(),
            placements.next_overdue_s(),
            self._granter.next_affinity_wait_end_s,
        )

    def _decide(self, now_s: float) -> list[Decision]:
        self._placements.expire(now_s)
        for request_id in self._placements.pop_overdue(now_s):
            self._lifecycle.release(request_id)
        if now_s >= self._next_comparison_s:
            self._compare_upstreams(now_s)
        decisions: list[Decision] = []
        for waiting in self._waiting.pop_late(now_s):
            is_over = waiting.ticket.deadline_s <= now_s
            reason = RefusalReason.EXPIRED if is_over else RefusalReason.DEADLINE
            decisions.append(self._refuse(waiting.ticket, reason))
        decisions += self._granter.grant_all(now_s)
        decisions += self._shed()
        return decisions

    def _compare_upstreams(self, now_s: float) -> None:
        self._next_comparison_s = now_s + COMPARISON_INTERVAL_S
        if self._policy.decline_detection:
            mark_degraded(self._pool.all())
        self._pool.update_rates()

    def _shed(self) -> list[Decision]:
        refusals: list[Decision] = []
        while (shed := self._admission.next_to_shed()) is not None:
            ticket, reason = shed
            self._waiting.remove(ticket.request_id)
            refusals.append(self._refuse(ticket, reason))
        return refusals

    def status(self, now_s: float) -> ShardStatus:
        """Describe the shard for operators and metrics."""
        tiers = [Tier(rank) for rank in range(len(self._document.tiers))]
        in_flight = {
            tier: sum(load.streams_by_tier.get(tier, 0) for load in self._pool.all())
            for tier in tiers
        }
        return ShardStatus(
            self._shard,
            {tier: self._waiting.count(tier) for tier in tiers},
            in_flight,
            tuple(load.status() for load in self._pool.all()),
            self._drain.per_s,
        )
