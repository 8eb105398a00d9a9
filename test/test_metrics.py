"""Tests of the metrics page."""

from prometheus_client.parser import text_string_to_metric_families
from sample_files import DOCUMENT

from lentilchute import metrics as module
from lentilchute.document import load_document
from lentilchute.ids import (
    AvailabilityZone,
    DocumentVersion,
    InstanceId,
    ServiceName,
    Tier,
    UpstreamId,
)
from lentilchute.metrics import DocumentInForce, Gauges, LearnedRates, Metrics
from lentilchute.scheduler.tickets import RefusalReason

SERVICE = ServiceName("drafts")
TOP = Tier(0)


def new_metrics(gauges: Gauges | None = None) -> Metrics:
    return Metrics(InstanceId("entry-1"), AvailabilityZone("a"), lambda: gauges or Gauges())


def samples(metrics: Metrics) -> dict[tuple[str, tuple[str, ...]], float]:
    """Return each value of the page by its name and sorted label values."""
    families = text_string_to_metric_families(metrics.render().decode())
    return {
        (sample.name, tuple(value for _, value in sorted(sample.labels.items()))): sample.value
        for family in families
        for sample in family.samples
    }


def test_counters_and_histograms_reach_the_page() -> None:
    metrics = new_metrics()
    metrics.goodput(SERVICE, TOP, 30, 0.4)
    metrics.goodput(SERVICE, TOP, 12, 4.0)
    metrics.wasted_prefill(SERVICE, TOP, 900, "broken")
    metrics.refused(SERVICE, None, RefusalReason.OVERLOADED)
    metrics.dispatched(SERVICE, TOP, 0.004)
    metrics.table_operation("commit", "conflict")
    page = samples(metrics)
    assert page["lentilchute_goodput_requests_total", ("drafts", "0")] == 2
    assert page["lentilchute_goodput_tokens_total", ("drafts", "0")] == 42
    assert page["lentilchute_first_token_seconds_bucket", ("0.5", "drafts", "0")] == 1
    assert page["lentilchute_wasted_prefill_tokens_total", ("broken", "drafts", "0")] == 900
    assert page["lentilchute_refusals_total", ("overloaded", "drafts", "")] == 1
    assert page["lentilchute_added_latency_seconds_count", ("drafts", "0")] == 1
    assert page["lentilchute_table_operations_total", ("commit", "conflict")] == 1


def test_gauges_are_read_when_the_page_is_rendered() -> None:
    document = load_document(DOCUMENT, "f").unwrap()
    gauges = Gauges(
        waiting={(SERVICE, TOP): 5},
        in_flight={(SERVICE, TOP): 7},
        rates=(LearnedRates(SERVICE, UpstreamId("e1"), 8000.0, 40.0),),
        documents={SERVICE: DocumentInForce(DocumentVersion(3), document)},
    )
    page = samples(new_metrics(gauges))
    assert page["lentilchute_waiting_tickets", ("drafts", "0")] == 5
    assert page["lentilchute_in_flight_requests", ("drafts", "0")] == 7
    assert page["lentilchute_upstream_prefill_tokens_per_second", ("drafts", "e1")] == 8000
    assert page["lentilchute_config_version", ("drafts",)] == 3
    assert page["lentilchute_tier_info", ("bulk", "drafts", "1")] == 1


def test_two_nodes_in_one_process_do_not_share_metrics() -> None:
    first, second = new_metrics(), new_metrics()
    first.goodput(SERVICE, TOP, 1, 0.1)
    assert ("lentilchute_goodput_requests_total", ("drafts", "0")) not in samples(second)


def test_an_unknown_service_name_is_not_used_as_a_label() -> None:
    metrics = new_metrics()
    metrics.refused(ServiceName("made-up-by-a-caller"), None, RefusalReason.UNKNOWN_SERVICE)
    assert b"made-up" not in metrics.render()


def test_a_label_has_a_bounded_set_of_values() -> None:
    metrics = new_metrics()
    for number in range(module.MAX_LABEL_VALUES + 50):
        metrics.wasted_prefill(SERVICE, TOP, 1, f"reason-{number}")
    page = samples(metrics)
    name = "lentilchute_wasted_prefill_tokens_total"
    assert sum(key[0] == name for key in page) == module.MAX_LABEL_VALUES + 1
    assert page[name, ("other", "drafts", "0")] == 50
