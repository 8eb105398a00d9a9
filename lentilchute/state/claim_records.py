"""Rows of the table that hold idempotency keys, and the answers kept with them.

``claim/<service>/<client account>/<digest of the key>`` is absent, claimed, released or finished.
It is deleted only by expiry, long after its last change: a release overwrites the row, so that its
version has moved on and a late copy of the claim's write can no longer take effect.

``claim-expiry/<hour>/<digest>`` names a row that expires; the rows sort by time, so the oldest are
found without reading the others.
"""

import base64
import hashlib
from enum import Enum

from pydantic import BaseModel, ConfigDict, ValidationError

from ..ids import IncarnationId, RequestId, incarnation_of
from .claim_answers import ClaimRequest, KeptAnswer

EXPIRY_PREFIX = "claim-expiry/"
SECONDS_PER_HOUR = 3_600
HOUR_DIGITS = 9


class RecordState(Enum):
    """State of a key's row."""

    CLAIMED = "claimed"
    RELEASED = "released"
    """The claimant gave the key up without running its request; anyone may claim it."""
    FINISHED = "finished"


class ClaimRecord(BaseModel):
    """One key's row. ``token`` is drawn anew for each claim and names its claimant's request."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    state: RecordState
    token: str
    request_id: str
    fingerprint: str
    answer: str | None = None
    """The kept answer itself, where it is small."""
    answer_object: str | None = None
    """Key of the object that holds the kept answer."""
    answer_sha256: str | None = None

    @property
    def claimant(self) -> IncarnationId:
        """The process that alone may run, release or finish the request."""
        return incarnation_of(RequestId(self.request_id))


class ExpiryRecord(BaseModel):
    """Names a claim that may be deleted when it still has this token and is not unresolved."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    key: str
    token: str


class _AnswerModel(BaseModel):
    status: int
    headers: tuple[tuple[str, str], ...]
    body: str


def claim_key(request: ClaimRequest) -> str:
    """Return the key of the row; the caller's key is hashed, so that its length is bounded."""
    digest = hashlib.sha256(request.key.encode()).hexdigest()
    return f"claim/{request.service}/{request.client_account}/{digest}"


def answer_object_key(key: str, token: str) -> str:
    """Return where a large answer is kept; no two claims share an object."""
    digest = hashlib.sha256(f"{key}\n{token}".encode()).hexdigest()
    return f"claim-answer/{digest}"


def expiry_key(key: str, token: str, expires_wall_s: float) -> str:
    """Return the key of the row that makes a claim expire."""
    digest = hashlib.sha256(f"{key}\n{token}".encode()).hexdigest()
    hour = int(expires_wall_s // SECONDS_PER_HOUR) + 1
    return f"{EXPIRY_PREFIX}{hour:0{HOUR_DIGITS}}/{digest}"


def expiry_hour_start_s(row_key: str) -> float:
    """Return the wall clock time from which the row named by ``expiry_key`` has expired."""
    return float(row_key[len(EXPIRY_PREFIX) :].split("/", 1)[0]) * SECONDS_PER_HOUR


def parse_claim_row(value: str) -> ClaimRecord | None:
    """Parse a key's row; ``None`` where it is not one."""
    try:
        return ClaimRecord.model_validate_json(value)
    except ValidationError:
        return None


def parse_expiry_row(value: str) -> ExpiryRecord | None:
    """Parse an expiry row; ``None`` where it is not one."""
    try:
        return ExpiryRecord.model_validate_json(value)
    except ValidationError:
        return None


def encode_answer(kept: KeptAnswer) -> str:
    """Return an answer as text."""
    body = base64.b64encode(kept.body).decode()
    return _AnswerModel(status=kept.status, headers=kept.headers, body=body).model_dump_json()


def decode_answer(text: str | bytes, sha256: str | None) -> KeptAnswer | None:
    """Return the answer in ``text``, or ``None`` where it is not the one that was kept."""
    data = text.encode() if isinstance(text, str) else text
    if hashlib.sha256(data).hexdigest() != sha256:
        return None
    try:
        model = _AnswerModel.model_validate_json(data)
        return KeptAnswer(model.status, model.headers, base64.b64decode(model.body))
    except ValueError:
        return None


def answer_digest(text: str) -> str:
    """Return the digest by which a kept answer is recognised."""
    return hashlib.sha256(text.encode()).hexdigest()
