"""Forecast of answer lengths from the lengths of earlier answers."""

from ..ids import Tier
from .tickets import Ticket

MEMORY = 0.98
INITIAL_PART = 0.5


class OutputForecast:
    """Mean part of the allowed output tokens that answers of a tier use."""

    def __init__(self) -> None:
        self._parts: dict[Tier, float] = {}

    def learn(self, ticket: Ticket, output_tokens: int) -> None:
        """Note the length of a complete answer."""
        if not output_tokens or not ticket.max_output_tokens:
            return
        part = min(output_tokens / ticket.max_output_tokens, 1.0)
        before = self._parts.get(ticket.tier, INITIAL_PART)
        self._parts[ticket.tier] = MEMORY * before + (1 - MEMORY) * part

    def tokens(self, ticket: Ticket) -> float:
        """Return the expected length of a ticket's answer."""
        return self._parts.get(ticket.tier, INITIAL_PART) * ticket.max_output_tokens
