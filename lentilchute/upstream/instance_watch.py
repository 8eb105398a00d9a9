"""Which upstreams take new work: the platform's list, their own word and operators' drains; no I/O.

The list lags, may be served by copies of unlike age, and may be wrong. A leaving state counts at
once, from whichever side it comes. The way back is slower: an upstream that was seen leaving is
live again when it says so itself, asked after that, while the list does not contradict it, or when
every list asked over ``LIST_SETTLE_S`` shows it live and it has not itself said that it leaves.

An upstream that is missing from the list is given up only when it stays missing and says nothing
itself; a list that lacks most of the known upstreams at once is taken for wrong.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from ..ids import UpstreamId
from ..state.platform_services import ListedInstance, ListedState

LIST_SETTLE_S = 10.0
"""Longer than the list's usual lag: a change back to live is believed after this long."""
GONE_AFTER_S = 10.0
"""An upstream missing from the list for this long, and silent, is gone."""
SELF_REPORT_TTL_S = 10.0
"""An upstream's own word that it is live counts for this long."""
MAX_MISSING_SHARE = 0.5
"""A list that lacks more than this share of the listed upstreams is taken for wrong."""


class WatchedState(Enum):
    """Whether an upstream takes new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class WatchReason(Enum):
    """Which side a state comes from; for the log line."""

    LISTED = "listed"
    SELF_REPORTED = "own-word"
    DRAINED = "drained"
    MISSING = "missing"


@dataclass(frozen=True, slots=True)
class WatchChange:
    """An upstream's state changed."""

    upstream: UpstreamId
    state: WatchedState
    reason: WatchReason


@dataclass(slots=True)
class _UpstreamRecord:
    """What is known about one upstream. Times are when the answer was asked for."""

    from_list: bool
    state: WatchedState = WatchedState.LIVE
    last_listed_state: ListedState | None = None
    listed_leaving_s: float | None = None
    """When a list first showed it leaving, since it was last taken for live."""
    listed_live_since_s: float | None = None
    """Since when every list has shown it live."""
    last_listed_live_s: float = 0.0
    missing_since_s: float | None = None
    self_reported_leaving_s: float | None = None
    self_reported_live_s: float | None = None
    drained_until_s: float | None = None


class InstanceWatch:
    """The upstreams of all services as one node sees them."""

    def __init__(self) -> None:
        self._records: dict[UpstreamId, _UpstreamRecord] = {}
        self._newest_list_asked_s = 0.0

    def add_upstream(self, upstream: UpstreamId, *, from_list: bool) -> None:
        """Begin with an upstream that a document names or the list brought."""
        record = self._records.setdefault(upstream, _UpstreamRecord(from_list))
        record.from_list = from_list

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Drop an upstream that no document names or selects any more."""
        self._records.pop(upstream, None)

    def state(self, upstream: UpstreamId) -> WatchedState:
        """Return the state; gone for an upstream that is not watched."""
        record = self._records.get(upstream)
        return WatchedState.GONE if record is None else record.state

    def apply_list(
        self, listed: Iterable[ListedInstance], asked_s: float, now_s: float
    ) -> list[WatchChange]:
        """Take the platform's list; one asked earlier than the last counts only for leaving."""
        states = {UpstreamId(item.name): item.state for item in listed}
        is_newer = asked_s >= self._newest_list_asked_s
        self._newest_list_asked_s = max(asked_s, self._newest_list_asked_s)
        if is_newer and not self._is_implausible(states):
            self._record_missing(states, asked_s)
        for upstream, listed_state in states.items():
            record = self._records.get(upstream)
            if record is not None and (is_newer or listed_state is ListedState.LEAVING):
                _record_listed(record, listed_state, asked_s)
        return self.tick(now_s)

    def record_self_report(
        self, upstream: UpstreamId, *, leaving: bool, asked_s: float, now_s: float
    ) -> list[WatchChange]:
        """Take what the upstream said about itself."""
        record = self._records.get(upstream)
        if record is None:
            return []
        if leaving:
            record.self_reported_leaving_s = max(asked_s, record.self_reported_leaving_s or asked_s)
            record.self_reported_live_s = None
        elif record.self_reported_leaving_s is None or asked_s > record.self_reported_leaving_s:
            record.self_reported_live_s = max(asked_s, record.self_reported_live_s or asked_s)
        return self.tick(now_s)

    def drain(self, upstream: UpstreamId, until_s: float, now_s: float) -> list[WatchChange]:
        """An operator or an order takes the upstream out; ``math.inf`` until it is undone."""
        record = self._records.get(upstream)
        if record is not None:
            record.drained_until_s = until_s
        return self.tick(now_s)

    def undrain(self, upstream: UpstreamId, now_s: float) -> list[WatchChange]:
        """End a drain; what the list or the upstream say stays in force."""
        record = self._records.get(upstream)
        if record is not None:
            record.drained_until_s = None
        return self.tick(now_s)

    def tick(self, now_s: float) -> list[WatchChange]:
        """Work out all states anew, and return what changed."""
        changes: list[WatchChange] = []
        for upstream, record in self._records.items():
            _clear_leaving(record)
            state, reason = _derive_state(record, now_s)
            if state is WatchedState.GONE:
                # A last word may still come in while it is gone.
                _reset_after_gone(record)
            if state is not record.state:
                record.state = state
                changes.append(WatchChange(upstream, state, reason))
        return changes

    def _is_implausible(self, states: dict[UpstreamId, ListedState]) -> bool:
        present = [
            name
            for name, record in self._records.items()
            if record.from_list and record.state is not WatchedState.GONE
        ]
        missing = [name for name in present if name not in states]
        return len(present) > 1 and len(missing) > MAX_MISSING_SHARE * len(present)

    def _record_missing(self, states: dict[UpstreamId, ListedState], asked_s: float) -> None:
        for upstream, record in self._records.items():
            if not record.from_list or upstream in states:
                record.missing_since_s = None
                continue
            record.listed_live_since_s = None
            if record.missing_since_s is None:
                record.missing_since_s = asked_s


