"""Versions of the service documents in force on this node; free of I/O.

A node only moves to higher versions. It finds them by polling one small row of the table, and
through peers: when the digest in a heartbeat differs, the two nodes compare versions and the one
with the newer documents pushes them. A node is ready if the table, or a live peer that is itself
ready, has recently confirmed that its versions are current.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from ..document import ServiceDocument
from ..ids import DocumentVersion, InstanceId, ServiceName
from ..peers.settings import MembershipSettings
from .configuration_records import (
    DocumentRecord,
    digest_of,
    document_key,
    parse_document_row,
    parse_index_row,
)
from .platform_services import Row, TableFault

BEHIND_LIMIT_S = 5.0
"""A node that cannot fetch a newer version that it knows of becomes unready after this time."""
POLL_TIMEOUT_S = 10.0
"""Timeout of a poll, after which a new one is sent."""
COMPARE_INTERVAL_S = 0.5
"""Minimum interval between version comparisons with the same peer."""

DocumentCheck = Callable[[ServiceName, str], Result[ServiceDocument, str]]
"""Parses and validates a document's text; the error is a single line for the log."""


@dataclass(frozen=True, slots=True)
class DocumentText:
    """One version of a service document as nodes exchange it."""

    service: ServiceName
    version: DocumentVersion
    text: str


@dataclass(frozen=True, slots=True)
class ReadIndex:
    """Read the row ``config-index``; the result goes to ``index_answered``."""

    call_id: int


@dataclass(frozen=True, slots=True)
class ReadDocuments:
    """Read these rows in one call; the result goes to ``documents_answered``."""

    call_id: int
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SendVersions:
    """Send this node's versions to a peer, which passes them to ``peer_versions``."""

    peer: InstanceId
    versions: dict[ServiceName, DocumentVersion]


@dataclass(frozen=True, slots=True)
class PushDocument:
    """Send a newer document to a peer, which passes it to ``apply_document``."""

    peer: InstanceId
    document: DocumentText


@dataclass(frozen=True, slots=True)
class DocumentInForce:
    """A version came into force on this node."""

    service: ServiceName
    version: DocumentVersion
    document: ServiceDocument


@dataclass(frozen=True, slots=True)
class DocumentRejected:
    """A version failed validation and did not come into force."""

    service: ServiceName
    version: DocumentVersion
    reason: str


ConfigAction = (
    ReadIndex | ReadDocuments | SendVersions | PushDocument | DocumentInForce | DocumentRejected
)


