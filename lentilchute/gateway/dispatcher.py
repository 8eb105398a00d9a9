"""Selects an upstream for each request of one service; free of I/O.

At most as many requests are in flight at an upstream as it runs concurrently, so the order in which
requests start is decided here and not in the upstream's own queue. Tickets that find no free slot
are queued in the order of ``WaitingList``. A ticket that has been queued for a fraction of its
latency objective, or will be, is refused with a time to retry after.
"""

import heapq
import itertools
import math
import random
from collections.abc import Iterable, Iterator
from typing import Protocol

from ..ids import IncarnationId, ServiceName, UpstreamId
from . import placement_cost
from .fleet import UpstreamListing
from .lost_places import LostPlaces
from .messages import UpstreamLoad
from .own_places import OwnPlaces
from .own_share import OwnShare
from .placement_cost import ServiceMeans
from .return_forecast import Promise, ReturnSchedule, RoomForecast
from .settings import DispatchSettings
from .tickets import Decision, Placement, RefusalReason, Refused, Ticket, TicketKey
from .upstream_model import ESTIMATE_CACHE_S, FIXED_WORK_TOKENS, ServiceKnowledge, UpstreamModel
from .waiting_list import PlacedShare, Waiting, WaitingList

OVERLOAD_GAP_S = 1.0
"""Refusals further apart than this belong to two overloads: a busy service that is overloaded
refuses requests every second."""
RETRY_AFTER_JITTER = 0.5
"""Largest random fraction added to the retry time, so that refused callers do not return
together."""
RETURN_WITHIN = 1 / 3
"""Callers come back within this fraction of the time that they have left, whatever they are
told."""
CANDIDATES = 16
"""A ticket is compared at so many upstreams with room, drawn at random if there are more, so that
a decision costs no more in a large fleet."""
LEAST_PLACES = 4
"""Places for the nodes covered, without which nodes that decide alone share none: with fewer, a
node would often refuse requests while others' places are free."""
BUSY_SHARE = 0.5
"""A service is busy when the coordinator had filled this fraction of its places."""
BUSY_MEMORY_S = 10.0
LOOKAHEAD = 16
"""So many queued tickets are compared by the reading that they save at an upstream with room."""
FEW_UPSTREAMS = 4
HOLDERS = 4
"""So many further upstreams with room are compared, those that hold most of the prompt."""
COST_JITTER = 0.05
"""Largest random fraction added to a cost, so that nodes with the same view do not all select the
same upstream."""


class VersionGate(Protocol):
    """Decides which software versions of a service a request may go to."""

    def is_open(self, service: ServiceName) -> bool:
        """Return whether all upstreams of a service may be used, and none has to be recorded."""

    def allows(self, ticket: Ticket, listing: UpstreamListing, now_s: float) -> bool:
        """Return whether a request may go to an upstream at present."""

    def select(
        self, ticket: Ticket, models: list[UpstreamModel], now_s: float
    ) -> list[UpstreamModel]:
        """Return those of the upstreams with room among which to choose."""

    def is_reference(self, listing: UpstreamListing) -> bool:
        """Return whether an upstream counts for what is expected of the service."""

    def record_placement(
        self, ticket: Ticket, model: UpstreamModel, expected_s: float, gap_s: float, now_s: float
    ) -> None:
        """Record the choice, with what the service's reference upstreams would take for the
        request."""


