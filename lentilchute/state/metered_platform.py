"""Counts a node's operations on the platform's table by operation and result."""

from result import Err, Result

from ..metrics import Metrics
from .platform_services import (
    InstanceList,
    ObjectStore,
    Platform,
    Row,
    Table,
    TableFault,
    Transaction,
)

RESULT_OK = "ok"


class MeteredTable:
    """A table whose operations are counted."""

    def __init__(self, table: Table, metrics: Metrics) -> None:
        self._table = table
        self._metrics = metrics

    async def get(self, key: str) -> Result[Row | None, TableFault]:
        """Return the key's row, or ``None`` if there is none."""
        return self._count("get", await self._table.get(key))

    async def get_many(self, keys: list[str]) -> Result[dict[str, Row], TableFault]:
        """Return the rows that exist among ``keys``, in one read."""
        return self._count("get_many", await self._table.get_many(keys))

    async def scan(self, prefix: str, limit: int = 1000) -> Result[list[Row], TableFault]:
        """Return the rows whose key starts with ``prefix``, in key order."""
        return self._count("scan", await self._table.scan(prefix, limit))

    async def commit(self, transaction: Transaction) -> Result[None, TableFault]:
        """Apply the transaction; the error tells whether it may have been applied."""
        return self._count("commit", await self._table.commit(transaction))

    def _count(self, operation: str, result: Result) -> Result:  # type: ignore[type-arg]
        result_label = result.err_value.value if isinstance(result, Err) else RESULT_OK
        self._metrics.table_operation(operation, result_label)
        return result


class MeteredPlatform:
    """A platform whose table operations are counted."""

    def __init__(self, platform: Platform, metrics: Metrics) -> None:
        self._platform = platform
        self.table: Table = MeteredTable(platform.table, metrics)
        self.objects: ObjectStore = platform.objects
        self.instances: InstanceList = platform.instances

    def faults(self) -> tuple[str, ...]:
        """Return the names of the services that are marked as down after a failed call."""
        return self._platform.faults()

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._platform.aclose()
