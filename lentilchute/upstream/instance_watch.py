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
WORD_LASTS_S = 10.0
"""An upstream's own word that it is live counts for this long."""
WRONG_LIST_SHARE = 0.5
"""A list that lacks more than this share of the listed upstreams is taken for wrong."""


class WatchedState(Enum):
    """Whether an upstream takes new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class WatchReason(Enum):
    """Which side a state comes from; for the log line."""

    LISTED = "listed"
    OWN_WORD = "own-word"
    DRAINED = "drained"
    MISSING = "missing"


@dataclass(frozen=True, slots=True)
class WatchChange:
    """An upstream's state changed."""

    upstream: UpstreamId
    state: WatchedState
    reason: WatchReason


@dataclass(slots=True)
class _Watched:
    """What is known about one upstream. Times are when the answer was asked for."""

    from_list: bool
    state: WatchedState = WatchedState.LIVE
    list_says: ListedState | None = None
    list_left_s: float | None = None
    """When a list first showed it leaving, since it was last taken for live."""
    live_since_s: float | None = None
    """Since when every list has shown it live."""
    last_live_s: float = 0.0
    missing_since_s: float | None = None
    word_left_s: float | None = None
    word_live_s: float | None = None
    drained_until_s: float | None = None


class InstanceWatch:
    """The upstreams of all services as one node sees them."""

    def __init__(self) -> None:
        self._watched: dict[UpstreamId, _Watched] = {}
        self._list_asked_s = 0.0

    def watch(self, upstream: UpstreamId, *, from_list: bool) -> None:
        """Begin with an upstream that a document names or the list brought."""
        known = self._watched.setdefault(upstream, _Watched(from_list))
        known.from_list = from_list

    def forget(self, upstream: UpstreamId) -> None:
        """Drop an upstream that no document names or selects any more."""
        self._watched.pop(upstream, None)

    def state(self, upstream: UpstreamId) -> WatchedState:
        """Return the state; gone for an upstream that is not watched."""
        known = self._watched.get(upstream)
        return WatchedState.GONE if known is None else known.state

    def list_answered(
        self, listed: Iterable[ListedInstance], asked_s: float, now_s: float
    ) -> list[WatchChange]:
        """Take the platform's list; one asked earlier than the last counts only for leaving."""
        states = {UpstreamId(item.name): item.state for item in listed}
        is_newer = asked_s >= self._list_asked_s
        self._list_asked_s = max(asked_s, self._list_asked_s)
        if is_newer and not self._is_wrong(states):
            self._note_missing(states, asked_s)
        for upstream, listed_state in states.items():
            known = self._watched.get(upstream)
            if known is not None and (is_newer or listed_state is ListedState.LEAVING):
                _note_listed(known, listed_state, asked_s)
        return self.tick(now_s)

    def record_self_report(
        self, upstream: UpstreamId, *, leaving: bool, asked_s: float, now_s: float
    ) -> list[WatchChange]:
        """Take what the upstream said about itself."""
        known = self._watched.get(upstream)
        if known is None:
            return []
        if leaving:
            known.word_left_s = max(asked_s, known.word_left_s or asked_s)
            known.word_live_s = None
        elif known.word_left_s is None or asked_s > known.word_left_s:
            known.word_live_s = max(asked_s, known.word_live_s or asked_s)
        return self.tick(now_s)

    def drain(self, upstream: UpstreamId, until_s: float, now_s: float) -> list[WatchChange]:
        """An operator or an order takes the upstream out; ``math.inf`` until it is undone."""
        known = self._watched.get(upstream)
        if known is not None:
            known.drained_until_s = until_s
        return self.tick(now_s)

    def undrain(self, upstream: UpstreamId, now_s: float) -> list[WatchChange]:
        """End a drain; what the list or the upstream say stays in force."""
        known = self._watched.get(upstream)
        if known is not None:
            known.drained_until_s = None
        return self.tick(now_s)

    def tick(self, now_s: float) -> list[WatchChange]:
        """Work out all states anew, and return what changed."""
        changes: list[WatchChange] = []
        for upstream, known in self._watched.items():
            _forget_departure(known)
            state, reason = _judge(known, now_s)
            if state is WatchedState.GONE:
                # A last word may still come in while it is gone.
                _begin_anew(known)
            if state is not known.state:
                known.state = state
                changes.append(WatchChange(upstream, state, reason))
        return changes

    def _is_wrong(self, states: dict[UpstreamId, ListedState]) -> bool:
        present = [
            name
            for name, known in self._watched.items()
            if known.from_list and known.state is not WatchedState.GONE
        ]
        missing = [name for name in present if name not in states]
        return len(present) > 1 and len(missing) > WRONG_LIST_SHARE * len(present)

    def _note_missing(self, states: dict[UpstreamId, ListedState], asked_s: float) -> None:
        for upstream, known in self._watched.items():
            if not known.from_list or upstream in states:
                known.missing_since_s = None
                continue
            known.live_since_s = None
            if known.missing_since_s is None:
                known.missing_since_s = asked_s


def _note_listed(known: _Watched, listed_state: ListedState, asked_s: float) -> None:
    known.list_says = listed_state
    if listed_state is ListedState.LEAVING:
        known.list_left_s = asked_s
        known.live_since_s = None
        return
    known.last_live_s = asked_s
    if known.live_since_s is None:
        known.live_since_s = asked_s


def _forget_departure(known: _Watched) -> None:
    """Take the upstream for live again where its own word or a settled list allows it."""
    if known.word_live_s is not None:
        known.word_left_s = None
    if known.list_left_s is None or known.list_says is ListedState.LEAVING:
        return
    word_is_later = known.word_live_s is not None and known.word_live_s > known.list_left_s
    if word_is_later or _list_is_settled(known):
        known.list_left_s = None


def _begin_anew(known: _Watched) -> None:
    """What comes back under this name is another run, whose word the earlier one cannot give."""
    known.live_since_s = None
    if known.word_left_s is not None:
        known.list_left_s = known.word_left_s
        known.word_left_s = None


def _list_is_settled(known: _Watched) -> bool:
    if known.live_since_s is None or known.list_left_s is None:
        return False
    return known.last_live_s - known.live_since_s >= LIST_SETTLE_S


def _judge(known: _Watched, now_s: float) -> tuple[WatchedState, WatchReason]:
    if _is_missing(known, now_s):
        return WatchedState.GONE, WatchReason.MISSING
    if known.word_left_s is not None:
        return WatchedState.LEAVING, WatchReason.OWN_WORD
    if known.list_left_s is not None:
        return WatchedState.LEAVING, WatchReason.LISTED
    if known.drained_until_s is not None and now_s < known.drained_until_s:
        return WatchedState.LEAVING, WatchReason.DRAINED
    return WatchedState.LIVE, WatchReason.LISTED


def _is_missing(known: _Watched, now_s: float) -> bool:
    if known.missing_since_s is None or now_s - known.missing_since_s < GONE_AFTER_S:
        return False
    return known.word_live_s is None or now_s - known.word_live_s > WORD_LASTS_S
