"""Says in an operator's words what one configuration changes in another; names no keys."""

import dataclasses
from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any

from .routes import Account, RoutingConfig, WeightedService

_WORDS = {
    "host": "host",
    "path_prefix": "prefix",
    "kind": "kind",
    "timeout_s": "time-out",
    "objective_s": "target latency",
    "tier": "priority",
    "targets": "services",
    "max_attempts": "most attempts",
    "is_public": "public",
    "is_resumable": "resumable",
    "max_pause_s": "target for gaps",
    "model": "engines",
    "quota_per_s": "rate",
    "quota_burst": "burst",
    "counts_tokens": "counted in tokens",
    "plain_request_tokens": "tokens of a request without counts",
    "max_header_bytes": "most bytes of a head",
    "max_body_bytes": "most bytes of a body",
    "header_timeout_s": "time for a head",
    "idle_timeout_s": "idle time",
}
_SECONDS_SUFFIX = "_s"


def describe_changes(before: RoutingConfig, after: RoutingConfig) -> list[str]:
    """Return a line for each difference, empty if requests are handled the same."""
    return [
        *_entry_changes("route", _by_name(before.routes), _by_name(after.routes)),
        *_entry_changes("service", before.services, after.services),
        *_entry_changes("account", _by_name(before.accounts), _by_name(after.accounts)),
        *_key_changes(before, after),
        *_field_changes("limits", before.limits, after.limits),
    ]


def _by_name(entries: tuple[Any, ...]) -> dict[str, Any]:
    return {entry.name: entry for entry in entries}


def _entry_changes(what: str, before: Mapping[Any, Any], after: Mapping[Any, Any]) -> Iterator[str]:
    for name in before:
        if name not in after:
            yield f"{what} {name}: removed"
    for name, entry in after.items():
        if name in before:
            yield from _field_changes(f"{what} {name}", before[name], entry)
        else:
            yield f"{what} {name}: added"


def _field_changes(subject: str, before: Any, after: Any) -> Iterator[str]:
    for field in dataclasses.fields(after):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new and field.name in _WORDS:
            shown = f"{_shown(field.name, old)} becomes {_shown(field.name, new)}"
            yield f"{subject}: {_WORDS[field.name]} {shown}"


def _key_changes(before: RoutingConfig, after: RoutingConfig) -> Iterator[str]:
    if before.needs_key != after.needs_key:
        yield "all callers need a key" if after.needs_key else "no caller needs a key any more"
    old_accounts: dict[str, Account] = _by_name(before.accounts)
    for name, account in _by_name(after.accounts).items():
        if name not in old_accounts:
            continue
        added = len(account.keys - old_accounts[name].keys)
        removed = len(old_accounts[name].keys - account.keys)
        if added:
            yield f"account {name}: {added} keys added"
        if removed:
            yield f"account {name}: {removed} keys removed"


def _shown(field: str, value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, float):
        return (
            f"{value:g} s"
            if field.endswith(_SECONDS_SUFFIX) and "per" not in field
            else f"{value:g}"
        )
    if isinstance(value, tuple):
        return ", ".join(_shown_target(item) for item in value)
    if dataclasses.is_dataclass(value):
        parts = [
            f"{item.name.replace('_', ' ')} {getattr(value, item.name)}"
            for item in dataclasses.fields(value)
        ]
        return ", ".join(parts)
    return str(value)


def _shown_target(target: WeightedService) -> str:
    return f"{target.service} ({target.weight:g})"
