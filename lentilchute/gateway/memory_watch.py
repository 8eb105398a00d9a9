"""Controller that watches the memory of a node: queues to peers, and callers that are dead."""

from collections.abc import Mapping
from typing import Any

from ..events import Event, log_event
from ..peers.message_dispatch import MessageHandler
from ..util.shared_ticks import sleep_to_tick
from .context import GatewayContext, gateway_controller
from .relay_service import RelayServiceController
from .upstream_paths import UpstreamPathController

CHECK_INTERVAL_S = 1.0
"""A fifth of the time after which a reader counts as dead."""
RELAY_COPIES = 3
"""A body that is carried for a peer is held in its message, as it is, and encoded."""


@gateway_controller
class MemoryWatchController:
    """Samples what is held for peers, gives dead readers up in time, and logs a want of memory."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._sampled_bytes = 0
        self._turned_away = 0
        self._is_short = False
        context.memory.elsewhere.append(lambda: self._sampled_bytes)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {}

    async def run(self) -> None:
        while True:
            await sleep_to_tick(CHECK_INTERVAL_S)
            if self._context.memory.is_bounded:
                self.check()

    def check(self) -> None:
        """Bring the counts up to date, and log if something changed since the last check."""
        context, memory = self._context, self._context.memory
        relays = context.controller(RelayServiceController)
        self._sampled_bytes = (
            context.links.queued_bytes
            + context.controller(UpstreamPathController).pending_bytes
            + RELAY_COPIES * relays.body_bytes
        )
        memory.give_up_dead_readers(context.now_s())
        turned_away = memory.refused + sum(memory.given_up.values())
        is_short = turned_away > self._turned_away
        self._turned_away = turned_away
        if is_short == self._is_short:
            return
        self._is_short = is_short
        log_event(
            Event.MEMORY_SHORT if is_short else Event.MEMORY_EASED,
            held_bytes=memory.held_bytes,
            room_bytes=round(memory.room_bytes),
            refused=memory.refused,
            **{state.value: count for state, count in memory.given_up.items()},
        )
