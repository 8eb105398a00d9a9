"""The events of one request, merged from the logs of several nodes; does no I/O.

A log line may have a prefix added by a log collector; the JSON event starts at the first brace.
Lines of other programs are skipped; a line that looks like an event but cannot be parsed is listed.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

MESSAGE_PREFIX = "lentilchute:"
_METADATA_FIELDS = frozenset({"message_type", "number", "timestamp", "task_uuid", "task_level"})

_FINAL_EVENTS = frozenset({"request_finished", "request_refused", "request_broken", "caller_gone"})

_REFUSAL_TEXTS = {
    "no-configuration": "the node had not received a configuration yet",
    "no-route": "no route of the configuration in force matches its host and path",
    "unknown-key": "its key belongs to no account of the configuration in force",
    "crashes-upstreams": "it or a part of its prompt was in flight at several upstream crashes",
    "over-quota": "its account's quota was used up",
    "stopping": "the node was at the end of a planned stop",
    "no-upstream": "no upstream of its service was known to take work",
    "overloaded": "no upstream had free capacity in time",
    "not-executed": "every upstream that was tried reported that it did not run it",
    "upstream-failed": "an upstream may have run it and its answer was lost",
    "timed-out": "its deadline passed after it was sent to an upstream",
}


@dataclass(frozen=True, slots=True)
class TimelineEvent:
    """One event of the request."""

    at_s: float
    node: str
    event: str
    fields: dict[str, Any]


@dataclass(slots=True)
class RequestTimeline:
    """All events of one request, ordered by time."""

    request_id: str
    lines: list[TimelineEvent] = field(default_factory=list)
    unreadable: list[str] = field(default_factory=list)
    """Locations of lines that look like events but cannot be parsed."""

    @property
    def cause(self) -> str:
        """The outcome of the request and its reason, in one sentence."""
        final_events = [line for line in self.lines if line.event in _FINAL_EVENTS]
        if not final_events:
            return "the end of the request is not logged: the node ended, or its log is missing"
        return _describe_cause(final_events[-1], self.lines)


def read_timeline(request_id: str, sources: Iterable[tuple[str, Iterable[str]]]) -> RequestTimeline:
    """Collect the request's events from ``sources``, pairs of a log's name and its lines.

    The last word of a line's prefix names its node; a line without a prefix gets the log's name.
    """
    timeline = RequestTimeline(request_id)
    for name, lines in sources:
        for number, text in enumerate(lines, start=1):
            line = _parse_line(text, name)
            if line is None:
                if MESSAGE_PREFIX in text:
                    timeline.unreadable.append(f"{name}:{number}")
            elif line.fields.get("request_id") == request_id:
                timeline.lines.append(line)
    timeline.lines.sort(key=lambda line: line.at_s)
    return timeline


def describe(line: TimelineEvent) -> str:
    """Return the event's fields as text."""
    shown = {name: value for name, value in line.fields.items() if name != "request_id"}
    return " ".join(f"{name}={_format_value(value)}" for name, value in shown.items())


def _parse_line(text: str, name: str) -> TimelineEvent | None:
    start = text.find("{")
    if start < 0 or MESSAGE_PREFIX not in text:
        return None
    try:
        message = json.loads(text[start:])
    except ValueError:
        return None
    message_type = message.get("message_type")
    if not isinstance(message_type, str) or not message_type.startswith(MESSAGE_PREFIX):
        return None
    prefix = text[:start].split()
    fields = {key: value for key, value in message.items() if key not in _METADATA_FIELDS}
    return TimelineEvent(
        at_s=float(message.get("timestamp", 0.0)),
        node=prefix[-1] if prefix else name,
        event=message_type.removeprefix(MESSAGE_PREFIX),
        fields=fields,
    )


def _describe_cause(final_event: TimelineEvent, lines: list[TimelineEvent]) -> str:
    fields = final_event.fields
    if final_event.event == "request_finished" and "status" in fields:
        return f"its upstream failed it with {fields['status']}{_describe_last_attempt(lines)}"
    if final_event.event == "request_finished":
        return (
            f"it was answered after {fields.get('took_s', '?')} s{_describe_timing(fields, lines)}"
        )
    if final_event.event == "caller_gone":
        return f"its caller disconnected{_describe_last_attempt(lines)}"
    if final_event.event == "request_broken":
        reason = fields.get("reason")
        return (
            f"its stream was cut after {fields.get('events')} events: {reason}"
            + _describe_last_attempt(lines)
        )
    reason = str(fields.get("reason"))
    refusal_text = _REFUSAL_TEXTS.get(reason, reason)
    return f"it was answered {fields.get('status')}: {refusal_text}{_describe_last_attempt(lines)}"


def _describe_timing(fields: dict[str, Any], lines: list[TimelineEvent]) -> str:
    first_s, pause_s = fields.get("first_event_s"), fields.get("longest_pause_s")
    if first_s is None:
        return _describe_last_attempt(lines)
    expected = [line.fields.get("expected_s") for line in lines if line.event == "attempt_started"]
    expectation = f", expected {expected[-1]} s" if expected else ""
    return (
        f": first event at {first_s} s{expectation}, longest pause {pause_s} s"
        + _describe_last_attempt(lines)
    )


def _describe_last_attempt(lines: list[TimelineEvent]) -> str:
    started = [line for line in lines if line.event == "attempt_started"]
    ended = [line for line in lines if line.event == "attempt_ended"]
    if not started:
        return ""
    text = f"; sent to {len(started)} upstream(s), last {started[-1].fields.get('upstream')}"
    if ended:
        text += f", where the attempt ended {ended[-1].fields.get('end')}"
    return text


def _format_value(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)
