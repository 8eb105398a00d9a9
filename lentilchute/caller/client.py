"""Client for callers: chooses an entry, sends the request, streams the answer, retries if safe.

A request is retried only if it did not run, or with its idempotency key. ``CallResult`` states what
the caller may conclude at the end.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio

from ..http.client import ClientRequest, HttpClient, HttpFault, Opener, open_tcp
from ..http.messages import DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, TIER_HEADER, Headers
from ..scheduler.tickets import Outcome, RefusalReason
from .attempt import Attempt, BodySink, Deliver, send_attempt
from .entries import CallerEntries, KnownEntry

ANSWER_GRACE_S = 5.0
"""Wait past the deadline for the answer with which the entry ends a request at its deadline."""


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """The caller's key and zone, the initial entries, and retry settings."""

    entries: tuple[str, ...]
    key: str = field(repr=False)
    availability_zone: str = ""
    max_attempts: int = 10
    """Maximum number of sends; an entry that cannot be reached does not count."""
    retry_delay_s: float = 0.5
    """Delay before another attempt if the entry gave no retry delay."""


@dataclass(frozen=True, slots=True)
class CallRequest:
    """One request to a service; ``deadline_s`` counts from the call."""

    service: str
    path: str
    method: str = "POST"
    headers: Headers = ()
    body: bytes = b""
    tier: str | None = None
    deadline_s: float = 60.0
    idempotency_key: str | None = None


class CallState(Enum):
    """How a call ended."""

    COMPLETE = "complete"
    REFUSED = "refused"
    BROKEN = "broken"
    """There was no answer, or an incomplete one."""
    UNREACHABLE = "unreachable"
    """No entry could be reached."""


@dataclass(frozen=True, slots=True)
class CallResult:
    """The result of a call and the outcome of its request."""

    state: CallState
    outcome: Outcome
    status: int | None = None
    reason: str = ""
    findings: tuple[str, ...] = ()
    """Faults of the request that a refusal listed."""
    retry_after_s: float | None = None
    entry: str = ""
    attempts: int = 0
    delivered_bytes: int = 0


Report = Callable[[str], None]


def ignore_report(_line: str) -> None:
    """Ignore progress lines; the default."""


class CallerClient:
    """Calls services through the entries."""

    def __init__(
        self, settings: CallerSettings, rng: random.Random, opener: Opener = open_tcp
    ) -> None:
        self._settings = settings
        self._opener = opener
        self._clients: dict[str, HttpClient] = {}
        self._entries = CallerEntries(
            settings.entries, settings.availability_zone, rng, self.client_for
        )

    async def call(
        self, request: CallRequest, deliver: Deliver, report: Report = ignore_report
    ) -> CallResult:
        """Send a request; the body of its answer is passed to ``deliver`` part by part."""
        call = _Call(self, self._settings, self._entries, request, deliver, report)
        return await call.run()

    async def aclose(self) -> None:
        """Close idle connections."""
        for client in self._clients.values():
            await client.aclose()

    def client_for(self, address: str) -> HttpClient:
        """Return the client of one entry's address."""
        if address not in self._clients:
            self._clients[address] = HttpClient(address, opener=self._opener)
        return self._clients[address]


