"""Platform adapter for table, object store and instance list over HTTP with JSON.

``docs/reference/platform-protocol.md`` describes the protocol. A write is reported as not applied
only if no byte of it was sent or if the platform's response says so; after any other failure its
outcome is unknown.
"""

import json
from typing import Any, TypeVar
from urllib.parse import quote

import trio
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from ..events import Event, log_event
from ..http.client import ClientRequest, HttpAnswer, HttpClient, HttpClientSettings
from ..http.messages import JSON_HEADER
from ..settings import PlatformSettings
from .platform_services import (
    InstanceList,
    ListedInstance,
    ObjectStore,
    Row,
    Table,
    TableFault,
    Transaction,
    register_platform,
)

Value = TypeVar("Value")

_ROWS = TypeAdapter(dict[str, list[Row]])
_INSTANCES = TypeAdapter(dict[str, list[ListedInstance]])


class _Service:
    """Client of one platform service; each call is limited by the timeout."""

    def __init__(self, name: str, address: str, timeout_s: float) -> None:
        self.name = name
        self._timeout_s = timeout_s
        timeouts = HttpClientSettings(
            connect_timeout_s=timeout_s,
            write_timeout_s=timeout_s,
            head_timeout_s=timeout_s,
            read_timeout_s=timeout_s,
        )
        self._client = HttpClient(address, timeouts)
        self.is_down = False

    async def read(self, request: ClientRequest) -> Result[HttpAnswer, TableFault]:
        """Return the response to a read; every failure is ``UNAVAILABLE``."""
        answer = await self._call(request, failure=TableFault.UNAVAILABLE)
        if isinstance(answer, Ok) and answer.ok_value.status not in (200, 404):
            return self._record_failure(TableFault.UNAVAILABLE, f"status {answer.ok_value.status}")
        return answer

    async def write(self, request: ClientRequest) -> Result[None, TableFault]:
        """Send a write; the error distinguishes a write not applied from an unknown outcome."""
        answer = await self._call(request, failure=TableFault.UNKNOWN)
        if isinstance(answer, Err):
            return answer
        status = answer.ok_value.status
        if 200 <= status < 300:
            return Ok(None)
        if status == 409:
            return Err(TableFault.CONFLICT)
        is_rejection = status == 503 or 400 <= status < 500
        fault = TableFault.UNAVAILABLE if is_rejection else TableFault.UNKNOWN
        return self._record_failure(fault, f"status {status}")

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._client.aclose()

    async def _call(
        self, request: ClientRequest, failure: TableFault
    ) -> Result[HttpAnswer, TableFault]:
        is_sent = False

        def record_first_byte() -> bool:
            nonlocal is_sent
            is_sent = True
            return True

        reason = "timed-out"
        with trio.move_on_after(self._timeout_s):
            answer = await self._client.call(request, record_first_byte)
            if isinstance(answer, Ok):
                self._record_success(answer.ok_value.status)
                return answer
            reason = answer.err_value.value
        return self._record_failure(failure if is_sent else TableFault.UNAVAILABLE, reason)

    def _record_failure(self, fault: TableFault, reason: str) -> Err[TableFault]:
        if not self.is_down:
            self.is_down = True
            log_event(Event.PLATFORM_DOWN, service=self.name, fault=fault.value, reason=reason)
        return Err(fault)

    def _record_success(self, status: int) -> None:
        if self.is_down and status < 500:
            self.is_down = False
            log_event(Event.PLATFORM_BACK, service=self.name)


