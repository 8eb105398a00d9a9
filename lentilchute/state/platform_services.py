"""Interfaces of the platform's services: a table, an object store and a list of instances.

An adapter for a platform's protocol implements these interfaces. Failures are returned as values
that distinguish a write that was not applied from one whose outcome is unknown.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeVar

from result import Result

from ..errors import UserError
from ..settings import PlatformSettings


class TableFault(Enum):
    """Why an operation on the table or another platform service failed."""

    UNAVAILABLE = "unavailable"
    """Nothing was applied."""
    UNKNOWN = "unknown-outcome"
    """The write may have been applied; read back to determine the outcome."""
    CONFLICT = "conflict"
    """A condition of the transaction did not hold; nothing was applied."""


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table. ``version`` starts at 1 and increases with each write to the key."""

    key: str
    version: int
    value: str


@dataclass(frozen=True, slots=True)
class Condition:
    """Requires the key's row to have this version; version 0 means that there is no row."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """A new value for a key; ``None`` deletes its row."""

    key: str
    value: str | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied atomically if every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Table(Protocol):
    """The platform's transactional table service."""

    async def get(self, key: str) -> Result[Row | None, TableFault]:
        """Return the key's row, or ``None`` if there is none."""
        ...

    async def get_many(self, keys: list[str]) -> Result[dict[str, Row], TableFault]:
        """Return the rows that exist among ``keys``, in one read."""
        ...

    async def scan(self, prefix: str, limit: int = 1000) -> Result[list[Row], TableFault]:
        """Return the rows whose key starts with ``prefix``, in key order."""
        ...

    async def commit(self, transaction: Transaction) -> Result[None, TableFault]:
        """Apply the transaction; the error tells whether it may have been applied."""
        ...


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, key: str, body: bytes) -> Result[None, TableFault]:
        """Store ``body`` under ``key``, replacing any earlier object."""
        ...

    async def get(self, key: str) -> Result[bytes | None, TableFault]:
        """Return the object, or ``None`` if there is none."""
        ...

    async def delete(self, key: str) -> Result[None, TableFault]:
        """Delete the object if it exists."""
        ...


class ListedState(Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One item of the platform's list, which may be stale: an entry instance or an upstream."""

    name: str
    kind: str
    """``entry``, or the upstream's group name that the selectors of service documents match."""
    address: str
    zone: str
    state: ListedState


class InstanceList(Protocol):
    """The platform's list of live and leaving instances; it may be stale or wrong."""

    async def instances(self) -> Result[list[ListedInstance], TableFault]:
        """Return the current list."""
        ...


class Platform(Protocol):
    """An adapter for the three services of one platform."""

    table: Table
    objects: ObjectStore
    instances: InstanceList

    def faults(self) -> tuple[str, ...]:
        """Return the names of the services that are marked as down after a failed call."""
        ...

    async def aclose(self) -> None:
        """Close idle connections."""
        ...


PlatformFactory = Callable[[PlatformSettings], Platform]
Factory = TypeVar("Factory", bound=PlatformFactory)

_factories: dict[str, PlatformFactory] = {}


def register_platform(name: str) -> Callable[[Factory], Factory]:
    """Register an adapter under a name for ``PlatformSettings.adapter``."""

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
