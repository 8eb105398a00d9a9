"""``lentilchute check``: list all findings of a service document or a node's settings."""

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


class FileKind(Enum):
    """The kind of file to check."""

    AUTO = "auto"
    DOCUMENT = "document"
    SETTINGS = "settings"


@register_command("check", help="Check a service document or a node's settings.")
@dataclass
class Check:
    """Checks a file without contacting a node and prints every finding, one per line."""

    file: Annotated[str, cappa.Arg(help="Service document or node settings, in YAML.")]
    kind: Annotated[
        FileKind, cappa.Arg(long=True, help="Kind of the file; auto detects it from its keys.")
    ] = FileKind.AUTO
    json: Annotated[bool, cappa.Arg(long=True, help="Print findings as JSON.")] = False

    def __call__(self) -> ExitCode:
        result = check_file(self.file, self.kind)
        findings = result.err_value if isinstance(result, Err) else []
        if self.json:
            print(json.dumps({"file": self.file, "findings": [as_json(f) for f in findings]}))
        else:
            self._print(findings)
        return ExitCode.FAILED if findings else ExitCode.OK

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
    """Distinguish settings from a service document by the keys that only settings have."""
    value = read_bounded(text, file).value
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
