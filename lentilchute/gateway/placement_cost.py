"""Predicts how a request would fare at an upstream, and what that costs; free of I/O.

An ``UpstreamOutlook`` holds what is the same for all tickets and is kept between changes of the
upstream. ``least_cost_s`` is cheap, and ``risk_cost_s`` adds to it, so that only the few best
upstreams need a complete prediction.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import field

from ..util.lean_dataclasses import dataclass
from .estimates import DEFAULT_GAP_MS, DEFAULT_PACE_MS, UpstreamEstimate
from .fleet import UpstreamListing
from .tickets import Placement, Ticket

CROSS_ZONE_COST_S = 0.03
"""An upstream in another availability zone is chosen only if it is better by this much, since
traffic between zones is billed. It is less than a tenth of any latency objective."""
LENGTH_LOG_DEVIATION = 0.7
"""Standard deviation of the logarithm of a stream's length relative to its caller's estimate. The
platform's estimates are right in the median but often far off."""
TIME_LOG_DEVIATION = 0.55
"""Standard deviation of the logarithm of a time to the first event relative to its prediction."""
PAUSE_LOG_DEVIATION = 0.5
"""The same of a stream's longest pause."""
MISS_COST_OBJECTIVES = 4.0
"""Cost of a stream that misses its deadline, in latency objectives: all of its work is lost."""
LATE_COST_OBJECTIVES = 0.7 * MISS_COST_OBJECTIVES
"""Cost of an answer that is late: it is worth about three tenths of one on time."""
QUEUE_COST_OBJECTIVES = 0.5
"""Cost of a place in the queue of an upstream, which may turn the request away."""
SHORT_PROMPT_TOKENS = 4_000
"""A prompt that is much longer delays the streams that run beside it."""


@dataclass(frozen=True, slots=True)
class ServiceMeans:
    """Means over all upstreams of a service."""

    pace_ms: float = DEFAULT_PACE_MS
    gap_ms: float = DEFAULT_GAP_MS
    pause_ms: float = 0.0
    """0 before any results."""


@dataclass(frozen=True, slots=True)
class UpstreamOutlook:
    """How an upstream is expected to do in the next moments, whatever the request."""

    listing: UpstreamListing
    pace_ms: float
    """Milliseconds to the first event per thousand tokens of work."""
    gap_s: float
    pause_s: float
    """Longest pause between two events of a stream."""
    failure_rate: float
    running: int
    base_work_tokens: int
    """Work before the first event of a request without a prompt."""
    states_slowdown: bool = False
    """The upstream says how fast it is; the figures below are used only then."""
    queue_share: float = 0.0
    """Requests that must end before another begins, as a part of the slots."""
    plain_factor: float = 1.0
    """How much longer a request without a prompt takes at this occupancy."""
    _pause_risks: dict[float, float] = field(default_factory=dict, compare=False)

    def pause_risk(self, max_pause_s: float) -> float:
        """Return the probability that a stream there pauses for longer."""
        risk = self._pause_risks.get(max_pause_s)
        if risk is None:
            risk = _exceeds(self.pause_s, max_pause_s, PAUSE_LOG_DEVIATION)
            self._pause_risks[max_pause_s] = risk
        return risk


def service_means(estimates: Sequence[UpstreamEstimate]) -> ServiceMeans:
    """Return the means over the estimates of all upstreams of a service."""
    return ServiceMeans(
        pace_ms=_mean(((each.pace_ms, each.pace_weight) for each in estimates), DEFAULT_PACE_MS),
        gap_ms=_mean(((each.gap_ms, each.gap_weight) for each in estimates), DEFAULT_GAP_MS),
        pause_ms=_mean(((each.pause_ms, each.pause_weight) for each in estimates), 0.0),
    )


def expected_s(outlook: UpstreamOutlook, ticket: Ticket, held_tokens: int) -> float:
    """Return the expected time to the first event, or to the answer of a plain service.

    ``held_tokens`` of the prompt are in the upstream's memory and need not be read.
    """
    work_tokens = outlook.base_work_tokens + ticket.prompt_tokens - held_tokens
    read_s = outlook.pace_ms * work_tokens / 1e6
    if not outlook.states_slowdown:
        return read_s
    if ticket.expected_events <= 0:
        read_s *= outlook.plain_factor
    return read_s + outlook.queue_share * (read_s + ticket.expected_events * outlook.gap_s)


