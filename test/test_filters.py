"""Tests of the filter chain: accepted requests, and refusals with their findings."""

import hashlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilchute.document import ServiceDocument
from lentilchute.filters import FilterContext, RequestHead, check_body, check_head
from lentilchute.ids import ServiceName
from lentilchute.scheduler.tickets import RefusalReason

KEY = "secret-1"
DOCUMENT = ServiceDocument.model_validate(
    {
        "service": "agenda-core",
        "upstreams": [{"kind": "plain", "selector": "agenda"}],
        "tiers": [{"name": "signing"}, {"name": "lookup", "max_deadline_s": 90}],
        "client_accounts": [
            {"name": "tunis", "key_sha256": hashlib.sha256(KEY.encode()).hexdigest()},
            {
                "name": "sfax",
                "key_sha256": hashlib.sha256(b"secret-2").hexdigest(),
                "highest_tier": "lookup",
            },
        ],
        "paths": [{"pattern": "/bookings*", "methods": ["POST"], "idempotent": False}],
        "models": [{"name": "summary"}],
        "limits": {
            "max_body_bytes": 2_000,
            "max_output_tokens": 100,
            "stream_idle_timeout_s": 3,
        },
    }
)
CONTEXT = FilterContext(100.0, True, {ServiceName("agenda-core"): DOCUMENT}, 8)
CHAT = {"model": "summary", "messages": [{"role": "user", "content": "a" * 100}]}


def head(path="/services/agenda-core/v1/chat/completions", method="POST", key=KEY, **headers):
    named = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    return RequestHead(method, path, (("authorization", f"Bearer {key}"), *named))


def refusal(request_head, context=CONTEXT):
    return check_head(request_head, context).unwrap_err()


def accepted(request_head, body=b""):
    return check_body(check_head(request_head, CONTEXT).unwrap(), body, CONTEXT).unwrap()


def refused_body(request_head, body):
    return check_body(check_head(request_head, CONTEXT).unwrap(), body, CONTEXT).unwrap_err()


def test_a_chat_call_is_accepted_with_its_tier_deadline_and_prompt() -> None:
    request_head = head(lentilchute_tier="signing", lentilchute_deadline_s="5", x_trace="1")
    request = accepted(request_head, json.dumps(CHAT | {"stream": True}).encode())
    assert (request.service, request.client_account) == ("agenda-core", "tunis")
    assert (request.tier, request.deadline_s) == (0, 105.0)
    assert (request.streaming, request.idempotent) == (True, True)
    assert request.stream_idle_timeout_s == 3.0
    assert request.prompt_tokens == 27
    assert len(request.prefix_hashes) == 3
    assert request.max_output_tokens == 100
    assert request.path == "/v1/chat/completions"


def test_the_key_and_internal_headers_are_not_forwarded() -> None:
    request_head = head(
        lentilchute_tier="signing", connection="x-hop", x_hop="1", content_type="text/plain"
    )
    request = accepted(request_head, json.dumps(CHAT).encode())
    assert request.headers == (("content-type", "text/plain"),)
    assert KEY not in repr(request_head)


def test_a_request_without_tier_gets_the_lowest() -> None:
    assert accepted(head("/services/agenda-core/slots?day=1", "GET")).tier == 1


def test_a_booking_requires_an_idempotency_key() -> None:
    path = "/services/agenda-core/bookings?x=1"
    assert refusal(head(path)).reason is RefusalReason.KEY_REQUIRED
    request = accepted(head(path, idempotency_key="k-1"), b"{}")
    assert (request.idempotent, request.idempotency_key) == (False, "k-1")
    assert request.path == "/bookings?x=1"


def test_all_faults_of_the_head_are_reported_together() -> None:
    request_head = head(
        "/services/agenda-core/bookings", lentilchute_tier="top", lentilchute_deadline_s="nan"
    )
    found = refusal(request_head)
    assert found.reason is RefusalReason.BAD_REQUEST
    fields = [finding.field for finding in found.findings]
    assert fields == ["lentilchute-tier", "lentilchute-deadline-s", "idempotency-key"]
    assert "signing, lookup" in found.findings[0].message


