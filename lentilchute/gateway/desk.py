"""Controller that gives waiting requests their decisions and keeps the dispatchers up to date."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import trio

from ..ids import ServiceName
from .context import GatewayContext, MessageHandler, gateway_controller
from .routes import RoutingConfig
from .tickets import Decision, Ticket

POLL_INTERVAL_S = 0.02
"""Waiting tickets are looked at this often besides each change; a fraction of any objective."""


@dataclass(slots=True)
class _Pending:
    decided: trio.Event = field(default_factory=trio.Event)
    decision: Decision | None = None


@gateway_controller
class DispatchDesk:
    """Between the requests of one node and its dispatchers."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._pending: dict[int, _Pending] = {}
        context.config_listeners.append(self._on_config)
        context.fleet_listeners.append(self.update_upstreams)

    def handlers(self) -> Mapping[type[Any], MessageHandler]:
        return {}

    async def run(self) -> None:
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            if self._pending:
                for service in list(self._context.dispatchers):
                    self.poll(service)

    async def place(self, ticket: Ticket) -> Decision:
        """Return the decision about a ticket; a cancelled wait withdraws it."""
        dispatcher = self._context.dispatcher(ticket.service)
        decision = dispatcher.submit(ticket, self._context.now_s())
        if decision is not None:
            return decision
        pending = self._pending[ticket.number] = _Pending()
        try:
            await pending.decided.wait()
        finally:
            del self._pending[ticket.number]
            if pending.decision is None:
                dispatcher.withdraw(ticket)
        assert pending.decision is not None
        return pending.decision

    def poll(self, service: ServiceName) -> None:
        """Hand out the decisions that a change has made possible."""
        dispatcher = self._context.dispatchers.get(service)
        if dispatcher is None or not dispatcher.waiting:
            return
        for ticket, decision in dispatcher.poll(self._context.now_s()):
            pending = self._pending[ticket.number]
            pending.decision = decision
            pending.decided.set()

    def update_upstreams(self) -> None:
        """Take the fleet's present state into all dispatchers."""
        context = self._context
        services = set(context.dispatchers) | (
            set(context.config.services) if context.config else set()
        )
        for service in services:
            slots = context.config.slots_of(service) if context.config else None
            dispatcher = context.dispatcher(service)
            dispatcher.set_upstreams(context.fleet.of_service(service), slots)
            self.poll(service)

    def _on_config(self, _config: RoutingConfig) -> None:
        self.update_upstreams()
