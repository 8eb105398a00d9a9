"""``lentilchute apply``: make a checked file the next version of its service's document."""

import json
import os
import uuid
from dataclasses import dataclass
from typing import Annotated

import cappa
import trio
from pydantic import ValidationError
from result import Err

from ..document import ServiceDocument, load_document
from ..errors import ExitCode, FindingsError, UserError
from ..ids import DocumentVersion, ServiceName
from ..operators.api import ChangeAnswer, ChangeRequest, ChangeState
from ..operators.client import OperatorClient
from ..operators.cluster import ClusterStatus, fetch_cluster_status, submit_change
from ..util.checked_yaml import read_text
from .document_texts import diff_from_current, document_in_force, split_version_line
from .nodes import ConflictError, NodeOptions, UnknownOutcomeError, UnreachableError, open_cluster
from .progress import Progress
from .registry import register_command

POLL_INTERVAL_S = 0.3


@dataclass(frozen=True, slots=True)
class CheckedFile:
    """A file that passed its checks; ``base_version`` is the version named in its first line."""

    document: ServiceDocument
    text: str
    base_version: DocumentVersion | None


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """An accepted version and the nodes on which it is in force."""

    service: str
    version: DocumentVersion
    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    unresponsive: tuple[str, ...]


@register_command("apply", help="Make a file the next version of its service's document.")
@dataclass
class Apply(NodeOptions):
    """Checks the file, then changes the document only if its base version is still in force.

    The base version is ``--expected-version``, else the version in the file's first line, as
    ``show`` writes it, else the version in force when the command starts.
    """

    file: Annotated[str, cappa.Arg(help="Service document, in YAML.")]
    expected_version: Annotated[
        int | None, cappa.Arg(long=True, help="Version that the file is based on; 0 for none.")
    ] = None
    change_id: Annotated[
        str | None,
        cappa.Arg(long=True, help="Id of an earlier attempt whose outcome is unknown."),
    ] = None
    author: Annotated[str | None, cappa.Arg(long=True, help="Author of the change.")] = None
    timeout_s: Annotated[
        float,
        cappa.Arg(long=True, help="How long to start new attempts while the outcome is unknown."),
    ] = 30.0
    wait_s: Annotated[
        float, cappa.Arg(long=True, help="How long to wait until it is in force on all nodes.")
    ] = 11.0
    json: Annotated[bool, cappa.Arg(long=True, help="Print the result as JSON.")] = False

    def __call__(self) -> ExitCode:
        if self.change_id is not None and self.expected_version is None:
            raise UserError("--change-id needs the --expected-version of the earlier attempt")
        checked = read_checked_file(self.file)
        progress = Progress()
        try:
            result = trio.run(self._run, checked, progress)
        finally:
            progress.close()
        print(as_json(result) if self.json else as_text(result))
        return ExitCode.OK

    async def _run(self, checked: CheckedFile, progress: Progress) -> ApplyResult:
        service = checked.document.name
        async with open_cluster(self) as cluster:
            clients = cluster.clients_newest_first(service)
            version = await self._submit_if_changed(checked, clients, progress)
        return await self._wait_until_in_force(service, version, progress)

    async def _submit_if_changed(
        self, checked: CheckedFile, clients: list[OperatorClient], progress: Progress
    ) -> DocumentVersion:
        """Submit the change unless its text is already in force; return the text's version."""
        expected = (
            self.expected_version if self.expected_version is not None else checked.base_version
        )
        if self.change_id is None:
            current = await document_in_force(clients, checked.document.name)
            if current.text == checked.text:
                return current.version
            expected = current.version if expected is None else expected
        assert expected is not None, "--change-id requires --expected-version"
        request = self._request(checked, expected)
        progress.update(f"submitting a change to version {expected} of {checked.document.service}")
        result = await submit_change(
            clients, checked.document.name, request, self.timeout_s, progress.update
        )
        if isinstance(result, Err):
            raise UserError(result.err_value.message)
        answer = result.ok_value
        if answer.state is ChangeState.ACCEPTED:
            return answer.version
        if answer.state is ChangeState.CONFLICT:
            return await _resolve_conflict(checked, expected, answer, clients)
        raise self._failure(answer, request)

    def _request(self, checked: CheckedFile, expected: int) -> ChangeRequest:
        try:
            return ChangeRequest(
                expected_version=expected,
                change_id=self.change_id or uuid.uuid4().hex,
                author=self.author or os.environ.get("USER", "unknown"),
                text=checked.text,
            )
        except ValidationError as error:
            first = error.errors(include_input=False, include_url=False)[0]
            raise UserError(f"{first['loc'][0]}: {first['msg']}") from error

    def _failure(self, answer: ChangeAnswer, request: ChangeRequest) -> UserError:
        """Return the error for a change that was rejected, not applied or left unresolved."""
        if answer.state is ChangeState.INVALID:
            lines = [f"{f.line}:{f.column}: {f.key}: {f.message}" for f in answer.findings]
            return UserError("a node rejected the document: " + "; ".join(lines))
        if answer.state is ChangeState.NOT_APPLIED:
            return UnreachableError("nothing was changed: no node could reach the table")
        return UnknownOutcomeError(
            "it is not known whether the change was made; find out by: lentilchute apply "
            f"--expected-version {request.expected_version} --change-id {request.change_id} "
            f"{self.file}"
        )

    async def _wait_until_in_force(
        self, service: ServiceName, version: DocumentVersion, progress: Progress
    ) -> ApplyResult:
        """Poll all nodes until each node that answers has the version, or ``wait_s`` has passed."""
        addresses, key = self.addresses_and_key()
        deadline_s = trio.current_time() + self.wait_s
        while True:
            result = classify_nodes(service, version, await fetch_cluster_status(addresses, key))
            known = len(result.in_force) + len(result.behind)
            progress.update(
                f"version {version} is in force on {len(result.in_force)} of {known} nodes"
            )
            if not result.behind or trio.current_time() >= deadline_s:
                return result
            await trio.sleep(POLL_INTERVAL_S)


