"""Rows that keep, beyond the end of all nodes, where streams began and which versions there were.

Each node writes the streams that begin at it to rows of its own, which it uses again once their
streams are over. The coordinator writes one row with the versions of all services.
"""

import json
from typing import Any

import xxhash
from result import Result

from ..gateway.messages import StreamGroup, VersionSighting
from ..gateway.version_record import VersionRecord
from ..ids import InstanceId, ServiceName, SoftwareVersion, StreamId, UpstreamId
from ..util.lean_dataclasses import dataclass
from .row_fields import decode_row, integer, number, string

STREAMS_TABLE = "lentilchute-streams"
"""The table in which nodes store where streams began."""
STREAM_PARTS = 4
"""Parts of that table, over which the nodes are spread; the store bounds the writes to each."""
VERSIONS_TABLE = "lentilchute-versions"
"""The table in which the coordinator stores the software versions of services."""
VERSIONS_KEY = "seen"


@dataclass(frozen=True, slots=True)
class StoredStreams:
    """Streams that began at one node, timed by the store's clock."""

    expires_at_s: float
    groups: tuple[StreamGroup, ...]


def part_of(instance: InstanceId) -> str:
    """Return the part of the table in which a node's rows are."""
    return str(xxhash.xxh3_64_intdigest(instance.encode()) % STREAM_PARTS)


def all_parts() -> tuple[str, ...]:
    """Return all parts of the table."""
    return tuple(str(number) for number in range(STREAM_PARTS))


def streams_key(instance: InstanceId, slot: int) -> str:
    """Return the key of one of a node's rows."""
    return f"{instance}/{slot:04d}"


def key_range(instance: InstanceId) -> tuple[str, str]:
    """Return the first key of a node's rows, and one that is beyond them."""
    return f"{instance}/", f"{instance}0"


def slot_of(key: str) -> int:
    """Return the slot that a key names; -1 if it names none."""
    slot = key.rpartition("/")[2]
    return int(slot) if slot.isascii() and slot.isdecimal() and len(slot) <= 6 else -1


def decode_streams(value: bytes) -> Result[StoredStreams, str]:
    """Decode a row with streams."""
    return decode_row(
        value,
        lambda row: StoredStreams(
            expires_at_s=number(row["until-s"]),
            groups=tuple(
                StreamGroup(
                    service=ServiceName(string(service)),
                    version=SoftwareVersion(string(version)),
                    streams=tuple(StreamId(string(stream)) for stream in streams),
                )
                for service, version, streams in row["streams"]
            ),
        ),
    )


def encode_streams(stored: StoredStreams) -> bytes:
    """Return the value of a row with streams."""
    groups = [[group.service, group.version, list(group.streams)] for group in stored.groups]
    return json.dumps({"until-s": stored.expires_at_s, "streams": groups}).encode()


def decode_versions(value: bytes) -> Result[VersionRecord, str]:
    """Decode the row with the versions of services."""
    return decode_row(value, _version_record)


def _version_record(row: Any) -> VersionRecord:
    return VersionRecord(
        at_s=number(row["at-s"]),
        era=integer(row["era"]),
        upstreams_version=integer(row["table-version"]),
        complete_for_s=number(row["complete-s"]),
        seen=tuple(
            VersionSighting(
                ServiceName(string(service)), SoftwareVersion(string(version)), number(age_s)
            )
            for service, version, age_s in row["seen"]
        ),
        upstreams=frozenset(UpstreamId(string(upstream)) for upstream in row["ids"]),
    )


def encode_versions(record: VersionRecord) -> bytes:
    """Return the value of the row with the versions of services."""
    return json.dumps(
        {
            "at-s": round(record.at_s, 3),
            "era": record.era,
            "table-version": record.upstreams_version,
            "complete-s": round(record.complete_for_s, 3),
            "seen": [[item.service, item.version, round(item.age_s, 3)] for item in record.seen],
            "ids": sorted(record.upstreams),
        }
    ).encode()
