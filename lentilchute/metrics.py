"""OpenTelemetry metrics of one node, rendered as a text page for scraping.

Each node creates its own ``Metrics`` with its own registry, so that two nodes in one process do not
share values. Counters and histograms are updated by calls; gauges are read from the node when the
page is rendered. Counters are kept in plain dictionaries and observed by the SDK on collection,
which is cheaper on the request path than a synchronous instrument::

    metrics = Metrics(settings.instance_id, settings.zone, node.read_gauges)
    metrics.goodput(service, tier, output_tokens, first_token_s)
    page = metrics.render()
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Histogram, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from .document import ServiceDocument
from .ids import AvailabilityZone, DocumentVersion, InstanceId, ServiceName, Tier, UpstreamId
from .metrics_catalogue import SECONDS_BUCKETS, Label, Metric, MetricKind
from .scheduler.tickets import RefusalReason

MAX_LABEL_VALUES = 256
"""Maximum number of distinct values per label; further values are counted as ``other``."""
OTHER = "other"
UNKNOWN = "unknown"
PAGE_CONTENT_TYPE = CONTENT_TYPE_LATEST

TierCounts = Mapping[tuple[ServiceName, Tier], int]


@dataclass(frozen=True, slots=True)
class LearnedRates:
    """An upstream's rates as learned by its scheduler."""

    service: ServiceName
    upstream: UpstreamId
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


@dataclass(frozen=True, slots=True)
class DocumentInForce:
    """A service document in force, with its version."""

    version: DocumentVersion
    document: ServiceDocument


@dataclass(frozen=True, slots=True)
class Gauges:
    """Values of a node's gauges, read once per page."""

    waiting: TierCounts = field(default_factory=dict)
    in_flight: TierCounts = field(default_factory=dict)
    rates: tuple[LearnedRates, ...] = ()
    documents: Mapping[ServiceName, DocumentInForce] = field(default_factory=dict)


GaugeSource = Callable[[], Gauges]
_Row = tuple[float, tuple[str, ...]]
_Observer = Callable[[CallbackOptions], Iterable[Observation]]


