"""Errors shown to a user, and findings with their location in a file.

``UserError`` is the base class of errors whose message the command line prints without a traceback.
Expected failures inside the package are returned as ``result.Err`` values instead.
"""

from enum import IntEnum
from typing import ClassVar

from .util.lean_dataclasses import dataclass


class ExitCode(IntEnum):
    """Exit codes of the command line; ``docs/reference/commands.md`` documents them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNKNOWN_OUTCOME = 5
    INTERRUPTED = 130


class UserError(Exception):
    """An error that the user can act on; its message is shown without a traceback."""

    exit_code: ClassVar[ExitCode] = ExitCode.FAILED


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """A position in a file; lines and columns count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class Finding:
    """One error in a file, with the offending key and the allowed values."""

    location: SourceLocation
    key: str
    message: str

    def __str__(self) -> str:
        return f"{self.location}: {self.key}: {self.message}"


class FindingsError(UserError):
    """All findings of one file, reported together."""

    def __init__(self, findings: list[Finding]) -> None:
        self.findings = findings
        super().__init__("\n".join(str(finding) for finding in findings))
