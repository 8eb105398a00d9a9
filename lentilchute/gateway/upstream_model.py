"""The dispatcher's model of one upstream: its load, and the expected performance of a request."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from ..ids import IncarnationId
from ..platform.headers import PromptPart
from .crowding import CrowdingEffect
from .estimates import (
    UpstreamEstimate,
    UpstreamStatistics,
    merged_failure_rate,
    merged_gap_ms,
    merged_pace_ms,
    merged_pause_ms,
)
from .fleet import UpstreamListing
from .messages import UpstreamLoad
from .placement_cost import ServiceMeans, UpstreamOutlook
from .prompt_cache import PromptCache
from .stated_figures import FigureMemory, TrackedFigure
from .tickets import Ticket, TicketKey
from .transit import TransitShare
from .upstream_limit import UpstreamLimit

FIXED_WORK_TOKENS = 4_000
"""A request's fixed cost in prompt tokens: an engine's first step takes about as long."""
DIGEST_COUNTS_MAX_AGE_S = 2.0
"""Older counts in a digest are ignored, since requests have ended in the meantime."""
DIGEST_ESTIMATES_MAX_AGE_S = 20.0
"""Estimates in a digest stay useful for longer than counts."""
DIGEST_DELAY_S = 1.0
"""What an upstream said longer ago, the coordinator knew when it sent a digest."""
ESTIMATE_CACHE_S = 0.1
"""Estimates decay over seconds, so they are computed at most ten times a second."""
OUTLOOK_CACHE_S = 0.05
"""What an upstream states of itself may change several times a second."""
STREAM_AHEAD_S = 0.5
"""A stream's events are spread over about this time after its placement, so that what an upstream
says of the moment counts for less."""
INITIAL_BLOCK_S = 0.25
MIN_SLOWDOWN = 0.1
MAX_BLOCK_S = 2.0
"""Longest time for which an upstream is blocked after a failed connection; the time doubles with
each failure."""


STRANGERS_S = 2.0
"""Requests of which only a rejection tells are expected to run for this long."""
OUTPUT_MARGIN = 2.0
"""Callers' estimates of the length of an answer are often too low by this factor."""
BRITTLE_MEMORY_S = 3.0
"""An upstream that has not said for this long that it is brittle is sound again."""
BRITTLE_MARGIN_SHARE = 1 / 8
"""Part of its slots that a brittle upstream keeps free, at least one: requests whose callers have
left, and new connections, may hold slots that are not counted here."""


class ServiceKnowledge:
    """What is learned over all upstreams of a service together."""

    def __init__(self) -> None:
        self.slowdowns = FigureMemory(usual=1.0)
        self.uncounted = FigureMemory(usual=0.0)
        self.gap_crowding = CrowdingEffect()
        self.plain_crowding = CrowdingEffect()
        self.transit = TransitShare()


@dataclass(slots=True)
class RunningRequest:
    """A request in flight at the upstream."""

    prompt_tokens: int
    """Tokens of the prompt that the upstream has to read."""
    work_tokens: int
    sent_s: float
    has_first_event: bool = False
    is_own_choice: bool = False
    """Whether the node placed it without the coordinator, and at no place that it had kept."""
    is_handed: bool = False
    """Whether the request has ended and its place is used by the coordinator's deputy."""
    memory_tokens: int = 0
    """Tokens that the request takes in the upstream's memory."""
    output_tokens: int = 0
    """Tokens that its answer is expected to take there at most."""
    parts: tuple[PromptPart, ...] = ()
    is_plain: bool = False
    """Whether its answer is no stream."""
    there_s: float | None = None
    """Time from sending a plain request to its complete answer, once it is known."""


