"""Detection of content that crashes upstreams, with verdicts shared between schedulers."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from ..ids import Fingerprint, RequestId

CRASHES_TO_CONDEMN = 2
CRASHES_TO_CONDEMN_AMBIGUOUS = 3
"""Crashes that condemn content even if another request is as likely the cause of the last one."""
MAX_FINGERPRINTS = 10_000
"""Maximum number of suspect fingerprints, and of condemned ones, that are kept."""

SAME_CRASH_S = 5.0
"""Reports of requests that failed on an upstream within this time belong to one crash."""


class PoisonState(Enum):
    """State of a fingerprint that was in flight when an upstream crashed."""

    SUSPECT = "suspect"
    CLEARED = "cleared"
    CONDEMNED = "condemned"


@dataclass(frozen=True, slots=True)
class PoisonVerdict:
    """One scheduler's verdict on a fingerprint, for its peers.

    ``crashes`` counts the crashes in which the content was in flight; a peer keeps the
    higher count.
    """

    fingerprint: Fingerprint
    state: PoisonState
    crashes: int


class SuspectTracker:
    """Tracks the content that was in flight when upstreams crashed.

    The first crash marks all content in flight as suspect. A suspect is cleared when it next
    completes. A second crash condemns it, unless a request that is not a suspect and had not begun
    to answer was in flight too and is as likely the cause; a third crash condemns in any case.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[Fingerprint, int] = OrderedDict()
        self._condemned: OrderedDict[Fingerprint, None] = OrderedDict()
        self._new_verdicts: list[PoisonVerdict] = []

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether content must not run beside another suspect."""
        return fingerprint in self._crashes

    def is_condemned(self, fingerprint: Fingerprint) -> bool:
        """Return whether content is refused."""
        return fingerprint in self._condemned

    def record_crash(self, fingerprint: Fingerprint, has_other_cause: bool) -> None:
        """Record a crash with content in flight.

        ``has_other_cause`` is set when other content was as likely the cause.
        """
        if self.is_condemned(fingerprint):
            return
        crashes = self._crashes.get(fingerprint, 0) + 1
        threshold = CRASHES_TO_CONDEMN_AMBIGUOUS if has_other_cause else CRASHES_TO_CONDEMN
        if crashes >= threshold:
            self._condemn(fingerprint, crashes)
        else:
            self._mark_suspect(fingerprint, crashes)
            self._new_verdicts.append(PoisonVerdict(fingerprint, PoisonState.SUSPECT, crashes))

    def _mark_suspect(self, fingerprint: Fingerprint, crashes: int) -> None:
        self._crashes[fingerprint] = crashes
        self._crashes.move_to_end(fingerprint)
        if len(self._crashes) > MAX_FINGERPRINTS:
            self._crashes.popitem(last=False)

    def _condemn(self, fingerprint: Fingerprint, crashes: int) -> None:
        self._crashes.pop(fingerprint, None)
        self._condemned[fingerprint] = None
        if len(self._condemned) > MAX_FINGERPRINTS:
            self._condemned.popitem(last=False)
        self._new_verdicts.append(PoisonVerdict(fingerprint, PoisonState.CONDEMNED, crashes))

    def record_completion(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect that completed."""
        if self._crashes.pop(fingerprint, None) is not None:
            self._new_verdicts.append(PoisonVerdict(fingerprint, PoisonState.CLEARED, 0))

    def apply_peer_verdict(self, verdict: PoisonVerdict) -> None:
        """Apply a peer's verdict; condemned content stays condemned."""
        fingerprint = verdict.fingerprint
        if self.is_condemned(fingerprint):
            return
        if verdict.state is PoisonState.CLEARED:
            self._crashes.pop(fingerprint, None)
        elif verdict.state is PoisonState.SUSPECT:
            self._mark_suspect(fingerprint, max(verdict.crashes, self._crashes.get(fingerprint, 0)))
        else:
            self._crashes.pop(fingerprint, None)
            self._condemned[fingerprint] = None

    def pop_new_verdicts(self) -> list[PoisonVerdict]:
        """Return the verdicts that this scheduler reached since the last call."""
        verdicts = self._new_verdicts
        self._new_verdicts = []
        return verdicts


@dataclass(slots=True)
class Crash:
    """One crash of an upstream, as of its first report."""

    at_s: float
    possible_causes: frozenset[RequestId]
    """Requests in flight that were not suspects and had not begun to answer."""

    def has_other_cause(self, request_id: RequestId) -> bool:
        """Return whether another request is as likely the cause."""
        return bool(self.possible_causes - {request_id})
