"""Builds the transactions that claim, release and finish idempotency keys."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..settings import ClaimSettings
from .claim_records import (
    ClaimRecord,
    ExpiryRecord,
    RecordState,
    answer_digest,
    answer_object_key,
    expiry_key,
)
from .key_claim import Intent, KeyClaim
from .platform_services import Condition, Transaction, Write

_STATE_OF_INTENT = {
    Intent.CLAIM: RecordState.CLAIMED,
    Intent.RELEASE: RecordState.RELEASED,
    Intent.FINISH: RecordState.FINISHED,
}


@dataclass(frozen=True, slots=True)
class Batch:
    """Claims that are written in one transaction."""

    claims: tuple[KeyClaim, ...]
    transaction: Transaction


def build_batch(
    claims: Iterable[KeyClaim], settings: ClaimSettings, expires_wall_s: float
) -> Batch:
    """Return a transaction for as many claims as the limits allow, each key at most once."""
    chosen: list[KeyClaim] = []
    writes: list[Write] = []
    keys: set[str] = set()
    total_bytes = 0
    for claim in claims:
        if claim.key in keys:
            continue
        more = _writes_for(claim, expires_wall_s)
        total_bytes += sum(len(write.value or "") for write in more)
        if chosen and total_bytes > settings.batch_bytes:
            break
        chosen.append(claim)
        keys.add(claim.key)
        writes += more
        if len(chosen) == settings.batch_claims:
            break
    conditions = tuple(Condition(claim.key, claim.condition) for claim in chosen)
    return Batch(tuple(chosen), Transaction(conditions, tuple(writes)))


def _writes_for(claim: KeyClaim, expires_wall_s: float) -> list[Write]:
    row = Write(claim.key, _record_for(claim).model_dump_json(exclude_none=True))
    if claim.intent is Intent.CLAIM:
        return [row]
    expiry = ExpiryRecord(key=claim.key, token=claim.token)
    expiry_row_key = expiry_key(claim.key, claim.token, expires_wall_s)
    return [row, Write(expiry_row_key, expiry.model_dump_json())]


def _record_for(claim: KeyClaim) -> ClaimRecord:
    text = claim.answer_text
    return ClaimRecord(
        state=_STATE_OF_INTENT[claim.intent],
        token=claim.token,
        request_id=claim.request.request_id,
        fingerprint=claim.request.fingerprint,
        answer=None if claim.is_stored else text,
        answer_object=answer_object_key(claim.key, claim.token) if claim.is_stored else None,
        answer_sha256=None if text is None else answer_digest(text),
    )