class _Call:
    """One call with all its attempts."""

    def __init__(
        self,
        client: CallerClient,
        settings: CallerSettings,
        entries: CallerEntries,
        request: CallRequest,
        deliver: Deliver,
        report: Report,
    ) -> None:
        self._client = client
        self._settings = settings
        self._entries = entries
        self._request = request
        self._report = report
        self._body = BodySink(deliver)
        self._deadline_s = trio.current_time() + request.deadline_s
        self._unreachable: frozenset[str] = frozenset()
        self._may_have_run = False
        self._attempts = 0
        self._entry = ""

    async def run(self) -> CallResult:
        """Make attempts until a result is final."""
        while True:
            entry = await self._entries.choose(self._unreachable)
            attempt = Attempt(fault=HttpFault.NOT_SENT)
            if entry is not None:
                self._entry = entry.instance
                attempt = await send_attempt(
                    self._client.client_for(entry.address), self._message(), self._body
                )
            self._record(entry, attempt)
            if self._is_final(attempt):
                return self._result(attempt)
            if entry is None or attempt.fault is not HttpFault.NOT_SENT:
                await self._wait_before_retry(attempt)

    def _message(self) -> ClientRequest:
        request = self._request
        remaining_s = self._remaining_s()
        headers = [
            *request.headers,
            ("authorization", f"Bearer {self._settings.key}"),
            (DEADLINE_HEADER, f"{max(remaining_s, 0.001):.3f}"),
        ]
        if request.tier is not None:
            headers.append((TIER_HEADER, request.tier))
        if request.idempotency_key is not None:
            headers.append((IDEMPOTENCY_KEY_HEADER, request.idempotency_key))
        return ClientRequest(
            method=request.method,
            path=f"/services/{request.service}/{request.path.lstrip('/')}",
            headers=tuple(headers),
            body=request.body,
            head_timeout_s=remaining_s + ANSWER_GRACE_S,
            read_timeout_s=remaining_s + ANSWER_GRACE_S,
        )

    def _record(self, entry: KnownEntry | None, attempt: Attempt) -> None:
        if entry is None:
            self._unreachable = frozenset()
            self._entries.invalidate()
            return
        if attempt.fault is HttpFault.NOT_SENT:
            self._unreachable |= {entry.address}
            return
        self._attempts += 1
        if attempt.fault is not None or attempt.outcome is Outcome.MAY_HAVE_RUN:
            self._may_have_run = True

    def _is_final(self, attempt: Attempt) -> bool:
        if attempt.fault is None and attempt.outcome is Outcome.RAN:
            return True
        has_time = self._remaining_s() > self._retry_delay_s(attempt)
        if not has_time or self._attempts >= self._settings.max_attempts:
            return True
        return not self._may_retry(attempt)

    def _may_retry(self, attempt: Attempt) -> bool:
        if attempt.fault is HttpFault.NOT_SENT:
            return True
        if attempt.fault is None and attempt.outcome is Outcome.NOT_RUN:
            return attempt.status == 503
        is_unresolved = attempt.reason == RefusalReason.KEY_UNRESOLVED.value
        is_different_answer = attempt.fault is HttpFault.WRONG_ANSWER
        return self._request.idempotency_key is not None and not (
            is_unresolved or is_different_answer
        )

    async def _wait_before_retry(self, attempt: Attempt) -> None:
        delay_s = self._retry_delay_s(attempt)
        reason = attempt.reason or (attempt.fault.value if attempt.fault else "")
        self._report(f"{reason}; retrying in {delay_s:.1f} s")
        await trio.sleep(delay_s)

    def _retry_delay_s(self, attempt: Attempt) -> float:
        if attempt.retry_after_s is not None:
            return attempt.retry_after_s
        return self._settings.retry_delay_s

    def _remaining_s(self) -> float:
        return self._deadline_s - trio.current_time()

    def _result(self, attempt: Attempt) -> CallResult:
        return CallResult(
            state=self._state(attempt),
            outcome=self._outcome(attempt),
            status=attempt.status,
            reason=attempt.reason or (attempt.fault.value if attempt.fault else ""),
            findings=attempt.findings,
            retry_after_s=attempt.retry_after_s,
            entry=self._entry,
            attempts=self._attempts,
            delivered_bytes=self._body.delivered_bytes,
        )

    def _state(self, attempt: Attempt) -> CallState:
        if attempt.fault is None:
            is_answer = attempt.outcome is Outcome.RAN
            return CallState.COMPLETE if is_answer else CallState.REFUSED
        if attempt.fault is HttpFault.NOT_SENT and not self._may_have_run:
            return CallState.UNREACHABLE
        return CallState.BROKEN

    def _outcome(self, attempt: Attempt) -> Outcome:
        if attempt.fault is None and attempt.outcome is Outcome.RAN:
            return Outcome.RAN
        # An earlier attempt may have run even if the last one did not.
        return Outcome.MAY_HAVE_RUN if self._may_have_run else Outcome.NOT_RUN
