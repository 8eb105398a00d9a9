"""A short run of the soak, and tests of its checks on records that violate them."""

import dataclasses
from pathlib import Path

import pytest
from soak_checks import Limits, find_violations
from soak_records import (
    Arrival,
    CallEnd,
    CallKind,
    CallRecord,
    HeldBytes,
    OrderedVersion,
    PathCut,
    Probe,
    Records,
)
from soak_run import run_soak

from lentilchute.standins.routed_upstream import event

LIMITS = Limits(events=3, retry_ratio=0.2, retry_slack=2.0, quotas={"limited": 1_000.0})
WHOLE_STREAM = b"".join(event(number) for number in (1, 2, 3))
SEEDS_THAT_FAILED = {
    5048: "a node ended: its kept connections were swept while its process had been paused",
}
"""Seeds that once violated a check, with the cause of each."""


def test_a_short_run_with_orders_breaks_no_promise(tmp_path: Path) -> None:
    """Guards against bad versions that faults of nodes, links or the store let through."""
    report = run_soak(7003, seconds=8.0, nodes=3, directory=tmp_path, also=["orders"])
    assert report.findings == []
    assert report.orders


def test_a_short_run_with_unruly_callers_breaks_no_promise(tmp_path: Path) -> None:
    """Guards against callers that don't behave costing others more than a refusal."""
    report = run_soak(7201, seconds=8.0, nodes=3, directory=tmp_path, also=["unruly"])
    assert report.findings == []
    assert report.calls["whole 200"] > 100


@pytest.mark.parametrize("seed", [1, *SEEDS_THAT_FAILED])
def test_a_short_run_breaks_no_promise(seed: int, tmp_path: Path) -> None:
    report = run_soak(seed, seconds=8.0, nodes=3, directory=tmp_path)
    assert report.findings == []
    assert report.calls["whole 200"] > 100


def call(kind: CallKind = CallKind.NON_IDEMPOTENT, **changes: object) -> CallRecord:
    record = CallRecord("c1", kind, "node-0", 1, sent_s=10.0, ended_s=10.1, end=CallEnd.COMPLETE)
    record.status, record.echoed, record.stamp = 200, "c1", "signed.agenda-1"
    record.body = WHOLE_STREAM if kind is CallKind.STREAM else b"answer of agenda-1"
    return dataclasses.replace(record, **changes)  # type: ignore[arg-type]


def arrival(at_s: float = 10.02, **changes: object) -> Arrival:
    record = Arrival("c1", "agenda-1", "agenda", at_s, has_run=True, ended_s=at_s + 0.05)
    return dataclasses.replace(record, **changes)  # type: ignore[arg-type]


def records(record: CallRecord, *arrivals: Arrival) -> Records:
    return Records(calls={record.attempt: record}, arrivals=list(arrivals))


def violated_checks(seen: Records) -> set[str]:
    return {finding.partition(":")[0] for finding in find_violations(seen, LIMITS)}


def test_good_records_break_nothing() -> None:
    assert violated_checks(records(call(), arrival())) == set()
    assert violated_checks(records(call(CallKind.STREAM), arrival())) == set()


@pytest.mark.parametrize(
    ("check", "seen"),
    [
        ("runs_at_most_once", records(call(), arrival(), arrival(10.05))),
        ("refusals_are_true", records(call(status=503, stamp=None), arrival())),
        ("answers_are_whole_and_own", records(call(echoed="c2"), arrival())),
        ("answers_are_whole_and_own", records(call(stamp=None), arrival())),
        ("answers_are_whole_and_own", records(call(body=b"answer of"), arrival())),
        (
            "answers_are_whole_and_own",
            records(call(CallKind.STREAM, body=WHOLE_STREAM[:20]), arrival()),
        ),
        (
            "streams_are_in_order",
            records(call(CallKind.STREAM, body=WHOLE_STREAM + event(3), end=CallEnd.BROKEN)),
        ),
        (
            "answers_start_once",
            records(call(CallKind.STREAM, body=WHOLE_STREAM + b"HTTP/1.1 503 x"), arrival()),
        ),
        ("answers_start_once", records(call(status=429))),
        ("sent_requests_are_answered", records(call(end=CallEnd.BROKEN), arrival())),
        ("calls_end_in_time", records(call(end=CallEnd.TIMED_OUT, ended_s=15.0), arrival())),
    ],
)
def test_a_broken_promise_is_found(check: str, seen: Records) -> None:
    assert check in violated_checks(seen)


def test_a_late_send_to_a_leaving_upstream_is_found() -> None:
    seen = records(call(sent_s=14.0, ended_s=14.1), arrival(14.02))
    seen.leave_acks["agenda-1"] = 11.9
    assert violated_checks(seen) == {"leaving_upstreams_get_nothing_new"}
    seen.record_disturbance("node-0", 11.0, 11.5)
    assert violated_checks(seen) == set()


