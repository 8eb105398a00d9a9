"""Tests of the HTTP answers for refused requests."""

import json

import pytest

from lentilchute.entry.refusal_answers import RefusalFinding, refusal_answer
from lentilchute.scheduler.tickets import Outcome, RefusalReason


@pytest.mark.parametrize("reason", RefusalReason)
def test_every_refusal_has_a_status_an_outcome_and_a_retry_delay(reason) -> None:
    answer = refusal_answer(reason, Outcome.NOT_RUN, 0.2)
    headers = dict(answer.headers)
    assert 400 <= answer.status < 600
    assert headers["Lentilchute-Outcome"] == "not-run"
    assert headers["Retry-After"] == "1"


def test_findings_are_listed_in_the_body() -> None:
    finding = RefusalFinding("lentilchute-tier", "unknown")
    answer = refusal_answer(RefusalReason.BAD_REQUEST, Outcome.NOT_RUN, 2.5, findings=[finding])
    assert dict(answer.headers)["Retry-After"] == "3"
    assert json.loads(answer.body)["error"]["findings"][0]["field"] == "lentilchute-tier"
