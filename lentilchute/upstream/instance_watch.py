"""Decides which upstreams take new work, without I/O.

The inputs are the platform's list of instances, the upstreams' own state reports and operators'
drains. The list lags, may be served by replicas of different age, and may be wrong. A leaving
state from any source applies at once. The return to live is slower: an upstream seen leaving
becomes live again when

- it reports itself live, in reply to a request sent after it was seen leaving, and the last list
  does not show it leaving; or
- every list requested during ``LIST_SETTLE_S`` shows it live, and its last own report does not say
  that it is leaving.

An upstream missing from the list is gone only when it stays missing and does not report itself
live. A list that lacks most of the known upstreams at once marks none of them as missing.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from ..ids import UpstreamId
from ..state.platform_services import ListedInstance, ListedState

LIST_SETTLE_S = 10.0
"""How long lists must show a leaving upstream live before it returns without its own report.

Should exceed the lag of the platform's list; nothing checks this.
"""
GONE_AFTER_S = 10.0
"""An upstream missing from the list for this long is gone unless it reports itself live."""
SELF_REPORT_TTL_S = 10.0
"""How long an upstream's own report that it is live keeps it from being gone."""
MAX_MISSING_SHARE = 0.5
"""A list that lacks more than this share of the known listed upstreams is implausible."""


class WatchedState(Enum):
    """Whether an upstream takes new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class WatchReason(Enum):
    """Which input a state comes from, for the log."""

    LISTED = "listed"
    SELF_REPORTED = "own-word"
    DRAINED = "drained"
    MISSING = "missing"


@dataclass(frozen=True, slots=True)
class WatchChange:
    """A change of an upstream's state."""

    upstream: UpstreamId
    state: WatchedState
    reason: WatchReason


@dataclass(slots=True)
class _UpstreamRecord:
    """What is known about one upstream. Times are when the list or report was requested."""

    from_list: bool
    """Whether its group has a selector, so that the list should contain it."""
    state: WatchedState = WatchedState.LIVE
    last_listed_state: ListedState | None = None
    listed_leaving_s: float | None = None
    """Time of the last applied list that showed it leaving; ``None`` once it is live again."""
    listed_live_since_s: float | None = None
    """Time of the first of the consecutive lists that have shown it live."""
    last_listed_live_s: float = 0.0
    missing_since_s: float | None = None
    self_reported_leaving_s: float | None = None
    self_reported_live_s: float | None = None
    drained_until_s: float | None = None


class InstanceWatch:
    """Tracks the upstreams of all services as one node sees them."""

    def __init__(self) -> None:
        self._records: dict[UpstreamId, _UpstreamRecord] = {}
        self._newest_list_asked_s = 0.0

    def add_upstream(self, upstream: UpstreamId, *, from_list: bool) -> None:
        """Start to track an upstream that a document names or the list contains."""
        record = self._records.setdefault(upstream, _UpstreamRecord(from_list))
        record.from_list = from_list

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Stop tracking an upstream that no document names or selects any more."""
        self._records.pop(upstream, None)

    def state(self, upstream: UpstreamId) -> WatchedState:
        """Return an upstream's state; ``GONE`` when it is not tracked."""
        record = self._records.get(upstream)
        return WatchedState.GONE if record is None else record.state

    def apply_list(
        self, listed: Iterable[ListedInstance], asked_s: float, now_s: float
    ) -> list[WatchChange]:
        """Apply the platform's list and return the changes.

        Of a list requested before the newest applied one, only leaving states are used.
        """
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
        """Record an upstream's own report of its state and return the changes."""
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
        """Give the upstream no new work until ``until_s``; ``math.inf`` until ``undrain``."""
        record = self._records.get(upstream)
        if record is not None:
            record.drained_until_s = until_s
        return self.tick(now_s)

    def undrain(self, upstream: UpstreamId, now_s: float) -> list[WatchChange]:
        """End a drain; the list and the upstream's own report still apply."""
        record = self._records.get(upstream)
        if record is not None:
            record.drained_until_s = None
        return self.tick(now_s)

    def tick(self, now_s: float) -> list[WatchChange]:
        """Update all states and return the changes."""
        changes: list[WatchChange] = []
        for upstream, record in self._records.items():
            _clear_leaving(record)
            state, reason = _derive_state(record, now_s)
            if state is WatchedState.GONE:
                # Repeated at each tick, since a late report may still arrive while it is gone.
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
    """Clear the leaving marks that a later own report or settled lists have superseded."""
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
    """Reset what must not apply to the next instance under this name.

    A leaving report binds only the process that sent it. It is kept as a leaving state of the list,
    which settled lists can clear even if the next instance does not report itself live.
    """
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
