"""Decides which software versions a node's requests may go to, over all services; free of I/O."""

import random
from collections.abc import Callable, Iterable

from ...ids import IncarnationId, ServiceName, SoftwareVersion, UpstreamId
from ..fleet import UpstreamListing
from ..messages import Report
from ..settings import RolloutSettings
from ..tickets import Ticket, TicketKey
from ..upstream_model import UpstreamModel
from .judgement import JudgementSettings, Verdict
from .orders import RolloutOrder, RolloutRecord
from .service_rollout import ServiceRollout
from .version_coverage import ReadMark, VersionCoverage

MAX_SEEN_ORDERS = 1_024


class RolloutTracker:
    """The last order for each service, and the gate that it makes for the dispatcher."""

    def __init__(self, settings: RolloutSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self.judgement_settings = JudgementSettings()
        self._rollouts: dict[ServiceName, ServiceRollout] = {}
        self._seen: dict[tuple[ServiceName, SoftwareVersion, float, int], None] = {}
        """Orders that were read before: a store that came back from an older copy repeats them."""
        self.operator_rows_known: Callable[[], ReadMark | None] = lambda: None
        """Tells how far this node knows the operator's table."""
        self.coordinator_knows_orders: Callable[[], bool] = lambda: True
        """Tells whether the node that places requests runs a build that holds to orders."""
        self.coverage = VersionCoverage(lambda: self.operator_rows_known())
        self.is_deciding = False
        """Whether this node places the requests of all nodes."""

    def apply_settings(self, settings: RolloutSettings) -> None:
        """Replace the bounds for later orders."""
        self._settings = settings

    def set_deciding(self, is_deciding: bool, now_s: float) -> None:
        """Set whether this node places the requests of all nodes, and spends the exposures."""
        self.is_deciding = is_deciding
        for rollout in self._rollouts.values():
            rollout.set_deciding(is_deciding, now_s)

    def rollouts(self) -> list[ServiceRollout]:
        """Return the last order of each service, ended ones too."""
        return list(self._rollouts.values())

    def rollout(self, service: ServiceName) -> ServiceRollout | None:
        """Return the last order of a service."""
        return self._rollouts.get(service)

    def set_upstreams(self, listed: Iterable[UpstreamListing]) -> None:
        """Replace the upstreams that are listed."""
        self.coverage.update(listed)
        for rollout in self._rollouts.values():
            self._set_versions(rollout)

    def _set_versions(self, rollout: ServiceRollout) -> None:
        versions, to = self.coverage.versions(rollout.order.service), rollout.order.to
        rollout.other_versions = versions - {to}
        rollout.is_candidate_listed = to in versions

    def add_order(self, order: RolloutOrder, ordered_s: float) -> bool:
        """Apply an operator's order; return whether it is news."""
        known = self._rollouts.get(order.service)
        identity = (order.service, order.to, order.duration_s, order.version)
        if identity in self._seen or (known is not None and not order.supersedes(known.order)):
            return False
        self._seen[identity] = None
        if len(self._seen) > MAX_SEEN_ORDERS:
            del self._seen[next(iter(self._seen))]
        rollout = ServiceRollout(
            order, ordered_s, self._settings, self._rng, self.judgement_settings
        )
        rollout.set_deciding(self.is_deciding, ordered_s)
        self._set_versions(rollout)
        self._rollouts[order.service] = rollout
        return True

    def adopt(self, record: RolloutRecord, ordered_s: float, heard_s: float) -> bool:
        """Merge the state of an order that a row or a peer names; return whether it changed."""
        order = record.order
        known = self._rollouts.get(order.service)
        if known is None or not order.is_same_as(known.order):
            if not self.add_order(order, ordered_s):
                return False
            known = self._rollouts[order.service]
        before = known.record
        known.adopt(record, ordered_s, heard_s)
        return known.record != before

    def is_open(self, service: ServiceName) -> bool:
        """Return whether all upstreams of a service may be used, and none has to be recorded."""
        rollout = self._rollouts.get(service)
        if rollout is not None and not (rollout.is_ended and rollout.is_over()):
            return False
        return not self.coverage.has_waiting(service)

    def allows(self, ticket: Ticket, listing: UpstreamListing, now_s: float) -> bool:
        """Return whether a request may go to an upstream at present."""
        if not self.coverage.covers(listing.service, listing.version):
            return False
        rollout = self._rollouts.get(listing.service)
        return rollout is None or rollout.allows(ticket, listing, now_s)

    def may_send(self, listing: UpstreamListing) -> bool:
        """Return whether this node knows nothing against an upstream's version."""
        if not self.coverage.covers(listing.service, listing.version):
            return False
        rollout = self._rollouts.get(listing.service)
        if rollout is None:
            return True
        return rollout.may_send(listing) and not self._is_unguarded(rollout, listing)

    def _is_unguarded(self, rollout: ServiceRollout, listing: UpstreamListing) -> bool:
        """Return whether an upstream has a version that is not judged yet, and whose exposure
        nobody bounds: nodes of earlier builds place requests without regard to orders."""
        if rollout.verdict is not Verdict.UNDECIDED or rollout.replaces_nothing:
            return False
        return rollout.is_candidate(listing) and not self.coordinator_knows_orders()

    def withheld(
        self, service: ServiceName, listed: Iterable[UpstreamListing]
    ) -> frozenset[UpstreamId]:
        """Return those of a service's upstreams that a coordinator without orders is not to
        choose."""
        if service not in self._rollouts or self.coordinator_knows_orders():
            return frozenset()
        return frozenset(listing.upstream for listing in listed if not self.may_send(listing))

    def select(
        self, ticket: Ticket, models: list[UpstreamModel], now_s: float
    ) -> list[UpstreamModel]:
        """Return those of the upstreams with room among which to choose."""
        rollout = self._rollouts.get(ticket.service)
        return models if rollout is None else rollout.select(ticket, models, now_s)

    def is_reference(self, listing: UpstreamListing) -> bool:
        """Return whether an upstream counts for what is expected of its service."""
        rollout = self._rollouts.get(listing.service)
        return rollout is None or rollout.is_ended or not rollout.is_candidate(listing)

    def record_placement(
        self, ticket: Ticket, model: UpstreamModel, expected_s: float, gap_s: float, now_s: float
    ) -> None:
        """Record where a request goes."""
        rollout = self._rollouts.get(ticket.service)
        if rollout is not None:
            rollout.record_placement(ticket, model, expected_s, gap_s, now_s)

    def record_report(self, key: TicketKey, report: Report, now_s: float) -> None:
        """Record the progress of a request."""
        rollout = self._rollouts.get(report.service)
        if rollout is not None:
            rollout.record_report(key, report, now_s)

    def forget(self, service: ServiceName, key: TicketKey) -> None:
        """Forget a request that was not sent."""
        rollout = self._rollouts.get(service)
        if rollout is not None:
            rollout.forget(key)

    def remove_node(self, node: IncarnationId) -> None:
        """Forget the requests of a node whose incarnation has ended."""
        for rollout in self._rollouts.values():
            rollout.remove_node(node)
