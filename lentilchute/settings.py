"""Settings of one node: its names, addresses, peers, platform and limits.

A node takes its addresses and its availability zone from the settings; it detects nothing from the
machine. The defaults are in ``config_default.yaml`` next to this module.
"""

from typing import Annotated

from pydantic import Field
from result import Result

from .errors import Finding
from .ids import AvailabilityZone, InstanceId
from .peers.roles import Role
from .peers.settings import MembershipSettings
from .util.checked_yaml import default_settings, load_over_defaults, read_text
from .util.config_model import Address, ConfigModel, Name, Seconds

Bytes = Annotated[int, Field(ge=1)]


class Listen(ConfigModel):
    """Addresses that the node binds, as IP address and port."""

    callers: Address
    """Address that callers connect to."""
    peers: Address
    """Address that other nodes connect to."""
    operators: Address
    """Address of the operator interface and the metrics page."""


class PeerSeed(ConfigModel):
    """A peer known at start; others are discovered through peers and the platform's list."""

    instance: Name
    """The peer's instance name."""
    address: Address
    """The peer's `listen.peers`."""


class PlatformSettings(ConfigModel):
    """Addresses of the platform's services and the adapter that connects to them."""

    adapter: Name = "http-json"
    """Adapter that implements the platform's protocol."""
    table: Address
    """Address of the table service."""
    objects: Address
    """Address of the object store."""
    instances: Address
    """Address of the instance list."""
    timeout_s: Seconds = 2.0
    """A platform operation without a response within this time counts as failed."""


class EntrySettings(ConfigModel):
    """Limits of the entry role."""

    max_connections: Annotated[int, Field(ge=1)] = 2_000
    """Maximum number of open connections from callers."""
    max_header_bytes: Bytes = 32_768
    """Maximum size of the request line and headers together."""
    header_timeout_s: Seconds = 10.0
    """Time limit from a request's first byte to the end of its headers."""
    body_timeout_s: Seconds = 30.0
    """Time limit from the end of the headers to the end of the body."""
    keep_alive_timeout_s: Seconds = 60.0
    """A connection without a request for this long is closed."""
    max_held_body_bytes: Bytes = 64 * 1024 * 1024
    """Maximum total size of the request bodies held at this entry."""
    answer_lifetime_s: Seconds = 10.0
    """How long a caller may cache the list of entries; a planned stop allows for it."""
    ticket_timeout_s: Seconds = 1.0
    """A scheduler that owes a reply but sends nothing for this long is replaced by the next."""


class SchedulerSettings(ConfigModel):
    """Limits of the scheduler role."""

    grant_timeout_s: Seconds = 1.0
    """Time after which a grant expires and may not be used.

    Its capacity stays reserved until a report or refresh of the entry shows whether it was used,
    the entry is suspected, or the request is overdue.
    """
    refresh_interval_s: Seconds = 2.0
    """Interval between an entry's full refreshes of its tickets."""
    report_max_age_s: Seconds = 15.0
    """Has no effect; the figures of load reports are not used."""
    retry_after_min_s: Seconds = 0.5
    """Minimum retry delay given to a refused caller."""
    retry_after_max_s: Seconds = 60.0
    """Maximum retry delay given to a refused caller."""
    retry_after_jitter: Annotated[float, Field(ge=0, le=1)] = 0.5
    """Fraction of the retry delay that is random, so that callers do not retry together."""
    leaving_grace_s: Annotated[float, Field(ge=0, le=3)] = 0.0
    """Has no effect; a leaving upstream receives no new work."""
    max_tickets: Annotated[int, Field(ge=1)] = 100_000
    """Maximum number of tickets held by one scheduler."""
    prefix_block_tokens: Annotated[int, Field(ge=1)] = 64
    """Prompt tokens per block of the prefix index."""


class ClaimSettings(ConfigModel):
    """Limits on the use of the table for idempotency keys."""

    total_writes_per_s: Annotated[float, Field(gt=0)] = 150.0
    """Claim transactions that all nodes together may commit; each node takes its share."""
    total_reads_per_s: Annotated[float, Field(gt=0)] = 600.0
    """Claim reads that all nodes together may make; each node takes its share."""
    burst_operations: Annotated[int, Field(ge=1)] = 4
    """Operations that an idle node may send in one burst."""
    batch_claims: Annotated[int, Field(ge=1)] = 32
    """Maximum number of claims in one transaction or read."""
    batch_bytes: Bytes = 131_072
    """Maximum size of one transaction's writes."""
    max_outstanding: Annotated[int, Field(ge=1)] = 4
    """Maximum number of outstanding transactions, and likewise of outstanding reads."""
    max_unresolved: Annotated[int, Field(ge=1)] = 20_000
    """Maximum number of unresolved claims at one node; further claims are refused immediately."""
    inline_answer_bytes: Annotated[int, Field(ge=0)] = 8_192
    """Kept answers larger than this go to the object store."""
    retention_s: Annotated[float, Field(ge=3_600)] = 604_800.0
    """How long finished and released keys are kept; unresolved ones are kept indefinitely."""


class NodeSettings(ConfigModel):
    """All settings that one process needs to start."""

    instance: Name
    """Name of the instance, unique among the nodes and stable across restarts."""
    availability_zone: Name
    """Availability zone that the instance runs in."""
    region: Name = "region-1"
    """Region that the instance runs in."""
    roles: Annotated[tuple[Role, ...], Field(min_length=1)] = tuple(Role)
    """Roles of the node."""
    listen: Listen
    """Addresses that the node binds."""
    peers: tuple[PeerSeed, ...] = ()
    """Peers known at start; others are discovered."""
    platform: PlatformSettings
    """The platform's services."""
    shared_key: Annotated[str, Field(min_length=16)]
    """Authenticates peer links and operators; the same on all nodes."""
    entry: EntrySettings = EntrySettings()
    """Limits of the entry role."""
    scheduler: SchedulerSettings = SchedulerSettings()
    """Limits of the scheduler role."""
    membership: MembershipSettings = MembershipSettings()
    """Intervals of heartbeats and platform polls."""
    claims: ClaimSettings = ClaimSettings()
    """Limits on the use of the table for idempotency keys."""
    stop_timeout_s: Seconds = 120.0
    """Longest time that a stopping node goes on serving.

    Work that remains is then cut off, and the node logs that work was cut.
    """

    @property
    def instance_id(self) -> InstanceId:
        """The instance's name as a typed id."""
        return InstanceId(self.instance)

    @property
    def zone(self) -> AvailabilityZone:
        """The availability zone as a typed id."""
        return AvailabilityZone(self.availability_zone)


def load_settings(path: str) -> Result[NodeSettings, list[Finding]]:
    """Validate a node's settings file, merged over the packaged defaults."""
    return read_text(path).and_then(lambda text: load_settings_text(text, path))


def load_settings_text(text: str, file: str) -> Result[NodeSettings, list[Finding]]:
    """Validate the text of a node's settings, merged over the packaged defaults."""
    return load_over_defaults(text, file, NodeSettings, default_settings())
