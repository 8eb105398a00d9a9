"""Endpoints that a node serves for the platform: the readiness check and the directory."""

import json
from collections.abc import Iterable
from urllib.parse import parse_qs, urlsplit

from ..ids import AvailabilityZone

READY_PATH = "/api/readyz"
RESOLVE_PATH = "/api/resolve"
MAX_ADDRESSES = 64
"""Most addresses that callers use from one answer, by the platform's protocol."""


def path_of(target: str) -> str:
    """Return the path of a request target."""
    return urlsplit(target).path


def requested_zone(target: str) -> AvailabilityZone | None:
    """Return the availability zone that a resolve request names, or ``None``."""
    values = parse_qs(urlsplit(target).query).get("zone")
    return AvailabilityZone(values[0]) if values else None


def encode_resolve_answer(addresses: Iterable[str], lifetime_s: float) -> bytes:
    """Return the body of a resolve answer, which lists where callers may connect."""
    chosen = list(addresses)[:MAX_ADDRESSES]
    # "ttl-s" is how long callers may cache the whole answer.
    return json.dumps({"addresses": chosen, "ttl-s": lifetime_s}).encode()
