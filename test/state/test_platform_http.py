"""Tests of the platform adapter against the platform stand-in on loopback."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from result import Err, Ok

from lentilchute.http.client import ClientRequest, HttpClient
from lentilchute.settings import PlatformSettings
from lentilchute.standins import platform as standin
from lentilchute.state.platform_http import HttpPlatform
from lentilchute.state.platform_services import (
    Condition,
    ListedState,
    Platform,
    Row,
    TableFault,
    Transaction,
    Write,
    platform_for,
)

PUT_A = Transaction((Condition("a", 0),), (Write("a", "1"),))
PUT_A_AGAIN = Transaction((Condition("a", 1),), (Write("a", "2"),))
LONG_TIMEOUT_S = 20.0
SHORT_TIMEOUT_S = 0.3
"""Timeout for calls that get no response."""


class Bench:
    """A platform adapter and the control API of the platform stand-in."""

    def __init__(self, address: str) -> None:
        self.platform = self._platform(address, LONG_TIMEOUT_S)
        self.short_timeout = self._platform(address, SHORT_TIMEOUT_S)
        self._client = HttpClient(address)

    def _platform(self, address: str, timeout_s: float) -> Platform:
        return platform_for(
            PlatformSettings(table=address, objects=address, instances=address, timeout_s=timeout_s)
        )

    async def control(self, body: str, path: str = "/control", method: str = "POST") -> None:
        request = ClientRequest(method, path, (), body.encode())
        assert (await self._client.call(request)).unwrap().status == 200


@asynccontextmanager
async def bench() -> AsyncIterator[Bench]:
    async with trio.open_nursery() as nursery:
        address = await nursery.start(standin.serve, standin.PlatformStandinSettings())
        yield Bench(address)
        nursery.cancel_scope.cancel()


def test_rows_are_written_under_conditions_and_read_back() -> None:
    async def main() -> None:
        async with bench() as b:
            table = b.platform.table
            assert await table.commit(PUT_A) == Ok(None)
            assert await table.commit(PUT_A) == Err(TableFault.CONFLICT)
            assert await table.commit(PUT_A_AGAIN) == Ok(None)
            assert await table.get("a") == Ok(Row("a", 2, "2"))
            assert await table.get("b") == Ok(None)
            assert await table.scan("") == Ok([Row("a", 2, "2")])
            delete = Transaction((Condition("a", 2),), (Write("a", None),))
            assert await table.commit(delete) == Ok(None)
            assert await table.get_many(["a"]) == Ok({})

    trio.run(main)


def test_objects_and_instances() -> None:
    async def main() -> None:
        async with bench() as b:
            objects = b.platform.objects
            assert await objects.put("a/b?c", b"\x00\xff") == Ok(None)
            assert await objects.get("a/b?c") == Ok(b"\x00\xff")
            assert await objects.delete("a/b?c") == Ok(None)
            assert await objects.get("a/b?c") == Ok(None)
            line = '{"kind": "entry", "address": "127.0.0.1:1", "zone": "z", "state": "leaving"}'
            await b.control(line, "/instances/entry-1", "PUT")
            listed = (await b.platform.instances.instances()).unwrap()
            assert [(one.name, one.state) for one in listed] == [("entry-1", ListedState.LEAVING)]
            await b.control('{"instance_lag_s": 60}')
            assert await b.platform.instances.instances() == Ok([])

    trio.run(main)


def test_a_write_is_unavailable_only_when_it_was_surely_not_applied() -> None:
    async def main() -> None:
        async with bench() as b:
            table = b.platform.table
            await b.control('{"outage": "refusing"}')
            assert await table.commit(PUT_A) == Err(TableFault.UNAVAILABLE)
            await b.control('{"outage": "silent"}')
            assert await b.short_timeout.table.commit(PUT_A) == Err(TableFault.UNKNOWN)
            await b.control('{"outage": "none", "lost_writes": 1, "lost_answers": 1}')
            assert await table.commit(PUT_A) == Err(TableFault.UNKNOWN)
            assert await table.get("a") == Ok(None)
            assert await table.commit(PUT_A) == Err(TableFault.UNKNOWN)
            assert await table.get("a") == Ok(Row("a", 1, "1"))
            await b.control('{"max_writes_per_s": 0}')
            assert await table.commit(PUT_A_AGAIN) == Err(TableFault.UNAVAILABLE)
        assert await table.commit(PUT_A_AGAIN) == Err(TableFault.UNAVAILABLE)

    trio.run(main)


def test_a_read_that_fails_is_unavailable() -> None:
    async def main() -> None:
        async with bench() as b:
            for outage in ("refusing", "silent"):
                await b.control(f'{{"outage": "{outage}"}}')
                assert await b.short_timeout.table.get("a") == Err(TableFault.UNAVAILABLE)
                assert await b.short_timeout.objects.get("a") == Err(TableFault.UNAVAILABLE)
                assert await b.short_timeout.instances.instances() == Err(TableFault.UNAVAILABLE)

    trio.run(main)


def test_the_adapter_is_registered_by_name() -> None:
    settings = PlatformSettings(table="127.0.0.1:1", objects="127.0.0.1:1", instances="127.0.0.1:1")
    assert isinstance(platform_for(settings), HttpPlatform)
