"""What an entry asks about an idempotency key, and the answers it can get.

A key belongs to one client account. The claim is asked for after the grant and before the first
byte, and names the request that asks, so that a claimant recognises its own row.
"""

from dataclasses import dataclass
from enum import Enum

from ..ids import ClientAccountId, Fingerprint, IdempotencyKey, RequestId, ServiceName


class ClaimState(Enum):
    """How a claim was resolved."""

    GRANTED = "granted"
    """The asking request holds the key and may be dispatched."""
    RUNNING_ELSEWHERE = "running-elsewhere"
    """Another live request holds the key and has not ended."""
    FINISHED = "finished"
    """An earlier request with this key ran; its answer is attached where it was kept."""
    MAY_HAVE_RUN = "may-have-run"
    """The claimant is gone or does not know how its request ended."""
    OTHER_BODY = "other-body"
    """The key was claimed for different content."""
    TABLE_UNAVAILABLE = "table-unavailable"
    """The table could not be asked; no claim of this request stands."""


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """The whole answer of a finished request, kept for a resend."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """One request's wish to hold a key until ``deadline_s``."""

    request_id: RequestId
    service: ServiceName
    client_account: ClientAccountId
    key: IdempotencyKey
    fingerprint: Fingerprint
    deadline_s: float


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """The resolution of a claim. ``kept`` is set only for a finished request."""

    state: ClaimState
    kept: KeptAnswer | None = None
