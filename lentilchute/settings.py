"""Settings of one node: its names, addresses, peers, platform and bounds.

A node learns its addresses and its availability zone from here and asks nothing of the machine.
Defaults stand in ``config_default.yaml`` beside this module.
"""

from enum import Enum
from typing import Annotated

from pydantic import Field

from .document import ConfigModel, Name, Seconds
from .ids import AvailabilityZone, InstanceId

Address = Annotated[str, Field(pattern=r"^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$")]
Bytes = Annotated[int, Field(ge=1)]


class Role(Enum):
    """What a node does; every node does all of it unless its settings say otherwise."""

    ENTRY = "entry"
    SCHEDULER = "scheduler"
    CONTROLLERS = "controllers"


class Listen(ConfigModel):
    """Addresses that the node binds, by IP number and port."""

    callers: Address
    """Address that callers connect to."""
    peers: Address
    """Address that other nodes connect to."""
    operators: Address
    """Address of the operators' interface and of the metrics page."""


class PeerSeed(ConfigModel):
    """A node known from the start; others are learned from peers and the platform's list."""

    instance: Name
    """The peer's instance name."""
    address: Address
    """The peer's `listen.peers`."""


class PlatformSettings(ConfigModel):
    """Where the platform's services are and which adapter speaks to them."""

    adapter: Name = "http-json"
    """Adapter that speaks the platform's protocol."""
    table: Address
    """Address of the table service."""
    objects: Address
    """Address of the object store."""
    instances: Address
    """Address of the list of instances."""
    timeout_s: Seconds = 2.0
    """A platform operation without an answer for this long counts as failed."""


class EntrySettings(ConfigModel):
    """Bounds of the entry role."""

    max_connections: Annotated[int, Field(ge=1)] = 2_000
    """Connections of callers that are open at a time."""
    max_header_bytes: Bytes = 32_768
    """Request line and headers together."""
    header_timeout_s: Seconds = 10.0
    """From a request's first byte to the end of its headers."""
    body_timeout_s: Seconds = 30.0
    """From the end of the headers to the end of the body."""
    keep_alive_timeout_s: Seconds = 60.0
    """A connection without a request for this long is closed."""
    max_held_body_bytes: Bytes = 64 * 1024 * 1024
    """Sum of the request bodies that wait at this entry."""
    answer_lifetime_s: Seconds = 10.0
    """How long a caller may keep the answer to which entries to use."""
    ticket_timeout_s: Seconds = 1.0
    """A ticket without a word from its scheduler for this long goes to the next one."""


class SchedulerSettings(ConfigModel):
    """Bounds of the scheduler role."""

    grant_timeout_s: Seconds = 1.0
    """A grant that is not reported dispatched within this time is taken back."""
    refresh_interval_s: Seconds = 2.0
    """Time between an entry's full refreshes of its tickets."""
    report_max_age_s: Seconds = 15.0
    """Older load reports are not used."""
    retry_after_min_s: Seconds = 0.5
    """Shortest time after which a refused caller is told to come back."""
    retry_after_max_s: Seconds = 60.0
    """Longest such time."""
    retry_after_jitter: Annotated[float, Field(ge=0, le=1)] = 0.5
    """Part of that time that is drawn at random, so that callers do not come back together."""
    leaving_grace_s: Annotated[float, Field(ge=0, le=3)] = 0.0
    """How long a leaving upstream still gets new work."""
    max_tickets: Annotated[int, Field(ge=1)] = 100_000
    """Tickets that one scheduler holds."""
    prefix_block_tokens: Annotated[int, Field(ge=1)] = 64
    """Prompt tokens in one block of the prefix index."""


class MembershipSettings(ConfigModel):
    """Pace of heartbeats and of the platform polls."""

    heartbeat_interval_s: Seconds = 0.5
    """Time between a node's heartbeats."""
    suspect_after_s: Seconds = 1.5
    """A peer without a heartbeat for this long gets no new shard."""
    forget_after_s: Seconds = 30.0
    """A peer without a heartbeat for this long is no longer known."""
    instance_poll_s: Seconds = 1.0
    """Time between reads of the platform's list of instances."""
    table_poll_s: Seconds = 2.0
    """Time between reads of the platform's table."""
    pause_limit_s: Seconds = 5.0
    """A node that was paused for longer confirms its configuration before it admits again."""
    full_mesh_nodes: Annotated[int, Field(ge=2)] = 16
    """Up to this many nodes, each sends its heartbeat to all others."""
    fanout: Annotated[int, Field(ge=2)] = 3
    """Peers that get each heartbeat in a larger group: neighbours on the ring and one at random."""
    change_states: Annotated[int, Field(ge=1)] = 6
    """Recent changes that travel with one heartbeat at most."""
    rotation_states: Annotated[int, Field(ge=1)] = 2
    """Unchanged peers, taken in turn, that travel with one heartbeat at most."""


class ClaimSettings(ConfigModel):
    """Use of the table for idempotency keys."""

    total_writes_per_s: Annotated[float, Field(gt=0)] = 150.0
    """Transactions that all nodes together may commit for claims; each takes its share."""
    total_reads_per_s: Annotated[float, Field(gt=0)] = 600.0
    """Reads that all nodes together may make for claims; each takes its share."""
    burst_operations: Annotated[int, Field(ge=1)] = 4
    """Operations that an idle node may send at once."""
    batch_claims: Annotated[int, Field(ge=1)] = 32
    """Claims in one transaction or read at most."""
    batch_bytes: Bytes = 131_072
    """Size of one transaction's writes at most."""
    max_outstanding: Annotated[int, Field(ge=1)] = 4
    """Transactions, and as many reads, that wait for an answer at one time."""
    max_unresolved: Annotated[int, Field(ge=1)] = 20_000
    """Claims not yet settled at one node; further ones are refused at once."""
    inline_answer_bytes: Annotated[int, Field(ge=0)] = 8_192
    """Larger kept answers go to the object store."""
    retention_s: Annotated[float, Field(ge=3_600)] = 604_800.0
    """How long finished and released keys are remembered; unresolved ones stay for good."""


class NodeSettings(ConfigModel):
    """Everything that one process needs to know before it starts."""

    instance: Name
    """Name of the instance, unique among the nodes and stable over restarts."""
    availability_zone: Name
    """Availability zone that the instance runs in."""
    region: Name = "region-1"
    """Region that the instance runs in."""
    roles: Annotated[tuple[Role, ...], Field(min_length=1)] = tuple(Role)
    """What the node does."""
    listen: Listen
    """Addresses that the node binds."""
    peers: tuple[PeerSeed, ...] = ()
    """Nodes known from the start; others are learned."""
    platform: PlatformSettings
    """The platform's services."""
    shared_key: Annotated[str, Field(min_length=16)]
    """Authenticates peer and operator links; the same on all nodes."""
    entry: EntrySettings = EntrySettings()
    """Bounds of the entry role."""
    scheduler: SchedulerSettings = SchedulerSettings()
    """Bounds of the scheduler role."""
    membership: MembershipSettings = MembershipSettings()
    """Pace of heartbeats and polls."""
    claims: ClaimSettings = ClaimSettings()
    """Use of the table for idempotency keys."""
    stop_timeout_s: Seconds = 120.0
    """A planned stop that has not finished after this long is reported as cut."""

    @property
    def instance_id(self) -> InstanceId:
        """The instance's name as a typed id."""
        return InstanceId(self.instance)

    @property
    def zone(self) -> AvailabilityZone:
        """The availability zone as a typed id."""
        return AvailabilityZone(self.availability_zone)
