"""Rows of the table that hold orders to engines: ``order/<service>/<upstream>``, never deleted."""

from pydantic import BaseModel, ConfigDict, ValidationError

from ..ids import FencingNumber, ServiceName, UpstreamId

ORDERS_PER_LEASE = 1 << 20
"""Orders that one holder can number; the lease's number fills the higher digits."""


class OrderRecord(BaseModel):
    """The last order to one engine, written down before it is sent."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    fencing: int
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str


def order_prefix(service: ServiceName) -> str:
    """Return what the keys of a service's orders begin with."""
    return f"order/{service}/"


def order_key(service: ServiceName, upstream: UpstreamId) -> str:
    """Return the key of the row with the engine's last order."""
    return order_prefix(service) + upstream


def parse_order_row(value: str) -> OrderRecord | None:
    """Parse an order's row; ``None`` where it is not one."""
    try:
        return OrderRecord.model_validate_json(value)
    except ValidationError:
        return None


def order_fencing(lease: FencingNumber, sequence: int) -> FencingNumber:
    """Return the number of a holder's order; it grows over orders and over holders.

    An engine that checks numbers thus refuses a late order of the same holder too.
    """
    if sequence >= ORDERS_PER_LEASE:
        raise ValueError("a holder numbers no more orders; it must take the lease anew")
    return FencingNumber(lease * ORDERS_PER_LEASE + sequence)
