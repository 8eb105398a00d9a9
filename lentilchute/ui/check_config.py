"""The part of ``lentilchute check`` for the operator's configuration of the users' platform."""

import json
from dataclasses import dataclass
from typing import Any

import trio
from result import Err

from ..errors import FindingsError, UserError
from ..gateway.config_changes import describe_changes
from ..gateway.config_review import ReviewBounds
from ..gateway.process import DEFAULTS_FILE
from ..gateway.routes import RoutingConfig
from ..platform import rows
from ..platform.config_check import ROW_NAME, CheckedConfig, ConfigFinding, check_config
from ..platform.store import StoreClient
from ..util.checked_yaml import default_settings, read_text
from .nodes import UnreachableError

STORE_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class ConfigReport:
    """What was found in a configuration, and what it changes in the one in force."""

    file: str
    findings: tuple[ConfigFinding, ...]
    changes: tuple[str, ...] | None
    """``None`` if it was not compared."""

    def as_text(self) -> str:
        """Return one line for each finding and change."""
        lines = [str(finding) for finding in self.findings] or [f"{self.file}: no findings"]
        if self.changes is not None:
            lines += [f"change: {change}" for change in self.changes]
            lines += [] if self.changes else ["nothing changes for callers"]
        return "\n".join(lines)

    def as_json(self) -> str:
        """Return the report for scripts."""
        findings = [_finding_json(finding) for finding in self.findings]
        value = {"file": self.file, "findings": findings, "changes": self.changes}
        return json.dumps(value)


def check_operator_config(
    file: str | None, against: str | None, store: str | None, deadline_s: float | None
) -> ConfigReport:
    """Check a file, or the row in force if there is none, and compare the file with what is given.

    Raises ``UserError`` if something cannot be read.
    """
    bounds = ReviewBounds(_quota_window_s(), deadline_s)
    in_force = None if store is None else trio.run(_read_row, store)
    if file is None:
        if in_force is None:
            raise UserError("give a file, or --store to check the configuration in force")
        return ConfigReport(ROW_NAME, check_config(in_force, ROW_NAME, bounds).findings, None)
    checked = check_config(_read(file), file, bounds)
    base = _read(against) if against is not None else in_force
    if base is None:
        return ConfigReport(file, checked.findings, None)
    name = against if against is not None else ROW_NAME
    return _compare(file, checked, name, check_config(base, name, bounds).config)


def _compare(
    file: str, checked: CheckedConfig, name: str, base: RoutingConfig | None
) -> ConfigReport:
    if base is None:
        raise UserError(f"{name} can't be compared with: nodes reject it")
    if checked.config is None:
        return ConfigReport(file, checked.findings, None)
    changes = describe_changes(base, checked.config)
    if checked.config.version <= base.version and checked.config != base:
        changes.append(
            f"nothing at present: version {checked.config.version} is not above "
            f"{base.version}, so that nodes keep the latter"
        )
    return ConfigReport(file, checked.findings, tuple(changes))


def _read(file: str) -> str:
    text = read_text(file)
    if isinstance(text, Err):
        raise FindingsError(text.err_value)
    return text.ok_value


async def _read_row(address: str) -> str:
    client = StoreClient(address, STORE_TIMEOUT_S)
    try:
        page = await client.read_table(rows.CONFIG_TABLE)
    finally:
        await client.aclose()
    if isinstance(page, Err):
        raise UnreachableError(f"the store at {address} did not answer: {page.err_value.value}")
    for row in page.ok_value.rows:
        if row.key == rows.CONFIG_KEY and row.value is not None:
            return row.value.decode("utf-8", "replace")
    raise UserError(f"the store at {address} has no configuration ({ROW_NAME})")


def _quota_window_s() -> float:
    """Return the window of quotas that nodes use unless their settings say otherwise."""
    settings: Any = default_settings("lentilchute.gateway", DEFAULTS_FILE)
    return float(settings["quotas"]["window_s"])


def _finding_json(finding: ConfigFinding) -> dict[str, Any]:
    place = finding.finding.location
    return {
        "kind": finding.kind.value,
        "file": place.file,
        "line": place.line,
        "column": place.column,
        "key": finding.finding.key,
        "message": finding.finding.message,
    }
