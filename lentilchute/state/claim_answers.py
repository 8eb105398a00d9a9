"""Requests to claim an idempotency key, and their results.

A key belongs to one client account. It is claimed after the placement is granted and before the
first byte is sent upstream. The claim carries the request id, so a claimant recognises its own row.
"""

from dataclasses import dataclass
from enum import Enum

from ..ids import ClientAccountId, Fingerprint, IdempotencyKey, RequestId, ServiceName


class ClaimState(Enum):
    """How a claim was resolved."""

    GRANTED = "granted"
    """The request holds the key and may be dispatched."""
    RUNNING_ELSEWHERE = "running-elsewhere"
    """Another request holds or is claiming the key, and its end is not yet recorded."""
    FINISHED = "finished"
    """An earlier request with this key finished; its answer is attached if it was stored."""
    MAY_HAVE_RUN = "may-have-run"
    """The claimant is gone or does not know the outcome of its request."""
    OTHER_BODY = "other-body"
    """The key was claimed for a request with a different body."""
    TABLE_UNAVAILABLE = "table-unavailable"
    """The table was not reached in time, or too many claims are pending; the key is not held."""


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """The complete answer of a finished request, stored for retries by the caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request to claim a key; it is resolved by ``deadline_s`` at the latest."""

    request_id: RequestId
    service: ServiceName
    client_account: ClientAccountId
    key: IdempotencyKey
    fingerprint: Fingerprint
    deadline_s: float


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """The result of a claim. ``kept`` is set only in the state ``FINISHED``."""

    state: ClaimState
    kept: KeptAnswer | None = None
