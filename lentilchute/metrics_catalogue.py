"""The catalogue of metrics: name, kind, labels and meaning of each.

``docs/reference/metrics.md`` is generated from it. Every label has a bounded set of values, and
none contains a key, a prompt or anything else that a caller sent.
"""

from dataclasses import dataclass
from enum import Enum

SECONDS_BUCKETS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    1.8,
    3.0,
    5.0,
    10.0,
    30.0,
    60.0,
    300.0,
)
"""Bucket upper bounds of all histograms, in seconds."""


class MetricKind(Enum):
    """How a metric's value behaves."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class Label(Enum):
    """Labels of the metrics."""

    SERVICE = "service"
    TIER = "tier"
    REASON = "reason"
    UPSTREAM = "upstream"
    OPERATION = "operation"
    RESULT = "result"
    NAME = "name"


LABEL_MEANINGS = {
    Label.SERVICE: "Service named by a document in force; `unknown` for any other.",
    Label.TIER: "Rank of the tier, `0` for the highest; `lentilchute_tier_info` gives its name.",
    Label.REASON: "A refusal's reason, or why prefill was wasted.",
    Label.UPSTREAM: "Name of an upstream, as in the document or the platform's list.",
    Label.OPERATION: "`get`, `get_many`, `scan` or `commit` on the platform's table.",
    Label.RESULT: "`ok`, `conflict`, `unavailable` or `unknown-outcome`.",
    Label.NAME: "Name of the tier in the document in force.",
}


@dataclass(frozen=True, slots=True)
class MetricInfo:
    """Name without the suffix of its kind, and description of a metric."""

    name: str
    kind: MetricKind
    labels: tuple[Label, ...]
    meaning: str

    @property
    def exposed_name(self) -> str:
        """The name on the metrics page."""
        return self.name + ("_total" if self.kind is MetricKind.COUNTER else "")


_BY_TIER = (Label.SERVICE, Label.TIER)
_BY_UPSTREAM = (Label.SERVICE, Label.UPSTREAM)


class Metric(Enum):
    """All metrics of a node."""

    GOODPUT_REQUESTS = MetricInfo(
        "lentilchute_goodput_requests",
        MetricKind.COUNTER,
        _BY_TIER,
        "Whole answers delivered before their deadline by this entry.",
    )
    GOODPUT_TOKENS = MetricInfo(
        "lentilchute_goodput_tokens",
        MetricKind.COUNTER,
        _BY_TIER,
        "Output tokens of those answers.",
    )
    WASTED_PREFILL_TOKENS = MetricInfo(
        "lentilchute_wasted_prefill_tokens",
        MetricKind.COUNTER,
        (Label.SERVICE, Label.TIER, Label.REASON),
        "Prompt tokens spent on requests that brought no whole answer, or computed again.",
    )
    REFUSALS = MetricInfo(
        "lentilchute_refusals",
        MetricKind.COUNTER,
        (Label.SERVICE, Label.TIER, Label.REASON),
        "Refusals that this entry answered; the tier is empty when it was not known.",
    )
    ADDED_LATENCY = MetricInfo(
        "lentilchute_added_latency_seconds",
        MetricKind.HISTOGRAM,
        _BY_TIER,
        "Time from accepting a request to its first byte to an upstream.",
    )
    FIRST_TOKEN = MetricInfo(
        "lentilchute_first_token_seconds",
        MetricKind.HISTOGRAM,
        _BY_TIER,
        "Time from accepting a request to the first part of its answer.",
    )
    TABLE_OPERATIONS = MetricInfo(
        "lentilchute_table_operations",
        MetricKind.COUNTER,
        (Label.OPERATION, Label.RESULT),
        "Operations of this node on the platform's table.",
    )
    WAITING = MetricInfo(
        "lentilchute_waiting_tickets",
        MetricKind.GAUGE,
        _BY_TIER,
        "Tickets that wait in the shards scheduled by this node.",
    )
    IN_FLIGHT = MetricInfo(
        "lentilchute_in_flight_requests",
        MetricKind.GAUGE,
        _BY_TIER,
        "Requests in flight in the shards scheduled by this node.",
    )
    PREFILL_RATE = MetricInfo(
        "lentilchute_upstream_prefill_tokens_per_second",
        MetricKind.GAUGE,
        _BY_UPSTREAM,
        "Learned prefill rate of an upstream, at the node that schedules it.",
    )
    DECODE_RATE = MetricInfo(
        "lentilchute_upstream_decode_tokens_per_second",
        MetricKind.GAUGE,
        _BY_UPSTREAM,
        "Learned rate of one stream at an upstream, at the node that schedules it.",
    )
    CONFIG_VERSION = MetricInfo(
        "lentilchute_config_version",
        MetricKind.GAUGE,
        (Label.SERVICE,),
        "Version of the service document in force on this node.",
    )
    TIER_INFO = MetricInfo(
        "lentilchute_tier_info",
        MetricKind.GAUGE,
        (Label.SERVICE, Label.TIER, Label.NAME),
        "Always 1; gives the name of a tier's rank.",
    )
