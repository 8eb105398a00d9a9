"""Idempotency keys: each is claimed in the table before its request is dispatched; free of I/O.

A claim is a conditional write that carries a unique token. When the outcome of a write is unknown,
the row is read back. A read that does not show the claim is not conclusive, because the write may
still be applied later. The claimant therefore repeats the write under the same condition or, if it
has given up, overwrites the row with a release. Either write increments the row's version, so the
delayed copy fails its condition.

A claim is never taken over. A node that finds another node's claim queries the claimant's process.
If that process is gone or does not know the claim, the request may have run, and the caller is told
so. Only the claimant releases its claim, and it never runs the request after it starts releasing.
"""

import math
import random

from result import Err, Ok, Result

from ..ids import IncarnationId, RequestId
from ..settings import ClaimSettings
from .claim_actions import (
    AskClaimant,
    ClaimAction,
    ClaimQuery,
    ClaimReplyState,
    ClaimResolved,
    CommitTable,
    GetObject,
    PutObject,
    ReadTable,
)
from .claim_answers import ClaimAnswer, ClaimRequest, ClaimState, KeptAnswer
from .claim_index import ClaimIndex
from .claim_records import answer_object_key, claim_key, decode_answer, encode_answer
from .claim_writes import build_batch
from .key_claim import ClaimDecision, ClaimStep, Intent, KeyClaim, decide_by_row
from .local_claim_answers import answer_for_held_key, answer_repeated_claim
from .platform_services import Row, TableFault
from .table_rate_limiter import TableRateLimiter

RECHECK_DELAY_S = 0.25
"""Delay before the row is read again when its claimant is releasing it or was unreachable."""
OBJECT_RETRY_S = 0.5
"""Delay before a failed object store operation is retried."""


