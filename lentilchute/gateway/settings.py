"""Settings of a gateway node. Defaults stand in ``gateway_default.yaml`` beside this module."""

from typing import Annotated

from pydantic import Field

from ..document import Name, Part, Seconds
from ..ids import AvailabilityZone, InstanceId
from ..settings import Address, MembershipSettings

Share = Annotated[float, Field(ge=0, le=1)]
Amount = Annotated[float, Field(ge=0)]


class GatewayListen(Part):
    """Addresses that the node binds, by IP number and port."""

    callers: Address
    """Address that callers connect to."""
    readiness: Address
    """Address at which the platform asks whether the node is ready."""
    directory: Address
    """Address at which callers ask where to connect."""
    peers: Address
    """Address that other nodes connect to."""
    peers_advertised: Address | None = None
    """Address at which other nodes reach `peers`, where it is another one."""
    metrics: Address
    """Address of the metrics page, `/metrics`."""

    @property
    def peers_public_address(self) -> str:
        """The address that other nodes are told."""
        return self.peers_advertised or self.peers


class StoreSettings(Part):
    """Where the platform's store is."""

    address: Address
    """Address of the store."""
    timeout_s: Seconds
    """A call without an answer for this long counts as failed."""


class ReadingSettings(Part):
    """Pace at which the store's tables are read."""

    poll_interval_s: Seconds
    """Time between two reads by the node that reads for all."""
    self_read_after_s: Seconds
    """Another node whose copy is older than this reads by itself."""
    stagger_s: Seconds
    """Each node waits this much longer than the one before it in the order."""
    outage_after_s: Seconds
    """Reads that failed for this long count as an outage of the store."""
    outage_memory_s: Seconds
    """Rows that vanish within this time of an outage's end may come back."""


class RetrySettings(Part):
    """The budget for sending a request once more, over all nodes."""

    ratio: Share
    """Repeats allowed for each request, in any window."""
    window_s: Seconds
    """Length of the window."""
    slack: Amount
    """Repeats allowed in any window besides."""


class QuotaSettings(Part):
    """How accounts' quotas are counted over all nodes."""

    window_s: Seconds
    """In any window of this length an account may use its rate times the window, and its burst."""
    overrun: Share
    """Part of a quota that the platform tolerates beyond it, for counting over several nodes."""
    slack: Amount
    """Tokens that it tolerates besides."""
    tolerance_share: Share
    """Part of that tolerance that is used; the rest covers usage of peers not heard of yet."""


class DispatchSettings(Part):
    """Bounds of the choice of an upstream."""

    reply_timeout_s: Seconds
    """A node that hears nothing from the coordinator for this long decides by itself."""
    report_interval_s: Seconds
    """Time between two batches of reports to the coordinator."""
    refresh_interval_s: Seconds
    """Time between two full accounts of what a node has running."""
    digest_interval_s: Seconds
    """Time between two of the coordinator's digests to all nodes."""
    hold_share: Share
    """A request waits for a place at most this part of its latency objective."""
    retry_after_min_s: Seconds
    """Shortest time after which a refused caller is told to come back."""
    retry_after_max_s: Seconds
    """Longest such time."""


class MachineSettings(Part):
    """What the node may use of its machine."""

    cores: Annotated[float, Field(gt=0)] = 1.0
    """Speed of a core, against a usual one."""
    core_share: Annotated[float, Field(gt=0)] = 1.0
    """Part of a core that the node gets."""


class StopSettings(Part):
    """A planned stop."""

    grace_s: Seconds
    """The process is killed this long after it was told to stop."""
    answer_lifetime_s: Seconds
    """How long a caller may keep the answer where to connect; some keep it three times as long."""


class GatewaySettings(Part):
    """Everything that one gateway process needs to know before it starts."""

    instance: Name
    """Name of the instance, unique among the nodes and stable over restarts."""
    availability_zone: Name
    """Availability zone that the instance runs in."""
    region: Name
    """Region that the instance runs in."""
    listen: GatewayListen
    """Addresses that the node binds."""
    store: StoreSettings
    """The platform's store."""
    shared_key: Annotated[str, Field(min_length=16)]
    """Authenticates links between nodes; the same on all of them."""
    reading: ReadingSettings
    """Pace of reads from the store."""
    retries: RetrySettings
    """The shared retry budget."""
    quotas: QuotaSettings
    """Counting of quotas."""
    dispatch: DispatchSettings
    """Choice of an upstream."""
    stop: StopSettings
    """A planned stop."""
    machine: MachineSettings = MachineSettings()
    """What the node may use of its machine."""
    membership: MembershipSettings = MembershipSettings()
    """Pace of heartbeats."""

    @property
    def instance_id(self) -> InstanceId:
        """The instance's name as a typed id."""
        return InstanceId(self.instance)

    @property
    def zone(self) -> AvailabilityZone:
        """The availability zone as a typed id."""
        return AvailabilityZone(self.availability_zone)
