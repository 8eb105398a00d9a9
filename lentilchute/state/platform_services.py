"""What the platform offers, as the package sees it: a table, an object store, a list of instances.

Adapters for one platform's protocol implement these interfaces. Failures are values: a caller can
tell a write that certainly did not happen from one whose outcome is unknown.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeVar

from result import Result

from ..errors import UserError
from ..settings import PlatformSettings


class TableFault(Enum):
    """Why a table or object store operation gave no answer."""

    UNAVAILABLE = "unavailable"
    """Nothing was applied."""
    UNKNOWN = "unknown-outcome"
    """The write may have been applied; read back to find out."""
    CONFLICT = "conflict"
    """A condition of the transaction did not hold; nothing was applied."""


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table. ``version`` grows with each write to the key and starts at 1."""

    key: str
    version: int
    value: str


@dataclass(frozen=True, slots=True)
class Condition:
    """Holds when the key's row has this version; version 0 means that there is no row."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """A new value for a key; ``None`` deletes its row."""

    key: str
    value: str | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied together when every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Table(Protocol):
    """The platform's transactional table service."""

    async def get(self, key: str) -> Result[Row | None, TableFault]:
        """Return the key's row, or ``None`` where there is none."""
        ...

    async def get_many(self, keys: list[str]) -> Result[dict[str, Row], TableFault]:
        """Return the rows that exist among ``keys``, in one read."""
        ...

    async def scan(self, prefix: str, limit: int = 1000) -> Result[list[Row], TableFault]:
        """Return the rows whose key starts with ``prefix``, in key order."""
        ...

    async def commit(self, transaction: Transaction) -> Result[None, TableFault]:
        """Apply the transaction, or say why it was not or may not have been applied."""
        ...


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, key: str, body: bytes) -> Result[None, TableFault]:
        """Store ``body`` under ``key``, over an earlier object."""
        ...

    async def get(self, key: str) -> Result[bytes | None, TableFault]:
        """Return the object, or ``None`` where there is none."""
        ...

    async def delete(self, key: str) -> Result[None, TableFault]:
        """Remove the object if it is there."""
        ...


class ListedState(Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One line of the platform's lagging list: an entry instance or an upstream."""

    name: str
    kind: str
    """``entry`` or the upstream's group name, which a service document's selector matches."""
    address: str
    zone: str
    state: ListedState


class InstanceList(Protocol):
    """The platform's list of live and leaving instances; it lags and may be wrong."""

    async def instances(self) -> Result[list[ListedInstance], TableFault]:
        """Return the list as the platform gives it now."""
        ...


class Platform(Protocol):
    """The three services of one platform, by one adapter."""

    table: Table
    objects: ObjectStore
    instances: InstanceList

    def faults(self) -> tuple[str, ...]:
        """Return the names of the services that did not answer lately."""
        ...

    async def aclose(self) -> None:
        """Close idle connections."""
        ...


PlatformFactory = Callable[[PlatformSettings], Platform]
Factory = TypeVar("Factory", bound=PlatformFactory)

_factories: dict[str, PlatformFactory] = {}


def register_platform(name: str) -> Callable[[Factory], Factory]:
    """Register an adapter under the name that ``PlatformSettings.adapter`` gives."""

    def add(factory: Factory) -> Factory:
        _factories[name] = factory
        return factory

    return add


def platform_for(settings: PlatformSettings) -> Platform:
    """Return a new adapter for the platform that the settings name.

    Raises ``UserError`` when no adapter is registered under that name.
    """
    factory = _factories.get(settings.adapter)
    if factory is None:
        raise UserError(f"no platform adapter named {settings.adapter}")
    return factory(settings)
