"""Detects requests that crash the upstreams that run them; free of I/O.

A crash makes all requests in flight at the upstream suspects. A request that was in flight when
several incarnations of upstreams crashed, be it other upstreams or the same one started again, is
refused at every node for a while; a request that completes is cleared. A crash after the first
event of an answer says less: a sound stream is in flight for long, and goes on elsewhere.

A node that starts knows of no crash. Others tell it, and the store keeps what is refused::

    for notice in guard.crashes(now_s): ...     # to a node that has started
    for notice in guard.refused(now_s): ...     # to the store
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from ..ids import Fingerprint
from .departures import Incarnation
from .messages import CrashNotice

SUSPICION_TO_REFUSE = 6
"""A request is refused from this suspicion on: after two crashes before its answers began, or three
of any kind. One crash may be a coincidence."""
SUSPICION_BEFORE_ANSWER = 3
SUSPICION_AFTER_FIRST_EVENT = 2
SUSPICION_LIFETIME_S = 60.0
"""Such a request is resent soon or not at all, so older suspicions expire."""
MAX_SUSPECTS = 10_000
"""Bounds memory; the oldest suspects are dropped first."""
MAX_TOLD = 500
"""Bounds what is told and stored at a time; those that crashed upstreams last come first."""


@dataclass(slots=True)
class _Crash:
    """A crash of an upstream, as far as it speaks against one request."""

    suspicion: int
    at_s: float


@dataclass(slots=True)
class _Suspect:
    crashes: dict[Incarnation, _Crash] = field(default_factory=dict)

    @property
    def last_crash_s(self) -> float:
        """Time of the last crash."""
        return max(crash.at_s for crash in self.crashes.values())

    @property
    def is_convicted(self) -> bool:
        """Whether the crashes are enough to refuse the request."""
        return sum(crash.suspicion for crash in self.crashes.values()) >= SUSPICION_TO_REFUSE

    def add(self, incarnation: Incarnation, suspicion: int, at_s: float) -> bool:
        """Add a crash; return whether it says more than what is known of it."""
        known = self.crashes.get(incarnation)
        if known is None:
            self.crashes[incarnation] = _Crash(suspicion, at_s)
            return True
        # Of several reports of one crash, the first one is closest to it.
        known.at_s = min(known.at_s, at_s)
        is_news = suspicion > known.suspicion
        known.suspicion = max(suspicion, known.suspicion)
        return is_news


def fingerprint(method: str, path: str, account_key: str, body: bytes) -> Fingerprint:
    """Return a digest that is the same for every resend of a request."""
    digest = xxhash.xxh3_64()
    for part in (method.encode(), path.encode(), account_key.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())


class CrashGuard:
    """Suspected requests by fingerprint, from this node's crashes and those that peers report."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[Fingerprint, _Suspect] = OrderedDict()
        self._cleared_s: OrderedDict[Fingerprint, float] = OrderedDict()
        """When suspects were cleared, so that a late word of an earlier crash is not news."""

    def record_crash(
        self,
        content: Fingerprint,
        incarnation: Incarnation,
        at_s: float,
        *,
        had_begun: bool = False,
    ) -> int:
        """Record that a request was in flight when an incarnation of an upstream crashed; return
        the number of incarnations that have crashed with it, 0 if that was known.

        ``had_begun`` says that the first event of its answer had come. Several nodes may report one
        crash.
        """
        if at_s <= self._cleared_s.get(content, float("-inf")):
            return 0
        suspicion = SUSPICION_AFTER_FIRST_EVENT if had_begun else SUSPICION_BEFORE_ANSWER
        suspect = self._suspects.setdefault(content, _Suspect())
        if not suspect.add(incarnation, suspicion, at_s):
            return 0
        self._suspects.move_to_end(content)
        self._evict(at_s)
        return len(suspect.crashes)

    def record_completion(self, content: Fingerprint, now_s: float) -> bool:
        """Clear a request that completed; return whether it was a suspect."""
        if self._suspects.pop(content, None) is None:
            return False
        self._cleared_s[content] = now_s
        self._cleared_s.move_to_end(content)
        if len(self._cleared_s) > MAX_SUSPECTS:
            self._cleared_s.popitem(last=False)
        return True

    def is_refused(self, content: Fingerprint, now_s: float) -> bool:
        """Return whether a request has crashed too many incarnations to be sent again."""
        suspect = self._suspects.get(content)
        return suspect is not None and _is_recent(suspect, now_s) and suspect.is_convicted

    def crashes(self, now_s: float) -> tuple[CrashNotice, ...]:
        """Return the crashes of all suspects, for nodes that were not told of them."""
        return _notices(self._recent(now_s), now_s)

    def refused(self, now_s: float) -> tuple[CrashNotice, ...]:
        """Return the crashes of the requests that are refused."""
        recent = self._recent(now_s)
        return _notices([item for item in recent if item[1].is_convicted], now_s)

    def _recent(self, now_s: float) -> list[tuple[Fingerprint, _Suspect]]:
        """Return the suspects, those that are refused first, and the latest first among equals."""
        found = [item for item in self._suspects.items() if _is_recent(item[1], now_s)]
        found.sort(key=lambda item: (item[1].is_convicted, item[1].last_crash_s), reverse=True)
        return found[:MAX_TOLD]

    def _evict(self, now_s: float) -> None:
        while self._suspects:
            oldest = next(iter(self._suspects.values()))
            if _is_recent(oldest, now_s) and len(self._suspects) <= MAX_SUSPECTS:
                return
            self._suspects.popitem(last=False)


def _is_recent(suspect: _Suspect, now_s: float) -> bool:
    return now_s - suspect.last_crash_s <= SUSPICION_LIFETIME_S


def _notices(
    suspects: Iterable[tuple[Fingerprint, _Suspect]], now_s: float
) -> tuple[CrashNotice, ...]:
    """Return a notice for each crash that speaks against some of the suspects."""
    found: dict[Incarnation, list[tuple[Fingerprint, _Crash]]] = {}
    for content, suspect in suspects:
        for incarnation, crash in suspect.crashes.items():
            found.setdefault(incarnation, []).append((content, crash))
    return tuple(
        CrashNotice(
            upstream=upstream,
            contents=tuple(content for content, _ in crashes),
            started_ms=started_ms,
            prompts=(),
            begun=tuple(
                content
                for content, crash in crashes
                if crash.suspicion == SUSPICION_AFTER_FIRST_EVENT
            ),
            age_s=max(0.0, now_s - max(crash.at_s for _, crash in crashes)),
        )
        for (upstream, started_ms), crashes in found.items()
    )
