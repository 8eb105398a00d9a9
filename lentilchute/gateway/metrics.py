"""OpenTelemetry metrics of one gateway node, rendered as a page in the Prometheus text format.

Counters and histograms are updated by calls; gauges are read from the node when the page is
rendered. Labels have few values: services, outcomes and kinds of calls; only the gauges of an
upstream carry its id.
"""

import resource
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from ..ids import AvailabilityZone, InstanceId, ServiceName
from ..metrics_catalogue import SECONDS_BUCKETS

PAGE_CONTENT_TYPE = CONTENT_TYPE_LATEST
METRICS_PATH = "/metrics"


@dataclass(frozen=True, slots=True)
class Gauge:
    """One value of a gauge, with its labels."""

    name: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


GAUGES = {
    "lentilchute.gateway.ready": "1 while the node is ready.",
    "lentilchute.gateway.coordinating": "1 while the node coordinates, as it sees it itself.",
    "lentilchute.gateway.requests.open": "Requests in progress.",
    "lentilchute.gateway.tickets.waiting": "Tickets that wait here, by service.",
    "lentilchute.gateway.nodes.alive": "Nodes alive, as this one sees them.",
    "lentilchute.gateway.nodes.covered": "Nodes whose shares of quotas this one spends.",
    "lentilchute.gateway.memory.peak": "Most memory that the process has used, in bytes.",
    "lentilchute.gateway.config.version": "Version of the configuration in force here.",
    "lentilchute.gateway.knowledge.age": "Age of the copy of a store table, in seconds.",
    "lentilchute.gateway.upstream.running": "Requests at an upstream, as known here.",
    "lentilchute.gateway.upstream.pace": "Milliseconds to a first event per thousand tokens.",
    "lentilchute.gateway.upstream.failure_rate": "Part of recent requests that failed.",
    "lentilchute.gateway.retry_budget.left": "Repeats that may still be sent, by service.",
    "lentilchute.gateway.quota.used": "Part of an account's quota used in the last window.",
    "lentilchute.gateway.loop.lag": "How late the event loop woke last, in seconds.",
}
"""All gauges with their descriptions; ``docs/OPERATIONS.md`` explains how to read them."""

GaugeSource = Callable[[], Iterable[Gauge]]


class GatewayMetrics:
    """Instruments of one node; all methods are cheap and do no I/O."""

    def __init__(self, instance: InstanceId, zone: AvailabilityZone) -> None:
        self._registry = CollectorRegistry()
        # The SDK's default resource would read environment variables.
        labels = Resource({"service.instance.id": instance, "cloud.availability_zone": zone})
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
        self.read_gauges: GaugeSource = tuple
        self._requests = meter.create_counter("lentilchute.gateway.requests")
        self._attempts = meter.create_counter("lentilchute.gateway.attempts")
        self._store_calls = meter.create_counter("lentilchute.gateway.store.calls")
        self._coordinator_timeouts = meter.create_counter(
            "lentilchute.gateway.coordinator.silences"
        )
        self._wait = meter.create_histogram("lentilchute.gateway.wait.duration", "s")
        self._first_event = meter.create_histogram("lentilchute.gateway.first_event.duration", "s")
        self._longest_pause = meter.create_histogram(
            "lentilchute.gateway.longest_pause.duration", "s"
        )
        for name, description in GAUGES.items():
            meter.create_observable_gauge(name, [self._observer(name)], description=description)
        meter.create_observable_gauge("process.memory.usage", [_peak_memory], "By")

    def record_request(self, service: ServiceName | None, outcome: str) -> None:
        """Count a request by its outcome: ``delivered``, ``broken`` or a refusal's cause."""
        self._requests.add(1, {"service": service or "none", "outcome": outcome})

    def record_attempt(self, service: ServiceName, end: str, *, is_repeat: bool) -> None:
        """Count an attempt by how it ended."""
        labels = {"service": service, "end": end, "repeat": str(is_repeat).lower()}
        self._attempts.add(1, labels)

    def record_wait(self, service: ServiceName, wait_s: float) -> None:
        """Record the time from a request's arrival to the start of an attempt."""
        self._wait.record(wait_s, {"service": service})

    def record_first_event(self, service: ServiceName, duration_s: float) -> None:
        """Record the time from a request's arrival to its first event or whole answer."""
        self._first_event.record(duration_s, {"service": service})

    def record_longest_pause(self, service: ServiceName, pause_s: float) -> None:
        """Record the longest pause between the events of a completed stream."""
        self._longest_pause.record(pause_s, {"service": service})

    def record_store_call(self, call: str, result: str) -> None:
        """Count a call to the platform's store by its result."""
        self._store_calls.add(1, {"call": call, "result": result})

    def record_coordinator_timeout(self) -> None:
        """Count a request for which the coordinator did not reply in time or declined to decide."""
        self._coordinator_timeouts.add(1)

    def render(self) -> bytes:
        """Return the metrics page in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut the SDK's meter provider down."""
        self._provider.shutdown()

    def _observer(self, name: str) -> Callable[[CallbackOptions], Iterable[Observation]]:
        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            for gauge in self.read_gauges():
                if gauge.name == name:
                    yield Observation(gauge.value, dict(gauge.labels))

        return observe


def _peak_memory(_options: CallbackOptions) -> Iterable[Observation]:
    yield Observation(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024, {"kind": "peak"})
