"""``lentilchute check``: list all findings of a file that operators write."""

import json
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any

import cappa
from result import Err, Result

from ..document import load_document
from ..errors import ExitCode, Finding
from ..settings import load_settings_text
from ..util.checked_yaml import read_bounded, read_text
from .registry import register_command

ROUTES_KEY = "routes"
"""A key that operators' configurations have, and neither settings nor service documents."""


class FileKind(Enum):
    """The kind of file to check."""

    AUTO = "auto"
    DOCUMENT = "document"
    SETTINGS = "settings"
    CONFIG = "config"
    """The operator's configuration of the users' platform."""


@register_command("check", help="Check a service document, a node's settings or a configuration.")
@dataclass
class Check:
    """Checks a file without contacting a node and prints every finding, one per line."""

    file: Annotated[
        str | None,
        cappa.Arg(help="The file, in YAML or JSON; without one, the configuration in --store."),
    ] = None
    kind: Annotated[
        FileKind, cappa.Arg(long=True, help="Kind of the file; auto detects it from its keys.")
    ] = FileKind.AUTO
    against: Annotated[
        str | None, cappa.Arg(long=True, help="Configuration to compare with: a file.")
    ] = None
    store: Annotated[
        str | None,
        cappa.Arg(long=True, help="Address of the store with the configuration in force."),
    ] = None
    deadline_s: Annotated[
        float | None, cappa.Arg(long=True, help="The longest that callers of any route wait.")
    ] = None
    json: Annotated[bool, cappa.Arg(long=True, help="Print findings as JSON.")] = False

    def __call__(self) -> ExitCode:
        if self.file is None or self._is_config(self.file):
            return self._check_config()
        result = check_file(self.file, self.kind)
        findings = result.err_value if isinstance(result, Err) else []
        if self.json:
            print(json.dumps({"file": self.file, "findings": [as_json(f) for f in findings]}))
        else:
            self._print(findings)
        return ExitCode.FAILED if findings else ExitCode.OK

    def _is_config(self, file: str) -> bool:
        if self.kind is not FileKind.AUTO:
            return self.kind is FileKind.CONFIG
        text = read_text(file)
        return not isinstance(text, Err) and detect_kind(text.ok_value, file) is FileKind.CONFIG

    def _check_config(self) -> ExitCode:
        # Other kinds of files do not need to load the gateway.
        from .check_config import check_operator_config

        report = check_operator_config(self.file, self.against, self.store, self.deadline_s)
        print(report.as_json() if self.json else report.as_text())
        return ExitCode.FAILED if report.findings else ExitCode.OK

    def _print(self, findings: list[Finding]) -> None:
        for finding in findings:
            print(finding)
        if not findings:
            print(f"{self.file}: no findings")


def check_file(file: str, kind: FileKind) -> Result[Any, list[Finding]]:
    """Check a file as ``kind``, which is detected from its keys if ``AUTO``."""
    text = read_text(file)
    if isinstance(text, Err):
        return text
    if kind is FileKind.AUTO:
        kind = detect_kind(text.ok_value, file)
    if kind is FileKind.SETTINGS:
        return load_settings_text(text.ok_value, file)
    return load_document(text.ok_value, file)


def detect_kind(text: str, file: str) -> FileKind:
    """Distinguish the kinds by the keys that only one of them has."""
    value = read_bounded(text, file).value
    if isinstance(value, dict) and ROUTES_KEY in value:
        return FileKind.CONFIG
    if isinstance(value, dict) and not value.keys().isdisjoint({"instance", "listen", "platform"}):
        return FileKind.SETTINGS
    return FileKind.DOCUMENT


def as_json(finding: Finding) -> dict[str, Any]:
    """Return a finding for scripts, as a JSON object."""
    return {
        "file": finding.location.file,
        "line": finding.location.line,
        "column": finding.location.column,
        "key": finding.key,
        "message": finding.message,
    }