class UpstreamModel:
    """Load and estimated performance of one incarnation of an upstream."""

    def __init__(
        self,
        listing: UpstreamListing,
        slots: int,
        rng: random.Random,
        knowledge: ServiceKnowledge | None = None,
    ) -> None:
        self.listing = listing
        self.slots = slots
        self.statistics = UpstreamStatistics()
        self.limit = UpstreamLimit(rng)
        self.requests: dict[TicketKey, RunningRequest] = {}
        self.prompt_cache = PromptCache()
        self.tokens_per_event = 1
        self._largest_tokens = 0
        """The most memory that one request has taken."""
        self._knowledge = knowledge or ServiceKnowledge()
        self._slowdown = TrackedFigure(self._knowledge.slowdowns)
        self._uncounted = TrackedFigure(self._knowledge.uncounted, usual=0.0)
        """Requests at the upstream beyond those that are counted here."""
        self._outlook: UpstreamOutlook | None = None
        self._outlook_s = float("-inf")
        self._digest: UpstreamLoad | None = None
        self._digest_s = float("-inf")
        self._counts_s = float("-inf")
        """When the digest's counts were received, unless they have been replaced since."""
        self._blocked_until_s = float("-inf")
        self._block_s = INITIAL_BLOCK_S
        self._paused_until_s = float("-inf")
        self._brittle_s = float("-inf")
        self._estimates: list[UpstreamEstimate] = []
        self._estimated_s = float("-inf")
        self._failure_rate = 0.0
        self._failure_rate_s = float("-inf")
        self._kept: list[TicketKey] = []
        self._handed: dict[TicketKey, float] = {}
        """Ended requests that the coordinator goes on counting, and until when."""
        self._has_handed = False
        self._strangers = 0
        self._strangers_until_s = float("-inf")

    def is_blocked(self, now_s: float) -> bool:
        """Return whether connecting to the upstream failed a moment ago, or it asked for a
        pause."""
        return now_s < max(self._blocked_until_s, self._paused_until_s)

    def pause_left_s(self, now_s: float) -> float:
        """Return how long the upstream still wants no requests."""
        return max(0.0, self._paused_until_s - now_s)

    def pause(self, until_s: float) -> None:
        """Place nothing at the upstream until a time, as it asked."""
        self._paused_until_s = max(self._paused_until_s, until_s)

    def running(self, now_s: float) -> int:
        """Return the requests in flight: those counted locally, or the digest's count if it is
        higher."""
        counted = len(self.requests)
        if self._has_handed:
            counted -= self._used_by_deputy()
        if now_s < self._strangers_until_s:
            counted += self._strangers
        if self._digest is None or not self._counts_are_fresh(now_s):
            return counted
        reported = self._digest.running
        return max(counted, reported - self._handed_places(reported, now_s))

    def _used_by_deputy(self) -> int:
        """Return how many places are counted twice: for the ended requests that had them, and for
        those that the deputy placed there."""
        handed = sum(item.is_handed for item in self.requests.values())
        return min(handed, self.own_choices()) if handed else 0

    def mark_handed(self, key: TicketKey) -> None:
        """Record that a request has ended, and that its node left its place to the deputy."""
        item = self.requests.get(key)
        if item is not None:
            item.is_handed = self._has_handed = True

    def record_rejection(self, now_s: float) -> None:
        """Record that the upstream turned a request away, which is still counted.

        All its slots were in use, so the rest are requests that this node does not know.
        """
        self._knowledge.transit.record_rejection(now_s)
        known = len(self.requests) - self._used_by_deputy() - 1
        self._strangers = max(0, self.slots - known)
        self._strangers_until_s = now_s + STRANGERS_S

    def record_brittle(self, now_s: float) -> None:
        """Record that the upstream says that it falls over when it has to turn requests away."""
        self._brittle_s = now_s

    def brittle_for_s(self, now_s: float) -> float:
        """Return the time since the upstream said so last."""
        return now_s - self._brittle_s

    def has_room(self, share: float, now_s: float, reserved: int = 0) -> bool:
        """Return whether another request fits, for a node that decides for a share of all, beside
        places that are reserved for requests that it does not know."""
        running = self.running(now_s)
        if running >= self.slots and running >= self.slots + self._extra_places(now_s):
            return False
        if reserved and len(self.requests) - self._used_by_deputy() + reserved >= self.slots:
            return False
        usable = self.usable_slots(now_s)
        return usable == self.slots or len(self.requests) < max(1, int(usable * share))

    def _extra_places(self, now_s: float) -> int:
        """Return how many requests may be on their way to or from the upstream besides those that
        fill its slots: none where the upstream falls over when it has to turn some away."""
        if self.brittle_for_s(now_s) < BRITTLE_MEMORY_S:
            return 0
        return self._knowledge.transit.extra_places(self.slots, now_s)

    def has_memory_for(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether a request fits into the upstream's memory beside those in flight.

        An idle upstream may get any, and says itself what is too large. Requests of which only the
        number is known count as the mean of the others.
        """
        capacity, running = self.prompt_cache.capacity_tokens, self.running(now_s)
        output_tokens = self.output_tokens(ticket)
        largest = max(self._largest_tokens, ticket.prompt_tokens + output_tokens)
        if not capacity or not running or largest * (running + 1) <= capacity:
            return True
        known = [item for item in self.requests.values() if item.memory_tokens]
        parts = {part.part: part.tokens for item in known for part in item.parts}
        held = sum(parts.values()) + sum(
            _own_tokens(item.memory_tokens + item.output_tokens, item.parts) for item in known
        )
        mean = held / len(known) if known else largest
        wanted = _own_tokens(ticket.prompt_tokens + output_tokens, ticket.prompt_parts) + sum(
            part.tokens for part in ticket.prompt_parts if part.part not in parts
        )
        return held + mean * max(0, running - len(known)) + wanted <= capacity

    def output_tokens(self, ticket: Ticket) -> int:
        """Return the tokens that an answer is expected to have at most."""
        events = min(ticket.max_events, OUTPUT_MARGIN * ticket.expected_events)
        return int(events * self.tokens_per_event)

    def free_places(self, now_s: float) -> int:
        """Return how many places are free, as far as this node knows."""
        return max(0, self.usable_slots(now_s) - self.running(now_s))

    def usable_slots(self, now_s: float) -> int:
        """Return the slots less those that a brittle upstream keeps free."""
        if self.brittle_for_s(now_s) >= BRITTLE_MEMORY_S:
            return self.slots
        return self.slots - max(1, int(self.slots * BRITTLE_MARGIN_SHARE))

    def granted(self, now_s: float, max_age_s: float = DIGEST_COUNTS_MAX_AGE_S) -> int:
        """Return the requests in flight that a coordinator placed, as far as this node knows."""
        known = len(self.requests) - self.own_choices()
        if self._digest is None or now_s - self._counts_s >= max_age_s:
            return known
        reported = self._digest.granted
        if reported is None:
            reported = self._digest.running
        return max(known, reported - self._handed_places(reported, now_s))

    def own_choices(self) -> int:
        """Return the requests in flight that their nodes placed without the coordinator."""
        return sum(item.is_own_choice for item in self.requests.values())

    def has_counts(self, now_s: float, max_age_s: float = DIGEST_COUNTS_MAX_AGE_S) -> bool:
        """Return whether a recent digest counted the requests in flight."""
        return self._digest is not None and now_s - self._counts_s < max_age_s

    def was_granted(self, key: TicketKey) -> bool:
        """Return whether the coordinator placed a request that is counted here."""
        item = self.requests.get(key)
        return item is not None and not item.is_own_choice

    def record_handed(self, key: TicketKey, until_s: float) -> None:
        """Record that a node whose request has ended leaves its place to this one.

        The coordinator, which is silent, goes on counting the request.
        """
        self._handed[key] = until_s

    def return_handed(self, key: TicketKey) -> None:
        """Record that a coordinator knows that a request has ended."""
        self._handed.pop(key, None)

    def adopt_handed(self) -> None:
        """Count what was placed at places that nodes left to this one as the coordinator's, which
        it is now: these places are not free once more."""
        self._handed.clear()
        for item in self.requests.values():
            item.is_own_choice = False

    def forget_counts(self) -> None:
        """Ignore the last digest's counts, as all nodes have told what they have in flight."""
        self._counts_s = float("-inf")
        self._outlook = None

    def handed(self, now_s: float) -> int:
        """Return the places of ended requests that nodes have left to this one."""
        if self._handed:
            self._handed = {key: until for key, until in self._handed.items() if now_s < until}
        return len(self._handed)

    def _handed_places(self, reported: int, now_s: float) -> int:
        """Return by how many the places in use are fewer than the digest reported.

        Requests that were placed after the digest may first have taken the places that were free
        then.
        """
        free_then = max(0, self.slots - reported)
        return min(reported, max(0, self.handed(now_s) - free_then))

    def keep_place(self, key: TicketKey) -> bool:
        """Keep the place of a request that has ended, for another request of this node, if the
        coordinator gave it; return whether it did.

        The request counts as running until its place is taken or given back.
        """
        item = self.requests.get(key)
        if item is None or item.is_own_choice or key in self._kept:
            return False
        self._kept.append(key)
        return True

    def take_kept_place(self) -> bool:
        """Free a kept place for a request that is about to be added; return whether there was
        one."""
        if not self._kept:
            return False
        self.requests.pop(self._kept.pop(), None)
        return True

    @property
    def has_kept_place(self) -> bool:
        """Whether a place of this node's requests is kept."""
        return bool(self._kept)

    def give_back_places(self) -> list[TicketKey]:
        """Remove the requests whose places were kept, and return them."""
        kept, self._kept = self._kept, []
        for key in kept:
            self.requests.pop(key, None)
        return kept

    def backlog_tokens(self, now_s: float) -> int:
        """Return the prompt tokens that the upstream has yet to process."""
        reported = (
            self._digest.backlog_tokens if self._digest and self._counts_are_fresh(now_s) else 0
        )
        return max(self._local_backlog_tokens(), reported)

    @property
    def states_slowdown(self) -> bool:
        """Whether the upstream says how fast it is at the moment."""
        return self._slowdown.value is not None

    def record_stated_load(self, running: int, waiting: int, slowdown: float, now_s: float) -> None:
        """Record what the upstream said of its load."""
        self._slowdown.record(slowdown, now_s)
        self._uncounted.record(max(0, running + waiting - self.running(now_s)), now_s)
        self._outlook = None

    def slowdown(self, now_s: float, ahead_s: float = 0.0) -> float:
        """Return how long work is expected to take, relative to what is usual there."""
        if not self.states_slowdown:
            return 1.0
        return max(MIN_SLOWDOWN, self._slowdown.expected(now_s, ahead_s))

    def outlook(self, means: ServiceMeans, now_s: float) -> UpstreamOutlook:
        """Return how the upstream is expected to do, cached until something changes."""
        if self._outlook is None or now_s - self._outlook_s >= OUTLOOK_CACHE_S:
            self._outlook = self._compute_outlook(means, now_s)
            self._outlook_s = now_s
        return self._outlook

    def _compute_outlook(self, means: ServiceMeans, now_s: float) -> UpstreamOutlook:
        pace_ms = self.pace_ms(means.pace_ms, now_s)
        gap_s = self.gap_s(means.gap_ms * pace_ms / means.pace_ms, now_s)
        running = self.running(now_s)
        outlook = UpstreamOutlook(
            listing=self.listing,
            pace_ms=pace_ms,
            gap_s=gap_s,
            pause_s=0.0,
            failure_rate=self.failure_rate(now_s),
            running=running,
            base_work_tokens=self.work_tokens(0, now_s),
        )
        if not self.states_slowdown:
            return outlook
        present = running + self._uncounted.expected(now_s)
        occupancy = present / self.slots
        stream_slowdown = self.slowdown(now_s, STREAM_AHEAD_S)
        pause_ms = merged_pause_ms(self.estimates(now_s), means.pause_ms)
        return replace(
            outlook,
            pace_ms=pace_ms * self.slowdown(now_s),
            gap_s=gap_s * stream_slowdown * self._knowledge.gap_crowding.factor(occupancy),
            pause_s=pause_ms * max(1.0, self.slowdown(now_s)) / 1000,
            states_slowdown=True,
            queue_share=max(0.0, present + 1 - self.slots - self._extra_places(now_s)) / self.slots,
            plain_factor=self._knowledge.plain_crowding.factor(occupancy),
        )

    def pace_ms(self, prior_pace_ms: float, now_s: float) -> float:
        """Return milliseconds to the first event per thousand tokens of work."""
        return merged_pace_ms(self.estimates(now_s), prior_pace_ms)

    def gap_s(self, prior_gap_ms: float, now_s: float) -> float:
        """Return the time between two events of a stream."""
        return merged_gap_ms(self.estimates(now_s), prior_gap_ms) / 1000

    def failure_rate(self, now_s: float) -> float:
        """Return the fraction of recent requests that failed."""
        if now_s - self._failure_rate_s >= ESTIMATE_CACHE_S:
            self._failure_rate = merged_failure_rate(self.estimates(now_s))
            self._failure_rate_s = now_s
        return self._failure_rate

    def work_tokens(self, prompt_tokens: int, now_s: float) -> int:
        """Return the work before the first event of a request sent now, in tokens."""
        return FIXED_WORK_TOKENS + self.backlog_tokens(now_s) + prompt_tokens

    def estimates(self, now_s: float) -> list[UpstreamEstimate]:
        """Return the estimates from local results and from the digest, cached for a short time."""
        if now_s - self._estimated_s >= ESTIMATE_CACHE_S:
            self._estimates = self._compute_estimates(now_s)
            self._estimated_s = now_s
        return self._estimates

    def _compute_estimates(self, now_s: float) -> list[UpstreamEstimate]:
        estimates = [self.statistics.estimate(now_s)]
        age_s = now_s - self._digest_s
        if self._digest is not None and age_s < DIGEST_ESTIMATES_MAX_AGE_S:
            decay = 1.0 - age_s / DIGEST_ESTIMATES_MAX_AGE_S
            estimates.append(
                UpstreamEstimate(
                    pace_ms=self._digest.pace_ms,
                    pace_weight=self._digest.pace_weight * decay,
                    gap_ms=self._digest.gap_ms,
                    gap_weight=self._digest.gap_weight * decay,
                    failures=self._digest.failures * decay,
                    results=self._digest.results * decay,
                    pause_ms=self._digest.pause_ms or 0.0,
                    pause_weight=(self._digest.pause_weight or 0.0) * decay,
                )
            )
        return estimates

    def apply_digest(self, load: UpstreamLoad, now_s: float) -> None:
        """Apply the coordinator's figures for the upstream."""
        self.limit.adopt(load.limit_per_s, now_s, knows_since_s=now_s - DIGEST_DELAY_S)
        self._digest = load
        self._digest_s = self._counts_s = now_s
        if load.slowdown is not None and load.slowdown_age_s is not None:
            self._slowdown.adopt(load.slowdown, now_s - load.slowdown_age_s)
        self._outlook = None
        self._estimated_s = float("-inf")
        self._failure_rate_s = float("-inf")

    def load(self, now_s: float) -> UpstreamLoad:
        """Return the upstream's part of a digest."""
        estimate = self.statistics.estimate(now_s)
        return UpstreamLoad(
            upstream=self.listing.upstream,
            running=self.running(now_s),
            backlog_tokens=self.backlog_tokens(now_s),
            pace_ms=estimate.pace_ms,
            pace_weight=estimate.pace_weight,
            gap_ms=estimate.gap_ms,
            gap_weight=estimate.gap_weight,
            failures=estimate.failures,
            results=estimate.results,
            limit_per_s=self.limit.per_s,
            slowdown=self._slowdown.value,
            slowdown_age_s=now_s - self._slowdown.at_s if self.states_slowdown else None,
            pause_ms=estimate.pause_ms if estimate.pause_weight else None,
            pause_weight=estimate.pause_weight or None,
            granted=len(self.requests) - self.own_choices(),
        )

    def held_tokens(self, ticket: Ticket) -> int:
        """Return how many tokens of a prompt the upstream holds in memory, by estimate."""
        if not ticket.prompt_parts:
            return 0
        return min(self.prompt_cache.held_tokens(ticket.prompt_parts), ticket.prompt_tokens)

    def saved_s(self, ticket: Ticket, means: ServiceMeans, now_s: float) -> float:
        """Return the time for which a ticket's prompt need not be read here."""
        held_tokens = self.held_tokens(ticket)
        return self.outlook(means, now_s).pace_ms * held_tokens / 1e6 if held_tokens else 0.0

    def add_request(
        self,
        ticket: Ticket,
        held_tokens: int,
        work_tokens: int,
        now_s: float,
        *,
        is_own_choice: bool = False,
    ) -> None:
        """Add a request that was placed at the upstream."""
        self.limit.use_turn()
        request = RunningRequest(
            prompt_tokens=ticket.prompt_tokens - held_tokens,
            work_tokens=work_tokens,
            sent_s=now_s,
            memory_tokens=ticket.prompt_tokens,
            output_tokens=self.output_tokens(ticket),
            parts=ticket.prompt_parts,
            is_plain=ticket.expected_events <= 0,
            is_own_choice=is_own_choice,
        )
        self.adopt_request(ticket.key, request)
        taken_tokens = request.memory_tokens + request.output_tokens
        self._largest_tokens = max(self._largest_tokens, taken_tokens)
        running_tokens = sum(each.memory_tokens for each in self.requests.values())
        self.prompt_cache.record_placed(ticket.prompt_parts, running_tokens)

    def adopt_request(self, key: TicketKey, request: RunningRequest) -> None:
        """Add a request in flight that another node placed."""
        self.requests[key] = request
        self._outlook = None

    def record_first_event(self, key: TicketKey, took_s: float, now_s: float) -> None:
        """Record a request's first event, or the complete answer of a plain service."""
        item = self.requests.get(key)
        if item is None or item.has_first_event:
            return
        item.has_first_event = True
        item.there_s = took_s if item.is_plain else None
        self.prompt_cache.record_read(item.parts)
        self._outlook = None
        pace_ms = took_s * 1e6 / item.work_tokens
        if self.states_slowdown:
            pace_ms /= self.slowdown(now_s)
            if item.prompt_tokens == 0:
                pace_ms = self._without_crowding(pace_ms, now_s)
        self.statistics.record_pace(pace_ms, now_s)

    def _without_crowding(self, pace_ms: float, now_s: float) -> float:
        """Return the pace of a plain request as it would be at the usual occupancy."""
        crowding, occupancy = self._knowledge.plain_crowding, self.running(now_s) / self.slots
        estimate = self.statistics.estimate(now_s)
        if estimate.pace_weight >= 1:
            crowding.record(occupancy, pace_ms / max(estimate.pace_ms, 1e-6))
        return pace_ms / crowding.factor(occupancy)

    def record_gap(self, gap_ms: float, pause_ms: float | None, now_s: float) -> None:
        """Record the mean time between the events of a complete stream, and its longest pause."""
        if self.states_slowdown:
            crowding, occupancy = self._knowledge.gap_crowding, self.running(now_s) / self.slots
            estimate = self.statistics.estimate(now_s)
            if estimate.gap_weight >= 1:
                crowding.record(occupancy, gap_ms / max(estimate.gap_ms, 1e-6))
            gap_ms /= crowding.factor(occupancy)
        if pause_ms is not None:
            self.statistics.record_pause(pause_ms, now_s)
        self.statistics.record_gap(gap_ms, now_s)

    def record_ended(self, key: TicketKey, now_s: float) -> None:
        """Remove a request whose end has just been reported."""
        item = self.requests.get(key)
        if item is not None and item.there_s is not None:
            self._knowledge.transit.record(now_s - item.sent_s, item.there_s, now_s)
        self.remove_request(key)

    def remove_request(self, key: TicketKey) -> None:
        """Remove a request that has ended."""
        if key in self._kept:
            self._kept.remove(key)
        request = self.requests.pop(key, None)
        if request is None:
            return
        self._outlook = None
        if not request.has_first_event:
            self.prompt_cache.record_not_read(request.parts)

    def keep_only(
        self, node: IncarnationId, keys: Iterable[TicketKey], before_s: float = float("inf")
    ) -> None:
        """Drop a node's requests that were sent before ``before_s`` and are not in ``keys``."""
        kept = set(keys)
        self._outlook = None
        if not any(key.node == node for key in self.requests):
            return
        self.requests = {
            key: item
            for key, item in self.requests.items()
            if key.node != node or key in kept or item.sent_s >= before_s
        }

    def block(self, now_s: float) -> None:
        """Block the upstream for a while after a failed connection."""
        if now_s < self._blocked_until_s:
            return
        self._blocked_until_s = now_s + self._block_s
        self._block_s = min(2 * self._block_s, MAX_BLOCK_S)

    def unblock(self) -> None:
        """Unblock the upstream after a response."""
        self._blocked_until_s = float("-inf")
        self._block_s = INITIAL_BLOCK_S

    def _counts_are_fresh(self, now_s: float) -> bool:
        return now_s - self._counts_s < DIGEST_COUNTS_MAX_AGE_S

    def _local_backlog_tokens(self) -> int:
        waiting = (item for item in self.requests.values() if not item.has_first_event)
        return sum(item.prompt_tokens for item in waiting)


def _own_tokens(tokens: int, parts: Sequence[PromptPart]) -> int:
    """Return the tokens of a request that belong to none of its prompt's parts."""
    return max(0, tokens - sum(part.tokens for part in parts))
