"""One service's roll-out, as one node knows it; free of I/O."""

import math
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ...ids import IncarnationId, SoftwareVersion, UpstreamId
from ..fleet import UpstreamListing
from ..messages import Report
from ..settings import RolloutSettings
from ..tickets import Ticket, TicketKey
from ..upstream_model import UpstreamModel
from .exposure import ExposureBudget
from .judgement import Evidence, JudgementSettings, Verdict, VersionJudgement
from .orders import RolloutOrder, RolloutRecord, RolloutState
from .samples import SampleOutcome, VersionRole, VersionSample
from .schedule import CANARY_WEIGHT, MIN_SETTLE_S, RolloutSchedule

BLOCK_REQUESTS = 20
"""Requests at the candidate that are reserved by one write; a kill wastes as many at most."""
STORED_ANSWERS = 8
"""The evidence is written again when the tests have taken in so many answers more."""
SOAK_SHARE = 0.25
"""Part of a short roll-out for which the candidate is watched before it may be judged good."""
LOW_WATER = 8
"""The next block is reserved when fewer than this are left, so that the write is done in time."""
LEASE_SHARE = 0.5
"""Part of the time for a roll back for which a node trusts what it has heard; it needs the rest to
hear of the verdict."""
ALONE_S = 5.0
"""Upstreams whose rows were lost in an outage of the store are listed again well before."""
RARE_SHARE = 0.5
"""A route that has sent less than this part of its due to the candidate does not wait for a
burst; no more than this part of a route's requests is counted on."""
MAX_BURST = 8
"""Most requests that a burst to the candidate adds to one."""
PACKED_SHARE = 2 / 3
"""Part of the canary that goes to few upstreams, so that they are as loaded as the baseline."""
PACKED_UPSTREAMS = 4
PACKED_BURSTS = 2
"""After so many bursts one of these upstreams is replaced: a fault may show at slow ones alone."""
LOAD_MEMORY = 0.05
"""Weight of the last placement in the mean load of the baseline."""
REPORT_DELAY_S = 0.5
"""Time after a ticket's deadline by which its end is reported, or has been lost."""


@dataclass(slots=True)
class _Placed:
    role: VersionRole
    route: str
    load: float
    expected_s: float
    gap_s: float
    placed_s: float
    deadline_s: float
    first_event_s: float | None = None
    mean_gap_s: float | None = None


