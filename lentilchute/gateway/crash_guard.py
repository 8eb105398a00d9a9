"""Detects requests that crash the upstreams that run them; free of I/O.

A crash makes all requests in flight at the upstream suspects. A request that was in flight when
several incarnations of upstreams crashed, be it other upstreams or the same one started again, is
refused at every node for a while; a request that completes is cleared. A crash after the first
event of an answer says less: a sound stream is in flight for long, and goes on elsewhere.
"""

from collections import OrderedDict
from dataclasses import dataclass

import xxhash

from ..ids import Fingerprint
from .departures import Incarnation

SUSPICION_TO_REFUSE = 6
"""A request is refused from this suspicion on: after two crashes before its answers began, or three
of any kind. One crash may be a coincidence."""
SUSPICION_BEFORE_ANSWER = 3
SUSPICION_AFTER_FIRST_EVENT = 2
SUSPICION_LIFETIME_S = 60.0
"""Such a request is resent soon or not at all, so older suspicions expire."""
MAX_SUSPECTS = 10_000
"""Bounds memory; the oldest suspects are dropped first."""


@dataclass(slots=True)
class _Suspect:
    crashes: dict[Incarnation, int]
    """Suspicion that each crash adds."""
    changed_s: float


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

    def record_crash(
        self,
        content: Fingerprint,
        incarnation: Incarnation,
        now_s: float,
        *,
        had_begun: bool = False,
    ) -> int:
        """Record that a request was in flight when an incarnation of an upstream crashed; return
        the number of incarnations that have crashed with it.

        ``had_begun`` says that the first event of its answer had come. Several nodes may report one
        crash.
        """
        suspect = self._suspects.setdefault(content, _Suspect({}, now_s))
        added = SUSPICION_AFTER_FIRST_EVENT if had_begun else SUSPICION_BEFORE_ANSWER
        suspect.crashes[incarnation] = max(added, suspect.crashes.get(incarnation, 0))
        suspect.changed_s = now_s
        self._suspects.move_to_end(content)
        self._evict(now_s)
        return len(suspect.crashes)

    def record_completion(self, content: Fingerprint) -> bool:
        """Clear a request that completed; return whether it was a suspect."""
        return self._suspects.pop(content, None) is not None

    def is_refused(self, content: Fingerprint, now_s: float) -> bool:
        """Return whether a request has crashed too many incarnations to be sent again."""
        suspect = self._suspects.get(content)
        if suspect is None or now_s - suspect.changed_s > SUSPICION_LIFETIME_S:
            return False
        return sum(suspect.crashes.values()) >= SUSPICION_TO_REFUSE

    def _evict(self, now_s: float) -> None:
        while self._suspects:
            oldest = next(iter(self._suspects.values()))
            is_old = now_s - oldest.changed_s > SUSPICION_LIFETIME_S
            if not is_old and len(self._suspects) <= MAX_SUSPECTS:
                return
            self._suspects.popitem(last=False)
