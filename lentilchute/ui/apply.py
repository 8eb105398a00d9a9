"""``lentilchute apply``: makes a checked file the next version of its service's document."""

import json
import os
import uuid
from dataclasses import dataclass
from typing import Annotated

import cappa
import trio
from pydantic import ValidationError
from result import Err

from ..document import ServiceDocument
from ..errors import ExitCode, FindingsError, UserError
from ..ids import DocumentVersion, ServiceName
from ..operators.api import ChangeAnswer, ChangeRequest, ChangeState
from ..operators.client import OperatorClient
from ..operators.cluster import ClusterStatus, ask_all, submit_change
from ..util.checked_yaml import load_document, read_text
from .document_texts import difference, document_in_force, split_version_line
from .nodes import ConflictError, NodeOptions, UnknownOutcomeError, UnreachableError, open_cluster
from .progress import Progress
from .registry import register_command

POLL_INTERVAL_S = 0.3


@dataclass(frozen=True, slots=True)
class CheckedFile:
    """A file that passed its checks. ``base`` is the version its first line names."""

    document: ServiceDocument
    text: str
    base: DocumentVersion | None


@dataclass(frozen=True, slots=True)
class Applied:
    """An accepted version and where it is in force."""

    service: str
    version: DocumentVersion
    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    silent: tuple[str, ...]


@register_command("apply", help="Make a file the next version of its service's document.")
@dataclass
class Apply(NodeOptions):
    """Checks the file, then changes the document only if the version it is based on is in force.

    The base is what ``--expected-version`` gives, else what the file's first line names, as
    ``show`` writes it, else the version in force when the command starts.
    """

    file: Annotated[str, cappa.Arg(help="Service document, in YAML.")]
    expected_version: Annotated[
        int | None, cappa.Arg(long=True, help="Version that the file is based on; 0 for none.")
    ] = None
    change_id: Annotated[
        str | None,
        cappa.Arg(long=True, help="Id of an earlier try whose outcome is not known."),
    ] = None
    author: Annotated[str | None, cappa.Arg(long=True, help="Who makes the change.")] = None
    timeout_s: Annotated[
        float, cappa.Arg(long=True, help="How long to begin new tries until the outcome is known.")
    ] = 30.0
    wait_s: Annotated[
        float, cappa.Arg(long=True, help="How long to wait until it is in force everywhere.")
    ] = 11.0
    json: Annotated[bool, cappa.Arg(long=True, help="Print the result as JSON.")] = False

    def __call__(self) -> ExitCode:
        if self.change_id is not None and self.expected_version is None:
            raise UserError("--change-id needs the --expected-version of the earlier try")
        checked = check_file(self.file)
        progress = Progress()
        try:
            applied = trio.run(self._run, checked, progress)
        finally:
            progress.close()
        print(as_json(applied) if self.json else as_text(applied))
        return ExitCode.OK

    async def _run(self, checked: CheckedFile, progress: Progress) -> Applied:
        service = checked.document.name
        async with open_cluster(self) as cluster:
            clients = cluster.newest_first(service)
            version = await self._version_after(checked, clients, progress)
        return await self._wait_in_force(service, version, progress)

    async def _version_after(
        self, checked: CheckedFile, clients: list[OperatorClient], progress: Progress
    ) -> DocumentVersion:
        """Make the change unless its text is in force already; return the text's version."""
        expected = self.expected_version if self.expected_version is not None else checked.base
        if self.change_id is None:
            current = await document_in_force(clients, checked.document.name)
            if current.text == checked.text:
                return current.version
            expected = current.version if expected is None else expected
        assert expected is not None, "--change-id comes with --expected-version"
        request = self._request(checked, expected)
        progress.update(f"changing version {expected} of {checked.document.service}")
        result = await submit_change(
            clients, checked.document.name, request, self.timeout_s, progress.update
        )
        if isinstance(result, Err):
            raise UserError(result.err_value.message)
        answer = result.ok_value
        if answer.state is ChangeState.ACCEPTED:
            return answer.version
        if answer.state is ChangeState.CONFLICT:
            return await _lost_against(checked, expected, answer, clients)
        raise self._unsettled(answer, request)

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

    def _unsettled(self, answer: ChangeAnswer, request: ChangeRequest) -> UserError:
        if answer.state is ChangeState.INVALID:
            lines = [f"{f.line}:{f.column}: {f.key}: {f.message}" for f in answer.findings]
            return UserError("a node refused the document: " + "; ".join(lines))
        if answer.state is ChangeState.NOT_APPLIED:
            return UnreachableError("nothing was changed: no node could reach the table")
        return UnknownOutcomeError(
            "it is not known whether the change was made; find out by: lentilchute apply "
            f"--expected-version {request.expected_version} --change-id {request.change_id} "
            f"{self.file}"
        )

    async def _wait_in_force(
        self, service: ServiceName, version: DocumentVersion, progress: Progress
    ) -> Applied:
        """Ask all nodes until each that answers has the version, or the time is over."""
        addresses, key = self.addresses_and_key()
        deadline_s = trio.current_time() + self.wait_s
        while True:
            applied = where_in_force(service, version, await ask_all(addresses, key))
            known = len(applied.in_force) + len(applied.behind)
            progress.update(
                f"version {version} is in force on {len(applied.in_force)} of {known} nodes"
            )
            if not applied.behind or trio.current_time() >= deadline_s:
                return applied
            await trio.sleep(POLL_INTERVAL_S)


def check_file(path: str) -> CheckedFile:
    """Read and check a service document; raises ``FindingsError`` with all findings."""
    text = read_text(path)
    if isinstance(text, Err):
        raise FindingsError(text.err_value)
    document = load_document(text.ok_value, path)
    if isinstance(document, Err):
        raise FindingsError(document.err_value)
    base, rest = split_version_line(text.ok_value)
    return CheckedFile(document.ok_value, rest, base)


async def _lost_against(
    checked: CheckedFile, expected: int, answer: ChangeAnswer, clients: list[OperatorClient]
) -> DocumentVersion:
    """Explain a conflict; the version in force, if it has the same text after all, is no loss."""
    current = await document_in_force(clients, checked.document.name)
    if current.text == checked.text:
        return current.version
    author = f" by {answer.author}" if answer.author else ""
    raise ConflictError(
        f"version {max(answer.version, current.version)}{author} is in force, and this change "
        f"started from version {expected}; nothing was changed. What differs:\n"
        + difference(current, checked.text)
    )


def where_in_force(
    service: ServiceName, version: DocumentVersion, status: ClusterStatus
) -> Applied:
    """Sort nodes by whether they have the version, or a later one, in force."""
    in_force: list[str] = []
    behind: list[str] = []
    for node in status.nodes:
        has_it = node.documents.get(service, 0) >= version
        (in_force if has_it else behind).append(node.instance)
    silent = tuple(node.name for node in status.silent)
    return Applied(service, version, tuple(in_force), tuple(behind), silent)


def as_json(applied: Applied) -> str:
    """Return the result as a script reads it."""
    return json.dumps(
        {
            "service": applied.service,
            "version": applied.version,
            "in_force": applied.in_force,
            "behind": applied.behind,
            "silent": applied.silent,
        }
    )


def as_text(applied: Applied) -> str:
    """Return the result in words."""
    lines = [f"version {applied.version} of {applied.service} is accepted"]
    if applied.in_force:
        lines.append(f"in force on: {', '.join(applied.in_force)}")
    if applied.behind:
        lines.append(f"not yet in force on: {', '.join(applied.behind)}")
    if applied.silent:
        lines.append(f"no answer from: {', '.join(applied.silent)}")
    return "\n".join(lines)
