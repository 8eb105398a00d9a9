"""Client of the operators' interface, for one node.

Example::

    client = OperatorClient("10.20.1.101:7102", key)
    answer = await client.status()
"""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import TypeVar

import trio
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from ..http.client import ClientRequest, HttpClient, HttpClientSettings, HttpFault
from ..http.messages import JSON_HEADER
from ..ids import ServiceName, UpstreamId
from .api import (
    ChangeAnswer,
    ChangeRequest,
    DocumentAnswer,
    DrainAnswer,
    ErrorAnswer,
    HistoryAnswer,
    StatusAnswer,
)

HTTP_SETTINGS = HttpClientSettings(connect_timeout_s=2.0, head_timeout_s=15.0)
"""The head timeout exceeds ``CHANGE_TIMEOUT_S``, the time that a node spends on a change."""
READ_TIMEOUT_S = 3.0

Answer = TypeVar("Answer", bound=BaseModel)


class FaultKind(Enum):
    """Why a request to a node failed."""

    NOT_SENT = "not-sent"
    """Connecting failed; the node did not receive the request."""
    ANSWER_LOST = "lost"
    """The request may have been executed; no complete answer arrived."""
    REFUSED = "refused"
    """The node rejected the request; nothing was changed."""
    UNKNOWN_SERVICE = "unknown-service"


@dataclass(frozen=True, slots=True)
class OperatorFault:
    """A failed request, with a message for the operator."""

    kind: FaultKind
    message: str


class OperatorClient:
    """Sends requests to one node."""

    def __init__(self, address: str, key: str) -> None:
        self.address = address
        self._http = HttpClient(address, HTTP_SETTINGS)
        self._headers = (("authorization", f"Bearer {key}"), ("host", address))

    async def status(self) -> Result[StatusAnswer, OperatorFault]:
        """Return the node's state."""
        return await self._get("/status", StatusAnswer)

    async def document(self, service: ServiceName) -> Result[DocumentAnswer, OperatorFault]:
        """Return the document in force on the node."""
        return await self._get(f"/services/{service}/document", DocumentAnswer)

    async def history(self, service: ServiceName) -> Result[HistoryAnswer, OperatorFault]:
        """Return the newest accepted versions."""
        return await self._get(f"/services/{service}/history", HistoryAnswer)

    async def change(
        self, service: ServiceName, change: ChangeRequest
    ) -> Result[ChangeAnswer, OperatorFault]:
        """Submit a change; retries with the same id are idempotent."""
        body = change.model_dump_json().encode()
        request = self._request("POST", f"/services/{service}/document", body)
        return await self._call(request, ChangeAnswer)

    async def undrain(self, upstream: UpstreamId) -> Result[DrainAnswer, OperatorFault]:
        """End a drain on the node, which broadcasts that to its peers."""
        return await self._call(
            self._request("POST", f"/upstreams/{upstream}/undrain"), DrainAnswer
        )

    async def drain(self, upstream: UpstreamId) -> Result[DrainAnswer, OperatorFault]:
        """Drain an upstream: the node assigns it no new work and broadcasts that to its peers."""
        return await self._call(self._request("POST", f"/upstreams/{upstream}/drain"), DrainAnswer)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._http.aclose()

    async def _get(self, path: str, model: type[Answer]) -> Result[Answer, OperatorFault]:
        with trio.move_on_after(READ_TIMEOUT_S):
            return await self._call(self._request("GET", path), model)
        return Err(OperatorFault(FaultKind.ANSWER_LOST, "timed out"))

    def _request(self, method: str, path: str, body: bytes = b"") -> ClientRequest:
        headers = (*self._headers, ("content-length", str(len(body))), JSON_HEADER)
        return ClientRequest(method, path, headers, body)

    async def _call(
        self, request: ClientRequest, model: type[Answer]
    ) -> Result[Answer, OperatorFault]:
        answer = await self._http.call(request)
        if isinstance(answer, Err):
            is_unsent = answer.err_value is HttpFault.NOT_SENT
            kind = FaultKind.NOT_SENT if is_unsent else FaultKind.ANSWER_LOST
            return Err(OperatorFault(kind, answer.err_value.value))
        return _parse_answer(answer.ok_value.status, answer.ok_value.body, model)


def _parse_answer(status: int, body: bytes, model: type[Answer]) -> Result[Answer, OperatorFault]:
    """Parse a body as ``model``, else as an error; a body that is neither counts as lost."""
    try:
        return Ok(model.model_validate_json(body))
    except ValidationError:
        pass
    try:
        error = ErrorAnswer.model_validate_json(body).error
    except ValidationError:
        return Err(OperatorFault(FaultKind.ANSWER_LOST, f"unexpected answer with status {status}"))
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        # An internal error may have occurred after the change was committed.
        return Err(OperatorFault(FaultKind.ANSWER_LOST, error.message))
    if error.type == FaultKind.UNKNOWN_SERVICE.value:
        return Err(OperatorFault(FaultKind.UNKNOWN_SERVICE, error.message))
    return Err(OperatorFault(FaultKind.REFUSED, error.message))
