"""Controller that logs when requests of a service begin to wait here, and when none waits."""

from collections.abc import Mapping
from typing import Any

import trio

from ..events import Event, log_event
from ..ids import ServiceName
from ..peers.message_dispatch import MessageHandler
from .context import GatewayContext, gateway_controller

CHECK_INTERVAL_S = 1.0
"""Overloads that matter last for seconds."""
LOWEST_SHARES = 3
"""Groups of requests with the smallest placed shares that a line names."""


@gateway_controller
class OverloadLogController:
    """Compares the number of waiting tickets of each service at intervals."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._overloaded_since_s: dict[ServiceName, float] = {}

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {}

    async def run(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Log the services whose state has changed since the last check."""
        now_s = self._context.now_s()
        for service, dispatcher in self._context.placements.dispatchers.items():
            since_s = self._overloaded_since_s.get(service)
            if dispatcher.waiting and since_s is None:
                self._overloaded_since_s[service] = now_s
                log_event(
                    Event.OVERLOAD_BEGAN,
                    service=service,
                    waiting=dispatcher.waiting,
                    room_per_s=round(dispatcher.room_per_s(now_s), 1),
                )
            elif not dispatcher.waiting and since_s is not None:
                del self._overloaded_since_s[service]
                shares = sorted(dispatcher.placed_shares(now_s), key=lambda item: item.share)
                log_event(
                    Event.OVERLOAD_ENDED,
                    service=service,
                    lasted_s=round(now_s - since_s, 1),
                    told_to_return=dispatcher.returns.promised,
                    came_on_time=dispatcher.returns.kept_on_time,
                    came_early=dispatcher.returns.came_early,
                    lowest=[
                        f"tier {item.tier}, {item.group} {item.value}: {item.share:.3f}"
                        for item in shares[:LOWEST_SHARES]
                    ],
                )
