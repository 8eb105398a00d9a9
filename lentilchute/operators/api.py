"""Messages of the operators' interface: the JSON bodies of its requests and answers.

``routes`` implements the server, ``client`` the client. ``OperatorNode`` is the interface that the
server needs from a node.
"""

import hashlib
import hmac
from enum import Enum
from typing import Annotated, Protocol

from pydantic import BaseModel, ConfigDict, Field
from result import Result

from ..ids import DocumentVersion, InstanceId, ServiceName, UpstreamId
from ..state.platform_services import TableFault

KEY_DERIVATION_LABEL = b"lentilchute operator link 1"
MAX_HISTORY_ENTRIES = 100
MAX_DOCUMENT_CHARACTERS = 1024 * 1024


def operator_key(shared_key: str) -> str:
    """Return the bearer key of operators, derived from the nodes' shared key.

    It grants an operator's access, but does not authenticate its holder as a node.
    """
    return hmac.new(shared_key.encode(), KEY_DERIVATION_LABEL, hashlib.sha256).hexdigest()


class WireModel(BaseModel):
    """Base of all bodies; unknown keys are ignored, since a later version may add some."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class UpstreamAnswer(WireModel):
    """State of one upstream on the node that schedules it."""

    upstream: UpstreamId
    leaving: bool
    streams: int
    stream_limit: int
    outstanding_prompt_tokens: int
    prompt_token_limit: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    declined: bool = False


class ShardAnswer(WireModel):
    """One shard that the answering node schedules; counts are keyed by tier name."""

    shard: str
    service: ServiceName
    waiting: dict[str, int]
    in_flight: dict[str, int]
    upstreams: tuple[UpstreamAnswer, ...] = ()


class PeerAnswer(WireModel):
    """A peer in the answering node's membership view.

    ``operators_address`` is empty if the answering node does not know it.
    """

    instance: InstanceId
    availability_zone: str
    state: str
    operators_address: str = ""


class StatusAnswer(WireModel):
    """Answer to ``GET /status``."""

    instance: InstanceId
    incarnation: str
    availability_zone: str
    region: str
    ready: bool
    stopping: bool
    documents: dict[ServiceName, DocumentVersion]
    """Version in force of each service on the answering node."""
    shards: tuple[ShardAnswer, ...] = ()
    peers: tuple[PeerAnswer, ...] = ()
    platform_faults: tuple[str, ...] = ()
    """Platform services that do not respond to this node, for example ``table``."""
    build: str = ""
    """Id of the build that the node runs; empty from builds that have none."""


class DocumentAnswer(WireModel):
    """Answer to ``GET /services/{name}/document``: the version in force on the answering node."""

    service: ServiceName
    version: DocumentVersion
    text: str


class HistoryEntry(WireModel):
    """One accepted version of a document."""

    version: DocumentVersion
    change_id: str
    author: str
    text_sha256: str


class HistoryAnswer(WireModel):
    """Answer to ``GET /services/{name}/history``: a bounded number of entries, newest first."""

    service: ServiceName
    entries: tuple[HistoryEntry, ...]


class ChangeRequest(WireModel):
    """Body of ``POST /services/{name}/document``; ``change_id`` makes retries idempotent."""

    expected_version: Annotated[int, Field(ge=0)]
    """The version that the change is based on; 0 for a new service."""
    change_id: Annotated[str, Field(pattern=r"^[0-9a-zA-Z-]{8,64}$")]
    author: Annotated[str, Field(max_length=64)]
    text: Annotated[str, Field(max_length=MAX_DOCUMENT_CHARACTERS)]


class ChangeState(Enum):
    """Outcome of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    """Another change was accepted first; this one has not taken effect and never will."""
    INVALID = "invalid"
    """The document has findings; nothing was written."""
    NOT_APPLIED = "not-applied"
    """The table could not be reached; nothing was written."""
    UNRESOLVED = "unresolved"
    """The write may be committed, now or later; retry the change with the same id."""


class FindingAnswer(WireModel):
    """One finding in a document that a node rejected."""

    line: int
    column: int
    key: str
    message: str


class ChangeAnswer(WireModel):
    """Answer to ``POST /services/{name}/document``."""

    state: ChangeState
    version: DocumentVersion = DocumentVersion(0)
    """The version that the change created, or the accepted version that it conflicts with."""
    author: str = ""
    """Author of ``version``."""
    findings: tuple[FindingAnswer, ...] = ()


class DrainAnswer(WireModel):
    """Answer to ``POST /upstreams/{id}/drain`` and to ``undrain``."""

    upstream: UpstreamId
    known: bool
    """Whether the answering node knows an upstream with this name."""


class ErrorFinding(WireModel):
    """One fault of a request."""

    field: str
    message: str


class ErrorDetail(WireModel):
    """Type of an error and its findings."""

    type: str
    findings: tuple[ErrorFinding, ...] = ()

    @property
    def message(self) -> str:
        """The findings in one line."""
        return "; ".join(finding.message for finding in self.findings) or self.type


class ErrorAnswer(WireModel):
    """Body of every error answer."""

    error: ErrorDetail


class MetricsPage(Protocol):
    """Renders a node's metrics; a protocol, so that commands need not import the metrics SDK."""

    def render(self) -> bytes:
        """Return the page in the Prometheus text format."""
        ...


class OperatorNode(Protocol):
    """Interface that the operators' server needs from a node."""

    @property
    def metrics(self) -> MetricsPage:
        """The node's metrics."""
        ...

    def status(self) -> StatusAnswer:
        """Return the node's current state, from memory."""
        ...

    def document(self, service: ServiceName) -> DocumentAnswer | None:
        """Return the document in force on this node, or ``None`` for an unknown service."""
        ...

    async def history(
        self, service: ServiceName, limit: int
    ) -> Result[tuple[HistoryEntry, ...], TableFault]:
        """Read the newest accepted versions from the table, newest first."""
        ...

    async def change(self, service: ServiceName, change: ChangeRequest) -> ChangeAnswer:
        """Write a change, whose document has been checked, to the table.

        Never answers ``INVALID``. An accepted version is in force on this node when this returns.
        """
        ...

    async def drain(self, upstream: UpstreamId) -> DrainAnswer:
        """Stop assigning new work to an upstream on this node, and broadcast that to its peers."""
        ...

    async def undrain(self, upstream: UpstreamId) -> DrainAnswer:
        """End a drain on this node, and broadcast that to its peers."""
        ...