def read_checked_file(path: str) -> CheckedFile:
    """Read and check a service document. Raises ``FindingsError`` with all findings."""
    text = read_text(path)
    if isinstance(text, Err):
        raise FindingsError(text.err_value)
    document = load_document(text.ok_value, path)
    if isinstance(document, Err):
        raise FindingsError(document.err_value)
    base_version, rest = split_version_line(text.ok_value)
    return CheckedFile(document.ok_value, rest, base_version)


async def _resolve_conflict(
    checked: CheckedFile, expected: int, answer: ChangeAnswer, clients: list[OperatorClient]
) -> DocumentVersion:
    """Return the version in force if it has the same text, else raise ``ConflictError``."""
    current = await document_in_force(clients, checked.document.name)
    if current.text == checked.text:
        return current.version
    author = f" by {answer.author}" if answer.author else ""
    raise ConflictError(
        f"version {max(answer.version, current.version)}{author} is in force, and this change "
        f"started from version {expected}; nothing was changed. Difference:\n"
        + diff_from_current(current, checked.text)
    )


def classify_nodes(
    service: ServiceName, version: DocumentVersion, status: ClusterStatus
) -> ApplyResult:
    """Classify nodes by whether this version, or a later one, is in force on them."""
    in_force: list[str] = []
    behind: list[str] = []
    for node in status.nodes:
        is_current = node.documents.get(service, 0) >= version
        (in_force if is_current else behind).append(node.instance)
    unresponsive = tuple(node.name for node in status.unresponsive)
    return ApplyResult(service, version, tuple(in_force), tuple(behind), unresponsive)


def as_json(result: ApplyResult) -> str:
    """Return the result as JSON, for scripts."""
    return json.dumps(
        {
            "service": result.service,
            "version": result.version,
            "in_force": result.in_force,
            "behind": result.behind,
            "silent": result.unresponsive,
        }
    )


def as_text(result: ApplyResult) -> str:
    """Return the result as plain text."""
    lines = [f"version {result.version} of {result.service} is accepted"]
    if result.in_force:
        lines.append(f"in force on: {', '.join(result.in_force)}")
    if result.behind:
        lines.append(f"not yet in force on: {', '.join(result.behind)}")
    if result.unresponsive:
        lines.append(f"no answer from: {', '.join(result.unresponsive)}")
    return "\n".join(lines)