class ClaimRegistry:
    """All claims of one process. Each action with a call or query id must be given its result.

    ``wall_offset_s`` is the wall clock time minus ``now_s``; it is used only for expiry times.
    """

    def __init__(
        self,
        incarnation: IncarnationId,
        settings: ClaimSettings,
        rng: random.Random,
        now_s: float,
        wall_offset_s: float,
    ) -> None:
        self._incarnation = incarnation
        self._settings = settings
        self._rng = rng
        self._wall_offset_s = wall_offset_s
        self._table_limiter = TableRateLimiter(settings, rng, now_s)
        self._object_limiter = TableRateLimiter(settings, rng, now_s)
        self._index = ClaimIndex()
        self._calls: dict[int, tuple[KeyClaim, ...]] = {}
        self._queries: dict[int, KeyClaim] = {}
        self._last_id = 0
        self._is_stopping = False

    @property
    def is_idle(self) -> bool:
        """Whether no claim has a pending operation; claims of ended requests count as well."""
        return self._index.unresolved() == 0

    def set_nodes(self, count: int, now_s: float) -> None:
        """Divide the total table and object store rates among this many nodes."""
        self._table_limiter.set_nodes(count, now_s)
        self._object_limiter.set_nodes(count, now_s)

    def stop(self, now_s: float) -> list[ClaimAction]:
        """Send pending operations; an answer that cannot be stored is now dropped, not retried."""
        self._is_stopping = True
        return self._send_due(now_s)

    def claim(self, request: ClaimRequest, now_s: float) -> list[ClaimAction]:
        """Claim the key of a request that has been granted a placement."""
        key = claim_key(request)
        existing = self._index.by_request(request.request_id)
        if existing is not None:
            return answer_repeated_claim(existing)
        holder = self._index.by_key(key)
        if holder is not None:
            return [ClaimResolved(request.request_id, answer_for_held_key(holder, request))]
        if self._index.unresolved() >= self._settings.max_unresolved:
            refused = ClaimAnswer(ClaimState.TABLE_UNAVAILABLE)
            return [ClaimResolved(request.request_id, refused)]
        token = f"{request.request_id}#{self._new_id()}"
        self._index.add(KeyClaim(request, key, token))
        return self._send_due(now_s)

    def release(self, request_id: RequestId, now_s: float) -> list[ClaimAction]:
        """Release the claim of a request that did not run and will not run under it."""
        claim = self._index.by_request(request_id)
        if claim is None or claim.intent is Intent.FINISH:
            return []
        if claim.intent is Intent.HOLD:
            self._index.set_intent(claim, Intent.RELEASE)
            self._index.set_step(claim, ClaimStep.WRITE)
        else:
            self._give_up(claim)
        return self._send_due(now_s)

    def finished(
        self, request_id: RequestId, kept: KeptAnswer | None, now_s: float
    ) -> list[ClaimAction]:
        """Record that the request finished; ``kept`` is ``None`` if its answer is not stored."""
        claim = self._index.by_request(request_id)
        if claim is None or claim.intent is not Intent.HOLD:
            return []
        self._index.set_intent(claim, Intent.FINISH)
        claim.kept = kept
        claim.answer_text = None if kept is None else encode_answer(kept)
        is_large = len(claim.answer_text or "") > self._settings.inline_answer_bytes
        self._index.set_step(claim, ClaimStep.STORE if is_large else ClaimStep.WRITE)
        return self._send_due(now_s)

    def abandoned(self, request_id: RequestId) -> None:
        """Drop the claim of a dispatched request with an unknown outcome; its row stays claimed."""
        claim = self._index.by_request(request_id)
        if claim is not None and claim.intent is Intent.HOLD:
            self._index.remove(claim)

    def answer_peer_query(self, query: ClaimQuery) -> ClaimReplyState:
        """Return the state of a claim that another node asks about."""
        if query.claimant != self._incarnation:
            return ClaimReplyState.GONE
        claim = self._index.by_token(query.token)
        if claim is None:
            return ClaimReplyState.UNKNOWN
        return ClaimReplyState.RUNNING if claim.is_active else ClaimReplyState.RELEASING

    def tick(self, now_s: float) -> list[ClaimAction]:
        """Resolve claims whose deadline has passed, and send due operations."""
        actions: list[ClaimAction] = []
        for claim in self._index:
            if claim.intent is Intent.CLAIM and now_s >= claim.request.deadline_s:
                actions += self._refuse(claim, ClaimAnswer(claim.deadline_state))
        return actions + self._send_due(now_s)

    def next_tick_s(self, now_s: float) -> float:
        """Return when ``tick`` is next due; ``math.inf`` if only results are outstanding."""
        times = [claim.request.deadline_s for claim in self._index if claim.intent is Intent.CLAIM]
        allowed_s = {
            ClaimStep.WRITE: self._table_limiter.next_write_s(now_s),
            ClaimStep.READ: self._table_limiter.next_read_s(now_s),
            ClaimStep.STORE: self._object_limiter.next_write_s(now_s),
            ClaimStep.FETCH: self._object_limiter.next_read_s(now_s),
            ClaimStep.ASK: now_s,
        }
        for step, admitted_s in allowed_s.items():
            due_s = self._index.earliest_due_s(step)
            if due_s is not None:
                times.append(max(due_s, admitted_s))
        return min(times, default=math.inf)

    # Results

    def table_committed(
        self, call_id: int, result: Result[None, TableFault], now_s: float
    ) -> list[ClaimAction]:
        """Handle the result of ``CommitTable``."""
        self._table_limiter.record_write_result(result, now_s)
        actions: list[ClaimAction] = []
        for claim in self._calls.pop(call_id, ()):
            claim.in_flight = ClaimStep.NOTHING
            if claim.write_intent is Intent.CLAIM:
                actions += self._claim_write_ended(claim, result)
            else:
                self._final_write_ended(claim, result)
        return actions + self._send_due(now_s)

    def table_read(
        self, call_id: int, result: Result[dict[str, Row], TableFault], now_s: float
    ) -> list[ClaimAction]:
        """Handle the result of ``ReadTable``."""
        self._table_limiter.record_read_result(result, now_s)
        actions: list[ClaimAction] = []
        for claim in self._calls.pop(call_id, ()):
            claim.in_flight = ClaimStep.NOTHING
            if claim in self._index and isinstance(result, Ok):
                actions += self._handle_row(claim, result.ok_value.get(claim.key))
        return actions + self._send_due(now_s)

    def object_stored(
        self, call_id: int, result: Result[None, TableFault], now_s: float
    ) -> list[ClaimAction]:
        """Handle the result of ``PutObject``."""
        self._object_limiter.record_write_result(result, now_s)
        for claim in self._calls.pop(call_id, ()):
            claim.in_flight = ClaimStep.NOTHING
            if isinstance(result, Ok):
                claim.is_stored = True
                self._index.set_step(claim, ClaimStep.WRITE)
            elif self._is_stopping:
                claim.answer_text = None
                self._index.set_step(claim, ClaimStep.WRITE)
            else:
                claim.not_before_s = now_s + OBJECT_RETRY_S
        return self._send_due(now_s)

    def object_fetched(
        self, call_id: int, result: Result[bytes | None, TableFault], now_s: float
    ) -> list[ClaimAction]:
        """Handle the result of ``GetObject``."""
        self._object_limiter.record_read_result(result, now_s)
        actions: list[ClaimAction] = []
        for claim in self._calls.pop(call_id, ()):
            claim.in_flight = ClaimStep.NOTHING
            if claim not in self._index or claim.other_record is None:
                continue
            if isinstance(result, Err):
                claim.not_before_s = now_s + OBJECT_RETRY_S
                continue
            data = result.ok_value or b""
            kept = decode_answer(data, claim.other_record.answer_sha256)
            actions += self._refuse(claim, ClaimAnswer(ClaimState.FINISHED, kept))
        return actions + self._send_due(now_s)

    def claimant_answered(
        self, query_id: int, reply: ClaimReplyState, now_s: float
    ) -> list[ClaimAction]:
        """Handle the reply to ``AskClaimant``; ignored if the query has already been answered."""
        claim = self._queries.pop(query_id, None)
        if claim is None or claim not in self._index or claim.other_record is None:
            return []
        claim.in_flight = ClaimStep.NOTHING
        return self._handle_reply(claim, reply, now_s) + self._send_due(now_s)

    def incarnation_gone(self, incarnation: IncarnationId, now_s: float) -> list[ClaimAction]:
        """Resolve the outstanding queries to an incarnation that is gone."""
        asked = [
            query_id
            for query_id, claim in self._queries.items()
            if claim.other_record is not None and claim.other_record.claimant == incarnation
        ]
        actions: list[ClaimAction] = []
        for query_id in asked:
            actions += self.claimant_answered(query_id, ClaimReplyState.GONE, now_s)
        return actions

    def _claim_write_ended(
        self, claim: KeyClaim, result: Result[None, TableFault]
    ) -> list[ClaimAction]:
        if isinstance(result, Ok):
            claim.condition += 1
            claim.unknown_outcome_condition = None
            if claim.intent is Intent.CLAIM:
                return self._grant(claim)
            self._index.set_step(claim, ClaimStep.WRITE)
            return []
        if result.err_value is TableFault.UNKNOWN:
            claim.record_unknown_outcome()
        if not claim.is_active and not claim.may_be_committed:
            self._index.remove(claim)
        elif result.err_value is not TableFault.UNAVAILABLE or not claim.is_active:
            self._index.set_step(claim, ClaimStep.READ)
        return []

    def _final_write_ended(self, claim: KeyClaim, result: Result[None, TableFault]) -> None:
        if isinstance(result, Ok):
            self._index.remove(claim)
        elif result.err_value is not TableFault.UNAVAILABLE:
            self._index.set_step(claim, ClaimStep.READ)

    def _handle_row(self, claim: KeyClaim, row: Row | None) -> list[ClaimAction]:
        decision = decide_by_row(claim, row)
        if decision is ClaimDecision.HELD:
            return self._grant(claim)
        if decision is ClaimDecision.WRITE:
            self._index.set_step(claim, ClaimStep.WRITE)
        elif decision is ClaimDecision.ASK:
            claim.deadline_state = ClaimState.MAY_HAVE_RUN
            self._index.set_step(claim, ClaimStep.ASK)
        elif decision is ClaimDecision.FETCH:
            return self._fetch_answer(claim)
        elif decision is ClaimDecision.DONE:
            self._index.remove(claim)
        elif decision is ClaimDecision.OTHER_BODY:
            return self._refuse(claim, ClaimAnswer(ClaimState.OTHER_BODY))
        else:
            return self._refuse(claim, ClaimAnswer(ClaimState.MAY_HAVE_RUN))
        return []

    def _fetch_answer(self, claim: KeyClaim) -> list[ClaimAction]:
        record = claim.other_record
        if record is None or record.answer_object is None:
            text = None if record is None else record.answer
            digest = None if record is None else record.answer_sha256
            kept = None if text is None else decode_answer(text, digest)
            return self._refuse(claim, ClaimAnswer(ClaimState.FINISHED, kept))
        claim.deadline_state = ClaimState.FINISHED
        self._index.set_step(claim, ClaimStep.FETCH)
        return []

    def _handle_reply(
        self, claim: KeyClaim, reply: ClaimReplyState, now_s: float
    ) -> list[ClaimAction]:
        if reply is ClaimReplyState.RUNNING:
            return self._refuse(claim, ClaimAnswer(ClaimState.RUNNING_ELSEWHERE))
        if reply in (ClaimReplyState.UNKNOWN, ClaimReplyState.GONE):
            # The claimant may have just released or finished the claim, so the row is read again.
            claim.orphaned_token = None if claim.other_record is None else claim.other_record.token
        else:
            claim.not_before_s = now_s + RECHECK_DELAY_S * self._rng.uniform(0.5, 1.5)
        if reply is ClaimReplyState.RELEASING:
            claim.deadline_state = ClaimState.TABLE_UNAVAILABLE
        self._index.set_step(claim, ClaimStep.READ)
        return []

    # Outcomes

    def _grant(self, claim: KeyClaim) -> list[ClaimAction]:
        self._index.set_intent(claim, Intent.HOLD)
        self._index.set_step(claim, ClaimStep.NOTHING)
        return [ClaimResolved(claim.request.request_id, ClaimAnswer(ClaimState.GRANTED))]

    def _refuse(self, claim: KeyClaim, answer: ClaimAnswer) -> list[ClaimAction]:
        self._give_up(claim)
        return [ClaimResolved(claim.request.request_id, answer)]

    def _give_up(self, claim: KeyClaim) -> None:
        if not claim.may_be_committed:
            self._index.remove(claim)
            return
        self._index.set_intent(claim, Intent.RELEASE)
        self._index.set_step(claim, ClaimStep.READ)

    # Sending

    def _send_due(self, now_s: float) -> list[ClaimAction]:
        actions = self._send_questions(now_s) + self._send_objects(now_s)
        while to_read := self._index.due(ClaimStep.READ, now_s):
            if not self._table_limiter.admit_read(now_s):
                break
            actions.append(self._start_read(to_read[: self._settings.batch_claims]))
        while to_write := self._index.due(ClaimStep.WRITE, now_s):
            if not self._table_limiter.admit_write(now_s):
                break
            actions.append(self._start_commit(to_write, now_s))
        return actions

    def _start_read(self, claims: list[KeyClaim]) -> ReadTable:
        call_id = self._start_call(tuple(claims), ClaimStep.READ)
        return ReadTable(call_id, tuple(sorted({claim.key for claim in claims})))

    def _start_commit(self, claims: list[KeyClaim], now_s: float) -> CommitTable:
        expires_wall_s = now_s + self._wall_offset_s + self._settings.retention_s
        batch = build_batch(claims, self._settings, expires_wall_s)
        for claim in batch.claims:
            claim.write_intent = claim.intent
        return CommitTable(self._start_call(batch.claims, ClaimStep.WRITE), batch.transaction)

    def _send_objects(self, now_s: float) -> list[ClaimAction]:
        actions: list[ClaimAction] = []
        for claim in self._index.due(ClaimStep.STORE, now_s):
            if not self._object_limiter.admit_write(now_s):
                break
            body = (claim.answer_text or "").encode()
            call_id = self._start_call((claim,), ClaimStep.STORE)
            actions.append(PutObject(call_id, answer_object_key(claim.key, claim.token), body))
        for claim in self._index.due(ClaimStep.FETCH, now_s):
            if claim.other_record is None or claim.other_record.answer_object is None:
                continue
            if not self._object_limiter.admit_read(now_s):
                break
            call_id = self._start_call((claim,), ClaimStep.FETCH)
            actions.append(GetObject(call_id, claim.other_record.answer_object))
        return actions

    def _send_questions(self, now_s: float) -> list[ClaimAction]:
        actions: list[ClaimAction] = []
        for claim in self._index.due(ClaimStep.ASK, now_s):
            if claim.other_record is None:
                continue
            query = ClaimQuery(claim.other_record.claimant, claim.key, claim.other_record.token)
            if query.claimant == self._incarnation:
                actions += self._handle_reply(claim, self.answer_peer_query(query), now_s)
                continue
            query_id = self._new_id()
            claim.in_flight = ClaimStep.ASK
            self._queries[query_id] = claim
            actions.append(AskClaimant(query_id, query))
        return actions

    def _start_call(self, claims: tuple[KeyClaim, ...], step: ClaimStep) -> int:
        call_id = self._new_id()
        for claim in claims:
            claim.in_flight = step
        self._calls[call_id] = claims
        return call_id

    def _new_id(self) -> int:
        self._last_id += 1
        return self._last_id
