"""Decides about tickets by quota, retry budget and upstream; free of I/O.

The coordinator's registry holds the tickets of all nodes. A node that gets no reply from the
coordinator decides about its own tickets with its own registry, within an equal share of quotas and
retry budget.
"""

import random
from collections.abc import Container, Iterable

from ..ids import ClientAccountId, IncarnationId, ServiceName, UpstreamId
from ..util.lean_dataclasses import dataclass
from .coordination import KEEP_PLACES_S
from .dispatcher import Dispatcher
from .fleet import Fleet, UpstreamListing
from .local_usage import LocalUsage
from .messages import (
    AccountHistory,
    FleetDigest,
    LimitedUpstream,
    LoadRefresh,
    Report,
    ReturnPromise,
    RunningTicket,
    UpstreamLoad,
)
from .own_places import OwnPlaces
from .quota import Charge, History, QuotaTracker
from .retry_budget import RetryBudget
from .return_forecast import Promise
from .rollouts.version_gate import RolloutTracker
from .routes import RoutingConfig
from .settings import GatewaySettings
from .tickets import Decision, RefusalReason, Refused, Ticket, TicketKey
from .upstream_model import RunningRequest, UpstreamModel

GRANT_IN_FLIGHT_S = 0.5
"""A request that was placed more recently than this may be missing from its node's refresh."""
ASSUMED_NODES = 10
"""Number of nodes assumed to share quotas until the list of nodes has been read."""
NO_BUDGET_RETRY_S = 1.0
"""Retry time after a refusal for want of retry budget: the budget's window advances by a tenth in
about this time."""


PAUSE_JITTER = 0.1
"""Largest random fraction added to the time for which an upstream wants no requests."""


@dataclass(frozen=True, slots=True)
class Scope:
    """The nodes that a registry decides for."""

    nodes: int
    """Nodes that share quotas and retry budget."""
    covered: int
    """Nodes that this registry decides for."""

    @property
    def share(self) -> float:
        """Fraction of quotas and retry budget that this registry may spend."""
        return self.covered / self.nodes


@dataclass(frozen=True, slots=True)
class KeptPlace:
    """The place of a request that has ended, of which the coordinator does not know."""

    service: ServiceName
    upstream: UpstreamId
    key: TicketKey


