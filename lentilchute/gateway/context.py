"""What the controllers of one gateway node share, and the registry that builds them."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol, TypeVar

import trio

from ..ids import AvailabilityZone, IncarnationId, InstanceId, ServiceName
from ..membership import Membership
from ..peer_links import PeerLinks
from ..platform.store import StoreClient
from .crash_guard import CrashGuard
from .dispatcher import Dispatcher
from .fleet import Fleet
from .quota import QuotaBook
from .retry_budget import RetryBudget
from .routes import RoutingConfig
from .settings import GatewaySettings

MessageHandler = Callable[[InstanceId, Any], None]
Added = TypeVar("Added", bound=Callable[..., Any])
Wanted = TypeVar("Wanted")


class GatewayController(Protocol):
    """One of a gateway's controllers."""

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        """Return the peer messages that this controller takes, with what takes them."""
        ...

    async def run(self) -> None:
        """Run until cancelled."""
        ...


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
    budget: RetryBudget
    quotas: QuotaBook
    crash_guard: CrashGuard
    config: RoutingConfig | None = None
    dispatchers: dict[ServiceName, Dispatcher] = field(default_factory=dict)
    controllers: list[GatewayController] = field(default_factory=list)
    is_stopping: bool = False
    refuses_after_s: float | None = None
    """During a planned stop: when requests that still come are refused."""
    config_listeners: list[Callable[[RoutingConfig], None]] = field(default_factory=list)
    fleet_listeners: list[Callable[[], None]] = field(default_factory=list)

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

    def now_s(self) -> float:
        """Return the time on this process's clock."""
        return trio.current_time()

    def dispatcher(self, service: ServiceName) -> Dispatcher:
        """Return the dispatcher of a service, made when it is first asked for."""
        found = self.dispatchers.get(service)
        if found is None:
            found = Dispatcher(service, self.zone, self.settings.dispatch, self.rng)
            self.dispatchers[service] = found
        return found

    def controller(self, wanted: type[Wanted]) -> Wanted:
        """Return the controller of a class."""
        found = next((one for one in self.controllers if isinstance(one, wanted)), None)
        if found is None:
            raise LookupError(f"no controller {wanted.__name__}")
        return found

    def broadcast(self, message: object) -> None:
        """Send a message to all peers that may still answer; it may be lost."""
        for info in self.membership.present():
            self.links.send(info.instance, info.address, message)


_factories: list[Callable[[GatewayContext], GatewayController]] = []


def gateway_controller(factory: Added) -> Added:
    """Register a controller class for every gateway node."""
    _factories.append(factory)
    return factory


def build_controllers(context: GatewayContext) -> list[GatewayController]:
    """Return new controllers, in the order of their registration."""
    return [factory(context) for factory in _factories]
