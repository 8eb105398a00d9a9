"""Metrics of one gateway node, rendered as a page in the Prometheus text format.

Counts and durations are kept in plain containers until a page is first read; only then are the
OpenTelemetry instruments loaded, since their import takes longer than the rest of a node's start.
"""

from collections import Counter
from typing import TYPE_CHECKING

from ..ids import AvailabilityZone, InstanceId, ServiceName
from .metric_names import GaugeSource

if TYPE_CHECKING:
    from .metric_instruments import MetricInstruments

MAX_HELD_DURATIONS = 20_000
"""Durations kept before the instruments are loaded; they then take over, so memory is bounded."""

Labels = tuple[tuple[str, str], ...]


class GatewayMetrics:
    """Metrics of one node; all methods but ``render`` are cheap, and none does I/O."""

    def __init__(self, instance: InstanceId, zone: AvailabilityZone) -> None:
        self._instance = instance
        self._zone = zone
        self.read_gauges: GaugeSource = tuple
        self._instruments: MetricInstruments | None = None
        self._counts: Counter[tuple[str, Labels]] = Counter()
        self._durations_s: list[tuple[str, Labels, float]] = []

    def record_request(self, service: ServiceName | None, outcome: str) -> None:
        """Count a request by its outcome: ``delivered``, ``broken`` or a refusal's cause."""
        self._add("requests", (("service", service or "none"), ("outcome", outcome)))

    def record_attempt(self, service: ServiceName, end: str, *, is_repeat: bool) -> None:
        """Count an attempt by how it ended."""
        repeat = str(is_repeat).lower()
        self._add("attempts", (("service", service), ("end", end), ("repeat", repeat)))

    def record_wait(self, service: ServiceName, wait_s: float) -> None:
        """Record the time from a request's arrival to the start of an attempt."""
        self._record("wait", service, wait_s)

    def record_first_event(self, service: ServiceName, duration_s: float) -> None:
        """Record the time from a request's arrival to its first event or whole answer."""
        self._record("first_event", service, duration_s)

    def record_longest_pause(self, service: ServiceName, pause_s: float) -> None:
        """Record the longest pause between the events of a completed stream."""
        self._record("longest_pause", service, pause_s)

    def record_prompt(self, service: ServiceName, unread_tokens: int, held_tokens: int) -> None:
        """Count the tokens of a prompt by whether its upstream is expected to hold them."""
        for state, tokens in (("unread", unread_tokens), ("held", held_tokens)):
            labels = (("service", service), ("state", state))
            self._add("prompt_tokens", labels, tokens)

    def record_store_call(self, call: str, result: str) -> None:
        """Count a call to the platform's store by its result."""
        self._add("store.calls", (("call", call), ("result", result)))

    def record_crash(self, service: ServiceName) -> None:
        """Count a request that was in flight when its upstream crashed."""
        self._add("crashed_requests", (("service", service),))

    def record_unreachable(self, service: ServiceName) -> None:
        """Count an attempt that ended because this node could not connect to its upstream."""
        self._add("unreachable", (("service", service),))

    def record_coordinator_timeout(self) -> None:
        """Count a request for which the coordinator did not reply in time or declined to decide."""
        self._add("coordinator.silences", ())

    def record_returned_place(self) -> None:
        """Count a place that was given to a request whose caller had just left."""
        self._add("returned_places", ())

    def render(self) -> tuple[str, bytes]:
        """Return the content type and the metrics page, in the Prometheus text format."""
        instruments = self._loaded_instruments()
        return instruments.content_type, instruments.render()

    def close(self) -> None:
        """Shut the SDK's meter provider down, if it was loaded."""
        if self._instruments is not None:
            self._instruments.close()

    def _add(self, name: str, labels: Labels, amount: int = 1) -> None:
        if self._instruments is None:
            self._counts[f"lentilchute.gateway.{name}", labels] += amount
        else:
            self._instruments.add(f"lentilchute.gateway.{name}", amount, dict(labels))

    def _record(self, name: str, service: ServiceName, duration_s: float) -> None:
        full_name, labels = f"lentilchute.gateway.{name}.duration", (("service", service),)
        if self._instruments is not None:
            self._instruments.record(full_name, duration_s, dict(labels))
            return
        self._durations_s.append((full_name, labels, duration_s))
        if len(self._durations_s) >= MAX_HELD_DURATIONS:
            self._loaded_instruments()

    def _loaded_instruments(self) -> "MetricInstruments":
        """Return the instruments; the first call loads them and hands over what was kept."""
        if self._instruments is None:
            from .metric_instruments import MetricInstruments

            instruments = MetricInstruments(self._instance, self._zone, lambda: self.read_gauges())
            for (name, labels), count in self._counts.items():
                instruments.add(name, count, dict(labels))
            for name, labels, duration_s in self._durations_s:
                instruments.record(name, duration_s, dict(labels))
            self._counts.clear()
            self._durations_s.clear()
            self._instruments = instruments
        return self._instruments