class PlacementRegistry:
    """Tickets, upstreams, quotas and retry budget, as one node tracks them."""

    def __init__(self, settings: GatewaySettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self.quotas = QuotaTracker(settings.quotas)
        self.local_usage = LocalUsage(settings.quotas.window_s)
        self.budget = RetryBudget(settings.retries)
        self.rollouts = (
            None if settings.rollouts is None else RolloutTracker(settings.rollouts, rng)
        )
        self.dispatchers: dict[ServiceName, Dispatcher] = {}
        self._scope = Scope(nodes=ASSUMED_NODES, covered=1)
        self._own_places: OwnPlaces | None = None
        self._lost_places: OwnPlaces | None = None
        self._charges: dict[TicketKey, Charge] = {}
        self._digest_source: IncarnationId | None = None
        self._early_limits: list[LimitedUpstream] | None = []
        """Limits that refreshes named before this node had a list of upstreams, ``None`` since."""
        self._sent_loads: dict[UpstreamId, UpstreamLoad] = {}
        self._sent_accounts: dict[ClientAccountId, AccountHistory] = {}

    @property
    def scope(self) -> Scope:
        """The nodes that this registry decides for."""
        return self._scope

    @scope.setter
    def scope(self, scope: Scope) -> None:
        self._scope = scope
        for dispatcher in self.dispatchers.values():
            dispatcher.share = scope.share

    @property
    def own_places(self) -> OwnPlaces | None:
        """The only places that this registry fills, besides those it keeps; ``None`` for all."""
        return self._own_places

    @own_places.setter
    def own_places(self, own_places: OwnPlaces | None) -> None:
        self._own_places = own_places
        for dispatcher in self.dispatchers.values():
            dispatcher.set_own_places(own_places)

    def keep_place(self, ticket: Ticket, upstream: UpstreamId) -> bool:
        """Keep the place of a request of this node that has ended; see ``Dispatcher``."""
        return self.dispatcher(ticket.service).keep_place(upstream, ticket.key)

    def hands_over(self, ticket: Ticket, upstream: UpstreamId) -> bool:
        """Return whether a request's place is left to the deputy; see ``Dispatcher``."""
        return self.dispatcher(ticket.service).hands_over(upstream, ticket.key)

    def set_lost_places(self, places: OwnPlaces | None) -> None:
        """Set the places of nodes that are out of reach and may still use them."""
        self._lost_places = places
        for dispatcher in self.dispatchers.values():
            dispatcher.lost.set_places(places)

    def adopt_choices(self, numbers: Container[int], node: IncarnationId) -> None:
        """Count those requests of a node with the given numbers as the coordinator's, which has
        placed them as deputy."""
        for dispatcher in self.dispatchers.values():
            for model in dispatcher.models():
                for key, item in model.requests.items():
                    if key.node == node and key.number in numbers:
                        item.is_own_choice = False

    def take_over(self) -> None:
        """Count what this node has placed so far as the coordinator's, which it is now."""
        for dispatcher in self.dispatchers.values():
            if dispatcher.own_share is not None:
                dispatcher.own_share.coordinator_lives = False
            for model in dispatcher.models():
                model.adopt_handed()

    def forget_counts(self) -> None:
        """Ignore the previous coordinator's counts."""
        for dispatcher in self.dispatchers.values():
            for model in dispatcher.models():
                model.forget_counts()

    def set_coordinator_lives(self, service: ServiceName, lives: bool) -> None:
        """Set whether the coordinator, for which this node stands in, decides for other nodes."""
        own_share = self.dispatcher(service).own_share
        if own_share is not None:
            own_share.coordinator_lives = lives

    def set_choosing(self, is_choosing: bool) -> None:
        """Set whether waiting tickets may take own places, or leave them to a coordinator."""
        for dispatcher in self.dispatchers.values():
            if dispatcher.own_share is not None:
                dispatcher.own_share.is_choosing = is_choosing

    def give_back_places(self) -> list[KeptPlace]:
        """Free the kept places and return them, so that the coordinator can be told."""
        return [
            KeptPlace(service, model.listing.upstream, key)
            for service, dispatcher in self.dispatchers.items()
            for model in dispatcher.models()
            for key in model.give_back_places()
        ]

    def forget_others(self, node: IncarnationId) -> None:
        """Drop the requests of all other nodes, which now report to another coordinator."""
        for dispatcher in self.dispatchers.values():
            for model in dispatcher.models():
                for key in [key for key in model.requests if key.node != node]:
                    model.remove_request(key)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Replace the settings from now on."""
        self._settings = settings
        self.quotas.apply_settings(settings.quotas)
        self.budget.apply_settings(settings.retries)
        if self.rollouts is not None and settings.rollouts is not None:
            self.rollouts.apply_settings(settings.rollouts)

    def dispatcher(self, service: ServiceName) -> Dispatcher:
        """Return the dispatcher of a service, creating it on first use."""
        found = self.dispatchers.get(service)
        if found is None:
            found = Dispatcher(service, self._settings.dispatch, self._rng, self.rollouts)
            found.share = self._scope.share
            found.set_own_places(self._own_places)
            found.lost.set_places(self._lost_places)
            self.dispatchers[service] = found
        return found

    def model(self, report: Report | RunningTicket) -> UpstreamModel | None:
        """Return the model of the upstream that a report names, if it takes new work."""
        return self.dispatcher(report.service).model(report.upstream)

    def update(self, config: RoutingConfig | None, fleet: Fleet, now_s: float) -> None:
        """Apply the current configuration and upstreams."""
        if self.rollouts is not None:
            # A version is held back from the moment at which its first upstream can be chosen.
            self.rollouts.set_upstreams(fleet.listed())
        services = set(self.dispatchers) | (set(config.services) if config else set())
        for service in services:
            slots = config.slots_of(service) if config else None
            kv_tokens = config.kv_tokens_of(service) if config else 0
            tokens_per_event = config.tokens_per_event_of(service) if config else 1
            self.dispatcher(service).set_upstreams(
                fleet.of_service(service), slots, kv_tokens, tokens_per_event
            )
        if fleet.is_known:
            self._apply_limits(self._early_limits, now_s)
            self._early_limits = None

    def submit(self, ticket: Ticket, now_s: float) -> Decision | None:
        """Return the decision about a new ticket, or ``None`` when the ticket is queued."""
        refused = self._charge_retry_budget(ticket, now_s) or self._charge_quota(ticket, now_s)
        if refused is not None:
            return refused
        decision = self.dispatcher(ticket.service).submit(ticket, now_s)
        self._settle_charge(ticket, decision, now_s)
        return decision

    def poll(
        self, service: ServiceName, now_s: float, *, only_placements: bool = False
    ) -> list[tuple[Ticket, Decision]]:
        """Return the decisions about queued tickets that have become possible.

        ``only_placements`` is explained at ``Dispatcher.poll``.
        """
        decided = self.dispatcher(service).poll(now_s, only_placements=only_placements)
        for ticket, decision in decided:
            self._settle_charge(ticket, decision, now_s)
        return decided

    def record_report(self, node: IncarnationId, report: Report, now_s: float) -> None:
        """Record the progress of a node's request."""
        key = TicketKey(node, report.number)
        own_share = self.dispatcher(report.service).own_share
        if report.ended and own_share is not None:
            own_share.end(key, now_s)
        model = self.model(report)
        if self.rollouts is not None:
            self.rollouts.record_report(key, report, now_s)
        if model is None:
            return
        if report.slowdown is not None:
            model.record_stated_load(
                report.stated_running or 0, report.stated_waiting or 0, report.slowdown, now_s
            )
        if report.first_event_s >= 0:
            model.record_first_event(key, report.first_event_s, now_s)
            model.unblock()
        if report.gap_ms >= 0:
            model.record_gap(report.gap_ms, report.pause_ms, now_s)
        if report.failure >= 0:
            model.statistics.record_result(report.failure, now_s)
        if report.unreachable:
            model.block(now_s)
        if report.pause_s > 0:
            # The jitter keeps nodes from returning to the upstream all at once.
            model.pause(now_s + report.pause_s * (1 + PAUSE_JITTER * self._rng.random()))
        if report.limit_per_s is not None:
            model.limit.record(report.limit_per_s, now_s)
        if report.is_brittle:
            model.record_brittle(now_s)
        if report.is_rejected:
            self._record_rejection(report, key, model, now_s)
        if report.ended and report.is_handed_over:
            model.record_handed(key, now_s + KEEP_PLACES_S)
        elif report.is_handed_over:
            model.mark_handed(key)
        elif report.ended:
            model.record_ended(key, now_s)

    def record_placed(self, node: IncarnationId, placed: RunningTicket, now_s: float) -> None:
        """Record a request of another node that this one has not placed."""
        model, key = self.model(placed), TicketKey(node, placed.number)
        if model is not None and key not in model.requests:
            model.adopt_request(key, _running_request(placed, now_s))

    def _record_rejection(
        self, report: Report, key: TicketKey, model: UpstreamModel, now_s: float
    ) -> None:
        model.record_rejection(now_s)
        self.dispatcher(report.service).record_rejection(now_s)
        own_share = self.dispatcher(report.service).own_share
        item = model.requests.get(key)
        if own_share is not None and item is not None and item.is_own_choice:
            own_share.record_rejection(now_s)

    def apply_refresh(self, refresh: LoadRefresh, now_s: float) -> None:
        """Apply a node's full list of requests in flight, and its usage of quotas."""
        if self._early_limits is not None:
            self._early_limits += refresh.limited
        self._apply_limits(refresh.limited, now_s)
        for item in refresh.promised:
            promise = Promise(now_s + item.due_in_s, now_s - item.first_age_s)
            self.dispatcher(item.service).returns.adopt(item.caller, promise, now_s)
        self.quotas.record_node_usage(refresh.node, _by_account(refresh.accounts), now_s)
        self.quotas.adopt_coordinator_history(
            _by_account(refresh.told), now_s - refresh.told_age_s, now_s
        )
        by_model: dict[int, set[TicketKey]] = {}
        for running in refresh.running:
            model = self.model(running)
            if model is None:
                continue
            key = TicketKey(refresh.node, running.number)
            by_model.setdefault(id(model), set()).add(key)
            if key not in model.requests:
                model.adopt_request(key, _running_request(running, now_s))
        for dispatcher in self.dispatchers.values():
            for model in dispatcher.models():
                model.keep_only(
                    refresh.node, by_model.get(id(model), set()), now_s - GRANT_IN_FLIGHT_S
                )

    def build_refresh(
        self, node: IncarnationId, coordinator: IncarnationId, now_s: float
    ) -> LoadRefresh:
        """Return this node's requests in flight and the usage that the coordinator has not
        counted."""
        running = tuple(
            RunningTicket(
                number=key.number,
                service=service,
                upstream=model.listing.upstream,
                prompt_tokens=item.prompt_tokens,
                work_tokens=item.work_tokens,
                age_s=now_s - item.sent_s,
                has_first_event=item.has_first_event,
                is_own_choice=item.is_own_choice,
            )
            for service, dispatcher in self.dispatchers.items()
            for model in dispatcher.models()
            for key, item in model.requests.items()
            if key.node == node
        )
        accounts = _histories(self.local_usage.uncounted(coordinator, now_s))
        relayed, as_of_s = (
            ({}, now_s) if self._digest_source == coordinator else self.quotas.coordinator_history()
        )
        return LoadRefresh(
            node=node,
            running=running,
            accounts=accounts,
            told=_histories(relayed),
            told_age_s=now_s - as_of_s if relayed else 0.0,
            blocked_parts=(),
            limited=self._limited(),
            promised=self._promised(coordinator, now_s),
        )

    def _promised(self, coordinator: IncarnationId, now_s: float) -> tuple[ReturnPromise, ...]:
        return tuple(
            ReturnPromise(service, caller, promise.due_s - now_s, now_s - promise.first_arrived_s)
            for service, dispatcher in self.dispatchers.items()
            for caller, promise in dispatcher.returns.unknown_to(coordinator, now_s).items()
        )

    def record_refusal(
        self, ticket: Ticket, refused: Refused, coordinator: IncarnationId, now_s: float
    ) -> None:
        """Remember what the coordinator told a caller of this node, in case it is lost."""
        if ticket.caller and refused.reason in (RefusalReason.OVERLOADED, RefusalReason.DEADLINE):
            promise = Promise(now_s + refused.retry_after_s, ticket.arrived_s)
            returns = self.dispatcher(ticket.service).returns
            returns.promise(ticket.caller, promise, now_s, known_to=coordinator)

    def _limited(self) -> tuple[LimitedUpstream, ...]:
        return tuple(
            LimitedUpstream(
                service, model.listing.upstream, model.listing.started_ms, model.limit.per_s
            )
            for service, dispatcher in self.dispatchers.items()
            for model in dispatcher.models()
            if model.limit.per_s is not None
        )

    def _apply_limits(self, limited: Iterable[LimitedUpstream] | None, now_s: float) -> None:
        """Apply the limits that other nodes know, where this one knows none."""
        for item in limited or ():
            model = self.dispatcher(item.service).model(item.upstream)
            if model is None or model.listing.started_ms != item.started_ms:
                continue
            if model.limit.per_s is None:
                model.limit.record(item.limit_per_s, now_s)

    def drop(self, service: ServiceName, key: TicketKey, now_s: float) -> None:
        """Drop a ticket, queued or placed, that its node no longer waits for."""
        dispatcher = self.dispatcher(service)
        dispatcher.drop(key)
        if dispatcher.own_share is not None:
            dispatcher.own_share.end(key, now_s)
        if self.rollouts is not None:
            self.rollouts.forget(service, key)
        self._refund(key, now_s)

    def remove_node(self, node: IncarnationId) -> None:
        """Drop all state of a node whose incarnation has ended."""
        for dispatcher in self.dispatchers.values():
            dispatcher.remove_node(node)
        if self.rollouts is not None:
            self.rollouts.remove_node(node)

    def may_send(self, listing: UpstreamListing) -> bool:
        """Return whether this node knows nothing against the software version of an upstream."""
        return self.rollouts is None or self.rollouts.may_send(listing)

    def withheld(self, service: ServiceName) -> frozenset[UpstreamId]:
        """Return those upstreams that the coordinator is not to choose, as far as it has to be
        told."""
        if self.rollouts is None:
            return frozenset()
        models = self.dispatcher(service).models()
        return self.rollouts.withheld(service, (model.listing for model in models))

    def digest(self, now_s: float) -> FleetDigest:
        """Return the digest for nodes that may lose contact with the coordinator or take over from
        it.

        Accounts and upstreams that were idle at the last digest and are idle still are left out,
        but for upstreams that name a limit.
        """
        loads = [load for each in self.dispatchers.values() for load in each.loads(now_s)]
        accounts = _histories(self.quotas.history(now_s))
        digest = FleetDigest(
            upstreams=tuple(load for load in loads if self._is_load_news(load)),
            accounts=tuple(item for item in accounts if self._is_usage_news(item)),
            blocked_parts=(),
        )
        self._sent_loads = {load.upstream: load for load in loads}
        self._sent_accounts = {item.account: item for item in accounts}
        return digest

    def _is_load_news(self, load: UpstreamLoad) -> bool:
        sent = self._sent_loads.get(load.upstream)
        if sent is None or load.running or sent.running:
            return True
        if load.limit_per_s is not None or sent.limit_per_s is not None:
            return True
        return load.results > sent.results or load.failures > sent.failures

    def _is_usage_news(self, history: AccountHistory) -> bool:
        sent = self._sent_accounts.get(history.account)
        return sent is None or any(history.parts) or any(sent.parts)

    def apply_digest(self, digest: FleetDigest, coordinator: IncarnationId, now_s: float) -> None:
        """Apply the coordinator's digest."""
        self._digest_source = coordinator
        loads = {load.upstream: load for load in digest.upstreams}
        for dispatcher in self.dispatchers.values():
            dispatcher.apply_digest(loads, now_s)
        self.quotas.record_coordinator_history(_by_account(digest.accounts), now_s)

    def _charge_retry_budget(self, ticket: Ticket, now_s: float) -> Refused | None:
        if not ticket.is_repeat:
            self.budget.record_request(ticket.service, now_s)
            return None
        if self.budget.try_spend(ticket.service, self.scope.share, now_s):
            return None
        return Refused(RefusalReason.NO_BUDGET, NO_BUDGET_RETRY_S)

    def _charge_quota(self, ticket: Ticket, now_s: float) -> Refused | None:
        if ticket.account is None or ticket.is_repeat:
            return None
        account, cost = ticket.account, ticket.cost
        charge = self.quotas.admit(account, cost, self.scope.share, now_s)
        if charge is None:
            wait_s = self.quotas.retry_after_s(account, cost, self.scope.share, now_s)
            return Refused(RefusalReason.OVER_QUOTA, wait_s)
        self._charges[ticket.key] = charge
        return None

    def _settle_charge(self, ticket: Ticket, decision: Decision | None, now_s: float) -> None:
        if isinstance(decision, Refused):
            self._refund(ticket.key, now_s)
        elif decision is not None:
            self._charges.pop(ticket.key, None)

    def _refund(self, key: TicketKey, now_s: float) -> None:
        charge = self._charges.pop(key, None)
        if charge is not None:
            self.quotas.refund(charge, now_s)

    def record_grant(self, ticket: Ticket, coordinator: IncarnationId, now_s: float) -> None:
        """Record a ticket of this node that the coordinator has placed."""
        if ticket.is_repeat:
            self.budget.spend(ticket.service, now_s)
        else:
            self.budget.record_request(ticket.service, now_s)
            if ticket.account is not None:
                self.quotas.record(ticket.account, ticket.cost, now_s)
        self.record_local_usage(ticket, coordinator, now_s)

    def record_local_usage(self, ticket: Ticket, counted_by: IncarnationId, now_s: float) -> None:
        """Record a local ticket's usage of a quota, and the node that has counted it."""
        if ticket.account is not None and not ticket.is_repeat and ticket.cost:
            self.local_usage.record(ticket.account, ticket.cost, counted_by, now_s)


def _running_request(running: RunningTicket, now_s: float) -> RunningRequest:
    return RunningRequest(
        prompt_tokens=running.prompt_tokens,
        work_tokens=running.work_tokens,
        sent_s=now_s - running.age_s,
        has_first_event=running.has_first_event,
        is_own_choice=bool(running.is_own_choice),
    )


def _histories(used: History) -> tuple[AccountHistory, ...]:
    return tuple(AccountHistory(account, tuple(parts)) for account, parts in used.items())


def _by_account(histories: Iterable[AccountHistory]) -> History:
    return {item.account: list(item.parts) for item in histories}
