"""What the controllers of one gateway node share, and the registry that builds them."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

import trio

from ..ids import AvailabilityZone, IncarnationId, InstanceId
from ..peers.links import PeerLinks
from ..peers.membership import Membership
from ..peers.message_dispatch import Controller
from ..platform.store import StoreClient
from .coordination import CoordinatorChoice
from .crash_guard import CrashGuard
from .fleet import Fleet
from .metrics import GatewayMetrics
from .placement_registry import PlacementRegistry
from .routes import RoutingConfig
from .settings import GatewaySettings

Added = TypeVar("Added", bound=Callable[..., Any])
Wanted = TypeVar("Wanted")


@dataclass(slots=True)
class GatewayContext:
    """The parts of a node that its controllers share."""

    settings: GatewaySettings
    incarnation: IncarnationId
    rng: random.Random
    store: StoreClient
    links: PeerLinks
    membership: Membership
    fleet: Fleet
    book: PlacementRegistry
    choice: CoordinatorChoice
    crash_guard: CrashGuard
    metrics: GatewayMetrics
    started_s: float
    config: RoutingConfig | None = None
    listed_nodes: int | None = None
    """How many nodes have a row in the store; ``None`` before it was read."""
    controllers: list[Controller] = field(default_factory=list)
    is_stopping: bool = False
    refuses_after_s: float | None = None
    """During a planned stop: when requests that still come are refused."""
    config_listeners: list[Callable[[RoutingConfig], None]] = field(default_factory=list)
    fleet_listeners: list[Callable[[], None]] = field(default_factory=list)
    coordinator_listeners: list[Callable[[], None]] = field(default_factory=list)
    """Called when the coordinator or the number of nodes has changed."""

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
        """Whether the node may be sent callers."""
        return self.config is not None and self.fleet.is_known and not self.is_stopping

    @property
    def coordinator_incarnation(self) -> IncarnationId:
        """The run of the coordinator, as far as this node knows it."""
        coordinator = self.choice.coordinator
        if coordinator == self.instance:
            return self.incarnation
        return self.membership.incarnation_of(coordinator) or IncarnationId("")

    def now_s(self) -> float:
        """Return the time on this process's clock."""
        return trio.current_time()

    def controller(self, wanted: type[Wanted]) -> Wanted:
        """Return the controller of a class."""
        found = next((one for one in self.controllers if isinstance(one, wanted)), None)
        if found is None:
            raise LookupError(f"no controller {wanted.__name__}")
        return found

    def post(self, instance: InstanceId, message: object) -> None:
        """Send a message to a peer; it may be lost."""
        address = self.membership.address_of(instance)
        if address is not None:
            self.links.send(instance, address, message)

    def broadcast(self, message: object) -> None:
        """Send a message to all peers that may still answer; it may be lost."""
        for info in self.membership.present():
            self.links.send(info.instance, info.address, message)


_factories: list[Callable[[GatewayContext], Controller]] = []


def gateway_controller(factory: Added) -> Added:
    """Register a controller class for every gateway node."""
    _factories.append(factory)
    return factory


def build_controllers(context: GatewayContext) -> list[Controller]:
    """Return new controllers, in the order of their registration."""
    return [factory(context) for factory in _factories]
