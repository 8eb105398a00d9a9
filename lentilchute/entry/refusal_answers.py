"""HTTP answers for refused requests."""

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass

from ..ids import RequestId
from ..scheduler.tickets import Outcome, RefusalReason

OUTCOME_HEADER = "Lentilchute-Outcome"
REQUEST_ID_HEADER = "Lentilchute-Request-Id"
MIN_RETRY_AFTER_S = 1

STATUS_BY_REASON = {
    RefusalReason.OVERLOADED: 503,
    RefusalReason.DISPLACED: 503,
    RefusalReason.DEADLINE: 503,
    RefusalReason.EXPIRED: 504,
    RefusalReason.POISON: 422,
    RefusalReason.NO_UPSTREAM: 503,
    RefusalReason.NO_SCHEDULER: 503,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UNKNOWN_ACCOUNT: 401,
    RefusalReason.UNKNOWN_MODEL: 404,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.KEY_REQUIRED: 400,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.KEY_RUNNING: 409,
    RefusalReason.KEY_UNRESOLVED: 409,
    RefusalReason.TABLE_UNAVAILABLE: 503,
    RefusalReason.UPSTREAM_FAILED: 502,
    RefusalReason.NOT_READY: 503,
    RefusalReason.STOPPING: 503,
}


@dataclass(frozen=True, slots=True)
class RefusalFinding:
    """One fault of a request, reported with its refusal."""

    field: str
    message: str


@dataclass(frozen=True, slots=True)
class RefusalAnswer:
    """Status, headers and JSON body of a refusal."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def refusal_answer(
    reason: RefusalReason,
    outcome: Outcome,
    retry_after_s: float,
    request_id: RequestId | None = None,
    findings: Iterable[RefusalFinding] = (),
) -> RefusalAnswer:
    """Return the answer with the reason, the request's outcome and the time to retry after."""
    error = {
        "type": reason.value,
        "outcome": outcome.value,
        "findings": [{"field": finding.field, "message": finding.message} for finding in findings],
    }
    body = json.dumps({"error": error}).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Retry-After", str(max(MIN_RETRY_AFTER_S, math.ceil(retry_after_s)))),
        (OUTCOME_HEADER, outcome.value),
    ]
    if request_id is not None:
        headers.append((REQUEST_ID_HEADER, request_id))
    return RefusalAnswer(STATUS_BY_REASON[reason], tuple(headers), body)
