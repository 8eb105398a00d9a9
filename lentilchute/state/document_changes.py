"""Applies an operator's change to the platform's table."""

import trio

from .configuration_apply import ApplyOperation, CommitChange, DocumentChange, ReadRows
from .platform_services import Table


async def apply_change(table: Table, change: DocumentChange, timeout_s: float) -> ApplyOperation:
    """Apply a change within ``timeout_s``; the returned operation holds its outcome."""
    operation = ApplyOperation(change, trio.current_time() + timeout_s)
    action = operation.start(trio.current_time())
    while action is not None:
        if isinstance(action, ReadRows):
            rows = await table.get_many(list(action.keys))
            action = operation.rows_answered(rows, trio.current_time())
        elif isinstance(action, CommitChange):
            committed = await table.commit(action.transaction)
            action = operation.commit_answered(committed, trio.current_time())
        else:
            await trio.sleep(action.delay_s)
            action = operation.resume(trio.current_time())
    return operation
