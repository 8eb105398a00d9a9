"""What a node may place at one service's upstreams without the coordinator; free of I/O.

Besides the places of its requests that the coordinator placed, which it keeps when they end, a node
uses its own part of the places that the coordinator had not filled by its last digest. A node that
has none of its own uses one in turn (``place_visits``). A node that an upstream turns away has
collided with others and adds nothing for a while.

A deputy that decides for several nodes has the places of all of them, and any at an upstream of
which more than half is free: nodes that ask it take none there themselves.

A service with few places for each node has no shares: each node uses what it takes for free.
"""

from collections.abc import Collection

from ..util.lean_dataclasses import dataclass
from .coordination import KEEP_PLACES_S
from .own_places import OwnPlaces
from .place_visits import PlaceVisits
from .tickets import TicketKey
from .upstream_model import DIGEST_COUNTS_MAX_AGE_S, UpstreamModel

PLENTY_SHARE = 0.5
"""Where nodes have places of their own, but none is free now, turns are taken only while this
fraction of all places is free."""
FEW_SHARE = 0.5
"""Without a recent digest, a node adds own places only while it holds less than this fraction of
its share: who holds more got it under a load that left no place free."""
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 8.0
SUMMARY_MAX_AGE_S = 0.01
COORDINATORS_OWN = 1
"""Places of each upstream that a deputy leaves free for the coordinator, which may live and place
its own callers' requests."""
IDLE_SHARE = 0.5
"""A deputy may use any place of an upstream of which a larger fraction is free."""


@dataclass(frozen=True, slots=True)
class _Summary:
    """A service's places, as a node sees them at a moment."""

    free: int
    held: int
    """Requests of this node, and places that it keeps."""
    owned: int
    """Own places: without a recent digest all of them, else those that were free."""
    takes_turns: bool
    """Whether nodes without own places may use free ones in turn."""
    is_fresh: bool
    """Whether the figures come from a recent digest."""


class OwnShare:
    """One node's share of the places of a service."""

    def __init__(self, places: OwnPlaces, first_turn: float = 0.0) -> None:
        self.places = places
        self.coordinator_lives = False
        """Whether the coordinator still decides for some nodes, so that places it had not filled
        may be filled by now."""
        self.is_choosing = True
        """Whether own places are used: not once a coordinator decides again."""
        self._visits = PlaceVisits(first_turn)
        self._summary: _Summary | None = None
        self._summarized_s = float("-inf")
        self._pause_s = FIRST_PAUSE_S
        self._paused_until_s = float("-inf")

    def set_places(self, places: OwnPlaces) -> None:
        """Replace the places that belong to the node."""
        self.places = places
        self._summary = None

    def has_room(
        self, model: UpstreamModel, models: Collection[UpstreamModel], now_s: float
    ) -> bool:
        """Return whether the node may place a request at one of the service's upstreams."""
        if model.has_kept_place:
            return True
        covers_others = self.places.covers_others
        if not (self.is_choosing or covers_others) or now_s < self._paused_until_s:
            return False
        if covers_others:
            free = model.free_places(now_s)
            # An upstream that turned a request away is full, whatever was left to this node.
            if not free or free > IDLE_SHARE * model.slots:
                return free > 0
        if covers_others and self.coordinator_lives:
            return model.own_choices() < model.handed(now_s)
        summary = self._summarize(models, now_s)
        if not summary.owned:
            if not summary.takes_turns:
                return False
            has_place = model.free_places(now_s) > 0
            return has_place and self._visits.has_turn(summary.free, self.places.nodes, now_s)
        usable, owned = model.usable_slots(now_s), self.places.count
        if summary.is_fresh:
            granted = model.granted(now_s, self._max_age_s)
            if not covers_others:
                return model.own_choices() < owned(model.listing.upstream, usable, granted)
            free = owned(model.listing.upstream, usable, granted + COORDINATORS_OWN)
            return model.own_choices() < max(free, model.handed(now_s))
        if summary.held >= FEW_SHARE * summary.owned:
            return False
        return len(model.requests) < owned(model.listing.upstream, usable)

    def has_places(self, models: Collection[UpstreamModel], now_s: float) -> bool:
        """Return whether the node keeps places or has some of its own."""
        summary = self._summarize(models, now_s)
        return summary.owned > 0 or any(model.has_kept_place for model in models)

    def begin(self, model: UpstreamModel, key: TicketKey, now_s: float) -> bool:
        """Take a place for a request; return whether it is one of the node's own."""
        if model.take_kept_place():
            return False
        if self._summary is not None and self._summary.takes_turns and not self._summary.owned:
            self._visits.begin(key, now_s)
        self._summary = None
        return True

    def end(self, key: TicketKey, now_s: float) -> None:
        """Record that a request has ended."""
        self._visits.end(key, now_s)

    def record_rejection(self, now_s: float) -> None:
        """Record that an upstream turned a request away that took an own place.

        A deputy goes on with the other upstreams.
        """
        if now_s < self._paused_until_s or self.places.covers_others:
            return
        has_paused_lately = now_s - self._paused_until_s < MAX_PAUSE_S
        self._pause_s = min(2 * self._pause_s, MAX_PAUSE_S) if has_paused_lately else FIRST_PAUSE_S
        self._paused_until_s = now_s + self._pause_s

    @property
    def _max_age_s(self) -> float:
        """Age up to which a digest counts: a deputy goes on from the last one, since places that
        are kept stay taken."""
        return KEEP_PLACES_S if self.places.covers_others else DIGEST_COUNTS_MAX_AGE_S

    def _summarize(self, models: Collection[UpstreamModel], now_s: float) -> _Summary:
        if self._summary is None or now_s - self._summarized_s >= SUMMARY_MAX_AGE_S:
            self._summarized_s = now_s
            self._summary = self._new_summary(models, now_s)
        return self._summary

    def _new_summary(self, models: Collection[UpstreamModel], now_s: float) -> _Summary:
        is_fresh = any(model.has_counts(now_s, self._max_age_s) for model in models)
        slots = sum(model.slots for model in models)
        owned = sum(
            self.places.count(
                model.listing.upstream,
                model.slots,
                model.granted(now_s, self._max_age_s) if is_fresh else 0,
            )
            for model in models
        )
        free = sum(model.free_places(now_s) for model in models)
        return _Summary(
            free=free,
            held=sum(len(model.requests) for model in models),
            owned=owned,
            takes_turns=free >= PLENTY_SHARE * slots,
            is_fresh=is_fresh,
        )
