"""Tests of the exchange tasks between an entry and the upstream adapters."""

from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest
import trio
import trio.testing

from lentilchute.entry.actions import ResumeUpstream, SendUpstream
from lentilchute.ids import Attempt, RequestId, UpstreamId
from lentilchute.upstream.adapters import AnswerItem, AnswerPart, UpstreamFault, UpstreamRequest
from lentilchute.upstream.exchanges import ExchangeHooks, UpstreamExchanges

REQUEST = RequestId("entry-1.a/1")
ENGINE = UpstreamId("engine-1")


class FakeAdapter:
    """Yields the same part every second without end, or raises an error."""

    def __init__(self, raises_after_first_byte: bool | None = None) -> None:
        self._raises_after_first_byte = raises_after_first_byte

    async def send(
        self, request: UpstreamRequest, before_first_byte: Callable[[], bool]
    ) -> AsyncIterator[AnswerItem]:
        if self._raises_after_first_byte is False:
            raise RuntimeError("a bug")
        assert before_first_byte()
        if self._raises_after_first_byte:
            raise RuntimeError("a bug")
        while True:
            yield AnswerPart(b"first")
            await trio.sleep(1)

    async def resume(self, request_id: RequestId, after_event: int) -> AsyncIterator[AnswerItem]:
        while True:
            yield AnswerPart(b"resumed")
            await trio.sleep(1)


class FakeDirectory:
    """Returns the same adapter for every upstream."""

    def __init__(self, adapter: FakeAdapter) -> None:
        self._adapter = adapter

    def adapter(self, upstream: UpstreamId) -> FakeAdapter:
        return self._adapter


def run(adapter: FakeAdapter, script: Callable[[UpstreamExchanges], Any]) -> list[AnswerItem]:
    """Run ``script`` with exchanges over ``adapter`` and return the items received."""
    items: list[AnswerItem] = []

    async def no_wait(request_id: RequestId) -> None:
        await trio.lowlevel.checkpoint()

    hooks = ExchangeHooks(
        lambda request_id, attempt: True, lambda request_id, item: items.append(item), no_wait
    )
    directory: Any = FakeDirectory(adapter)

    async def main() -> None:
        exchanges = UpstreamExchanges(directory, hooks)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(exchanges.run)
            await trio.testing.wait_all_tasks_blocked()
            await script(exchanges)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return items


def send_action() -> SendUpstream:
    request = UpstreamRequest(REQUEST, "POST", "/v1/chat/completions", (), b"{}", True)
    return SendUpstream(ENGINE, Attempt(1), request)


@pytest.mark.parametrize(
    ("after_first_byte", "fault"),
    [(False, UpstreamFault.NOT_SENT), (True, UpstreamFault.RESET)],
)
def test_an_adapter_error_fails_only_its_request_with_the_right_fault(
    after_first_byte: bool, fault: UpstreamFault
) -> None:
    async def script(exchanges: UpstreamExchanges) -> None:
        exchanges.send(send_action())
        await trio.sleep(5)

    assert run(FakeAdapter(after_first_byte), script) == [fault]


def test_a_resume_replaces_the_first_read() -> None:
    async def script(exchanges: UpstreamExchanges) -> None:
        exchanges.send(send_action())
        await trio.sleep(2.5)
        exchanges.resume(ResumeUpstream(ENGINE, REQUEST, 1))
        await trio.sleep(2.5)

    items = run(FakeAdapter(), script)
    assert items == [AnswerPart(b"first")] * 3 + [AnswerPart(b"resumed")] * 3