class ConfigRegistry:
    """The documents in force on one node, and whether they are current enough to serve."""

    def __init__(self, check: DocumentCheck, settings: MembershipSettings, now_s: float) -> None:
        self._check = check
        self._settings = settings
        self._texts: dict[ServiceName, DocumentText] = {}
        self._documents: dict[ServiceName, ServiceDocument] = {}
        self._rejected: dict[ServiceName, DocumentVersion] = {}
        self._behind_since_s: dict[ServiceName, float] = {}
        self._last_compared_s: dict[InstanceId, float] = {}
        self._confirmed_s: float | None = None
        self._last_active_s = now_s
        self._next_poll_s = now_s
        self._last_call_id = 0
        self._poll_call_id: int | None = None
        self._poll_started_s = now_s

    def versions(self) -> dict[ServiceName, DocumentVersion]:
        """Return the version in force of each service."""
        return {service: current.version for service, current in self._texts.items()}

    def digest(self) -> int:
        """Return the digest of the versions in force, as sent in heartbeats."""
        return digest_of(self.versions())

    def document(self, service: ServiceName) -> ServiceDocument | None:
        """Return the document in force, or ``None`` if the service is unknown."""
        return self._documents.get(service)

    def documents(self) -> Mapping[ServiceName, ServiceDocument]:
        """Return all documents in force."""
        return self._documents

    def text(self, service: ServiceName) -> DocumentText | None:
        """Return the text and version in force, or ``None`` if the service is unknown."""
        return self._texts.get(service)

    def is_ready(self, now_s: float) -> bool:
        """Return whether this node may admit requests under its versions in force."""
        self._detect_pause(now_s)
        if self._confirmed_s is None:
            return False
        if now_s - self._confirmed_s > self._settings.pause_limit_s:
            return False
        behind = self._behind_since_s.values()
        return all(now_s - since_s <= BEHIND_LIMIT_S for since_s in behind)

    def reset_after_pause(self, now_s: float) -> None:
        """Discard the last confirmation: changes may have been accepted during the pause."""
        self._last_active_s = now_s
        self._confirmed_s = None
        self._poll_call_id = None
        self._next_poll_s = now_s
        self._last_compared_s.clear()

    def tick(self, now_s: float) -> list[ConfigAction]:
        """Poll the table if a poll is due."""
        self._detect_pause(now_s)
        if now_s < self._next_poll_s:
            return []
        if self._poll_call_id is not None and now_s - self._poll_started_s < POLL_TIMEOUT_S:
            return []
        self._poll_started_s = now_s
        self._next_poll_s = now_s + self._settings.table_poll_s
        self._poll_call_id = self._next_call_id()
        return [ReadIndex(self._poll_call_id)]

    def next_tick_s(self) -> float:
        """Return when ``tick`` is next due."""
        return self._next_poll_s

    def apply_document(
        self, service: ServiceName, version: DocumentVersion, text: str, now_s: float
    ) -> list[ConfigAction]:
        """Apply a document from the table, a peer or an accepted change if it is newer."""
        self._detect_pause(now_s)
        current = self._texts.get(service)
        if current is not None and version <= current.version:
            return []
        if version <= self._rejected.get(service, 0):
            return []
        checked = self._check(service, text)
        if isinstance(checked, Err):
            self._rejected[service] = version
            self._behind_since_s.pop(service, None)
            return [DocumentRejected(service, version, checked.err_value)]
        self._texts[service] = DocumentText(service, version, text)
        self._documents[service] = checked.ok_value
        self._behind_since_s.pop(service, None)
        return [DocumentInForce(service, version, checked.ok_value)]

    def index_answered(
        self, call_id: int, answer: Result[Row | None, TableFault], now_s: float
    ) -> list[ConfigAction]:
        """Handle the result of ``ReadIndex``."""
        self._detect_pause(now_s)
        if call_id != self._poll_call_id:
            return []
        if isinstance(answer, Err):
            self._poll_call_id = None
            return []
        versions = _versions_of(answer.ok_value)
        newer_services = [] if versions is None else self._newer_services(versions)
        if versions is None or not newer_services:
            self._poll_call_id = None
            if versions is not None:
                # The result may be delayed, so it confirms only the time at which the poll started.
                self._confirmed_s = max(
                    self._confirmed_s or self._poll_started_s, self._poll_started_s
                )
            return []
        for service in newer_services:
            self._behind_since_s.setdefault(service, now_s)
        return [ReadDocuments(call_id, tuple(document_key(service) for service in newer_services))]

    def documents_answered(
        self, call_id: int, answer: Result[dict[str, Row], TableFault], now_s: float
    ) -> list[ConfigAction]:
        """Handle the result of ``ReadDocuments``."""
        self._detect_pause(now_s)
        if call_id != self._poll_call_id:
            return []
        self._poll_call_id = None
        if isinstance(answer, Err):
            return []
        actions: list[ConfigAction] = []
        for key, row in sorted(answer.ok_value.items()):
            record = parse_document_row(row.value)
            if isinstance(record, Ok):
                service = ServiceName(key.split("/", 1)[1])
                actions += self._apply_record(service, record.ok_value, now_s)
        # Poll again immediately to confirm that these versions are current.
        self._next_poll_s = now_s
        return actions

    def peer_heartbeat(
        self, peer: InstanceId, digest: int, *, ready: bool, fresh: bool, now_s: float
    ) -> list[ConfigAction]:
        """Compare a peer's digest with this node's; ``fresh`` is ``Membership.is_fresh``."""
        self._detect_pause(now_s)
        if digest == self.digest():
            if ready and fresh:
                self._confirmed_s = now_s
            return []
        if now_s - self._last_compared_s.get(peer, -COMPARE_INTERVAL_S) < COMPARE_INTERVAL_S:
            return []
        self._last_compared_s[peer] = now_s
        return [SendVersions(peer, self.versions())]

    def peer_versions(
        self, peer: InstanceId, versions: dict[ServiceName, DocumentVersion], now_s: float
    ) -> list[ConfigAction]:
        """Push documents newer than the peer's; send this node's versions if the peer is ahead."""
        self._detect_pause(now_s)
        actions: list[ConfigAction] = [
            PushDocument(peer, current)
            for service, current in sorted(self._texts.items())
            if current.version > versions.get(service, 0)
        ]
        newer_services = self._newer_services(versions)
        for service in newer_services:
            self._behind_since_s.setdefault(service, now_s)
        if newer_services:
            actions.append(SendVersions(peer, self.versions()))
        return actions

    def forget_peer(self, peer: InstanceId) -> None:
        """Drop the state of a peer that is gone."""
        self._last_compared_s.pop(peer, None)

    def _apply_record(
        self, service: ServiceName, record: DocumentRecord, now_s: float
    ) -> list[ConfigAction]:
        return self.apply_document(service, DocumentVersion(record.version), record.text, now_s)

    def _newer_services(self, versions: dict[ServiceName, DocumentVersion]) -> list[ServiceName]:
        newer = []
        for service, version in sorted(versions.items()):
            current = self._texts.get(service)
            known_version = max(
                0 if current is None else current.version, self._rejected.get(service, 0)
            )
            if version > known_version:
                newer.append(service)
        return newer

    def _next_call_id(self) -> int:
        self._last_call_id += 1
        return self._last_call_id

    def _detect_pause(self, now_s: float) -> None:
        gap_s = now_s - self._last_active_s
        self._last_active_s = max(now_s, self._last_active_s)
        if gap_s > self._settings.pause_limit_s:
            self.reset_after_pause(now_s)


def _versions_of(row: Row | None) -> dict[ServiceName, DocumentVersion] | None:
    """Return the versions in the index row, or ``None`` if the row is invalid."""
    if row is None:
        return {}
    index = parse_index_row(row.value)
    if isinstance(index, Err):
        return None
    versions = index.ok_value.versions
    return {ServiceName(name): DocumentVersion(number) for name, number in versions.items()}
