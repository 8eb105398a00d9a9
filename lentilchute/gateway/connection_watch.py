"""Controller that logs when a node turns connections away, or closes some for others' sake."""

from collections.abc import Mapping
from typing import Any

from ..events import Event, log_event
from ..peers.message_dispatch import MessageHandler
from ..util.shared_ticks import sleep_to_tick
from .context import GatewayContext, gateway_controller
from .server_limits import Listener

CHECK_INTERVAL_S = 1.0


@gateway_controller
class ConnectionWatchController:
    """Logs for each server when its connections begin to exceed their limit, and when that ends."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._turned_away: dict[Listener, int] = {}
        self._short: set[Listener] = set()

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {}

    async def run(self) -> None:
        while True:
            await sleep_to_tick(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Log for which servers that has changed since the last check."""
        for listener in self._context.servers:
            self._check(listener)

    def _check(self, listener: Listener) -> None:
        server = self._context.servers[listener]
        turned_away = server.refused_connections + server.displaced_connections
        is_short = turned_away > self._turned_away.get(listener, 0)
        self._turned_away[listener] = turned_away
        if is_short == (listener in self._short):
            return
        self._short ^= {listener}
        log_event(
            Event.CONNECTIONS_SHORT if is_short else Event.CONNECTIONS_EASED,
            listener=listener.value,
            open=server.connection_count,
            limit=server.settings.max_connections,
            refused=server.refused_connections,
            displaced=server.displaced_connections,
        )
