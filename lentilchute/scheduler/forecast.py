"""Forecast of answer lengths from earlier answers."""

from ..ids import Tier
from .tickets import Ticket

SMOOTHING_FACTOR = 0.98
INITIAL_FRACTION = 0.5


class OutputForecast:
    """Moving average, per tier, of the fraction of the allowed output tokens that answers use."""

    def __init__(self) -> None:
        self._used_fractions: dict[Tier, float] = {}

    def record_answer(self, ticket: Ticket, output_tokens: int) -> None:
        """Record the length of a complete answer."""
        if not output_tokens or not ticket.max_output_tokens:
            return
        fraction = min(output_tokens / ticket.max_output_tokens, 1.0)
        before = self._used_fractions.get(ticket.tier, INITIAL_FRACTION)
        self._used_fractions[ticket.tier] = (
            SMOOTHING_FACTOR * before + (1 - SMOOTHING_FACTOR) * fraction
        )

    def expected_tokens(self, ticket: Ticket) -> float:
        """Return the expected length of a ticket's answer."""
        return self._used_fractions.get(ticket.tier, INITIAL_FRACTION) * ticket.max_output_tokens