class ServiceRollout:
    """What a node knows of the last order for a service, and what it does about it."""

    def __init__(
        self,
        order: RolloutOrder,
        ordered_s: float,
        settings: RolloutSettings,
        rng: random.Random,
        judgement: JudgementSettings,
    ) -> None:
        self.order = order
        self.ordered_s = ordered_s
        """When the order was given at the earliest, by this process's clock."""
        self.record: RolloutRecord | None = None
        """The merged state; ``None`` until this node has heard of any."""
        self._deciding_since_s: float | None = None
        self.longest_stream_s = 0.0
        self.other_versions: set[SoftwareVersion] = set()
        """The versions of the service that are listed, without the order's."""
        self.is_candidate_listed = False
        self._settings = settings
        self._rng = rng
        self._confirmed_s = float("-inf")
        self._settled_s: float | None = None
        self._alone_since_s: float | None = None
        self._budget = ExposureBudget(settings.exposure_share, settings.exposure_slack)
        soak_s = min(judgement.soak_s, SOAK_SHARE * order.duration_s)
        self._judgement = VersionJudgement(replace(judgement, soak_s=soak_s))
        self._placed: dict[tuple[TicketKey, UpstreamId], _Placed] = {}
        """Requests in flight; a repeat may be placed before the first try is reported as ended."""
        self._route_requests: Counter[str] = Counter()
        self._route_canaries: Counter[str] = Counter()
        self._baseline_load = 0.0
        self._slots = 1
        self._burst_left = 0
        self._is_packing = False
        self._packed: list[UpstreamId] = []
        self._packed_bursts = 0
        self._burst_target: UpstreamId | None = None

    @property
    def verdict(self) -> Verdict:
        """What this node knows of the candidate."""
        return Verdict.UNDECIDED if self.record is None else self.record.verdict

    @property
    def state(self) -> RolloutState:
        """The outcome that this node knows of."""
        return RolloutState.RUNNING if self.record is None else self.record.state

    @property
    def is_ended(self) -> bool:
        """Whether the order has its outcome."""
        return self.record is not None and self.record.is_ended

    def is_over(self) -> bool:
        """Return whether only versions are listed that may be used."""
        if self.record is None or not self.is_ended:
            return False
        if self.state is RolloutState.COMPLETED:
            return not self.other_versions & self.record.replaced
        return not self.is_candidate_listed

    @property
    def replaces_nothing(self) -> bool:
        """Whether the service has had no other version since the order, so that there is nothing to
        judge its version by and nothing else to use."""
        has_replaced = self.record is not None and bool(self.record.replaced)
        return self.is_candidate_listed and not self.other_versions and not has_replaced

    def is_candidate(self, listing: UpstreamListing) -> bool:
        """Return whether an upstream has the version of the order."""
        return listing.version == self.order.to

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether what this node knows is no older than it may be."""
        lease_s = LEASE_SHARE * self._settings.rollback_within_s
        return self.is_ended or now_s - self._confirmed_s <= lease_s

    def unconfirmed_for_s(self, now_s: float) -> float:
        """Return the time since this node last heard of the state."""
        return now_s - self._confirmed_s

    def expire(self) -> None:
        """Trust nothing until the state is heard again."""
        self._confirmed_s = float("-inf")

    def adopt(self, record: RolloutRecord, ordered_s: float, heard_s: float) -> None:
        """Merge the state that a row or a peer names."""
        before = self.verdict
        self.record = record if self.record is None else self.record.merge(record)
        self.ordered_s = min(self.ordered_s, ordered_s)
        self._confirmed_s = max(self._confirmed_s, heard_s)
        self._budget.restore(record.requests, record.exposed)
        if record.evidence is not None:
            self._judgement.resume(record.evidence, heard_s)
        if self.verdict is not before:
            self._judgement.restore(self.verdict, "decided by another node")
        self._apply_verdict()

    @property
    def is_deciding(self) -> bool:
        """Whether this node places all requests, and spends the exposure."""
        return self._deciding_since_s is not None

    def set_deciding(self, is_deciding: bool, now_s: float) -> None:
        """Set whether this node places all requests from now on."""
        if is_deciding != self.is_deciding:
            self._deciding_since_s = now_s if is_deciding else None

    def confirm(self, heard_s: float) -> None:
        """Record that the stored state is what this node knows."""
        self._confirmed_s = max(self._confirmed_s, heard_s)

    def begin(self, ordered_at_s: float) -> RolloutRecord:
        """Return the state of an order that nobody has recorded yet."""
        return RolloutRecord(self.order, ordered_at_s, frozenset(self.other_versions))

    def allows(self, ticket: Ticket, listing: UpstreamListing, now_s: float) -> bool:
        """Return whether a request may go to an upstream at present."""
        if not self.may_send(listing):
            return False
        if not self.is_candidate(listing) or self.state is RolloutState.COMPLETED:
            return True
        if self.replaces_nothing:
            return True
        if self.verdict is Verdict.GOOD:
            return self._trusts_good(now_s) or not self.other_versions
        if not self.is_deciding or not self.is_confirmed(now_s):
            return False
        is_bound = ticket.version == self.order.to
        return (is_bound or not ticket.is_repeat) and self._budget.may_send(now_s)

    def may_send(self, listing: UpstreamListing) -> bool:
        """Return whether nothing is known against an upstream's version."""
        if self.is_candidate(listing):
            return self.verdict is not Verdict.BAD and self.state is not RolloutState.ROLLED_BACK
        if self.record is None or self.state is not RolloutState.COMPLETED:
            return True
        return listing.version not in self.record.replaced

    def select(
        self, ticket: Ticket, models: list[UpstreamModel], now_s: float
    ) -> list[UpstreamModel]:
        """Return those of the upstreams with room among which to choose."""
        new = [model for model in models if self.is_candidate(model.listing)]
        old = [model for model in models if not self.is_candidate(model.listing)]
        if ticket.version is not None or self.is_ended:
            return models
        if self.replaces_nothing:
            return models
        if self.verdict is Verdict.UNDECIDED:
            return self._canary(new, now_s) if new and self._is_turn(ticket, now_s) else old
        weight = self._schedule().candidate_weight(self.verdict, now_s)
        if weight >= 1.0 and self._trusts_good(now_s):
            return new
        preferred, other = (new, old) if self._rng.random() < weight else (old, new)
        return preferred or other

    def record_placement(
        self, ticket: Ticket, model: UpstreamModel, expected_s: float, gap_s: float, now_s: float
    ) -> None:
        """Record where a request goes, and what the baseline would take for it."""
        if self.is_ended:
            return
        is_candidate = self.is_candidate(model.listing)
        load = model.running(now_s) / model.slots
        route = ticket.route or ""
        if not ticket.is_repeat:
            self._budget.record_request()
            self._route_requests[route] += 1
        if is_candidate:
            self._budget.record_candidate()
            self._route_canaries[route] += 1
            self._burst_left -= 1
        else:
            self._slots = model.slots
            self._baseline_load += LOAD_MEMORY * (load - self._baseline_load)
        self._placed[ticket.key, model.listing.upstream] = _Placed(
            role=VersionRole.CANDIDATE if is_candidate else VersionRole.BASELINE,
            route=route,
            load=load,
            expected_s=expected_s,
            gap_s=gap_s,
            placed_s=now_s,
            deadline_s=ticket.deadline_s,
        )

    def record_report(self, key: TicketKey, report: Report, now_s: float) -> None:
        """Record the progress of a request that was placed here."""
        placed = self._placed.get((key, report.upstream))
        if placed is None:
            return
        if report.first_event_s >= 0 and placed.first_event_s is None:
            placed.first_event_s = report.first_event_s
        if report.gap_ms >= 0:
            placed.mean_gap_s = report.gap_ms / 1000
        if report.ended:
            del self._placed[key, report.upstream]
            self._judgement.record(_sample(placed, report, now_s), now_s)

    def forget(self, key: TicketKey) -> None:
        """Forget a request that was not sent."""
        for found in [found for found in self._placed if found[0] == key]:
            del self._placed[found]

    def remove_node(self, node: IncarnationId) -> None:
        """Forget the requests of a node whose incarnation has ended."""
        self._placed = {
            found: item for found, item in self._placed.items() if found[0].node != node
        }

    def judge(self, now_s: float) -> bool:
        """Apply the verdict of the samples; return whether it is news."""
        if self.record is None or self.is_ended:
            return False
        before = self.record.verdict
        self.record = self.record.with_verdict(self._judgement.verdict(now_s))
        self._apply_verdict()
        return self.record.verdict is not before

    def evidence(self, now_s: float) -> Evidence:
        """Return the figures behind the verdict."""
        return self._judgement.evidence(now_s)

    def due_state(self, models: Iterable[UpstreamModel], now_s: float) -> RolloutState:
        """Return the outcome that is due.

        A good version whose completion is late is completed as soon as nothing runs at the old
        upstreams: all new work has been at the new ones for a while by then.
        """
        if self.is_ended:
            return self.state
        if self.verdict is Verdict.BAD:
            return RolloutState.ROLLED_BACK
        if self.replaces_nothing:
            self._alone_since_s = now_s if self._alone_since_s is None else self._alone_since_s
            is_sure = now_s - self._alone_since_s >= ALONE_S
            return RolloutState.COMPLETED if is_sure else RolloutState.RUNNING
        self._alone_since_s = None
        schedule = self._schedule()
        if self.verdict is Verdict.UNDECIDED:
            is_late = schedule.is_unjudged(self.verdict, now_s)
            return RolloutState.ROLLED_BACK if is_late else RolloutState.RUNNING
        if schedule.candidate_weight(self.verdict, now_s) < 1.0:
            self._settled_s = None
            return RolloutState.RUNNING
        if self._settled_s is None:
            self._settled_s = now_s
        if now_s < self._settled_s + MIN_SETTLE_S or now_s < self._all_known_s():
            return RolloutState.RUNNING
        is_idle = not self._baseline_in_flight(models, now_s)
        return RolloutState.COMPLETED if is_idle else RolloutState.RUNNING

    def _trusts_good(self, now_s: float) -> bool:
        """Return whether a verdict of good still holds here.

        The deciding node would itself reach another one, so an outage of the store does not move
        its traffic back; but not before it has heard what was decided until it began to.
        """
        since_s = self._deciding_since_s
        has_followed = since_s is not None and self._confirmed_s >= since_s
        return has_followed or self.is_confirmed(now_s)

    def _all_known_s(self) -> float:
        """Return the time from which this node knows of all requests at old upstreams: those that
        began before it placed them may run at upstreams that are leaving, which nobody reports."""
        settle_s = self._schedule().settle_s
        known_since_s = max(self.ordered_s, self._deciding_since_s or 0.0)
        return min(known_since_s, settle_s) + self.longest_stream_s

    def next_record(self, state: RolloutState, now_s: float) -> RolloutRecord:
        """Return the state to store, with a further block of exposure if one is needed."""
        assert self.record is not None
        ceiling = self._budget.exposed
        if state is RolloutState.RUNNING and self.verdict is Verdict.UNDECIDED:
            ceiling = self._budget.reserve(BLOCK_REQUESTS)
        replaced = self.record.replaced
        if state is RolloutState.COMPLETED:
            replaced |= self.other_versions
        return replace(
            self.record,
            state=state,
            replaced=replaced,
            requests=self._budget.total,
            exposed=ceiling,
            evidence=self._judgement.collected(now_s),
        )

    def needs_block(self) -> bool:
        """Return whether another block of exposure should be reserved, and can be."""
        if self.is_ended or self.verdict is not Verdict.UNDECIDED:
            return False
        left = self._budget.reserved_left
        can_gain = self._budget.reserve(BLOCK_REQUESTS) - self._budget.exposed - left
        return left < LOW_WATER and can_gain >= LOW_WATER

    def has_more_evidence(self, stored: RolloutRecord) -> bool:
        """Return whether a successor would have to gather much again that is known here."""
        if self.is_ended or self.verdict is not Verdict.UNDECIDED:
            return False
        known = 0 if stored.evidence is None else stored.evidence.candidate_samples
        return self._judgement.weighed_samples - known >= STORED_ANSWERS

    def record_stored(self, stored: RolloutRecord, now_s: float) -> None:
        """Record that this node has stored a state: its block may be spent here."""
        assert self.record is not None
        self.record = self.record.merge(stored)
        self._confirmed_s = now_s
        self._budget.confirm(stored.exposed)

    def _apply_verdict(self) -> None:
        if self.verdict is Verdict.GOOD:
            self._budget.release()
        elif self.verdict is Verdict.BAD:
            self._budget.bind()

    def _schedule(self) -> RolloutSchedule:
        deadline_s = self.ordered_s + self.order.duration_s
        return RolloutSchedule(
            self.ordered_s,
            deadline_s,
            self.longest_stream_s,
            canary_weight=min(CANARY_WEIGHT, self._budget.usable_share),
        )

    def _is_turn(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether a request is the candidate's.

        Its share is saved up and sent in bursts: one request at a time would never load its
        upstreams as much as the baseline's are.
        """
        route = ticket.route or ""
        weight = self._schedule().candidate_weight(self.verdict, now_s)
        due = self._budget.due(weight, now_s)
        if self._burst_left <= 0 and due >= self._burst_size:
            self._burst_left = self._burst_size
            self._is_packing = self._rng.random() < PACKED_SHARE
            self._burst_target = None
            self._packed_bursts += self._is_packing
        if self._burst_left > 0:
            return self._is_route_behind(route, 1.0, weight)
        return due >= 1.0 and self._is_route_behind(route, RARE_SHARE, weight)

    def _is_route_behind(self, route: str, part: float, weight: float) -> bool:
        """Return whether a route has sent less to the candidate than a part of its due: as much as
        each other route, and what routes with few requests leave."""
        requests = max(1, self._route_requests.total())
        equal = 1 / max(1, len(self._route_requests))
        left = sum(
            max(0.0, equal - RARE_SHARE * count / requests / max(weight, 1e-3))
            for each, count in self._route_requests.items()
            if each != route
        )
        canaries = self._route_canaries.total() + self._burst_size
        return self._route_canaries[route] < part * (equal + left) * canaries

    @property
    def _burst_size(self) -> int:
        return 1 + min(MAX_BURST, math.ceil(self._baseline_load * self._slots))

    def _canary(self, new: list[UpstreamModel], now_s: float) -> list[UpstreamModel]:
        """Return the candidate's upstreams to choose from: in most bursts one of a few that are
        loaded as much as the baseline's, so that neither a fault under load nor a single bad
        machine is taken for another."""
        if not self._is_packing:
            return new
        by_name = {model.listing.upstream: model for model in new}
        spare = [name for name in by_name if name not in self._packed]
        if spare and len(self._packed) < PACKED_UPSTREAMS:
            self._packed.append(self._rng.choice(spare))
        elif spare and self._packed_bursts >= PACKED_BURSTS:
            self._packed_bursts = 0
            self._packed = [*self._packed[1:], self._rng.choice(spare)]
        elif spare and not any(name in by_name for name in self._packed):
            # They are full, or gone.
            self._packed[0] = self._rng.choice(spare)
        loads = {
            name: model.running(now_s) / model.slots
            for name, model in by_name.items()
            if name in self._packed
            and (model.running(now_s) - 1) / model.slots < self._baseline_load
        }
        if not loads:
            return new
        if self._burst_target not in loads:
            self._burst_target = self._rng.choice(list(loads))
        return [by_name[self._burst_target]]

    def _baseline_in_flight(self, models: Iterable[UpstreamModel], now_s: float) -> int:
        """Return how many requests run at old upstreams, also at those that are leaving."""
        self._placed = {
            found: item
            for found, item in self._placed.items()
            if now_s < item.deadline_s + REPORT_DELAY_S
        }
        keys = {key for (key, _), item in self._placed.items() if item.role is VersionRole.BASELINE}
        for model in models:
            if not self.is_candidate(model.listing):
                keys |= set(model.requests)
        return len(keys)


def _sample(placed: _Placed, report: Report, now_s: float) -> VersionSample:
    first_event_s, expected_s = placed.first_event_s, max(placed.expected_s, 1e-4)
    elapsed_s = now_s - placed.placed_s
    if first_event_s is None and elapsed_s > expected_s:
        # It took longer than this.
        first_event_s = elapsed_s
    if report.failure < 0 or (report.failure >= 1.0 and report.is_excused is not False):
        outcome = SampleOutcome.EXCUSED
    elif report.failure >= 1.0:
        outcome = SampleOutcome.FAILURE
    else:
        outcome = SampleOutcome.SUCCESS
    return VersionSample(
        role=placed.role,
        route=placed.route,
        upstream=report.upstream,
        load=placed.load,
        outcome=outcome,
        first_event_ratio=None if first_event_s is None else first_event_s / expected_s,
        gap_ratio=(
            None if placed.mean_gap_s is None else placed.mean_gap_s / max(placed.gap_s, 1e-5)
        ),
    )
