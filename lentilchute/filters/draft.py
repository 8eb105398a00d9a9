"""Input and output of the filters: the request's head, its draft, and refusals."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..document import AccountEntry, ServiceDocument
from ..entry.refusal_answers import RefusalFinding
from ..ids import BlockHash, Fingerprint, IdempotencyKey, ModelName, ServiceName, Tier
from ..scheduler.tickets import RefusalReason

HIGHEST_TIER = Tier(0)
NO_MODEL = ModelName("")
NO_FINGERPRINT = Fingerprint("")


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Method, path with its query, and headers as a caller sent them; names in lower case."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = field(repr=False)

    def values(self, name: str) -> list[str]:
        """Return all values of a header, whose name is given in lower case."""
        return [value.strip() for key, value in self.headers if key == name]


@dataclass(frozen=True, slots=True)
class FilterRefusal:
    """The reason why a request is not accepted; such a request was not run."""

    reason: RefusalReason
    findings: tuple[RefusalFinding, ...] = ()


@dataclass(frozen=True, slots=True)
class FilterContext:
    """The node's state that filters use: the time, its readiness and the current documents."""

    now_s: float
    is_ready: bool
    documents: Mapping[ServiceName, ServiceDocument]
    prefix_block_tokens: int = 64


@dataclass(slots=True)
class RequestDraft:
    """A request being checked by the chain; each filter sets some of the fields."""

    head: RequestHead
    findings: list[RefusalFinding] = field(default_factory=list)
    document: ServiceDocument | None = None
    path: str = ""
    account: AccountEntry | None = None
    tier: Tier = HIGHEST_TIER
    deadline_s: float = 0.0
    idempotent: bool = True
    idempotency_key: IdempotencyKey | None = None
    max_body_bytes: int = 0
    """Limit for reading the body."""
    body: bytes = field(default=b"", repr=False)
    streaming: bool = False
    model: ModelName = NO_MODEL
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    fingerprint: Fingerprint = NO_FINGERPRINT
    prefix_hashes: tuple[BlockHash, ...] = ()

    def add_finding(self, field_name: str, message: str) -> None:
        """Add a finding; all findings of a stage are reported together."""
        self.findings.append(RefusalFinding(field_name, message))

    def single_value(self, header: str) -> str | None:
        """Return the first value of a header or ``None``; several values are a finding."""
        values = self.head.values(header)
        if len(values) > 1:
            self.add_finding(header, "may be given once")
        return values[0] if values else None

    @property
    def service_document(self) -> ServiceDocument:
        """The document of the service, which ``resolve_service`` has set."""
        if self.document is None:
            raise ValueError("the service filter has not run")
        return self.document
