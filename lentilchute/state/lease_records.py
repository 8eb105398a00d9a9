"""Rows of the table that hold leases: ``lease/<service>``, never deleted."""

from pydantic import BaseModel, ConfigDict, ValidationError

from ..ids import FencingNumber, IncarnationId, ServiceName


class LeaseRecord(BaseModel):
    """Who may order a service's engines. A free lease has an empty holder."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    holder: str
    fencing: int
    duration_s: float

    def is_held_by(self, incarnation: IncarnationId) -> bool:
        """Tell whether this run of a node wrote the lease."""
        return self.holder == incarnation


def lease_key(service: ServiceName) -> str:
    """Return the key of the service's lease."""
    return f"lease/{service}"


def parse_lease_row(value: str) -> LeaseRecord | None:
    """Parse a lease's row; ``None`` where it is not one."""
    try:
        return LeaseRecord.model_validate_json(value)
    except ValidationError:
        return None


def next_fencing(record: LeaseRecord | None) -> FencingNumber:
    """Return the number of the holder after ``record``."""
    return FencingNumber(1 if record is None else record.fencing + 1)
