"""The scheduler of one shard: decides which waiting request goes to which upstream, and when.

It is free of I/O. Methods take the time and return decisions; its state is soft, since the entries
refresh it. A ticket waits here until it is granted, withdrawn, refused or past its deadline::

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
from .decline import mark_declined
from .forecast import OutputForecast
from .granting import Granter
from .outcomes import Outcomes
from .placements import PlacementRegistry, PlacementState
from .placing import UpstreamPool
from .policy import FULL_POLICY, Policy
from .prefix_index import PrefixIndex
from .retry_after import DrainRate, RetryAfter
from .shard_status import ShardStatus
from .suspects import PoisonVerdict, SuspectBook
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
from .waiting import Waiting, WaitingList

REMEMBERED_ENDS = 4_096
"""Ended requests whose late or repeated messages are recognised."""

REFRESH_GUARD_S = 0.5
"""A refresh says nothing about what this scheduler learned or decided in the last moment."""

COMPARE_INTERVAL_S = 0.5
"""Upstreams are compared with each other at most this often."""

_FINAL = Attempt(2**31)


class ShardScheduler:
    """Orders the tickets of one shard and grants them to its upstreams."""

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
        self._suspects = SuspectBook()
        self._prefixes = PrefixIndex(settings.prefix_block_tokens)
        self._pool = UpstreamPool(policy, self._forecast, self._prefixes, self._suspects)
        self._next_compare_s = now_s
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
            self._pool, self._waiting, self._suspects, self._granter.flow, settings, policy
        )
        self._outcomes = Outcomes(
            self._pool, self._placements, self._prefixes, self._forecast, self._suspects, policy
        )
        self._take_document(document)

    def _take_document(self, document: ServiceDocument) -> None:
        self._document = document
        self._granter.configure(document)
        self._admission.configure(document)

    # Upstreams

    def configure(self, document: ServiceDocument, now_s: float) -> list[Decision]:
        """Take a new document; waiting tickets stay."""
        self._take_document(document)
        for load in self._pool.all():
            group = document.group_of(load.upstream)
            if group is not None and load.group is not None:
                load.configure(group, document.limits.first_token_target_s)
        self._pool.update_rates()
        return self._decide(now_s)

    def add_upstream(
        self, upstream: Upstream, group: UpstreamGroup, now_s: float
    ) -> list[Decision]:
        """Add an upstream, or take its group's bounds anew; a leaving one stays leaving."""
        target_s = self._document.limits.first_token_target_s
        self._pool.known(upstream.upstream).configure(group, target_s)
        self._pool.update_rates()
        self._prefixes.add_upstream(upstream.upstream, group.cache_tokens)
        return self._decide(now_s)

    def remove_upstream(self, upstream_id: UpstreamId, now_s: float) -> list[Decision]:
        """Grant nothing more to an upstream and forget it once nothing is in flight there."""
        load = self._pool.get(upstream_id)
        if load is not None:
            load.group = None
            self._pool.touch(load)
            self._prefixes.remove_upstream(upstream_id)
            self._outcomes.discard_idle(upstream_id)
        return self._decide(now_s)

    def mark_leaving(self, upstream_id: UpstreamId, now_s: float) -> list[Decision]:
        """Grant nothing more to an upstream until ``mark_live``."""
        load = self._pool.get(upstream_id)
        if load is not None:
            load.leaving = True
            self._pool.touch(load)
        return self._decide(now_s)

    def mark_live(self, upstream_id: UpstreamId, now_s: float) -> list[Decision]:
        """An upstream that was leaving takes work again."""
        load = self._pool.get(upstream_id)
        if load is not None:
            load.leaving = False
        return self._decide(now_s)

    def await_models(self, upstream_id: UpstreamId) -> None:
        """Place no model call on an upstream until ``set_models``."""
        self._pool.known(upstream_id).awaits_models = True

    def set_models(
        self, models: Mapping[UpstreamId, frozenset[ModelName] | None], now_s: float
    ) -> list[Decision]:
        """Take what upstreams hold; ``None`` for one that does not say, which takes all."""
        for upstream_id, held in models.items():
            load = self._pool.get(upstream_id)
            if load is not None:
                load.models = held
                load.awaits_models = False
        return self._decide(now_s)

    def load_report(self, report: LoadReport, now_s: float) -> list[Decision]:
        """Take an upstream's lagging word on its load."""
        return self._decide(now_s)

    def cache_events(self, events: Iterable[CacheEvent], now_s: float) -> None:
        """Take entries of upstreams' prefix cache logs, which may have gaps."""
        for event in events:
            self._prefixes.learn(event)

    # Tickets

    def submit(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Take a ticket; a known request with the same or an older attempt changes nothing."""
        if not self._is_news(ticket):
            return []
        self._forget(ticket.request_id)
        return self._admit(ticket, now_s) + self._decide(now_s)

    def _is_news(self, ticket: Ticket) -> bool:
        known: list[Attempt] = []
        request_id = ticket.request_id
        if request_id in self._ended:
            known.append(self._ended[request_id])
        waiting = self._waiting.get(request_id)
        if waiting is not None:
            known.append(waiting.ticket.attempt)
        placement = self._placements.get(request_id)
        if placement is not None:
            known.append(placement.ticket.attempt)
        return all(ticket.attempt > attempt for attempt in known)

    def _forget(self, request_id: RequestId) -> None:
        self._waiting.remove(request_id)
        self._outcomes.release(request_id)

    def _admit(self, ticket: Ticket, now_s: float) -> list[Decision]:
        reason = self._admission.reason_to_refuse(ticket, now_s)
        if reason is not None:
            return [self._refuse(ticket, reason)]
        self._waiting.add(Waiting(ticket, now_s, self._admission.start_by_s(ticket)))
        return []

    def withdraw(self, request_id: RequestId, now_s: float) -> list[Decision]:
        """Drop a request that its entry gave up before dispatch."""
        waiting = self._waiting.remove(request_id)
        if waiting is not None:
            self._remember_end(request_id, waiting.ticket.attempt)
        placement = self._outcomes.release(request_id)
        if placement is not None:
            self._remember_end(request_id, placement.ticket.attempt)
        return self._decide(now_s)

    def _remember_end(self, request_id: RequestId, attempt: Attempt) -> None:
        self._ended[request_id] = attempt
        self._ended.move_to_end(request_id)
        if len(self._ended) > REMEMBERED_ENDS:
            self._ended.popitem(last=False)

    def _refuse(self, ticket: Ticket, reason: RefusalReason) -> Refusal:
        self._remember_end(ticket.request_id, ticket.attempt)
        ahead = self._waiting.count_up_to(ticket.tier) + 1
        retry_after_s = self._retry_after.draw_s(ahead, self._drain.per_s)
        return Refusal(ticket.request_id, ticket.attempt, ticket.entry, reason, retry_after_s)

    # Progress of granted requests

    def dispatched(
        self, request_id: RequestId, attempt: Attempt, upstream_id: UpstreamId, now_s: float
    ) -> list[Decision]:
        """Note that the first byte of a granted request went to its upstream."""
        placement = self._placements.get(request_id)
        if placement is None or placement.ticket.attempt != attempt:
            return []
        if placement.upstream != upstream_id:
            self._outcomes.release(request_id)
            tokens = placement.prompt_tokens
            placement = self._granter.reserve(placement.ticket, upstream_id, tokens, now_s)
        if placement.state is not PlacementState.DISPATCHED:
            placement.state = PlacementState.DISPATCHED
            placement.dispatched_s = now_s
        return []

    def progress(self, request_id: RequestId, output_tokens: int, now_s: float) -> None:
        """Note the output tokens of a request so far; the first report is its first token."""
        placement = self._placements.get(request_id)
        if placement is None or output_tokens <= placement.output_tokens:
            return
        self._outcomes.progress(placement, output_tokens, now_s)

    def ended(
        self, request_id: RequestId, end: EndState, cached_prompt_tokens: int, now_s: float
    ) -> list[Decision]:
        """Note that a dispatched request is over, and give its room back."""
        self._waiting.remove(request_id)
        placement = self._placements.get(request_id)
        if placement is not None and end is EndState.UPSTREAM_CRASHED:
            self._outcomes.judge_crash(placement, now_s)
        self._outcomes.release(request_id)
        if placement is not None:
            self._outcomes.learn_end(placement, end, cached_prompt_tokens)
        self._remember_end(request_id, _FINAL)
        self._drain.record(now_s)
        condemned = self._refuse_condemned() if end is EndState.UPSTREAM_CRASHED else []
        return condemned + self._decide(now_s)

    def declined(self, request_id: RequestId, attempt: Attempt, now_s: float) -> list[Decision]:
        """Give back the room of a grant that was not used; the entry submits a newer attempt."""
        placement = self._placements.get(request_id)
        if placement is None or placement.ticket.attempt != attempt:
            return []
        if placement.state is PlacementState.DISPATCHED:
            return []
        self._outcomes.release(request_id)
        self._remember_end(request_id, attempt)
        return self._decide(now_s)

    # What entries say about all of their requests

    def refresh(
        self, entry: InstanceId, waiting: list[Ticket], in_flight: list[InFlight], now_s: float
    ) -> list[Decision]:
        """Bring this scheduler's view of one entry in line with the entry's own."""
        decisions: list[Decision] = []
        listed = {ticket.request_id for ticket in waiting}
        listed.update(flight.ticket.request_id for flight in in_flight)
        self._drop_unlisted(entry, listed, now_s)
        for flight in in_flight:
            self._learn_in_flight(flight, now_s)
        for ticket in waiting:
            decisions += self._learn_waiting(ticket, now_s)
        return decisions + self._decide(now_s)

    def _drop_unlisted(self, entry: InstanceId, listed: set[RequestId], now_s: float) -> None:
        for waiting in self._waiting.of_entry(entry):
            if self._is_settled(waiting.ticket, listed, waiting.since_s, now_s):
                self._waiting.remove(waiting.ticket.request_id)
        for placement in self._placements.of_entry(entry):
            since_s = max(placement.granted_s, placement.dispatched_s)
            if placement.state is PlacementState.GRANTED:
                continue
            if self._is_settled(placement.ticket, listed, since_s, now_s):
                self._outcomes.release(placement.ticket.request_id)

    @staticmethod
    def _is_settled(ticket: Ticket, listed: set[RequestId], since_s: float, now_s: float) -> bool:
        return ticket.request_id not in listed and now_s - since_s >= REFRESH_GUARD_S

    def _learn_in_flight(self, flight: InFlight, now_s: float) -> None:
        request_id = flight.ticket.request_id
        if request_id in self._ended and self._ended[request_id] == _FINAL:
            return
        placement = self._placements.get(request_id)
        if placement is None or placement.upstream != flight.upstream:
            self._forget(request_id)
            tokens = 0 if flight.output_tokens else flight.ticket.prompt_tokens
            self._granter.reserve(flight.ticket, flight.upstream, tokens, now_s)
        self.dispatched(request_id, flight.ticket.attempt, flight.upstream, now_s)
        self.progress(request_id, flight.output_tokens, now_s)

    def _learn_waiting(self, ticket: Ticket, now_s: float) -> list[Decision]:
        placement = self._placements.get(ticket.request_id)
        if placement is not None and placement.state is PlacementState.UNCONFIRMED:
            # The entry still waits after the grant expired, so it did not use the grant.
            self._outcomes.release(ticket.request_id)
        if self._ended.get(ticket.request_id) == ticket.attempt:
            # The entry has not heard the refusal of this attempt: it is decided anew, so that its
            # caller does not wait in vain and no lower tier's ticket stays in its place.
            del self._ended[ticket.request_id]
        if not self._is_news(ticket):
            return []
        self._forget(ticket.request_id)
        return self._admit(ticket, now_s)

    def forget_entry(self, entry: InstanceId, now_s: float) -> list[Decision]:
        """Drop all requests of an entry process that is gone."""
        for waiting in self._waiting.of_entry(entry):
            self._waiting.remove(waiting.ticket.request_id)
        for placement in self._placements.of_entry(entry):
            self._outcomes.release(placement.ticket.request_id)
        return self._decide(now_s)

    # Suspects

    def learn_verdict(self, verdict: PoisonVerdict, now_s: float) -> list[Decision]:
        """Take a peer's verdict on a fingerprint."""
        self._suspects.learn(verdict)
        return self._refuse_condemned() + self._decide(now_s)

    def take_verdicts(self) -> list[PoisonVerdict]:
        """Return the verdicts found since the last call."""
        return self._suspects.take_news()

    def _refuse_condemned(self) -> list[Decision]:
        refusals: list[Decision] = []
        for waiting in self._waiting.all():
            if self._suspects.is_condemned(waiting.ticket.fingerprint):
                self._waiting.remove(waiting.ticket.request_id)
                refusals.append(self._refuse(waiting.ticket, RefusalReason.POISON))
        return refusals

    # Decisions

    def tick(self, now_s: float) -> list[Decision]:
        """Do what is due by time alone."""
        return self._decide(now_s)

    def next_tick_s(self) -> float:
        """Return when ``tick`` has work; infinity for never."""
        placements = self._placements
        return min(
            self._waiting.next_late_s(),
            placements.next_expiry_s(),
            placements.next_over_s(),
            self._granter.next_hold_end_s,
        )

    def _decide(self, now_s: float) -> list[Decision]:
        self._placements.expire(now_s)
        for request_id in self._placements.take_over(now_s):
            self._outcomes.release(request_id)
        if now_s >= self._next_compare_s:
            self._compare_upstreams(now_s)
        decisions: list[Decision] = []
        for waiting in self._waiting.take_late(now_s):
            is_over = waiting.ticket.deadline_s <= now_s
            reason = RefusalReason.EXPIRED if is_over else RefusalReason.DEADLINE
            decisions.append(self._refuse(waiting.ticket, reason))
        decisions += self._granter.grant_all(now_s)
        decisions += self._shed()
        return decisions

    def _compare_upstreams(self, now_s: float) -> None:
        self._next_compare_s = now_s + COMPARE_INTERVAL_S
        if self._policy.decline_detection:
            mark_declined(self._pool.all())
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
