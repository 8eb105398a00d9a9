"""Table rows of idempotency keys, and the answers stored with them.

``claim/<service>/<client account>/<digest of the key>`` is absent, claimed, released or finished.
It is deleted only by expiry, long after its last change. A release overwrites the row instead, so
that its version increases and a delayed copy of the claim's write fails its condition.

``claim-expiry/<hour>/<digest>`` names a row that expires. These rows sort by time, so the oldest
are found without reading the others.
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
    """The claimant gave up the key without running its request; any node may claim it."""
    FINISHED = "finished"


class ClaimRecord(BaseModel):
    """The row of one key. ``token`` is unique to each claim and contains its request id."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    state: RecordState
    token: str
    request_id: str
    fingerprint: str
    answer: str | None = None
    """The stored answer, if it is small enough to be kept in the row."""
    answer_object: str | None = None
    """Key of the object that holds a large answer."""
    answer_sha256: str | None = None

    @property
    def claimant(self) -> IncarnationId:
        """The only process that may run, release or finish the request."""
        return incarnation_of(RequestId(self.request_id))


class ExpiryRecord(BaseModel):
    """Names a claim to delete if it still has this token and is finished or released."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    key: str
    token: str


class _AnswerModel(BaseModel):
    status: int
    headers: tuple[tuple[str, str], ...]
    body: str


def claim_key(request: ClaimRequest) -> str:
    """Return the row's key; the caller's key is hashed to bound its length."""
    digest = hashlib.sha256(request.key.encode()).hexdigest()
    return f"claim/{request.service}/{request.client_account}/{digest}"


def answer_object_key(key: str, token: str) -> str:
    """Return the object key of a large answer, which is unique to each claim."""
    digest = hashlib.sha256(f"{key}\n{token}".encode()).hexdigest()
    return f"claim-answer/{digest}"


def expiry_key(key: str, token: str, expires_wall_s: float) -> str:
    """Return the key of the row that schedules the expiry of a claim."""
    digest = hashlib.sha256(f"{key}\n{token}".encode()).hexdigest()
    hour = int(expires_wall_s // SECONDS_PER_HOUR) + 1
    return f"{EXPIRY_PREFIX}{hour:0{HOUR_DIGITS}}/{digest}"


def expiry_hour_start_s(row_key: str) -> float:
    """Return the wall clock time from which the row named by ``expiry_key`` has expired."""
    return float(row_key[len(EXPIRY_PREFIX) :].split("/", 1)[0]) * SECONDS_PER_HOUR


def parse_claim_row(value: str) -> ClaimRecord | None:
    """Parse a key's row; return ``None`` if it is invalid."""
    try:
        return ClaimRecord.model_validate_json(value)
    except ValidationError:
        return None


def parse_expiry_row(value: str) -> ExpiryRecord | None:
    """Parse an expiry row; return ``None`` if it is invalid."""
    try:
        return ExpiryRecord.model_validate_json(value)
    except ValidationError:
        return None


def encode_answer(kept: KeptAnswer) -> str:
    """Serialize an answer as JSON."""
    body = base64.b64encode(kept.body).decode()
    return _AnswerModel(status=kept.status, headers=kept.headers, body=body).model_dump_json()


def decode_answer(text: str | bytes, sha256: str | None) -> KeptAnswer | None:
    """Parse a stored answer; return ``None`` if the digest does not match."""
    data = text.encode() if isinstance(text, str) else text
    if hashlib.sha256(data).hexdigest() != sha256:
        return None
    try:
        model = _AnswerModel.model_validate_json(data)
        return KeptAnswer(model.status, model.headers, base64.b64decode(model.body))
    except ValueError:
        return None


def answer_digest(text: str) -> str:
    """Return the digest that verifies a stored answer."""
    return hashlib.sha256(text.encode()).hexdigest()
