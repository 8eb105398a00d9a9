"""Texts of service documents: the one in force, the version line and differences."""

import difflib
import re

from result import Err

from ..ids import DocumentVersion, ServiceName
from ..operators.api import DocumentAnswer
from ..operators.client import FaultKind, OperatorClient
from ..operators.cluster import first_answer
from .nodes import unwrap_answer

MAX_DIFF_LINES = 60
_VERSION_LINE = re.compile(r"# lentilchute: version ([0-9]{1,9}) of [a-z0-9.-]+\r?\n")


async def document_in_force(clients: list[OperatorClient], service: ServiceName) -> DocumentAnswer:
    """Return the document in force, or version 0 with an empty text for a new service."""
    result = await first_answer(clients, lambda client: client.document(service))
    faults = result.err_value if isinstance(result, Err) else []
    if any(fault.kind is FaultKind.UNKNOWN_SERVICE for fault in faults):
        return DocumentAnswer(service=service, version=DocumentVersion(0), text="")
    return unwrap_answer(result)


def add_version_line(answer: DocumentAnswer) -> str:
    """Return the text with its version in a leading comment line."""
    text = answer.text if answer.text.endswith("\n") else answer.text + "\n"
    return f"# lentilchute: version {answer.version} of {answer.service}\n{text}"


def split_version_line(text: str) -> tuple[DocumentVersion | None, str]:
    """Return the version from a text's version line, if any, and the text without that line."""
    match = _VERSION_LINE.match(text)
    if match is None:
        return None, text
    return DocumentVersion(int(match.group(1))), text[match.end() :]


def diff_from_current(current: DocumentAnswer, text: str) -> str:
    """Return a unified diff from the text in force to ``text``, of limited length."""
    lines = list(
        difflib.unified_diff(
            current.text.splitlines(),
            text.splitlines(),
            f"version {current.version}",
            "this file",
            n=1,
            lineterm="",
        )
    )
    more = [f"... {len(lines) - MAX_DIFF_LINES} more lines"] if len(lines) > MAX_DIFF_LINES else []
    return "\n".join(lines[:MAX_DIFF_LINES] + more)
