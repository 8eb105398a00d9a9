"""Tests of the routes of the operators' interface."""

import json

import pytest
import trio
from operator_nodes import KEY, SERVICE, FakeNode, FakeTable
from sample_files import DOCUMENT

from lentilchute.http.requests import HeadRefusal, HttpRequest, RequestHead
from lentilchute.operators.api import ChangeRequest, operator_key
from lentilchute.operators.routes import MAX_BODY_BYTES, OperatorApi, Reply

AUTHORIZED = (("authorization", f"Bearer {KEY}"),)


def change(text: str, expected: int = 0, change_id: str = "change-01") -> bytes:
    request = ChangeRequest(expected_version=expected, change_id=change_id, author="a", text=text)
    return request.model_dump_json().encode()


@pytest.fixture
def node() -> FakeNode:
    return FakeNode("entry-1", FakeTable())


def send(
    node: FakeNode,
    method: str,
    path: str,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = AUTHORIZED,
) -> Reply:
    return trio.run(OperatorApi(node, KEY).answer, HttpRequest(method, path, headers, body))


@pytest.mark.parametrize(
    "headers",
    [(), (("authorization", KEY),), (("authorization", "Bearer "),), (("authorization", "é"),)],
)
def test_requests_without_the_key_are_unauthorized_and_change_nothing(
    node: FakeNode, headers: tuple[tuple[str, str], ...]
) -> None:
    path = f"/services/{SERVICE}/document"
    assert send(node, "GET", "/status", headers=headers).status == 401
    assert send(node, "POST", path, change(DOCUMENT), headers).status == 401
    assert node.table.changes == []
    refusal = OperatorApi(node, KEY).check_head(RequestHead("GET", "/status", headers))
    assert isinstance(refusal, HeadRefusal)
    allowed = OperatorApi(node, KEY).check_head(RequestHead("GET", "/status", AUTHORIZED))
    assert allowed == MAX_BODY_BYTES


def test_the_operator_key_is_not_the_shared_key() -> None:
    assert operator_key("0123456789abcdef") != operator_key("0123456789abcdeF")
    assert "0123456789abcdef" not in operator_key("0123456789abcdef")


def test_a_document_with_findings_never_reaches_the_table(node: FakeNode) -> None:
    reply = send(node, "POST", f"/services/{SERVICE}/document", change("service: drafts\n"))
    assert reply.status == 422
    assert json.loads(reply.body)["findings"]
    reply = send(node, "POST", "/services/other/document", change(DOCUMENT))
    assert reply.status == 422
    assert node.received_changes == 0


def test_changes_conflicts_and_an_outage_have_their_own_status(node: FakeNode) -> None:
    path = f"/services/{SERVICE}/document"
    assert send(node, "GET", path).status == 404
    assert send(node, "POST", path, change(DOCUMENT)).status == 200
    assert send(node, "POST", path, change(DOCUMENT, 0, "change-02")).status == 409
    assert json.loads(send(node, "GET", path).body)["version"] == 1
    node.table.is_down = True
    assert send(node, "POST", path, change(DOCUMENT, 1, "change-03")).status == 503
    assert send(node, "GET", f"/services/{SERVICE}/history").status == 503


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", "/services/drafts/document", b"{", 400),
        ("POST", "/services/drafts/document", b'{"text": "\xff"}', 400),
        ("DELETE", "/status", b"", 405),
        ("GET", "/services/../document", b"", 404),
        ("GET", "/elsewhere", b"", 404),
        ("GET", "/services/other/history", b"", 404),
        ("POST", "/upstreams/absent/drain", b"", 404),
    ],
)
def test_invalid_requests_get_their_own_status(
    node: FakeNode, method: str, path: str, body: bytes, status: int
) -> None:
    assert send(node, method, path, body).status == status


def test_the_metrics_page_is_served(node: FakeNode) -> None:
    node.metrics.table_operation("commit", "ok")
    reply = send(node, "GET", "/metrics?x=1")
    assert reply.status == 200
    assert b"lentilchute_table_operations_total" in reply.body
