"""Messages between nodes about roll-outs."""

from ...ids import ServiceName, SoftwareVersion
from ...peers.codec import peer_message
from ...util.lean_dataclasses import dataclass
from .judgement import Verdict
from .orders import RolloutOrder, RolloutRecord, RolloutState


@dataclass(frozen=True, slots=True)
class RolloutView:
    """The state of a service's last order, as one node knows it."""

    service: ServiceName
    to: SoftwareVersion
    duration_s: float
    order_version: int
    order_era: int
    age_s: float
    """Time since the order."""
    replaced: tuple[SoftwareVersion, ...]
    state: RolloutState
    verdict: Verdict
    requests: int
    exposed: int
    ordered_at_s: float
    """The same time by the store's clock."""
    confirmed_age_s: float
    """Time since the sender read or wrote the state in the store."""

    def record(self) -> RolloutRecord:
        """Return the state as the sender holds it."""
        return RolloutRecord(
            order=RolloutOrder(
                self.service, self.to, self.duration_s, self.order_version, self.order_era
            ),
            ordered_at_s=self.ordered_at_s,
            replaced=frozenset(self.replaced),
            state=self.state,
            verdict=self.verdict,
            requests=self.requests,
            exposed=self.exposed,
        )


@peer_message("rollout_notice")
@dataclass(frozen=True, slots=True)
class RolloutNotice:
    """The state of all roll-outs, from the coordinator."""

    rollouts: tuple[RolloutView, ...]


def view_of(record: RolloutRecord, age_s: float, confirmed_age_s: float) -> RolloutView:
    """Return what is passed to other nodes."""
    return RolloutView(
        service=record.order.service,
        to=record.order.to,
        duration_s=record.order.duration_s,
        order_version=record.order.version,
        order_era=record.order.era,
        age_s=age_s,
        replaced=tuple(sorted(record.replaced)),
        state=record.state,
        verdict=record.verdict,
        requests=record.requests,
        exposed=record.exposed,
        ordered_at_s=record.ordered_at_s,
        confirmed_age_s=confirmed_age_s,
    )