class Metrics:
    """Metrics of one node; all methods are cheap and do no I/O."""

    def __init__(
        self, instance: InstanceId, zone: AvailabilityZone, read_gauges: GaugeSource = Gauges
    ) -> None:
        self._registry = CollectorRegistry()
        # The SDK's default resource reads the process environment, which a node must not use.
        resource = Resource({"service.instance.id": instance, "cloud.availability_zone": zone})
        self._provider = MeterProvider(
            metric_readers=[
                PrometheusMetricReader(scope_info_enabled=False, registry=self._registry)
            ],
            resource=resource,
            exemplar_filter=AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("lentilchute")
        self._read_gauges = read_gauges
        self._gauges = Gauges()
        self._label_values: dict[Label, set[str]] = {}
        self._counts: dict[Metric, dict[tuple[str, ...], float]] = {}
        self._histograms: dict[Metric, Histogram] = {}
        for metric in Metric:
            self._create(metric)

    def goodput(
        self, service: ServiceName, tier: Tier, output_tokens: int, first_token_s: float
    ) -> None:
        """Count a complete answer that was delivered before its deadline."""
        self._add(Metric.GOODPUT_REQUESTS, 1, service, tier)
        self._add(Metric.GOODPUT_TOKENS, output_tokens, service, tier)
        self._record(Metric.FIRST_TOKEN, first_token_s, service, tier)

    def wasted_prefill(
        self, service: ServiceName, tier: Tier, prompt_tokens: int, reason: str
    ) -> None:
        """Count prompt tokens whose prefill was wasted."""
        self._add(Metric.WASTED_PREFILL_TOKENS, prompt_tokens, service, tier, reason)

    def refused(self, service: ServiceName, tier: Tier | None, reason: RefusalReason) -> None:
        """Count a refusal; an unknown service name, chosen by a caller, is not kept as a label."""
        if reason is RefusalReason.UNKNOWN_SERVICE:
            service = ServiceName(UNKNOWN)
        self._add(Metric.REFUSALS, 1, service, "" if tier is None else tier, reason.value)

    def dispatched(self, service: ServiceName, tier: Tier, added_latency_s: float) -> None:
        """Record the time from accepting a request to sending its first byte to an upstream."""
        self._record(Metric.ADDED_LATENCY, added_latency_s, service, tier)

    def table_operation(self, operation: str, result: str) -> None:
        """Count an operation on the platform's table, for example ``("commit", "conflict")``."""
        self._add(Metric.TABLE_OPERATIONS, 1, operation, result)

    def render(self) -> bytes:
        """Return the page in the Prometheus text format (``PAGE_CONTENT_TYPE``)."""
        self._gauges = self._read_gauges()
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider; no method may be called afterwards."""
        self._provider.shutdown()

    def _create(self, metric: Metric) -> None:
        info = metric.value
        if info.kind is MetricKind.COUNTER:
            self._counts[metric] = {}
            self._meter.create_observable_counter(
                info.name, callbacks=[self._counter_reader(metric)], description=info.meaning
            )
        elif info.kind is MetricKind.HISTOGRAM:
            self._histograms[metric] = self._meter.create_histogram(
                info.name,
                description=info.meaning,
                explicit_bucket_boundaries_advisory=SECONDS_BUCKETS,
            )
        else:
            self._meter.create_observable_gauge(
                info.name, callbacks=[self._gauge_reader(metric)], description=info.meaning
            )

    def _add(self, metric: Metric, amount: float, *values: object) -> None:
        counts = self._counts[metric]
        labels = self._labels(metric, values)
        counts[labels] = counts.get(labels, 0) + amount

    def _record(self, metric: Metric, value: float, *values: object) -> None:
        labels = self._labels(metric, values)
        self._histograms[metric].record(value, _attributes(metric, labels))

    def _labels(self, metric: Metric, values: Iterable[object]) -> tuple[str, ...]:
        pairs = zip(metric.value.labels, values, strict=True)
        return tuple(self._limit_cardinality(label, str(value)) for label, value in pairs)

    def _limit_cardinality(self, label: Label, value: str) -> str:
        known_values = self._label_values.setdefault(label, set())
        if value not in known_values:
            if len(known_values) >= MAX_LABEL_VALUES:
                return OTHER
            known_values.add(value)
        return value

    def _counter_reader(self, metric: Metric) -> _Observer:
        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for labels, value in self._counts[metric].items():
                yield Observation(value, _attributes(metric, labels))

        return observe

    def _gauge_reader(self, metric: Metric) -> _Observer:
        read_rows = _GAUGE_ROWS[metric]

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for value, labels in read_rows(self._gauges):
                yield Observation(value, _attributes(metric, labels))

        return observe


def _attributes(metric: Metric, labels: tuple[str, ...]) -> dict[str, str]:
    names = metric.value.labels
    return {name.value: value for name, value in zip(names, labels, strict=True)}


def _waiting(gauges: Gauges) -> Iterator[_Row]:
    for (service, tier), count in gauges.waiting.items():
        yield count, (service, str(tier))


def _in_flight(gauges: Gauges) -> Iterator[_Row]:
    for (service, tier), count in gauges.in_flight.items():
        yield count, (service, str(tier))


def _prefill_rates(gauges: Gauges) -> Iterator[_Row]:
    for rates in gauges.rates:
        yield rates.prefill_tokens_per_s, (rates.service, rates.upstream)


def _decode_rates(gauges: Gauges) -> Iterator[_Row]:
    for rates in gauges.rates:
        yield rates.decode_tokens_per_s, (rates.service, rates.upstream)


def _config_versions(gauges: Gauges) -> Iterator[_Row]:
    for service, in_force in gauges.documents.items():
        yield in_force.version, (service,)


def _tier_names(gauges: Gauges) -> Iterator[_Row]:
    for service, in_force in gauges.documents.items():
        for rank, tier in enumerate(in_force.document.tiers):
            yield 1, (service, str(rank), tier.name)


_GAUGE_ROWS: dict[Metric, Callable[[Gauges], Iterator[_Row]]] = {
    Metric.WAITING: _waiting,
    Metric.IN_FLIGHT: _in_flight,
    Metric.PREFILL_RATE: _prefill_rates,
    Metric.DECODE_RATE: _decode_rates,
    Metric.CONFIG_VERSION: _config_versions,
    Metric.TIER_INFO: _tier_names,
}
