"""Orders to move a service's traffic to another software version, and the state of each; free of
I/O."""

from dataclasses import replace
from enum import Enum

from ...ids import ServiceName, SoftwareVersion
from ...util.lean_dataclasses import dataclass
from .collected import CollectedEvidence
from .judgement import Verdict

_RANKS = {Verdict.UNDECIDED: 0, Verdict.GOOD: 1, Verdict.BAD: 2}


class RolloutState(Enum):
    """What operators see of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    """All traffic goes to the new version; the old upstreams are gone."""
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order."""

    service: ServiceName
    to: SoftwareVersion
    duration_s: float
    """Time from the order to its deadline."""
    version: int
    """Version of its row in the store."""
    era: int
    """Era of the store in which the row was read first."""

    def is_same_as(self, other: "RolloutOrder") -> bool:
        """Return whether both are one order, which a store that came back from an older copy may
        hold at another version."""
        if (self.service, self.to, self.duration_s) != (other.service, other.to, other.duration_s):
            return False
        return self.version == other.version or self.era != other.era

    def supersedes(self, other: "RolloutOrder") -> bool:
        """Return whether this order was given after the other."""
        if self.is_same_as(other):
            return False
        return (self.era, self.version) > (other.era, other.version)


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """The state of one order, as it is stored and passed between nodes."""

    order: RolloutOrder
    ordered_at_s: float
    """When the order was given, by the store's clock."""
    replaced: frozenset[SoftwareVersion]
    """The versions that the service had before."""
    state: RolloutState = RolloutState.RUNNING
    verdict: Verdict = Verdict.UNDECIDED
    requests: int = 0
    """Requests of the service since the order, at least."""
    exposed: int = 0
    """Requests that the candidate may have got, at most."""
    evidence: CollectedEvidence | None = None
    """What the coordinator had collected when it wrote the record; not passed between nodes."""

    def merge(self, other: "RolloutRecord") -> "RolloutRecord":
        """Return what two copies of one order's state say together; nothing is taken back."""
        return replace(
            self,
            ordered_at_s=min(self.ordered_at_s, other.ordered_at_s),
            replaced=self.replaced | other.replaced,
            state=_merge_states(self.state, other.state),
            verdict=max(self.verdict, other.verdict, key=_RANKS.__getitem__),
            requests=max(self.requests, other.requests),
            exposed=max(self.exposed, other.exposed),
            evidence=max(self.evidence, other.evidence, key=_weight),
        )

    def with_verdict(self, verdict: Verdict) -> "RolloutRecord":
        """Return the record with a verdict, unless a later one is known."""
        return replace(self, verdict=max(self.verdict, verdict, key=_RANKS.__getitem__))

    @property
    def is_ended(self) -> bool:
        """Whether the order has its outcome."""
        return self.state is not RolloutState.RUNNING


def _weight(evidence: CollectedEvidence | None) -> int:
    return -1 if evidence is None else evidence.candidate_samples


def _merge_states(first: RolloutState, second: RolloutState) -> RolloutState:
    # The old upstreams have been stopped once any copy says that it is completed.
    for state in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK):
        if state in (first, second):
            return state
    return RolloutState.RUNNING