class HttpTable:
    """The table over HTTP."""

    def __init__(self, service: _Service) -> None:
        self._service = service

    async def get(self, key: str) -> Result[Row | None, TableFault]:
        """Return the key's row, or ``None`` if there is none."""
        rows = await self.get_many([key])
        return rows.map(lambda found: found.get(key))

    async def get_many(self, keys: list[str]) -> Result[dict[str, Row], TableFault]:
        """Return the rows that exist among ``keys``."""
        rows = await self._read_rows("/table/get", {"keys": keys})
        return rows.map(lambda found: {row.key: row for row in found})

    async def scan(self, prefix: str, limit: int = 1000) -> Result[list[Row], TableFault]:
        """Return the rows whose key starts with ``prefix``, in key order."""
        return await self._read_rows("/table/scan", {"prefix": prefix, "limit": limit})

    async def commit(self, transaction: Transaction) -> Result[None, TableFault]:
        """Apply the transaction; the error tells whether it may have been applied."""
        conditions = [{"key": c.key, "version": c.version} for c in transaction.conditions]
        writes = [{"key": write.key, "value": write.value} for write in transaction.writes]
        body = {"conditions": conditions, "writes": writes}
        return await self._service.write(_json_request("POST", "/table/commit", body))

    async def _read_rows(self, path: str, body: dict[str, Any]) -> Result[list[Row], TableFault]:
        answer = await self._service.read(_json_request("POST", path, body))
        parsed = answer.and_then(lambda found: _parse(_ROWS, found))
        return parsed.and_then(lambda value: _field(value, "rows"))


class HttpObjectStore:
    """The object store over HTTP."""

    def __init__(self, service: _Service) -> None:
        self._service = service

    async def put(self, key: str, body: bytes) -> Result[None, TableFault]:
        """Store ``body`` under ``key``, replacing any earlier object."""
        headers = (("content-type", "application/octet-stream"),)
        return await self._service.write(ClientRequest("PUT", _object_path(key), headers, body))

    async def get(self, key: str) -> Result[bytes | None, TableFault]:
        """Return the object, or ``None`` if there is none."""
        answer = await self._service.read(ClientRequest("GET", _object_path(key)))
        return answer.map(lambda found: found.body if found.status == 200 else None)

    async def delete(self, key: str) -> Result[None, TableFault]:
        """Delete the object if it exists."""
        return await self._service.write(ClientRequest("DELETE", _object_path(key)))


class HttpInstanceList:
    """The instance list over HTTP."""

    def __init__(self, service: _Service) -> None:
        self._service = service

    async def instances(self) -> Result[list[ListedInstance], TableFault]:
        """Return the current list."""
        answer = await self._service.read(ClientRequest("GET", "/instances"))
        parsed = answer.and_then(lambda found: _parse(_INSTANCES, found))
        return parsed.and_then(lambda value: _field(value, "instances"))


@register_platform("http-json")
class HttpPlatform:
    """The three services at the addresses from the settings."""

    def __init__(self, settings: PlatformSettings) -> None:
        timeout_s = settings.timeout_s
        self._services = (
            _Service("table", settings.table, timeout_s),
            _Service("objects", settings.objects, timeout_s),
            _Service("instances", settings.instances, timeout_s),
        )
        self.table: Table = HttpTable(self._services[0])
        self.objects: ObjectStore = HttpObjectStore(self._services[1])
        self.instances: InstanceList = HttpInstanceList(self._services[2])

    def faults(self) -> tuple[str, ...]:
        """Return the names of the services that are marked as down after a failed call."""
        return tuple(service.name for service in self._services if service.is_down)

    async def aclose(self) -> None:
        """Close idle connections."""
        for service in self._services:
            await service.aclose()


def _json_request(method: str, path: str, body: dict[str, Any]) -> ClientRequest:
    return ClientRequest(method, path, (JSON_HEADER,), json.dumps(body).encode())


def _object_path(key: str) -> str:
    return "/objects/" + quote(key, safe="")


def _parse(adapter: TypeAdapter[Value], answer: HttpAnswer) -> Result[Value, TableFault]:
    try:
        return Ok(adapter.validate_json(answer.body))
    except ValidationError:
        return Err(TableFault.UNAVAILABLE)


def _field(value: dict[str, Value], name: str) -> Result[Value, TableFault]:
    found = value.get(name)
    return Err(TableFault.UNAVAILABLE) if found is None else Ok(found)
