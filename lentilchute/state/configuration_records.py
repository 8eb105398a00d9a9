"""Table rows of service documents, and their keys.

``config/<service>`` holds the version in force, ``config-history/<service>/<version>`` every
accepted version, and ``config-index`` the versions of all services, so that a poll reads one small
row. These rows are never deleted, because a deleted row's version could restart from 1.
"""

from typing import Annotated

import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from ..ids import DocumentVersion, ServiceName

INDEX_KEY = "config-index"
VERSION_DIGITS = 10


class _Record(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class DocumentRecord(_Record):
    """One accepted version of a service document."""

    version: Annotated[int, Field(ge=1)]
    change_id: str
    author: str
    text: str


class IndexRecord(_Record):
    """The version in force of each service."""

    versions: dict[str, Annotated[int, Field(ge=1)]]


def document_key(service: ServiceName) -> str:
    """Return the key of the service's current document."""
    return f"config/{service}"


def history_key(service: ServiceName, version: int) -> str:
    """Return the key of one version in the history; keys sort by version."""
    return f"config-history/{service}/{version:0{VERSION_DIGITS}}"


def parse_document_row(value: str) -> Result[DocumentRecord, str]:
    """Parse a document row; the error is the validation message."""
    try:
        return Ok(DocumentRecord.model_validate_json(value))
    except ValidationError as error:
        return Err(str(error.errors()[0]["msg"]))


def parse_index_row(value: str) -> Result[IndexRecord, str]:
    """Parse the index row; the error is the validation message."""
    try:
        return Ok(IndexRecord.model_validate_json(value))
    except ValidationError as error:
        return Err(str(error.errors()[0]["msg"]))


def digest_of(versions: dict[ServiceName, DocumentVersion]) -> int:
    """Return a digest of the versions for heartbeats; 63 bits fit their signed ``i64`` field."""
    lines = [f"{service}={version}" for service, version in sorted(versions.items())]
    return xxhash.xxh3_64_intdigest("\n".join(lines).encode()) >> 1
