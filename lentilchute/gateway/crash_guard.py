"""Requests that crash each upstream that runs them; free of I/O.

A crash makes suspects of all contents that were in flight there. One that was in flight at a second
crash is refused at every node for a while; one that completes is cleared.
"""

from collections import OrderedDict
from dataclasses import dataclass

import xxhash

from ..ids import Fingerprint, UpstreamId

CRASHES_TO_REFUSE = 2
"""Crashes after which a content is refused: one may be chance, a second at the same content is
not."""
SUSPICION_LIFETIME_S = 60.0
"""Such a request comes again soon or not at all; older suspicions are dropped."""
MAX_SUSPECTS = 10_000
"""Bounds memory; the oldest suspects are dropped first."""


@dataclass(slots=True)
class _Suspect:
    crashes: dict[UpstreamId, float]
    changed_s: float


def fingerprint(method: str, path: str, account_key: str, body: bytes) -> Fingerprint:
    """Return the digest of what a resend of the same request has in common with it."""
    digest = xxhash.xxh3_64()
    for part in (method.encode(), path.encode(), account_key.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())


class CrashGuard:
    """Suspected contents, from this node's crashes and those that peers report."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[Fingerprint, _Suspect] = OrderedDict()

    def record_crash(self, content: Fingerprint, upstream: UpstreamId, now_s: float) -> int:
        """Note that a content was in flight when an upstream crashed; return its crashes so far."""
        suspect = self._suspects.setdefault(content, _Suspect({}, now_s))
        suspect.crashes[upstream] = now_s
        suspect.changed_s = now_s
        self._suspects.move_to_end(content)
        self._evict(now_s)
        return len(suspect.crashes)

    def record_completion(self, content: Fingerprint) -> bool:
        """Clear a content that ran to its end; return whether it was suspected."""
        return self._suspects.pop(content, None) is not None

    def is_refused(self, content: Fingerprint, now_s: float) -> bool:
        """Tell whether a content has crashed too many upstreams to be sent again."""
        suspect = self._suspects.get(content)
        if suspect is None or now_s - suspect.changed_s > SUSPICION_LIFETIME_S:
            return False
        return len(suspect.crashes) >= CRASHES_TO_REFUSE

    def _evict(self, now_s: float) -> None:
        while self._suspects:
            oldest = next(iter(self._suspects.values()))
            is_old = now_s - oldest.changed_s > SUSPICION_LIFETIME_S
            if not is_old and len(self._suspects) <= MAX_SUSPECTS:
                return
            self._suspects.popitem(last=False)
