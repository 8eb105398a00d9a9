"""Model assignment of the engine stand-in, and the orders that change it."""

from dataclasses import dataclass

from .engine_settings import EngineStandinSettings
from .routes import WireModel


class OrderBody(WireModel):
    """An order: the assignment that the engine should apply."""

    fencing: int
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "serve"


@dataclass(frozen=True, slots=True)
class EngineAssignment:
    """Model, version, adapters and role of the engine."""

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str


class AssignmentState:
    """The engine's assignment, with the highest fencing number seen."""

    def __init__(self, settings: EngineStandinSettings) -> None:
        self._checks_fencing = settings.checks_fencing
        self.assignment = EngineAssignment(
            settings.model, settings.version, settings.adapters, "serve"
        )
        self.is_ready = True
        self.highest_fencing = 0

    def admits(self, order: OrderBody) -> bool:
        """Return whether an order is accepted, and record its fencing number."""
        is_old = order.fencing < self.highest_fencing
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        return not (is_old and self._checks_fencing)

    def apply_order(self, order: OrderBody) -> bool:
        """Set the assignment from an order; return whether it changed."""
        ordered = EngineAssignment(order.model, order.version, order.adapters, order.role)
        is_changed = ordered != self.assignment
        self.assignment = ordered
        return is_changed

    def serves(self, model: str) -> bool:
        """Return whether the engine runs requests for this model or adapter."""
        return model == self.assignment.model or model in self.assignment.adapters
