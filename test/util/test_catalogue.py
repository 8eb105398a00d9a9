"""Tests that the generated reference pages are current and complete."""

from pathlib import Path

import pytest

from lentilchute.document import ServiceDocument
from lentilchute.events import Event
from lentilchute.gateway.settings import GatewaySettings
from lentilchute.metrics_catalogue import LABEL_MEANINGS, Label, Metric
from lentilchute.settings import NodeSettings
from lentilchute.util.catalogue import PAGES
from lentilchute.util.model_reference import reference, unit_of

REFERENCE = Path(__file__).parents[2] / "docs/reference"


@pytest.mark.parametrize("name", PAGES)
def test_the_page_equals_what_the_code_generates(name: str) -> None:
    assert (REFERENCE / name).read_text(encoding="utf-8") == PAGES[name]()


def test_event_numbers_and_metric_names_are_unique() -> None:
    assert len({event.value.number for event in Event}) == len(Event)
    assert len({metric.value.name for metric in Metric}) == len(Metric)
    assert set(LABEL_MEANINGS) == set(Label)


@pytest.mark.parametrize("model", [ServiceDocument, NodeSettings, GatewaySettings])
def test_every_key_has_a_meaning(model: type) -> None:
    rows = [line for line in reference(model).splitlines() if line.startswith("| `")]
    assert [row for row in rows if row.endswith("|  |")] == []


def test_the_longest_suffix_names_the_unit() -> None:
    assert unit_of("initial_prefill_tokens_per_s") == "tokens/s"
    assert unit_of("timeout_s") == "s"
    assert unit_of("max_streams") == ""
