"""OpenTelemetry instruments of one gateway node and the Prometheus page that renders them.

Only ``metrics.py`` imports this module, when a page is first read: a node that is not scraped does
not load the SDK.
"""

import resource
from collections.abc import Callable, Iterable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from ..ids import AvailabilityZone, InstanceId
from ..metrics_catalogue import SECONDS_BUCKETS
from ..util.build_id import build_id
from .metric_names import COUNTERS, GAUGES, HISTOGRAMS, GaugeSource


class MetricInstruments:
    """Counters, histograms and gauges of one node; all methods are cheap and do no I/O."""

    content_type = CONTENT_TYPE_LATEST

    def __init__(
        self, instance: InstanceId, zone: AvailabilityZone, read_gauges: GaugeSource
    ) -> None:
        self._registry = CollectorRegistry()
        self._read_gauges = read_gauges
        # The SDK's default resource would read environment variables.
        labels = Resource(
            {
                "service.instance.id": instance,
                "service.version": build_id(),
                "cloud.availability_zone": zone,
            }
        )
        buckets = ExplicitBucketHistogramAggregation(SECONDS_BUCKETS)
        self._provider = MeterProvider(
            metric_readers=[
                PrometheusMetricReader(scope_info_enabled=False, registry=self._registry)
            ],
            resource=labels,
            exemplar_filter=AlwaysOffExemplarFilter(),
            views=[View(instrument_name="*.duration", aggregation=buckets)],
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter("lentilchute.gateway")
        self._counters = {name: meter.create_counter(name) for name in COUNTERS}
        self._histograms = {name: meter.create_histogram(name, "s") for name in HISTOGRAMS}
        for name, description in GAUGES.items():
            meter.create_observable_gauge(name, [self._observer(name)], description=description)
        meter.create_observable_gauge("process.memory.usage", [_peak_memory], "By")

    def add(self, name: str, count: int, labels: Mapping[str, str]) -> None:
        """Add to a counter."""
        self._counters[name].add(count, labels)

    def record(self, name: str, value: float, labels: Mapping[str, str]) -> None:
        """Record a value in a histogram."""
        self._histograms[name].record(value, labels)

    def render(self) -> bytes:
        """Return the metrics page in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut the SDK's meter provider down."""
        self._provider.shutdown()

    def _observer(self, name: str) -> Callable[[CallbackOptions], Iterable[Observation]]:
        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            for gauge in self._read_gauges():
                if gauge.name == name:
                    yield Observation(gauge.value, dict(gauge.labels))

        return observe


def _peak_memory(_options: CallbackOptions) -> Iterable[Observation]:
    yield Observation(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024, {"kind": "peak"})
