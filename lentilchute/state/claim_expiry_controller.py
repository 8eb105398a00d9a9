"""Controller that deletes idempotency records whose retention has expired.

The sweep runs on the node that ranks first for it by rendezvous hashing. If two nodes sweep at
once, the conditions on their writes prevent either from deleting a row that has changed.
"""

from collections.abc import Mapping
from typing import Any

import trio
from result import Ok

from ..ids import ServiceName, shard_id
from ..node_context import NodeContext, node_controller
from ..peers.message_dispatch import MessageHandler
from ..peers.roles import Role
from .claim_expiry import ClaimExpiry, DeleteExpired, ReadClaims, ScanExpired, SweepAction

SWEEP_SHARD = shard_id(ServiceName("claim-expiry"))
CHECK_INTERVAL_S = 5.0


@node_controller(Role.CONTROLLERS)
class ClaimExpiryController:
    """Drives ``ClaimExpiry`` while this node is responsible for the sweep."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._expiry = ClaimExpiry(context.now_s(), context.wall_offset_s)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {}

    async def run(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if self._is_sweeper():
                await self._sweep()

    def _is_sweeper(self) -> bool:
        order = self._context.membership.scheduler_order(SWEEP_SHARD, self._context.now_s())
        return bool(order) and order[0] == self._context.instance

    async def _sweep(self) -> None:
        table = self._context.platform.table
        action: SweepAction = self._expiry.tick(self._context.now_s())
        while action is not None:
            if isinstance(action, ScanExpired):
                rows = await table.scan(action.prefix, action.limit)
                action = self._expiry.scanned(rows, self._context.now_s())
            elif isinstance(action, ReadClaims):
                claims = await table.get_many(list(action.keys))
                action = self._expiry.claims_read(claims, self._context.now_s())
            else:
                await self._delete(action)
                action = None

    async def _delete(self, action: DeleteExpired) -> None:
        platform = self._context.platform
        for transaction, key in zip(action.transactions, action.objects, strict=True):
            deleted = await platform.table.commit(transaction)
            if isinstance(deleted, Ok) and key is not None:
                await platform.objects.delete(key)