def predict(outlook: UpstreamOutlook, ticket: Ticket, held_tokens: int, now_s: float) -> Placement:
    """Return the placement of a ticket at an upstream."""
    first_s = expected_s(outlook, ticket, held_tokens)
    return Placement(
        listing=outlook.listing,
        expected_s=first_s,
        gap_s=outlook.gap_s,
        miss_probability=_miss_probability(ticket, first_s, outlook.gap_s, now_s),
        work_tokens=outlook.base_work_tokens + ticket.prompt_tokens - held_tokens,
        running=outlook.running,
        pace_ms=outlook.pace_ms,
        failure_rate=outlook.failure_rate,
        held_tokens=held_tokens,
    )


def least_cost_s(
    outlook: UpstreamOutlook, ticket: Ticket, held_tokens: int, jitter: float
) -> float:
    """Return what a placement costs at least; ``jitter`` is a factor of all but the zone's cost."""
    total_s = expected_s(outlook, ticket, held_tokens)
    if outlook.failure_rate:
        # A failure costs a repeat, or the whole request where it must not be repeated.
        total_s += outlook.failure_rate * ticket.objective_s * (1 if ticket.may_repeat else 3)
    if outlook.states_slowdown:
        if outlook.queue_share > 0:
            total_s += ticket.objective_s * QUEUE_COST_OBJECTIVES
        if ticket.expected_events > 0:
            total_s += _pause_cost_s(outlook, ticket, held_tokens)
    zone_s = 0.0 if outlook.listing.zone == ticket.zone else CROSS_ZONE_COST_S
    return total_s * jitter + zone_s


def risk_cost_s(
    placement: Placement, outlook: UpstreamOutlook, ticket: Ticket, now_s: float
) -> float:
    """Return what a placement costs besides: the chance that the answer is late or lost."""
    risk_s = placement.miss_probability * ticket.objective_s * MISS_COST_OBJECTIVES
    if outlook.states_slowdown:
        left_s = ticket.arrived_s + ticket.objective_s - now_s
        late = _exceeds(placement.expected_s, left_s, TIME_LOG_DEVIATION)
        if ticket.max_pause_s is not None:
            late *= 1 - outlook.pause_risk(ticket.max_pause_s)
        risk_s += late * ticket.objective_s * LATE_COST_OBJECTIVES
    return risk_s


def _pause_cost_s(outlook: UpstreamOutlook, ticket: Ticket, held_tokens: int) -> float:
    """Return what too long pauses cost, those of streams that the request delays included."""
    if ticket.max_pause_s is None:
        return 0.0
    # Streams that run there stop for a while when a long prompt is read beside them.
    unread_tokens = ticket.prompt_tokens - held_tokens
    delay_share = unread_tokens / (unread_tokens + SHORT_PROMPT_TOKENS)
    delayed = 1 + outlook.running * delay_share
    risk = outlook.pause_risk(ticket.max_pause_s)
    return risk * delayed * ticket.objective_s * LATE_COST_OBJECTIVES


def _exceeds(expected: float, limit: float, log_deviation: float) -> float:
    """Return the probability that a duration with a log-normal error exceeds a limit."""
    if expected <= 0:
        return 0.0
    if limit <= 0:
        return 1.0
    deviations = math.log(limit / expected) / log_deviation
    return 0.5 * math.erfc(deviations / math.sqrt(2.0))


def _miss_probability(ticket: Ticket, first_s: float, gap_s: float, now_s: float) -> float:
    """Return the probability that a stream is too long to end by its deadline."""
    if ticket.expected_events <= 0:
        return 0.0
    room_events = (ticket.deadline_s - now_s - first_s) / max(gap_s, 1e-4)
    if room_events >= ticket.max_events:
        return 0.0
    return _exceeds(ticket.expected_events, room_events, LENGTH_LOG_DEVIATION)


def _mean(weighted: Iterable[tuple[float, float]], default: float) -> float:
    values = list(weighted)
    weight = sum(each for _, each in values)
    if weight < 1.0:
        return default
    return sum(value * each for value, each in values) / weight
