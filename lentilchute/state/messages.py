"""Messages about service documents and claims. Field names are those of ``peers/peer.thrift``."""

from dataclasses import dataclass

from ..ids import DocumentVersion, ServiceName
from ..peers.codec import peer_message
from .claim_actions import ClaimQuery, ClaimReplyState


@peer_message("config_notice")
@dataclass(frozen=True, slots=True)
class ConfigNotice:
    """A version of a service document that is in force at the sender."""

    service: ServiceName
    version: DocumentVersion
    text: str


@dataclass(frozen=True, slots=True)
class ServiceVersion:
    """A service and the version of its document in force."""

    service: ServiceName
    version: DocumentVersion


@peer_message("config_versions")
@dataclass(frozen=True, slots=True)
class ConfigVersions:
    """The versions in force at the sender, sent when the digests of two nodes differ."""

    versions: tuple[ServiceVersion, ...]


@peer_message("claim_question")
@dataclass(frozen=True, slots=True)
class ClaimQuestion:
    """A node that found another node's claim queries the claimant about it."""

    query_id: int
    query: ClaimQuery


@peer_message("claim_reply")
@dataclass(frozen=True, slots=True)
class ClaimReply:
    """The claimant's reply to a ``ClaimQuestion``."""

    query_id: int
    state: ClaimReplyState
