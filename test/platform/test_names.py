"""The platform's names occur only in its adapter."""

import re
from pathlib import Path

from lentilchute.platform import endpoints, headers, rows, store

PACKAGE = Path(__file__).parents[2] / "lentilchute"
ROW_FIELDS = (
    "path-prefix",
    "target-latency-ms",
    "gap-target-ms",
    "traffic-split",
    "max-attempts",
    "api-keys",
    "rate-per-s",
    "plain-tokens",
    "cold-remaining-ms",
    "expected-rev",
    "set-keys",
    "start-after",
    "ttl-s",
)


def platform_names() -> set[str]:
    """Return the headers, paths and row fields that only the adapter may name."""
    found = set(ROW_FIELDS)
    for module in (endpoints, headers, rows, store):
        for name, value in vars(module).items():
            if name.isupper() and isinstance(value, str) and re.search(r"[/-]", value):
                found.add(value)
    # A standard header of server-sent events, which the caller protocol uses as well.
    return found - {headers.LAST_EVENT_ID}


def test_only_the_adapter_names_the_platform() -> None:
    known = platform_names()
    assert {"lentilchute-attempt-id", "/api/rows-feed", "/api/resolve"} <= known
    leaks = [
        f"{path.relative_to(PACKAGE)}: {name}"
        for path in sorted(PACKAGE.rglob("*.py"))
        if path.parent.name not in ("platform", "standins")
        for name in known
        if f'"{name}"' in path.read_text(encoding="utf-8").lower()
    ]
    assert leaks == []
