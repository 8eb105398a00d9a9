"""Table rows of orders to engines: ``order/<service>/<upstream>``, never deleted."""

from pydantic import BaseModel, ConfigDict, ValidationError

from ..ids import FencingNumber, ServiceName, UpstreamId

ORDERS_PER_LEASE = 1 << 20
"""Number of orders per lease; the lease's fencing number forms the higher bits."""


class OrderRecord(BaseModel):
    """The last order to one engine, written before it is sent.

    The order that is sent may state a later target under the same fencing number.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    fencing: int
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str


def order_prefix(service: ServiceName) -> str:
    """Return the key prefix of a service's orders."""
    return f"order/{service}/"


def order_key(service: ServiceName, upstream: UpstreamId) -> str:
    """Return the key of the engine's last order."""
    return order_prefix(service) + upstream


def parse_order_row(value: str) -> OrderRecord | None:
    """Parse an order row; return ``None`` if it is invalid."""
    try:
        return OrderRecord.model_validate_json(value)
    except ValidationError:
        return None


def order_fencing(lease: FencingNumber, sequence: int) -> FencingNumber:
    """Return the fencing number of an order, which increases across orders and holders.

    An engine that checks fencing numbers therefore also rejects a late order of the same holder.
    """
    if sequence >= ORDERS_PER_LEASE:
        raise ValueError("order numbers of this lease are exhausted; acquire the lease again")
    return FencingNumber(lease * ORDERS_PER_LEASE + sequence)
