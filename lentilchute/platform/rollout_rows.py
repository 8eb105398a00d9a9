"""Decodes and encodes the store's rows about roll-outs: operators' orders, their status, and the
gateway's own record of each."""

import json
from typing import Any

from result import Result

from ..gateway.rollouts.collected import CollectedEvidence, CollectedTest
from ..gateway.rollouts.judgement import Verdict
from ..gateway.rollouts.orders import RolloutOrder, RolloutRecord, RolloutState
from ..ids import ServiceName, SoftwareVersion
from .row_fields import decode_row, integer, number, string

ORDER_KEY_PREFIX = "rollout/"
"""Keys of orders in the operator's table begin so; the service follows."""
STATUS_TABLE = "status"
"""The table in which operators look up the outcome of orders."""
RECORDS_TABLE = "lentilchute-rollouts"
"""The table with the gateway's records, one row for each service."""


def decode_order(key: str, value: bytes, version: int, era: int) -> Result[RolloutOrder, str]:
    """Decode an operator's order; ``key`` is its row's key, which names the service too."""
    return decode_row(value, lambda row: _order(key, row, version, era))


def status_key(service: ServiceName) -> str:
    """Return the key of an order's status."""
    return f"{ORDER_KEY_PREFIX}{service}"


def encode_status(record: RolloutRecord) -> bytes:
    """Return the value of an order's status."""
    return json.dumps({"state": record.state.value, "to": record.order.to}).encode()


def decode_record(key: str, value: bytes) -> Result[RolloutRecord, str]:
    """Decode the gateway's record of a service's order; ``key`` is the service."""
    return decode_row(value, lambda row: _record(key, row))


def encode_record(record: RolloutRecord) -> bytes:
    """Return the value of the gateway's record of an order."""
    order = record.order
    row: dict[str, Any] = {
        "to": order.to,
        "duration-s": order.duration_s,
        "order-ver": order.version,
        "order-era": order.era,
        "ordered-at-s": round(record.ordered_at_s, 3),
        "from": sorted(record.replaced),
        "state": record.state.value,
        "verdict": record.verdict.value,
        "requests": record.requests,
        "exposed": record.exposed,
    }
    if record.evidence is not None:
        row["evidence"] = _evidence_fields(record.evidence)
    return json.dumps(row).encode()


def _order(key: str, row: Any, version: int, era: int) -> RolloutOrder:
    service = ServiceName(string(row["service"]))
    if key != status_key(service):
        raise ValueError("the key names another service")
    return RolloutOrder(
        service=service,
        to=SoftwareVersion(string(row["to"])),
        duration_s=number(row["duration-s"]),
        version=version,
        era=era,
    )


def _record(key: str, row: Any) -> RolloutRecord:
    order = RolloutOrder(
        service=ServiceName(key),
        to=SoftwareVersion(string(row["to"])),
        duration_s=number(row["duration-s"]),
        version=integer(row["order-ver"]),
        era=integer(row["order-era"]),
    )
    return RolloutRecord(
        order=order,
        ordered_at_s=number(row["ordered-at-s"]),
        replaced=frozenset(SoftwareVersion(string(item)) for item in row["from"]),
        state=RolloutState(row["state"]),
        verdict=Verdict(row["verdict"]),
        requests=integer(row["requests"]),
        exposed=integer(row["exposed"]),
        evidence=_evidence(row["evidence"]) if "evidence" in row else None,
    )


def _evidence_fields(evidence: CollectedEvidence) -> dict[str, Any]:
    return {
        "answers": evidence.candidate_samples,
        "excused": evidence.excused_samples,
        "watched-s": round(evidence.watched_s, 3),
        "tests": [
            [
                test.place,
                test.fault,
                test.samples,
                test.bad_samples,
                [round(each, 3) for each in test.log_mixture],
                round(test.clearing, 3),
            ]
            for test in evidence.tests
        ],
        "set-aside": [list(each) for each in evidence.set_aside],
    }


def _evidence(row: Any) -> CollectedEvidence:
    return CollectedEvidence(
        candidate_samples=integer(row["answers"]),
        excused_samples=integer(row["excused"]),
        watched_s=number(row["watched-s"]),
        tests=tuple(
            CollectedTest(
                place,
                string(fault),
                integer(samples),
                integer(bad_samples),
                tuple(number(each) for each in log_mixture),
                number(clearing),
            )
            for place, fault, samples, bad_samples, log_mixture, clearing in row["tests"]
        ),
        set_aside=tuple((string(fault), string(upstream)) for fault, upstream in row["set-aside"]),
    )
