"""The platform's table with each operation counted by its kind and result."""

from typing import TypeVar

from result import Err, Result

from .metrics import Metrics
from .platform import Row, Table, TableFault, Transaction

Value = TypeVar("Value")


class MeteredTable:
    """Passes every operation on and counts it once it has an answer."""

    def __init__(self, table: Table, metrics: Metrics) -> None:
        self._table = table
        self._metrics = metrics

    async def get(self, key: str) -> Result[Row | None, TableFault]:
        """Return the key's row, or ``None`` where there is none."""
        return self._count("get", await self._table.get(key))

    async def get_many(self, keys: list[str]) -> Result[dict[str, Row], TableFault]:
        """Return the rows that exist among ``keys``, in one read."""
        return self._count("get_many", await self._table.get_many(keys))

    async def scan(self, prefix: str, limit: int = 1000) -> Result[list[Row], TableFault]:
        """Return the rows whose key starts with ``prefix``, in key order."""
        return self._count("scan", await self._table.scan(prefix, limit))

    async def commit(self, transaction: Transaction) -> Result[None, TableFault]:
        """Apply the transaction, or say why it was not or may not have been applied."""
        return self._count("commit", await self._table.commit(transaction))

    def _count(
        self, operation: str, answer: Result[Value, TableFault]
    ) -> Result[Value, TableFault]:
        result = answer.err_value.value if isinstance(answer, Err) else "ok"
        self._metrics.table_operation(operation, result)
        return answer
