"""The state that the controllers of a gateway node share, and the controller registry."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

import trio

from ..http.server import HttpServer
from ..ids import AvailabilityZone, IncarnationId, InstanceId
from ..peers.links import PeerLinks
from ..peers.membership import Membership
from ..peers.message_dispatch import Controller
from ..platform.store import StoreClient, StoreRow
from .coordination import CoordinatorChoice
from .crash_guard import CrashGuard
from .fleet import Fleet
from .held_memory import HeldMemory
from .metrics import GatewayMetrics
from .path_health import PathHealth
from .placement_registry import PlacementRegistry
from .planned_stop import PlannedStop
from .prompt_part_guard import PromptPartGuard
from .routes import RoutingConfig
from .server_limits import Listener
from .settings import GatewaySettings
from .upstream_connections import UpstreamConnections

FactoryT = TypeVar("FactoryT", bound=Callable[..., Any])
ControllerT = TypeVar("ControllerT")

JOIN_PERIOD_S = 5.0
"""Time by which nodes that started together have discovered each other, even if their first
heartbeats are lost."""


@dataclass(slots=True)
class GatewayContext:
    """Shared state of one node's controllers."""

    settings: GatewaySettings
    incarnation: IncarnationId
    rng: random.Random
    store: StoreClient
    links: PeerLinks
    membership: Membership
    fleet: Fleet
    placements: PlacementRegistry
    choice: CoordinatorChoice
    crash_guard: CrashGuard
    prompt_part_guard: PromptPartGuard
    metrics: GatewayMetrics
    connections: UpstreamConnections
    path_health: PathHealth
    started_s: float
    memory: HeldMemory = field(default_factory=HeldMemory)
    """What this node holds for its callers."""
    servers: dict[Listener, HttpServer] = field(default_factory=dict)
    """This node's HTTP servers."""
    config: RoutingConfig | None = None
    listed_nodes: int | None = None
    """Number of nodes with a row in the store; ``None`` until the table has been read."""
    controllers: list[Controller] = field(default_factory=list)
    is_stopping: bool = False
    stop: PlannedStop | None = None
    """During a planned stop: which requests are still taken."""
    config_listeners: list[Callable[[RoutingConfig], None]] = field(default_factory=list)
    operator_row_listeners: list[Callable[[list[StoreRow]], None]] = field(default_factory=list)
    """Called with changed rows of the operator's table."""
    fleet_listeners: list[Callable[[], None]] = field(default_factory=list)
    begun_stream_listeners: list[Callable[[], None]] = field(default_factory=list)
    """Called when a stream has begun of which other nodes have to know."""
    crash_verdict_listeners: list[Callable[[], None]] = field(default_factory=list)
    """Called when the requests or parts of prompts that are refused for crashing upstreams have
    changed."""
    coordinator_listeners: list[Callable[[], None]] = field(default_factory=list)
    """Called when the coordinator or the set of peers has changed."""

    @property
    def instance(self) -> InstanceId:
        """This node's instance."""
        return self.settings.instance_id

    @property
    def zone(self) -> AvailabilityZone:
        """This node's availability zone."""
        return self.settings.zone

    @property
    def is_ready(self) -> bool:
        """Whether callers may be directed to this node."""
        return self.config is not None and self.fleet.is_known and not self.is_stopping

    @property
    def coordinator_incarnation(self) -> IncarnationId:
        """The incarnation of the coordinator, empty if this node does not know it."""
        coordinator = self.choice.coordinator
        if coordinator == self.instance:
            return self.incarnation
        return self.membership.incarnation_of(coordinator) or IncarnationId("")

    @property
    def has_joined(self) -> bool:
        """Whether this node knows its peers: all that the store lists, or those that it has heard
        of since it started."""
        if self.now_s() - self.started_s >= JOIN_PERIOD_S:
            return True
        nodes = len(self.membership.present()) + 1
        return self.listed_nodes is not None and nodes >= self.listed_nodes

    def now_s(self) -> float:
        """Return the current time on the process's monotonic clock."""
        return trio.current_time()

    def controller(self, wanted: type[ControllerT]) -> ControllerT:
        """Return the controller of the given class."""
        found = next((item for item in self.controllers if isinstance(item, wanted)), None)
        if found is None:
            raise LookupError(f"no controller {wanted.__name__}")
        return found

    def post(self, instance: InstanceId, message: object) -> None:
        """Send a message to a peer, without a guarantee of delivery."""
        address = self.membership.address_of(instance)
        if address is not None:
            self.links.send(instance, address, message)

    def broadcast(self, message: object) -> None:
        """Send a message to all peers not known to be gone, without a guarantee of delivery."""
        self.links.broadcast(self.membership.present(), message)


_factories: list[Callable[[GatewayContext], Controller]] = []


def gateway_controller(factory: FactoryT) -> FactoryT:
    """Register a controller class for every gateway node."""
    _factories.append(factory)
    return factory


def build_controllers(context: GatewayContext) -> list[Controller]:
    """Return new controllers, in the order of their registration."""
    return [factory(context) for factory in _factories]