class Dispatcher:
    """Queued tickets and upstreams of one service."""

    def __init__(
        self,
        service: ServiceName,
        settings: DispatchSettings,
        rng: random.Random,
        gate: VersionGate | None = None,
    ) -> None:
        self.service = service
        self._gate = gate
        self.share = 1.0
        """Fraction of the upstreams' limits that this dispatcher spends."""
        self.own_share: OwnShare | None = None
        """The share of the places that it fills; ``None`` for all places."""
        self.lost = LostPlaces(rng)
        self._settings = settings
        self._rng = rng
        self._models: dict[UpstreamId, UpstreamModel] = {}
        self._shuffled: list[UpstreamModel] = []
        """The models in an order of chance, in which candidates are looked for."""
        self._slots = 0
        self._busy_until_s = float("-inf")
        self._waiting = WaitingList()
        self._forecast = RoomForecast()
        self._room = 0.0
        self._room_computed_s = float("-inf")
        self.returns = ReturnSchedule(rng)
        self._means = ServiceMeans()
        self._knowledge = ServiceKnowledge()
        self._means_computed_s = float("-inf")
        self._first_refusal_s = float("-inf")
        self._last_refusal_s = float("-inf")

    @property
    def waiting(self) -> int:
        """Number of queued tickets."""
        return len(self._waiting)

    def model(self, upstream: UpstreamId) -> UpstreamModel | None:
        """Return the model of an upstream, or ``None`` if the upstream takes no new work."""
        return self._models.get(upstream)

    def set_upstreams(
        self,
        listings: Iterable[UpstreamListing],
        slots: int | None,
        kv_tokens: int = 0,
        tokens_per_event: int = 1,
    ) -> None:
        """Set the upstreams that take new work.

        ``slots`` caps the number that each one reports; ``kv_tokens`` is the memory of each for
        prompts and answers, whose events have ``tokens_per_event``.
        """
        listed = {listing.upstream: listing for listing in listings}
        for upstream, listing in listed.items():
            model = self._models.get(upstream)
            limit = min(listing.slots, slots) if slots is not None else listing.slots
            is_same_incarnation = model is not None and (
                model.listing.started_ms == listing.started_ms
                and model.listing.address == listing.address
            )
            if model is None or not is_same_incarnation:
                self._models[upstream] = UpstreamModel(listing, limit, self._rng, self._knowledge)
            else:
                model.listing = listing
                model.slots = limit
            self._models[upstream].prompt_cache.capacity_tokens = kv_tokens
            self._models[upstream].tokens_per_event = tokens_per_event
        for upstream in [name for name in self._models if name not in listed]:
            del self._models[upstream]
        self._shuffled = list(self._models.values())
        self._rng.shuffle(self._shuffled)
        self._slots = sum(model.slots for model in self._shuffled)

    def submit(self, ticket: Ticket, now_s: float) -> Decision | None:
        """Return the decision about a new ticket, or ``None`` when the ticket is queued."""
        if not self._has_candidate(ticket, now_s):
            return self._refuse(RefusalReason.NO_UPSTREAM, now_s)
        refused = self.refuse_if_paused(ticket, now_s)
        if refused is not None:
            return refused
        ticket.queued_s = now_s
        item = self._waiting_item(ticket, now_s)
        if not ticket.is_repeat:
            self._waiting.record_request(ticket, now_s)
        if not self._waiting.has_earlier(item, now_s):
            placement = self._place(ticket, list(self._shuffled), now_s)
            if placement is not None:
                return placement
        return self._queue(item, now_s)

    def _waiting_item(self, ticket: Ticket, now_s: float) -> Waiting:
        promise = self.returns.redeem(ticket.caller, now_s)
        arrived_s = ticket.arrived_s if promise is None else promise.first_arrived_s
        service_s = self._shortest_service_s(ticket, now_s)
        return Waiting(ticket, arrived_s, service_s, is_returning=promise is not None)

    def _queue(self, item: Waiting, now_s: float) -> Refused | None:
        """Queue a ticket, or refuse it if it would wait too long."""
        ticket = item.ticket
        if not self._waiting:
            self._forecast.begin_pressure(now_s)
        wait_s = self._waiting.rank_for(item, now_s) / self.room_per_s(now_s)
        if not ticket.is_repeat and wait_s > self._longest_wait_s(ticket):
            return self._refuse_waiting(RefusalReason.OVERLOADED, item, now_s)
        self._waiting.add(item, now_s)
        return None

    def depends_on_coordinator(self, now_s: float) -> bool:
        """Return whether this node has no places of its own at the service's upstreams."""
        share = self._share_in_use(now_s)
        return share is not None and not share.has_places(self._models.values(), now_s)

    def has_kept_place(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether a place is kept here at which a ticket can be placed."""
        gate = self._closed_gate()
        return any(
            model.has_kept_place
            and not model.is_blocked(now_s)
            and _allows(gate, ticket, model, now_s)
            for model in self._models.values()
        )

    def hands_over(self, upstream: UpstreamId, key: TicketKey) -> bool:
        """Return whether the place of a request that has ended is left to the deputy: where there
        are too few places for each node to keep its own."""
        model = self._models.get(upstream)
        return model is not None and not self._has_plenty() and model.was_granted(key)

    def keep_place(self, upstream: UpstreamId, key: TicketKey) -> bool:
        """Keep the place of a request that has ended, if the coordinator gave it; return whether
        it was kept.

        A node by itself uses kept places first, whether or not places are shared.
        """
        model = self._models.get(upstream)
        return model is not None and self.own_share is not None and model.keep_place(key)

    def refuse_if_paused(self, ticket: Ticket, now_s: float) -> Refused | None:
        """Refuse a ticket while all upstreams that could take it want no requests."""
        pause_s = self._shortest_pause_s(ticket, now_s)
        return self._refuse_for(RefusalReason.PAUSED, pause_s) if pause_s > 0 else None

    def set_own_places(self, places: OwnPlaces | None) -> None:
        """Set the places to fill, besides those that are kept; ``None`` for all places."""
        if places is None:
            self.own_share = None
        elif self.own_share is None:
            self.own_share = OwnShare(places, first_turn=self._rng.random())
        else:
            self.own_share.set_places(places)

    def drop(self, key: TicketKey) -> None:
        """Remove a ticket, whether it is queued or in flight."""
        self._waiting.remove(lambda ticket: ticket.key == key)
        for model in self._models.values():
            model.remove_request(key)
            model.return_handed(key)

    def poll(self, now_s: float, *, only_placements: bool = False) -> list[tuple[Ticket, Decision]]:
        """Return decisions about queued tickets; call it after each change and at intervals.

        With ``only_placements`` tickets that have waited too long may stay until the next call:
        it then costs little while no upstream has room.
        """
        if not self._waiting:
            return []
        available = [model for model in self._shuffled if self._is_available(model, now_s)]
        if only_placements and not available:
            return []
        decided: list[tuple[Waiting, Decision]] = []
        kept = 0
        if not only_placements:
            self._waiting.update(now_s)
        self._waiting.sort(now_s)
        items = list(self._waiting)
        for item in self._by_saved_reading(items, available, now_s):
            if only_placements and not available:
                break
            decision = self._decide_waiting(item, kept, available, now_s)
            if decision is None:
                kept += 1
            else:
                decided.append((item, decision))
        if decided:
            left = {item.ticket.key for item, _ in decided}
            self._waiting.keep(
                [item for item in items if item.ticket.key not in left],
                [item for item, _ in decided],
            )
        return [(item.ticket, decision) for item, decision in decided]

    def _by_saved_reading(
        self, items: list[Waiting], available: list[UpstreamModel], now_s: float
    ) -> list[Waiting]:
        """Return queued tickets with those moved ahead whose prompts need less reading at an
        upstream with room.

        A ticket overtakes others of its rank by as many places as find room in the time that is
        saved. Only the first tickets are looked at, and only while few upstreams have room: else
        each ticket finds an upstream that suits it.
        """
        first = items[:LOOKAHEAD]
        if not 0 < len(available) <= FEW_UPSTREAMS or not any(
            item.ticket.prompt_parts for item in first
        ):
            return items
        means, room_per_s = self._service_means(now_s), self.room_per_s(now_s)

        def order(item: Waiting) -> tuple[tuple[object, ...], float, float]:
            saved_s = max(model.saved_s(item.ticket, means, now_s) for model in available)
            *rank, place, arrived_s = item.rank
            return tuple(rank), place - saved_s * room_per_s, arrived_s

        return sorted(first, key=order) + items[LOOKAHEAD:]

    def apply_digest(self, loads: dict[UpstreamId, UpstreamLoad], now_s: float) -> None:
        """Apply the coordinator's digest."""
        running = 0
        for upstream, model in self._models.items():
            if upstream in loads:
                model.apply_digest(loads[upstream], now_s)
                running += loads[upstream].running
        # Places that are free again sooner than a node could hear of it need not be shared.
        is_short = self._knowledge.transit.is_short(self._settings.reply_timeout_s, now_s)
        if running and running >= BUSY_SHARE * self._slots and not is_short:
            self._busy_until_s = now_s + BUSY_MEMORY_S

    def loads(self, now_s: float) -> list[UpstreamLoad]:
        """Return the service's part of a digest."""
        return [model.load(now_s) for model in self._models.values()]

    def remove_node(self, node: IncarnationId) -> None:
        """Drop the tickets and requests of a node whose incarnation has ended."""
        self._waiting.remove(lambda ticket: ticket.key.node == node)
        for model in self._models.values():
            model.keep_only(node, ())

    def models(self) -> list[UpstreamModel]:
        """Return the models of all upstreams that take new work."""
        return list(self._models.values())

    def room_per_s(self, now_s: float) -> float:
        """Return how many queued tickets find room in a second."""
        if now_s != self._room_computed_s:
            rate_per_s = self._forecast.rate_per_s(self.share * self._slots, now_s)
            self._room = max(rate_per_s, 1e-3)
            self._room_computed_s = now_s
        return self._room

    def placed_shares(self, now_s: float) -> list[PlacedShare]:
        """Return which fractions of the requests of each group got room while others waited."""
        return self._waiting.placed_shares(now_s)

    def _decide_waiting(
        self, item: Waiting, ahead: int, available: list[UpstreamModel], now_s: float
    ) -> Decision | None:
        """Decide about a queued ticket, with so many others ahead of it."""
        ticket = item.ticket
        if now_s + item.service_s >= ticket.deadline_s:
            return self._refuse_waiting(RefusalReason.DEADLINE, item, now_s)
        if not self._has_candidate(ticket, now_s):
            return self._refuse(RefusalReason.NO_UPSTREAM, now_s)
        refused = self.refuse_if_paused(ticket, now_s)
        if refused is not None:
            return refused
        placement = self._place(ticket, available, now_s) if available else None
        if placement is not None:
            return placement
        waited_s, longest_s = now_s - ticket.queued_s, self._longest_wait_s(ticket)
        wait_s = waited_s + ahead / self.room_per_s(now_s)
        is_hopeless = not ticket.is_repeat and wait_s > longest_s
        if waited_s >= longest_s or is_hopeless:
            return self._refuse_waiting(RefusalReason.OVERLOADED, item, now_s)
        return None

    def _longest_wait_s(self, ticket: Ticket) -> float:
        return self._settings.hold_share * ticket.objective_s

    def _shortest_service_s(self, ticket: Ticket, now_s: float) -> float:
        """Return the time to the first event, or the answer, at an upstream without backlog."""
        work_tokens = FIXED_WORK_TOKENS + ticket.prompt_tokens
        return self._service_means(now_s).pace_ms * work_tokens / 1e6

    def _refuse_waiting(self, reason: RefusalReason, item: Waiting, now_s: float) -> Refused:
        """Refuse a ticket for want of room, and tell its caller when there will be some."""
        settings, ticket = self._settings, item.ticket
        room_per_s = self.room_per_s(now_s)
        # Callers that are told a longer time come back after this one.
        latest_s = max(RETURN_WITHIN * (ticket.deadline_s - now_s), settings.retry_after_min_s)
        latest_s = min(latest_s, settings.retry_after_max_s)
        earliest_s = settings.retry_after_min_s + len(self._waiting) / room_per_s
        wait_s = self.returns.assign(now_s, min(earliest_s, latest_s), latest_s, room_per_s)
        if ticket.caller:
            promise = Promise(now_s + wait_s, item.first_arrived_s)
            self.returns.promise(ticket.caller, promise, now_s)
        return Refused(reason, wait_s)

    def _refuse(self, reason: RefusalReason, now_s: float) -> Refused:
        settings = self._settings
        # An overload is expected to last about as long again as it has lasted so far.
        overload_s = self._record_refusal(now_s)
        retry_after_s = min(settings.retry_after_min_s + overload_s, settings.retry_after_max_s)
        return self._refuse_for(reason, retry_after_s)

    def _refuse_for(self, reason: RefusalReason, retry_after_s: float) -> Refused:
        return Refused(reason, retry_after_s * (1 + RETRY_AFTER_JITTER * self._rng.random()))

    def _record_refusal(self, now_s: float) -> float:
        """Record a refusal and return how long the current overload has lasted."""
        if now_s - self._last_refusal_s > OVERLOAD_GAP_S:
            self._first_refusal_s = now_s
        self._last_refusal_s = now_s
        return now_s - self._first_refusal_s

    def _has_candidate(self, ticket: Ticket, now_s: float) -> bool:
        gate = self._closed_gate()
        return any(_allows(gate, ticket, model, now_s) for model in self._models.values())

    def _closed_gate(self) -> VersionGate | None:
        """Return the gate if it has to be asked about each upstream."""
        is_open = self._gate is None or self._gate.is_open(self.service)
        return None if is_open else self._gate

    def _shortest_pause_s(self, ticket: Ticket, now_s: float) -> float:
        """Return how long all upstreams that could take a ticket want no requests."""
        gate = self._closed_gate()
        shortest_s = math.inf
        for model in self._models.values():
            if _allows(gate, ticket, model, now_s):
                shortest_s = min(shortest_s, model.pause_left_s(now_s))
                if shortest_s <= 0:
                    return 0.0
        return 0.0 if shortest_s == math.inf else shortest_s

    def _has_room(self, model: UpstreamModel, now_s: float) -> bool:
        share = self._share_in_use(now_s) if self.own_share is not None else None
        if share is None:
            reserved = self.lost.reserved(model.listing.upstream, model.slots, now_s)
            return model.has_kept_place or model.has_room(self.share, now_s, reserved)
        return share.has_room(model, self._models.values(), now_s)

    def _share_in_use(self, now_s: float) -> OwnShare | None:
        """Return the share of the places, if there are enough for each node, or the service is
        busy, so that nodes that all use what they take for free would fill the same places."""
        is_shared = self._has_plenty() or now_s < self._busy_until_s
        return self.own_share if is_shared else None

    def _has_plenty(self) -> bool:
        """Return whether there are enough places for each node, if places are shared."""
        if self.own_share is None:
            return False
        places = self.own_share.places
        return self._slots * len(places.covered) >= LEAST_PLACES * places.nodes

    def record_rejection(self, now_s: float) -> None:
        """Record that an upstream was found full."""
        self._busy_until_s = now_s + BUSY_MEMORY_S
        self.lost.record_rejection(now_s)

    def _is_available(self, model: UpstreamModel, now_s: float) -> bool:
        return (
            self._has_room(model, now_s)
            and not model.is_blocked(now_s)
            and model.limit.has_turn(self.share, now_s)
        )

    def _candidates(
        self, ticket: Ticket, models: list[UpstreamModel], now_s: float
    ) -> list[UpstreamModel]:
        """Return upstreams that can take a ticket now, and drop those without room that it finds
        from ``models``."""
        gate = self._closed_gate()
        # A gate selects among all upstreams with room.
        wanted = CANDIDATES if gate is None else len(models)
        found: list[UpstreamModel] = []
        without_room: list[UpstreamModel] = []
        start = self._rng.randrange(len(models)) if len(models) > CANDIDATES else 0
        for model in itertools.chain(models[start:], models[:start]):
            if not self._is_available(model, now_s):
                without_room.append(model)
            elif _allows(gate, ticket, model, now_s) and model.has_memory_for(ticket, now_s):
                found.append(model)
                if len(found) == wanted:
                    break
        for model in without_room:
            models.remove(model)
        if gate is not None:
            return gate.select(ticket, found, now_s)[:CANDIDATES]
        return found + self._holders(ticket, models, found, now_s)

    def _holders(
        self,
        ticket: Ticket,
        models: list[UpstreamModel],
        found: list[UpstreamModel],
        now_s: float,
    ) -> list[UpstreamModel]:
        """Return upstreams besides those found that hold the beginning of a ticket's prompt."""
        if not ticket.prompt_parts or len(found) < CANDIDATES:
            return []
        holders = [
            (model.held_tokens(ticket), index)
            for index, model in enumerate(models)
            if model not in found and ticket.allows(model.listing)
        ]
        best = heapq.nlargest(HOLDERS, (each for each in holders if each[0] > 0))
        return [
            models[index]
            for _, index in best
            if self._is_available(models[index], now_s)
            and models[index].has_memory_for(ticket, now_s)
        ]

    def _place(self, ticket: Ticket, models: list[UpstreamModel], now_s: float) -> Placement | None:
        """Place a ticket at the best of ``models``, from which those without room are dropped."""
        available = self._candidates(ticket, models, now_s)
        if not available:
            return None
        placement = self._cheapest(available, ticket, now_s)
        model = self._models[placement.listing.upstream]
        if not ticket.is_repeat:
            self._waiting.record_placement(ticket, now_s)
        duration_s = placement.expected_s + ticket.expected_events * placement.gap_s
        self._forecast.record_placement(duration_s, now_s)
        gate = self._closed_gate()
        if gate is not None:
            means = self._service_means(now_s)
            expected_s = means.pace_ms * placement.work_tokens / 1e6
            gate.record_placement(ticket, model, expected_s, means.gap_ms / 1000, now_s)
        share = self._share_in_use(now_s)
        if share is None:
            is_own_choice = self.own_share is not None and not model.take_kept_place()
        else:
            is_own_choice = share.begin(model, ticket.key, now_s)
        model.add_request(
            ticket,
            placement.held_tokens,
            placement.work_tokens,
            now_s,
            is_own_choice=is_own_choice,
        )
        return placement

    def _cheapest(self, available: list[UpstreamModel], ticket: Ticket, now_s: float) -> Placement:
        """Return the placement with the lowest cost.

        Upstreams are predicted in the order of a lower bound of their costs, until no other can be
        better.
        """
        means = self._service_means(now_s)
        outlooks = [model.outlook(means, now_s) for model in available]
        held = [model.held_tokens(ticket) for model in available]
        bounds_s = sorted(
            (placement_cost.least_cost_s(outlook, ticket, tokens, jitter), index, jitter)
            for index, (outlook, tokens, jitter) in enumerate(
                zip(outlooks, held, self._jitters(), strict=False)
            )
        )
        best: tuple[float, Placement] | None = None
        for bound_s, index, jitter in bounds_s:
            if best is not None and bound_s >= best[0]:
                break
            outlook = outlooks[index]
            placement = placement_cost.predict(outlook, ticket, held[index], now_s)
            risk_s = placement_cost.risk_cost_s(placement, outlook, ticket, now_s)
            cost_s = bound_s + jitter * risk_s
            if best is None or cost_s < best[0]:
                best = cost_s, placement
        assert best is not None
        return best[1]

    def _jitters(self) -> Iterator[float]:
        """Yield random factors of costs, so that nodes with the same view do not all select the
        same upstream."""
        while True:
            yield 1 + COST_JITTER * self._rng.random()

    def _service_means(self, now_s: float) -> ServiceMeans:
        if now_s - self._means_computed_s >= ESTIMATE_CACHE_S:
            models = [model for model in self._models.values() if self._is_reference(model)]
            self._means = placement_cost.service_means(
                [estimate for model in models for estimate in model.estimates(now_s)],
            )
            self._means_computed_s = now_s
        return self._means

    def _is_reference(self, model: UpstreamModel) -> bool:
        return self._gate is None or self._gate.is_reference(model.listing)


def _allows(gate: VersionGate | None, ticket: Ticket, model: UpstreamModel, now_s: float) -> bool:
    if not ticket.allows(model.listing):
        return False
    return gate is None or gate.allows(ticket, model.listing, now_s)
