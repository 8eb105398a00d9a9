"""State shared by the controllers of one node: settings, names, clock, platform and messages.

A decorator registers a controller class for a role. Each controller declares the messages that it
handles; a message to the node's own instance is dispatched in the same way as one from a peer.
"""

import random
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

import trio

from .document import ServiceDocument, load_document
from .ids import AvailabilityZone, IncarnationId, InstanceId, ServiceName, UpstreamId
from .metrics import Metrics
from .peers.heartbeats import PeerChange
from .peers.links import PeerLinks
from .peers.membership import Membership
from .peers.message_dispatch import Controller
from .peers.roles import Role
from .settings import NodeSettings
from .state.configuration import ConfigRegistry
from .state.platform_services import Platform
from .upstream.directory import UpstreamDirectory

Wanted = TypeVar("Wanted")


@dataclass(slots=True)
class NodeContext:
    """The components of a node that its controllers share."""

    settings: NodeSettings
    incarnation: IncarnationId
    rng: random.Random
    platform: Platform
    links: PeerLinks
    membership: Membership
    configuration: ConfigRegistry
    directory: UpstreamDirectory
    metrics: Metrics
    wall_offset_s: float = 0.0
    """Wall clock time minus ``now_s``; used only for the expiry times of claim records."""
    controllers: list[Controller] = field(default_factory=list)
    stopping: trio.Event = field(default_factory=trio.Event)
    document_listeners: list[Callable[[ServiceName, ServiceDocument], None]] = field(
        default_factory=list
    )
    peer_listeners: list[Callable[[PeerChange], None]] = field(default_factory=list)
    upstream_listeners: list[Callable[[UpstreamId], None]] = field(default_factory=list)
    _local: deque[Any] = field(default_factory=deque)
    _local_wake: trio.Event = field(default_factory=trio.Event)

    @property
    def instance(self) -> InstanceId:
        """This node's instance."""
        return self.settings.instance_id

    @property
    def zone(self) -> AvailabilityZone:
        """This node's availability zone."""
        return self.settings.zone

    def find_controller(self, wanted: type[Wanted]) -> Wanted | None:
        """Return this node's controller of a class, or ``None`` if its roles do not include one."""
        found = (candidate for candidate in self.controllers if isinstance(candidate, wanted))
        return next(found, None)

    def controller(self, wanted: type[Wanted]) -> Wanted:
        """Return a controller that every node has."""
        found = self.find_controller(wanted)
        if found is None:
            raise LookupError(f"no controller {wanted.__name__}")
        return found

    def now_s(self) -> float:
        """Return the process's monotonic time."""
        return trio.current_time()

    def post(self, instance: InstanceId, message: object) -> None:
        """Send a message to an instance, possibly this one, without guarantee of delivery."""
        if instance == self.instance:
            self._local.append(message)
            self._local_wake.set()
            return
        address = self.membership.address_of(instance)
        if address is not None:
            self.links.send(instance, address, message)

    def broadcast(self, message: object) -> None:
        """Send a message to all peers that may still respond: alive, suspected or leaving."""
        for info in self.membership.present():
            self.links.send(info.instance, info.address, message)

    async def receive_local(self) -> list[Any]:
        """Wait for messages that this node sent to itself, and return them."""
        if not self._local:
            self._local_wake = trio.Event()
            await self._local_wake.wait()
        messages = list(self._local)
        self._local.clear()
        return messages


Factory = Callable[[NodeContext], Controller]
Registered = TypeVar("Registered", bound=Callable[..., Any])

_factories: list[tuple[Role | None, Factory]] = []


def node_controller(role: Role | None) -> Callable[[Registered], Registered]:
    """Register a controller class for nodes with ``role``, or for all nodes with ``None``."""

    def register(factory: Registered) -> Registered:
        _factories.append((role, factory))
        return factory

    return register


def controllers_for(context: NodeContext) -> list[Controller]:
    """Return new controllers for the configured roles."""
    roles = set(context.settings.roles)
    return [factory(context) for role, factory in _factories if role is None or role in roles]


def check_document_text(service: ServiceName, text: str) -> Any:
    """Parse and validate a service document; the error is a single line for the log."""
    loaded = load_document(text, f"{service}.yaml")
    return loaded.map_err(lambda findings: "; ".join(str(finding) for finding in findings))


async def repeat(interval_s: float, action: Callable[[], Awaitable[None] | None]) -> None:
    """Call ``action`` immediately and then at the interval, forever."""
    while True:
        result = action()
        if result is not None:
            await result
        await trio.sleep(interval_s)


async def wait_until(is_done: Callable[[], bool], interval_s: float) -> None:
    """Poll ``is_done`` until it is true; for state without an event to wait on."""
    while not is_done():  # noqa: ASYNC110
        await trio.sleep(interval_s)