def _record_listed(record: _UpstreamRecord, listed_state: ListedState, asked_s: float) -> None:
    record.last_listed_state = listed_state
    if listed_state is ListedState.LEAVING:
        record.listed_leaving_s = asked_s
        record.listed_live_since_s = None
        return
    record.last_listed_live_s = asked_s
    if record.listed_live_since_s is None:
        record.listed_live_since_s = asked_s


def _clear_leaving(record: _UpstreamRecord) -> None:
    """Take the upstream for live again where its own word or a settled list allows it."""
    if record.self_reported_live_s is not None:
        record.self_reported_leaving_s = None
    if record.listed_leaving_s is None or record.last_listed_state is ListedState.LEAVING:
        return
    is_reported_live_since = (
        record.self_reported_live_s is not None
        and record.self_reported_live_s > record.listed_leaving_s
    )
    if is_reported_live_since or _is_list_settled(record):
        record.listed_leaving_s = None


def _reset_after_gone(record: _UpstreamRecord) -> None:
    """What comes back under this name is another run, whose word the earlier one cannot give."""
    record.listed_live_since_s = None
    if record.self_reported_leaving_s is not None:
        record.listed_leaving_s = record.self_reported_leaving_s
        record.self_reported_leaving_s = None


def _is_list_settled(record: _UpstreamRecord) -> bool:
    if record.listed_live_since_s is None or record.listed_leaving_s is None:
        return False
    return record.last_listed_live_s - record.listed_live_since_s >= LIST_SETTLE_S


def _derive_state(record: _UpstreamRecord, now_s: float) -> tuple[WatchedState, WatchReason]:
    if _is_gone(record, now_s):
        return WatchedState.GONE, WatchReason.MISSING
    if record.self_reported_leaving_s is not None:
        return WatchedState.LEAVING, WatchReason.SELF_REPORTED
    if record.listed_leaving_s is not None:
        return WatchedState.LEAVING, WatchReason.LISTED
    if record.drained_until_s is not None and now_s < record.drained_until_s:
        return WatchedState.LEAVING, WatchReason.DRAINED
    return WatchedState.LIVE, WatchReason.LISTED


def _is_gone(record: _UpstreamRecord, now_s: float) -> bool:
    if record.missing_since_s is None or now_s - record.missing_since_s < GONE_AFTER_S:
        return False
    return (
        record.self_reported_live_s is None
        or now_s - record.self_reported_live_s > SELF_REPORT_TTL_S
    )
