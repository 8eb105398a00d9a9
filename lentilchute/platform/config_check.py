"""Checks the text of an operator's configuration, and names each finding's place in it."""

import json
from collections import Counter
from dataclasses import dataclass
from typing import Any

from result import Err

from ..errors import Finding
from ..gateway.config_review import FieldPath, RemarkKind, ReviewBounds, review_config
from ..gateway.routes import RoutingConfig
from ..util.checked_yaml import load_text, read_bounded
from ..util.yaml_tree import Path, YamlTree, path_text
from . import rows
from .config_model import ConfigRow

ROW_NAME = f"{rows.CONFIG_TABLE}/{rows.CONFIG_KEY}"
"""Name of the row in force, for findings and messages."""

_WIRE_NAMES = {
    "accounts": "tenants",
    "path_prefix": "path-prefix",
    "timeout_s": "timeout-ms",
    "objective_s": "target-latency-ms",
    "max_pause_s": "gap-target-ms",
    "targets": "traffic-split",
    "is_resumable": "resumable",
    "keys": "api-keys",
    "quota_burst": "burst",
    "max_header_bytes": "max-header-bytes",
    "header_timeout_s": "header-timeout-ms",
}


@dataclass(frozen=True, slots=True)
class ConfigFinding:
    """A finding with its kind."""

    kind: RemarkKind
    finding: Finding

    def __str__(self) -> str:
        finding = self.finding
        return f"{finding.location}: {finding.key}: {self.kind.value}: {finding.message}"


@dataclass(frozen=True, slots=True)
class CheckedConfig:
    """A configuration, if nodes accept it, and what was found."""

    config: RoutingConfig | None
    findings: tuple[ConfigFinding, ...]


def check_config(text: str, file: str, bounds: ReviewBounds) -> CheckedConfig:
    """Check a configuration in JSON or YAML; ``file`` is its name in findings."""
    loaded = load_text(text, file, ConfigRow)
    if isinstance(loaded, Err):
        findings = [ConfigFinding(RemarkKind.ERROR, finding) for finding in loaded.err_value]
        return CheckedConfig(None, tuple(findings))
    tree = read_bounded(text, file)
    findings = [_finding(tree, RemarkKind.ERROR, *found) for found in _row_errors(tree.value)]
    if findings:
        return CheckedConfig(None, tuple(findings))
    decoded = rows.decode_config(json.dumps(tree.value).encode())
    if isinstance(decoded, Err):
        message = f"nodes reject it: {decoded.err_value}"
        return CheckedConfig(None, (_finding(tree, RemarkKind.ERROR, (), message),))
    config = decoded.ok_value
    remarks = review_config(config, bounds)
    found = [
        _finding(tree, remark.kind, _wire_path(tree.value, remark.path), remark.message)
        for remark in remarks
    ]
    found.sort(key=lambda item: (item.finding.location.line, item.finding.location.column))
    return CheckedConfig(config, tuple(found))


def _row_errors(row: Any) -> list[tuple[Path, str]]:
    """Return what a decoded configuration no longer shows."""
    found: list[tuple[Path, str]] = []
    for index, route in enumerate(row["routes"]):
        if not route.get("traffic-split") and route.get("service") is None:
            found.append((("routes", index), "names neither a service nor a traffic-split"))
    counts: Counter[str] = Counter()
    for index, service in enumerate(row["services"]):
        counts[service["name"]] += 1
        if counts[service["name"]] > 1:
            message = f"{service['name']} is the name of an earlier entry too"
            found.append((("services", index, "name"), message))
    return found


def _wire_path(row: Any, path: FieldPath) -> Path:
    """Return the path in the row of a field of the decoded configuration."""
    if path[0] == "services":
        names = [service["name"] for service in row["services"]]
        return ("services", names.index(path[1]), *path[2:])
    wire = tuple(_WIRE_NAMES.get(step, step) if isinstance(step, str) else step for step in path)
    if wire[0] == "routes" and wire[2:3] == ("traffic-split",):
        route = row["routes"][wire[1]]
        return wire if route.get("traffic-split") else (*wire[:2], "service")
    return wire


def _finding(tree: YamlTree, kind: RemarkKind, path: Path, message: str) -> ConfigFinding:
    return ConfigFinding(kind, Finding(tree.place_of_value(path), path_text(path), message))
