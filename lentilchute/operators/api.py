"""What operators and nodes say to each other on a node's operator address.

The models here are the JSON bodies of requests and answers; ``operator_routes`` serves them and
``operator_client`` asks for them. A node gives what ``OperatorNode`` lists.
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

    Whoever holds it can do what an operator can, but cannot speak as a node.
    """
    return hmac.new(shared_key.encode(), KEY_DERIVATION_LABEL, hashlib.sha256).hexdigest()


class WireModel(BaseModel):
    """Base of all bodies; keys that a later version adds are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class UpstreamAnswer(WireModel):
    """One upstream as the node that schedules it knows it."""

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
    """One shard that the answering node schedules; counts by the name of the tier."""

    shard: str
    service: ServiceName
    waiting: dict[str, int]
    in_flight: dict[str, int]
    upstreams: tuple[UpstreamAnswer, ...] = ()


class PeerAnswer(WireModel):
    """Another node as the answering node sees it; without an address it cannot be asked."""

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
    """Services of the platform that do not answer this node, as in ``table``."""


class DocumentAnswer(WireModel):
    """Answer to ``GET /services/{name}/document``: what is in force on the answering node."""

    service: ServiceName
    version: DocumentVersion
    text: str


class HistoryEntry(WireModel):
    """One accepted version."""

    version: DocumentVersion
    change_id: str
    author: str
    text_sha256: str


class HistoryAnswer(WireModel):
    """Answer to ``GET /services/{name}/history``: newest first, a bounded number."""

    service: ServiceName
    entries: tuple[HistoryEntry, ...]


class ChangeRequest(WireModel):
    """Body of ``POST /services/{name}/document``; repeated under the same id it changes once."""

    expected_version: Annotated[int, Field(ge=0)]
    """The version that the change starts from; 0 for a new service."""
    change_id: Annotated[str, Field(pattern=r"^[0-9a-zA-Z-]{8,64}$")]
    author: Annotated[str, Field(max_length=64)]
    text: Annotated[str, Field(max_length=MAX_DOCUMENT_CHARACTERS)]


class ChangeState(Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    """Another change was accepted first; this one has not taken effect and never will."""
    INVALID = "invalid"
    """The document has findings; nothing was written."""
    NOT_APPLIED = "not-applied"
    """The table could not be reached; nothing was written."""
    UNRESOLVED = "unresolved"
    """The write may have taken effect or may yet; repeat the change under the same id."""


class FindingAnswer(WireModel):
    """One finding in a document that a node refused."""

    line: int
    column: int
    key: str
    message: str


class ChangeAnswer(WireModel):
    """Answer to a change."""

    state: ChangeState
    version: DocumentVersion = DocumentVersion(0)
    """The version that the change became, or the one that won."""
    author: str = ""
    """Who made the version that won."""
    findings: tuple[FindingAnswer, ...] = ()


class DrainAnswer(WireModel):
    """Answer to ``POST /upstreams/{id}/drain`` and to ``undrain``."""

    upstream: UpstreamId
    known: bool
    """Whether the answering node knows an upstream of this name."""


class ErrorFinding(WireModel):
    """One thing that is wrong with a request."""

    field: str
    message: str


class ErrorDetail(WireModel):
    """Kind of an error and what is wrong."""

    type: str
    findings: tuple[ErrorFinding, ...] = ()

    @property
    def message(self) -> str:
        """The findings as one line."""
        return "; ".join(finding.message for finding in self.findings) or self.type


class ErrorAnswer(WireModel):
    """Body of every answer that is not what was asked for."""

    error: ErrorDetail


class MetricsPage(Protocol):
    """What renders a node's metrics; named here so that commands need not load the SDK."""

    def render(self) -> bytes:
        """Return the page in the Prometheus text format."""
        ...


class OperatorNode(Protocol):
    """What a node gives to its operators' interface."""

    @property
    def metrics(self) -> MetricsPage:
        """The node's metrics."""
        ...

    def status(self) -> StatusAnswer:
        """Return the node's state now, from memory."""
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
        """Carry a change whose document has been checked into the table.

        Never answers ``INVALID``. Once accepted, the version is in force on this node.
        """
        ...

    async def drain(self, upstream: UpstreamId) -> DrainAnswer:
        """Give an upstream no new work from this node, and tell the other nodes."""
        ...

    async def undrain(self, upstream: UpstreamId) -> DrainAnswer:
        """End a drain on this node, and tell the other nodes."""
        ...
