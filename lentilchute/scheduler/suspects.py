"""Content that crashes upstreams: suspects, their trial runs, and verdicts shared with peers."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from ..ids import Fingerprint, RequestId

CRASHES_TO_CONDEMN = 2
CRASHES_IN_DOUBT = 3
REMEMBERED_FINGERPRINTS = 10_000

SAME_CRASH_S = 5.0
"""Reports of requests that an upstream cut within this time belong to one crash."""


class PoisonState(Enum):
    """What is known of a fingerprint that was in flight when an upstream crashed."""

    SUSPECT = "suspect"
    CLEARED = "cleared"
    CONDEMNED = "condemned"


@dataclass(frozen=True, slots=True)
class PoisonVerdict:
    """One scheduler's finding about a fingerprint, for its peers.

    ``crashes`` counts the crashes in which the content was in flight; a peer keeps the
    higher count.
    """

    fingerprint: Fingerprint
    state: PoisonState
    crashes: int


class SuspectBook:
    """What one scheduler knows of content that was in flight when upstreams crashed.

    The first crash makes all content that was in flight a suspect. Its next run clears a suspect
    when it completes. A second crash condemns it, unless other content that had not begun to answer
    was new on the same upstream and so is as likely the cause; a third crash condemns in any case.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[Fingerprint, int] = OrderedDict()
        self._condemned: OrderedDict[Fingerprint, None] = OrderedDict()
        self._news: list[PoisonVerdict] = []

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Tell whether content has to run alone among suspects."""
        return fingerprint in self._crashes

    def is_condemned(self, fingerprint: Fingerprint) -> bool:
        """Tell whether content is refused."""
        return fingerprint in self._condemned

    def crashed(self, fingerprint: Fingerprint, has_doubt: bool) -> None:
        """Count a crash in which content was in flight.

        ``has_doubt`` tells that new content was as likely the cause.
        """
        if self.is_condemned(fingerprint):
            return
        crashes = self._crashes.get(fingerprint, 0) + 1
        least = CRASHES_IN_DOUBT if has_doubt else CRASHES_TO_CONDEMN
        if crashes >= least:
            self._condemn(fingerprint, crashes)
        else:
            self._suspect(fingerprint, crashes)
            self._news.append(PoisonVerdict(fingerprint, PoisonState.SUSPECT, crashes))

    def _suspect(self, fingerprint: Fingerprint, crashes: int) -> None:
        self._crashes[fingerprint] = crashes
        self._crashes.move_to_end(fingerprint)
        if len(self._crashes) > REMEMBERED_FINGERPRINTS:
            self._crashes.popitem(last=False)

    def _condemn(self, fingerprint: Fingerprint, crashes: int) -> None:
        self._crashes.pop(fingerprint, None)
        self._condemned[fingerprint] = None
        if len(self._condemned) > REMEMBERED_FINGERPRINTS:
            self._condemned.popitem(last=False)
        self._news.append(PoisonVerdict(fingerprint, PoisonState.CONDEMNED, crashes))

    def completed(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect whose run completed."""
        if self._crashes.pop(fingerprint, None) is not None:
            self._news.append(PoisonVerdict(fingerprint, PoisonState.CLEARED, 0))

    def learn(self, verdict: PoisonVerdict) -> None:
        """Take a peer's verdict; a condemnation stands."""
        fingerprint = verdict.fingerprint
        if self.is_condemned(fingerprint):
            return
        if verdict.state is PoisonState.CLEARED:
            self._crashes.pop(fingerprint, None)
        elif verdict.state is PoisonState.SUSPECT:
            self._suspect(fingerprint, max(verdict.crashes, self._crashes.get(fingerprint, 0)))
        else:
            self._crashes.pop(fingerprint, None)
            self._condemned[fingerprint] = None

    def take_news(self) -> list[PoisonVerdict]:
        """Return this scheduler's own findings since the last call."""
        news = self._news
        self._news = []
        return news


@dataclass(slots=True)
class Crash:
    """One crash of an upstream, as the first report of it showed."""

    at_s: float
    newcomers: frozenset[RequestId]
    """Requests in flight that were no suspects and had not begun to answer."""

    def has_doubt(self, request_id: RequestId) -> bool:
        """Tell whether another request is as likely the cause as a suspect."""
        return bool(self.newcomers - {request_id})
