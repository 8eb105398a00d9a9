"""Table rows of leases: ``lease/<service>``, never deleted."""

from pydantic import BaseModel, ConfigDict, ValidationError

from ..ids import FencingNumber, IncarnationId, ServiceName


class LeaseRecord(BaseModel):
    """The holder that may send orders to a service's engines; empty if the lease is free."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    holder: str
    fencing: int
    duration_s: float

    def is_held_by(self, incarnation: IncarnationId) -> bool:
        """Return whether this incarnation of a node holds the lease."""
        return self.holder == incarnation


def lease_key(service: ServiceName) -> str:
    """Return the key of the service's lease row."""
    return f"lease/{service}"


def parse_lease_row(value: str) -> LeaseRecord | None:
    """Parse a lease row; return ``None`` if it is invalid."""
    try:
        return LeaseRecord.model_validate_json(value)
    except ValidationError:
        return None


def next_fencing(record: LeaseRecord | None) -> FencingNumber:
    """Return the fencing number of the holder that follows ``record``."""
    return FencingNumber(1 if record is None else record.fencing + 1)