@pytest.mark.parametrize("value", ["0", "-1", "91", "inf", "soon", ""])
def test_a_deadline_outside_the_tiers_limits_is_a_finding(value) -> None:
    assert refusal(head(lentilchute_deadline_s=value)).findings


def test_an_account_may_not_use_a_tier_above_its_highest() -> None:
    found = refusal(head(key="secret-2", lentilchute_tier="signing"))
    assert "lookup" in found.findings[0].message


def test_a_header_given_twice_is_a_finding() -> None:
    twice = head(lentilchute_tier="lookup")
    twice = RequestHead(twice.method, twice.path, (*twice.headers, ("lentilchute-tier", "lookup")))
    assert refusal(twice).findings[0].message == "may be given once"


@pytest.mark.parametrize(
    ("request_head", "reason"),
    [
        (head("/services/other/x"), RefusalReason.UNKNOWN_SERVICE),
        (head("/services/agenda-core"), RefusalReason.UNKNOWN_SERVICE),
        (head("/x"), RefusalReason.UNKNOWN_SERVICE),
        (head(key="wrong"), RefusalReason.UNKNOWN_ACCOUNT),
        (RequestHead("GET", "/services/agenda-core/x", ()), RefusalReason.UNKNOWN_ACCOUNT),
        (head(content_length="2001"), RefusalReason.TOO_LARGE),
        (head(content_length="9" * 5_000), RefusalReason.TOO_LARGE),
        (head(content_length="-1"), RefusalReason.BAD_REQUEST),
    ],
)
def test_a_head_that_cannot_be_accepted_is_refused_before_its_body(request_head, reason) -> None:
    assert refusal(request_head).reason is reason


def test_a_node_that_is_not_ready_admits_nothing() -> None:
    context = FilterContext(0.0, False, CONTEXT.documents)
    assert refusal(head(), context).reason is RefusalReason.NOT_READY


@pytest.mark.parametrize(
    ("body", "fields"),
    [
        (b"{", ["body"]),
        (b"[" * 1_500, ["body"]),
        (b"[]", ["body"]),
        (b"\xff", ["body"]),
        (b"{}", ["body: model", "body: messages"]),
        (
            b'{"model": 1, "stream": 1, "max_tokens": 101, "messages": [{}]}',
            ["body: model", "body: stream", "body: max_tokens", "body: messages"],
        ),
    ],
)
def test_all_faults_of_a_model_call_are_reported_together(body, fields) -> None:
    found = refused_body(head(), body)
    assert [finding.field for finding in found.findings] == fields


def test_a_body_above_the_limit_and_an_unknown_model_are_refused() -> None:
    assert refused_body(head(), b"x" * 2_001).reason is RefusalReason.TOO_LARGE
    other = json.dumps(CHAT | {"model": "other"}).encode()
    assert refused_body(head(), other).reason is RefusalReason.UNKNOWN_MODEL


def test_the_fingerprint_depends_on_the_content_only() -> None:
    path = "/services/agenda-core/notes"
    first = accepted(head(path, "GET"), b"one")
    again = accepted(head(path, "GET", lentilchute_tier="signing"), b"one")
    other = accepted(head(path, "GET"), b"two")
    assert first.fingerprint == again.fingerprint != other.fingerprint


@given(st.binary(max_size=300), st.text(max_size=40), st.text(max_size=40))
def test_no_input_makes_the_chain_fail(body, path, value) -> None:
    for name in ("lentilchute-tier", "lentilchute-deadline-s", "content-length", "authorization"):
        headers = (("authorization", f"Bearer {KEY}"), (name, value))
        request_head = RequestHead("POST", f"/services/agenda-core/{path}", headers)
        draft = check_head(request_head, CONTEXT)
        if draft.is_ok():
            check_body(draft.unwrap(), body, CONTEXT)
    check_body(check_head(head(), CONTEXT).unwrap(), body, CONTEXT)


@given(st.recursive(st.none() | st.booleans() | st.text(), lambda inner: st.lists(inner)))
def test_no_message_makes_the_chain_fail(value) -> None:
    for call in ({"model": "summary", "messages": value}, CHAT | {"messages": [value]}):
        check_body(check_head(head(), CONTEXT).unwrap(), json.dumps(call).encode(), CONTEXT)
