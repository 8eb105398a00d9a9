"""The registry of filters and the two stages that run them.

A decorator registers a filter for a stage; the filters of a stage run in the order given::

    @request_filter(Stage.HEAD, order=30)
    def check_tier(draft: RequestDraft, context: FilterContext) -> FilterRefusal | None: ...

A filter returns a refusal to stop the chain, or adds findings to the draft, which are reported
together at the end of the stage.
"""

from collections.abc import Callable
from enum import Enum

from result import Err, Ok, Result

from ..entry.actions import AcceptedRequest
from ..ids import ClientAccountId
from ..scheduler.tickets import RefusalReason
from .draft import FilterContext, FilterRefusal, RequestDraft, RequestHead

Filter = Callable[[RequestDraft, FilterContext], FilterRefusal | None]

STRIPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers of the caller's connection, and its key, which are not forwarded to upstreams."""

STRIPPED_PREFIX = "lentilchute-"


class Stage(Enum):
    """When a filter runs."""

    HEAD = "head"
    """Before the body is read."""
    BODY = "body"


_filters: dict[Stage, list[tuple[int, Filter]]] = {stage: [] for stage in Stage}


def request_filter(stage: Stage, order: int) -> Callable[[Filter], Filter]:
    """Register a filter for a stage; lower orders run first."""

    def add(function: Filter) -> Filter:
        _filters[stage].append((order, function))
        _filters[stage].sort(key=lambda entry: entry[0])
        return function

    return add


def check_head(head: RequestHead, context: FilterContext) -> Result[RequestDraft, FilterRefusal]:
    """Run the filters of the head; the draft then holds the limit for reading the body."""
    draft = RequestDraft(head)
    refusal = _run(Stage.HEAD, draft, context)
    return Err(refusal) if refusal else Ok(draft)


def check_body(
    draft: RequestDraft, body: bytes, context: FilterContext
) -> Result[AcceptedRequest, FilterRefusal]:
    """Run the filters of the complete body and return the accepted request."""
    draft.body = body
    refusal = _run(Stage.BODY, draft, context)
    return Err(refusal) if refusal else Ok(_accepted(draft))


def _run(stage: Stage, draft: RequestDraft, context: FilterContext) -> FilterRefusal | None:
    for _, function in _filters[stage]:
        refusal = function(draft, context)
        if refusal is not None:
            return refusal
    if draft.findings:
        return FilterRefusal(RefusalReason.BAD_REQUEST, tuple(draft.findings))
    return None


def _accepted(draft: RequestDraft) -> AcceptedRequest:
    document = draft.service_document
    account = draft.account.name if draft.account else ""
    return AcceptedRequest(
        service=document.name,
        method=draft.head.method,
        path=draft.path,
        headers=_upstream_headers(draft.head),
        body=draft.body,
        streaming=draft.streaming,
        tier=draft.tier,
        client_account=ClientAccountId(account),
        deadline_s=draft.deadline_s,
        prompt_tokens=draft.prompt_tokens,
        max_output_tokens=draft.max_output_tokens,
        model=draft.model,
        fingerprint=draft.fingerprint,
        prefix_hashes=draft.prefix_hashes,
        idempotent=draft.idempotent,
        idempotency_key=draft.idempotency_key,
        kept_answer_bytes=document.limits.kept_answer_bytes,
        stream_idle_timeout_s=document.limits.stream_idle_timeout_s,
    )


def _upstream_headers(head: RequestHead) -> tuple[tuple[str, str], ...]:
    connection_headers = {
        token.strip() for value in head.values("connection") for token in value.split(",")
    }
    stripped = STRIPPED_HEADERS | {name.lower() for name in connection_headers}
    return tuple(
        (name, value)
        for name, value in head.headers
        if name not in stripped and not name.startswith(STRIPPED_PREFIX)
    )
