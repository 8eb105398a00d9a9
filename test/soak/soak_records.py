"""What the soak sees of a run: calls, arrivals at upstreams, and what was done to whom."""

import math
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum


class CallKind(Enum):
    """What a call allows."""

    STREAM = "stream"
    """May be resumed."""
    SINGLE_STREAM = "single-stream"
    """May run once."""
    NON_IDEMPOTENT = "non-idempotent"
    IDEMPOTENT = "idempotent"

    @property
    def is_stream(self) -> bool:
        """Whether the answer comes in events."""
        return self in (CallKind.STREAM, CallKind.SINGLE_STREAM)

    @property
    def may_repeat(self) -> bool:
        """Whether a call may run more than once."""
        return self in (CallKind.STREAM, CallKind.IDEMPOTENT)


class CallEnd(Enum):
    """How a call ended for its caller."""

    COMPLETE = "whole"
    """An answer that is complete by its own framing."""
    BROKEN = "broken"
    """The connection ended, or the answer was visibly cut."""
    NOT_SENT = "not-sent"
    TIMED_OUT = "timed-out"
    ABANDONED = "left"
    """The caller closed the connection first."""


@dataclass(slots=True)
class CallRecord:
    """One call."""

    attempt: str
    kind: CallKind
    node: str
    incarnation: int
    sent_s: float
    is_reused_connection: bool = False
    account: str = ""
    tokens: int = 0
    ended_s: float = math.inf
    end: CallEnd = CallEnd.ABANDONED
    """What holds when the caller is cancelled; an answer or a fault replaces it."""
    status: int | None = None
    echoed: str | None = None
    """The attempt's id that the answer carries."""
    stamp: str | None = None
    body: bytes = b""


@dataclass(slots=True)
class Arrival:
    """One request at an upstream."""

    attempt: str
    upstream: str
    service: str
    arrived_s: float
    has_run: bool
    ended_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Probe:
    """One question to a node whether it knows a version of the configuration."""

    node: str
    incarnation: int
    version: int
    sent_s: float
    is_known: bool


@dataclass(slots=True)
class Records:
    """Everything that was seen; times are the harness's."""

    calls: dict[str, CallRecord] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    config_acks: dict[int, float] = field(default_factory=dict)
    leave_acks: dict[str, float] = field(default_factory=dict)
    """When the store accepted that an upstream is leaving."""
    disturbances: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """Spans in which something was done to a node, an upstream or the store."""
    problems: list[str] = field(default_factory=list)
    """What went wrong outside of calls, such as an exit code."""

    def record_disturbance(self, name: str, from_s: float, until_s: float) -> None:
        """Note that something is done to a participant."""
        self.disturbances[name].append((from_s, until_s))

    def is_undisturbed(self, name: str, from_s: float, until_s: float) -> bool:
        """Tell whether nothing was done to a participant in a span of time."""
        return all(until_s < start or end < from_s for start, end in self.disturbances[name])

    def arrivals_by_attempt(self) -> dict[str, list[Arrival]]:
        """Return the arrivals by attempt, in order."""
        found: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in self.arrivals:
            found[arrival.attempt].append(arrival)
        return found