def test_only_a_request_that_was_held_up_on_its_way_may_come_late() -> None:
    """Guards against a cut of a node's links that hides what it sends after a notice."""
    seen = records(call(sent_s=10.0, ended_s=13.0, status=504, stamp=None), arrival(16.02))
    seen.leave_acks["agenda-1"] = 11.9
    seen.path_cuts = [PathCut("node-0", 10.0, 16.0)]
    late = {"leaving_upstreams_get_nothing_new"}
    held = HeldBytes("node-0", "agenda-1", ("c1",), 10.01, 16.0)
    for each in (
        dataclasses.replace(held, attempts=("c2",)),
        dataclasses.replace(held, upstream="agenda-2"),
        dataclasses.replace(held, from_s=13.95),
        dataclasses.replace(held, until_s=12.5),
    ):
        seen.held_bytes = [each]
        assert violated_checks(seen) == late, each
    seen.held_bytes = [held]
    assert violated_checks(seen) == set()


def test_a_version_that_goes_back_or_comes_late_is_found() -> None:
    seen = Records(config_acks={2: 10.0})
    seen.probes = [Probe("node-0", 1, 2, 10.5, True), Probe("node-0", 1, 2, 11.0, False)]
    assert violated_checks(seen) == {"versions_do_not_go_back"}
    seen.probes = [Probe("node-0", 1, 2, 12.5, False)]
    assert violated_checks(seen) == {"versions_come_into_force"}


def test_a_stream_of_two_versions_is_found() -> None:
    begun = call(CallKind.STREAM, body=event(1, "v1"), end=CallEnd.BROKEN)
    rest = b"".join(event(number, "v2") for number in (2, 3))
    going_on = call(
        CallKind.STREAM, attempt="c2", echoed="c2", stream="c1", resume_after=1, body=rest
    )
    seen = Records(calls={"c1": begun, "c2": going_on})
    assert violated_checks(seen) == {"streams_hold_one_version"}
    going_on.body = rest.replace(b"v2", b"v1")
    assert violated_checks(seen) == set()


def exposed_to_a_bad_version(calls: int, exposed: int, every_s: float) -> Records:
    order = OrderedVersion("drafters", "bad-1", True, 0.0, upstreams=["drafters-9"])
    seen = Records(orders=[order])
    for number in range(calls):
        at_s = 10.0 + number * every_s
        record = call(CallKind.SINGLE_STREAM, attempt=f"c{number}", status=502, sent_s=at_s)
        seen.calls[record.attempt] = dataclasses.replace(record, stamp=None, ended_s=at_s + 0.1)
        if number < exposed:
            seen.arrivals.append(arrival(at_s, attempt=record.attempt, upstream="drafters-9"))
    return seen


def test_a_bad_version_with_too_many_requests_is_found() -> None:
    seen = exposed_to_a_bad_version(calls=400, exposed=62, every_s=0.01)
    assert violated_checks(seen) == {"bad_versions_get_their_share_at_most"}
    assert violated_checks(exposed_to_a_bad_version(400, 60, 0.01)) == set()


def test_a_bad_version_that_is_not_rolled_back_is_found() -> None:
    late = {"bad_versions_are_rolled_back"}
    seen = exposed_to_a_bad_version(calls=400, exposed=52, every_s=3.0)
    assert violated_checks(seen) == late
    seen.record_disturbance("node-0", 0.0, 2_000.0)
    assert violated_checks(seen) == set()
    seen.orders[0].state = "completed"
    assert violated_checks(seen) == late
    assert violated_checks(exposed_to_a_bad_version(400, 52, 0.5)) == set()


def test_unserved_callers_of_a_node_without_paths_are_found() -> None:
    seen = Records(path_cuts=[PathCut("node-0", 5.0, 12.0)])
    for number in range(40):
        is_cut_off = number % 2 == 0
        seen.calls[f"c{number}"] = call(
            attempt=f"c{number}",
            echoed=f"c{number}",
            node="node-0" if is_cut_off else "node-1",
            status=503 if is_cut_off else 200,
            stamp=None if is_cut_off else "signed.agenda-1",
        )
    assert violated_checks(seen) == {"nodes_without_paths_serve"}
    seen.record_disturbance("node-0", 6.0, 8.0)
    assert violated_checks(seen) == set()


def test_work_for_callers_that_left_is_found() -> None:
    seen = Records()
    for number in range(5):
        seen.calls[f"c{number}"] = call(attempt=f"c{number}", end=CallEnd.ABANDONED, status=None)
        seen.arrivals.append(arrival(attempt=f"c{number}", ended_s=11.0))
    assert violated_checks(seen) == {"abandoned_work_ends"}


def test_repeats_beyond_the_budget_are_found() -> None:
    seen = records(call(CallKind.IDEMPOTENT), *(arrival(10.0 + n / 10) for n in range(4)))
    assert violated_checks(seen) == {"repeats_stay_in_the_budget"}


def test_an_account_beyond_its_quota_is_found() -> None:
    seen = Records()
    for number in range(3):
        record = call(attempt=f"c{number}", echoed=f"c{number}", account="limited", tokens=400)
        seen.calls[record.attempt] = record
        seen.arrivals.append(arrival(10.0 + number, attempt=record.attempt))
    assert violated_checks(seen) == {"quotas_hold"}
