"""Settings of a gateway node; ``gateway_default.yaml`` beside this module holds the defaults."""

from typing import Annotated

from pydantic import Field

from ..ids import AvailabilityZone, InstanceId
from ..peers.settings import MembershipSettings
from ..util.config_model import Address, ConfigModel, Name, Seconds

Share = Annotated[float, Field(ge=0, le=1)]
Amount = Annotated[float, Field(ge=0)]


class GatewayListen(ConfigModel):
    """Addresses that the node binds, by IP number and port."""

    callers: Address
    """Address that callers connect to."""
    readiness: Address
    """Address of the readiness check, which the platform polls."""
    directory: Address
    """Address of the directory, which tells callers where to connect."""
    peers: Address
    """Address that other nodes connect to."""
    peers_advertised: Address | None = None
    """Address at which other nodes reach `peers`, if it differs."""
    metrics: Address
    """Address of the metrics page, `/metrics`."""

    @property
    def peers_public_address(self) -> str:
        """The address that other nodes connect to."""
        return self.peers_advertised or self.peers


class StoreSettings(ConfigModel):
    """Access to the platform's store."""

    address: Address
    """Address of the store."""
    timeout_s: Seconds
    """A call fails after this long without an answer."""


class ReadingSettings(ConfigModel):
    """How often the store's tables are read."""

    leaving_within_s: Seconds
    """Nodes must notice a leaving upstream within this time."""
    config_within_s: Seconds
    """Nodes must notice a new configuration within this time."""
    outage_after_s: Seconds
    """The store counts as down after reads have failed for this long."""
    outage_memory_s: Seconds
    """Rows that are missing within this time after an outage may reappear."""

    @property
    def notice_within_s(self) -> float:
        """The shortest time within which nodes must notice a change."""
        return min(self.leaving_within_s, self.config_within_s)


class RetrySettings(ConfigModel):
    """The retry budget, shared by all nodes."""

    ratio: Share
    """Retries allowed per request, in any window."""
    window_s: Seconds
    """Length of the window."""
    slack: Amount
    """Additional retries allowed in any window."""


class QuotaSettings(ConfigModel):
    """How accounts' quotas are enforced across all nodes."""

    window_s: Seconds
    """In any window of this length an account may use its rate times the window, plus its burst."""
    overrun: Share
    """Overrun that the platform tolerates, as a fraction of a quota, since several nodes count."""
    slack: Amount
    """Additional tokens that the platform tolerates."""
    tolerance_share: Share
    """Fraction of that tolerance that nodes use; the rest covers usage not yet reported."""


class DispatchSettings(ConfigModel):
    """Limits for the choice of an upstream."""

    reply_timeout_s: Seconds
    """A node decides locally after this long without a reply from the coordinator."""
    report_interval_s: Seconds
    """Interval between batches of reports to the coordinator."""
    refresh_interval_s: Seconds
    """Interval between full reports of a node's requests in flight."""
    digest_interval_s: Seconds
    """Interval between the coordinator's digests to all nodes."""
    hold_share: Share
    """A request waits for a free slot for at most this fraction of its latency objective."""
    retry_after_min_s: Seconds
    """Shortest `retry-after` time of a refusal."""
    retry_after_max_s: Seconds
    """Longest `retry-after` time of a refusal."""


class RolloutSettings(ConfigModel):
    """Bounds for roll-outs of services to another software version."""

    exposure_share: Share
    """Fraction of a service's requests that a version which is not judged yet may get."""
    exposure_slack: Amount
    """Additional requests that it may get."""
    rollback_within_s: Seconds
    """Time within which all nodes must have turned away from a bad version."""


class MachineSettings(ConfigModel):
    """The machine's resources that the node may use."""

    cores: Annotated[float, Field(gt=0)] = 1.0
    """Speed of a core, relative to a standard core."""
    core_share: Annotated[float, Field(gt=0)] = 1.0
    """Fraction of a core that the node may use."""
    memory_mb: Annotated[float, Field(gt=0)] | None = None
    """Memory that the process may take, in millions of bytes; without it, nothing is refused or
    given up for want of memory."""
    max_descriptors: Annotated[int, Field(ge=256)] | None = None
    """Descriptors that the process may open; by default what the system allows it."""


class StopSettings(ConfigModel):
    """A planned stop."""

    grace_s: Seconds
    """The platform kills the process this long after asking it to stop."""
    answer_lifetime_s: Seconds
    """How long callers may cache a directory answer; some cache it for three times as long."""


class GatewaySettings(ConfigModel):
    """All settings of a gateway process."""

    instance: Name
    """Name of the instance, unique among the nodes and stable across restarts."""
    availability_zone: Name
    """Availability zone that the instance runs in."""
    region: Name
    """Region that the instance runs in."""
    listen: GatewayListen
    """Addresses that the node binds."""
    store: StoreSettings
    """Access to the platform's store."""
    shared_key: Annotated[str, Field(min_length=16)]
    """Authenticates links between nodes; the same on all of them."""
    reading: ReadingSettings
    """How often the store's tables are read."""
    retries: RetrySettings
    """The retry budget, shared by all nodes."""
    quotas: QuotaSettings
    """How accounts' quotas are enforced across all nodes."""
    dispatch: DispatchSettings
    """Limits for the choice of an upstream."""
    stop: StopSettings
    """A planned stop."""
    rollouts: RolloutSettings | None = None
    """Bounds for roll-outs; without them, orders to roll a version out are not followed."""
    first_start: bool = False
    """The whole system starts for the first time, so that nothing has begun before."""
    machine: MachineSettings = MachineSettings()
    """The machine's resources that the node may use."""
    membership: MembershipSettings = MembershipSettings()
    """Timing of heartbeats and failure detection."""

    @property
    def instance_id(self) -> InstanceId:
        """The name of the instance as a typed id."""
        return InstanceId(self.instance)

    @property
    def zone(self) -> AvailabilityZone:
        """The availability zone as a typed id."""
        return AvailabilityZone(self.availability_zone)
