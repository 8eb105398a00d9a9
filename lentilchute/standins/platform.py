"""Stand-in for the platform: table, object store and instance list over HTTP with JSON.

``docs/reference/platform-protocol.md`` describes the interface. ``POST /control`` sets the
switches, and ``GET /record`` returns the number of operations.
"""

from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any
from urllib.parse import unquote

import trio

from ..http.responder import Responder
from ..http.server import HttpRequest
from ..state.platform_services import (
    Condition,
    ListedInstance,
    ListedState,
    Row,
    Transaction,
    Write,
)
from .host import StandinHost
from .platform_state import Outage, PlatformControl, PlatformState, WriteOutcome
from .routes import Route, Router, WireModel, read_body, reply_error, reply_json


@dataclass(frozen=True, slots=True)
class PlatformStandinSettings:
    """Address of the stand-in and seed of its random faults."""

    listen: str = "127.0.0.1:0"
    seed: int = 0


class _GetBody(WireModel):
    keys: tuple[str, ...]


class _ScanBody(WireModel):
    prefix: str
    limit: int = 1_000


class _ConditionBody(WireModel):
    key: str
    version: int


class _WriteBody(WireModel):
    key: str
    value: str | None


class _CommitBody(WireModel):
    conditions: tuple[_ConditionBody, ...] = ()
    writes: tuple[_WriteBody, ...] = ()

    def transaction(self) -> Transaction:
        """Convert the body to a ``Transaction``."""
        return Transaction(
            tuple(Condition(condition.key, condition.version) for condition in self.conditions),
            tuple(Write(write.key, write.value) for write in self.writes),
        )


class _InstanceBody(WireModel):
    kind: str
    address: str
    zone: str
    state: ListedState = ListedState.LIVE


class PlatformStandin:
    """Request handlers of the platform stand-in."""

    def __init__(self, settings: PlatformStandinSettings) -> None:
        self.state = PlatformState(settings.seed)
        self.router = Router()
        self.host = StandinHost(settings.listen, self.router)
        for method, prefix, handler in (
            ("POST", "/table/get", self._read("table", self._get)),
            ("POST", "/table/scan", self._read("table", self._scan)),
            ("POST", "/table/commit", self._write("table", self._commit)),
            ("GET", "/objects/", self._read("objects", self._get_object)),
            ("PUT", "/objects/", self._write("objects", self._put_object)),
            ("DELETE", "/objects/", self._write("objects", self._delete_object)),
            ("GET", "/instances", self._read("instances", self._list)),
            ("PUT", "/instances/", self._put_instance),
            ("DELETE", "/instances/", self._delete_instance),
            ("POST", "/control", self._control),
            ("GET", "/record", self._record),
        ):
            self.router.route(method, prefix)(handler)

    def _read(self, service: str, handler: Route) -> Route:
        """Wrap a read handler with rate limit, outage and delay."""

        async def guarded(request: HttpRequest, responder: Responder) -> None:
            is_admitted = self.state.reads.admits(
                self.state.control.max_reads_per_s, trio.current_time()
            )
            if await self._admit(service, is_admitted, request, responder):
                await handler(request, responder)

        return guarded

    def _write(self, service: str, apply: Callable[[HttpRequest], tuple[int, Any]]) -> Route:
        """Wrap a write, which returns a status and a body, with rate limit, outage and delay.

        The switches can also lose the write or its answer.
        """

        async def guarded(request: HttpRequest, responder: Responder) -> None:
            is_admitted = self.state.writes.admits(
                self.state.control.max_writes_per_s, trio.current_time()
            )
            if not await self._admit(service, is_admitted, request, responder):
                return
            outcome = self.state.next_write_outcome()
            if outcome is WriteOutcome.WRITE_LOST:
                responder.abort()
                return
            status, answer = apply(request)
            if outcome is WriteOutcome.ANSWER_LOST:
                responder.abort()
                return
            await reply_json(responder, status, answer)

        return guarded

    async def _admit(
        self, service: str, is_admitted: bool, request: HttpRequest, responder: Responder
    ) -> bool:
        control = self.state.control
        if service in control.services:
            await trio.sleep(control.delay_s)
            if control.outage is Outage.SILENT:
                await request.caller_gone.wait()
                return False
            if control.outage is Outage.REFUSING:
                await reply_error(responder, 503, "unavailable", "the service is down")
                return False
        if not is_admitted:
            await reply_error(responder, 503, "unavailable", "too many operations per second")
        return is_admitted

    async def _get(self, request: HttpRequest, responder: Responder) -> None:
        found = [self.state.table.get(key) for key in read_body(_GetBody, request).keys]
        await reply_json(responder, 200, {"rows": [asdict(row) for row in found if row]})

    async def _scan(self, request: HttpRequest, responder: Responder) -> None:
        body = read_body(_ScanBody, request)
        rows: list[Row] = self.state.table.scan(body.prefix, body.limit)
        await reply_json(responder, 200, {"rows": [asdict(row) for row in rows]})

    def _commit(self, request: HttpRequest) -> tuple[int, Any]:
        if self.state.table.commit(read_body(_CommitBody, request).transaction()):
            return 200, {}
        return 409, {"error": {"type": "conflict", "message": "a condition does not hold"}}

    async def _get_object(self, request: HttpRequest, responder: Responder) -> None:
        body = self.state.objects.get(_path_tail(request))
        if body is None:
            await reply_error(responder, 404, "not-found", "no such object")
        else:
            await responder.answer(200, (("content-type", "application/octet-stream"),), body)

    def _put_object(self, request: HttpRequest) -> tuple[int, Any]:
        self.state.objects[_path_tail(request)] = request.body
        return 200, {}

    def _delete_object(self, request: HttpRequest) -> tuple[int, Any]:
        self.state.objects.pop(_path_tail(request), None)
        return 200, {}

    async def _list(self, _request: HttpRequest, responder: Responder) -> None:
        time_s = trio.current_time() - self.state.control.instance_lag_s
        instances = self.state.instances.listed_at(time_s)
        listed = [{**asdict(instance), "state": instance.state.value} for instance in instances]
        await reply_json(responder, 200, {"instances": listed})

    async def _put_instance(self, request: HttpRequest, responder: Responder) -> None:
        body = read_body(_InstanceBody, request)
        instance = ListedInstance(
            _path_tail(request), body.kind, body.address, body.zone, body.state
        )
        self.state.instances.put(instance, trio.current_time())
        await reply_json(responder, 200, {})

    async def _delete_instance(self, request: HttpRequest, responder: Responder) -> None:
        self.state.instances.remove(_path_tail(request), trio.current_time())
        await reply_json(responder, 200, {})

    async def _control(self, request: HttpRequest, responder: Responder) -> None:
        self.state.apply_control(read_body(PlatformControl, request))
        await reply_json(responder, 200, self.state.control.model_dump(mode="json"))

    async def _record(self, _request: HttpRequest, responder: Responder) -> None:
        counts = {"reads": self.state.reads.total, "writes": self.state.writes.total}
        await reply_json(responder, 200, counts)


def _path_tail(request: HttpRequest) -> str:
    """Return the decoded path after its first segment."""
    return unquote(request.path.split("/", 2)[2])


async def serve(
    settings: PlatformStandinSettings,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the stand-in until cancelled; the task status receives the bound address."""
    await PlatformStandin(settings).host.run(task_status)
