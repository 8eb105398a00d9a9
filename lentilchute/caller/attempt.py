"""Sends a caller's request to one entry and delivers the answer."""

import hashlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err

from ..http.client import ClientRequest, HttpClient, HttpExchange, HttpFault, HttpHead
from ..http.messages import OUTCOME_HEADER, RETRY_AFTER_HEADER, header_value
from ..scheduler.tickets import Outcome

MAX_REFUSAL_BYTES = 65_536

Deliver = Callable[[bytes], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Attempt:
    """The result of one attempt; ``fault`` is set if there was no complete answer."""

    fault: HttpFault | None = None
    status: int | None = None
    outcome: Outcome = Outcome.MAY_HAVE_RUN
    reason: str = ""
    findings: tuple[str, ...] = ()
    retry_after_s: float | None = None


class BodySink:
    """Delivers the body of an answer; a replayed one only from where the earlier one broke off."""

    def __init__(self, deliver: Deliver) -> None:
        self._deliver = deliver
        self._digest = hashlib.sha256()
        self.delivered_bytes = 0
        self._replayed = bytearray()
        self._is_replay_complete = True

    def begin_answer(self) -> None:
        """Start an answer, which must first replay the bytes delivered so far."""
        self._replayed.clear()
        self._is_replay_complete = self.delivered_bytes == 0

    @property
    def is_replay_complete(self) -> bool:
        """Whether the answer has replayed all bytes that were delivered before."""
        return self._is_replay_complete

    async def write(self, part: bytes) -> bool:
        """Deliver a part; return false if the answer differs from the one delivered before."""
        if not self._is_replay_complete:
            self._replayed += part
            if len(self._replayed) < self.delivered_bytes:
                return True
            replayed = bytes(self._replayed[: self.delivered_bytes])
            if hashlib.sha256(replayed).digest() != self._digest.digest():
                return False
            part = bytes(self._replayed[self.delivered_bytes :])
            self._is_replay_complete = True
        self._digest.update(part)
        self.delivered_bytes += len(part)
        await self._deliver(part)
        return True


async def send_attempt(client: HttpClient, request: ClientRequest, body: BodySink) -> Attempt:
    """Send a request to one entry and read its answer or refusal."""
    async with client.exchange(request) as exchange:
        head = await exchange.head()
        if isinstance(head, Err):
            return Attempt(fault=head.err_value)
        if _outcome(head.ok_value) is Outcome.RAN:
            return await _read_answer(exchange, head.ok_value, body)
        return await _read_refusal(exchange, head.ok_value)


async def _read_answer(exchange: HttpExchange, head: HttpHead, body: BodySink) -> Attempt:
    body.begin_answer()
    while True:
        part = await exchange.part()
        if isinstance(part, Err):
            return Attempt(fault=part.err_value, status=head.status)
        if part.ok_value is None:
            if not body.is_replay_complete:
                return Attempt(fault=HttpFault.WRONG_ANSWER, status=head.status)
            return Attempt(status=head.status, outcome=Outcome.RAN)
        if not await body.write(part.ok_value):
            return Attempt(fault=HttpFault.WRONG_ANSWER, status=head.status)


async def _read_refusal(exchange: HttpExchange, head: HttpHead) -> Attempt:
    """Read a refusal; its outcome is in the header, so a broken body is tolerated."""
    body = bytearray()
    while len(body) <= MAX_REFUSAL_BYTES:
        part = await exchange.part()
        if isinstance(part, Err) or part.ok_value is None:
            break
        body += part.ok_value
    reason, findings = _refusal_reason(bytes(body))
    return Attempt(
        status=head.status,
        outcome=_outcome(head),
        reason=reason,
        findings=findings,
        retry_after_s=_retry_after_s(head),
    )


def _outcome(head: HttpHead) -> Outcome:
    """Return the outcome given in the head; without a valid one the request may have run."""
    value = header_value(head.headers, OUTCOME_HEADER)
    if value in {outcome.value for outcome in Outcome}:
        return Outcome(value)
    return Outcome.MAY_HAVE_RUN


def _retry_after_s(head: HttpHead) -> float | None:
    value = header_value(head.headers, RETRY_AFTER_HEADER) or ""
    return float(value) if value.isdecimal() and len(value) <= 6 else None


def _refusal_reason(body: bytes) -> tuple[str, tuple[str, ...]]:
    """Return the type of a refusal and its findings, one line each."""
    try:
        error = json.loads(body)["error"]
        lines = [
            f"{finding['field']}: {finding['message']}" for finding in error.get("findings", [])
        ]
        return str(error["type"]), tuple(lines)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return "unknown", ()
