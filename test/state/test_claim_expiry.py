"""Tests of the expiry of idempotency keys."""

from fakes import FakeTable
from result import Err, Ok

from lentilchute.state.claim_expiry import ClaimExpiry, DeleteExpired, ReadClaims, ScanExpired
from lentilchute.state.claim_records import (
    SECONDS_PER_HOUR,
    ClaimRecord,
    ExpiryRecord,
    RecordState,
    expiry_key,
)
from lentilchute.state.platform_services import TableFault, Transaction, Write

EXPIRES_WALL_S = 100.0 * SECONDS_PER_HOUR


def put_claim(table: FakeTable, key: str, state: RecordState, token: str = "t1") -> None:
    record = ClaimRecord(
        state=state,
        token=token,
        request_id="entry-1.a/1",
        fingerprint="f",
        answer_object="o-" + key,
    )
    expiry = ExpiryRecord(key=key, token="t1")
    writes = (
        Write(key, record.model_dump_json()),
        Write(expiry_key(key, "t1", EXPIRES_WALL_S), expiry.model_dump_json()),
    )
    assert table.commit(Transaction((), writes)) == Ok(None)


def sweep(table: FakeTable, wall_s: float) -> list[str]:
    """Run one sweep and return the deleted objects."""
    expiry = ClaimExpiry(now_s=0.0, wall_offset_s=wall_s)
    scan = expiry.tick(0.0)
    assert isinstance(scan, ScanExpired)
    reading = expiry.scanned(Ok(table.scan(scan.prefix, scan.limit)), 0.0)
    if reading is None:
        return []
    assert isinstance(reading, ReadClaims)
    deleting = expiry.claims_read(Ok(table.get_many(reading.keys)), 0.0)
    assert isinstance(deleting, DeleteExpired)
    done = [table.commit(transaction) == Ok(None) for transaction in deleting.transactions]
    return [name for name, ok in zip(deleting.objects, done, strict=True) if ok and name]


def test_only_ended_claims_of_the_same_token_expire_and_only_after_the_retention() -> None:
    table = FakeTable()
    put_claim(table, "claim/a", RecordState.FINISHED)
    put_claim(table, "claim/b", RecordState.RELEASED)
    put_claim(table, "claim/c", RecordState.CLAIMED)
    put_claim(table, "claim/d", RecordState.FINISHED, token="t2")
    assert sweep(table, EXPIRES_WALL_S) == []
    assert len(table.rows) == 8
    assert sweep(table, EXPIRES_WALL_S + SECONDS_PER_HOUR) == ["o-claim/a", "o-claim/b"]
    assert sorted(table.rows) == ["claim/c", "claim/d"]


def test_a_claim_that_changes_during_the_sweep_stays() -> None:
    table = FakeTable()
    put_claim(table, "claim/a", RecordState.RELEASED)
    expiry = ClaimExpiry(now_s=0.0, wall_offset_s=EXPIRES_WALL_S + SECONDS_PER_HOUR)
    expiry.tick(0.0)
    reading = expiry.scanned(Ok(table.scan("claim-expiry/", 50)), 0.0)
    assert isinstance(reading, ReadClaims)
    deleting = expiry.claims_read(Ok(table.get_many(reading.keys)), 0.0)
    table.commit(Transaction((), (Write("claim/a", "claimed anew"),)))
    assert isinstance(deleting, DeleteExpired)
    assert table.commit(deleting.transactions[0]) == Err(TableFault.CONFLICT)
    assert "claim/a" in table.rows
