"""Tests of when a node starts listening for callers."""

from types import SimpleNamespace
from typing import Any, cast

import pytest
import trio
from entry_fixtures import node_settings
from result import Err, Ok

from lentilchute.entry import caller_interface
from lentilchute.entry.caller_interface import CallerInterface
from lentilchute.http.client import ClientRequest, HttpAnswer, HttpClient, HttpFault
from lentilchute.node_context import NodeContext
from lentilchute.util.reserved_address import ReservedAddress


class StartingNode:
    """The parts of a starting node's context that ``CallerInterface`` uses."""

    def __init__(self, address: str) -> None:
        self.is_ready = False
        settings = node_settings()
        listen = settings.listen.model_copy(update={"callers": address})
        self.settings = settings.model_copy(update={"listen": listen})
        self.rng = SimpleNamespace(shuffle=lambda _entries: None)
        self.zone = settings.zone
        self.membership = SimpleNamespace(alive=lambda _now_s: ())
        self.directory = SimpleNamespace(has_read_list=True)
        self.configuration = SimpleNamespace(is_ready=lambda _now_s: self.is_ready)

    def now_s(self) -> float:
        return trio.current_time()


async def answer_once_open(address: str) -> HttpAnswer:
    """Poll an address until it accepts connections, and return its first answer."""
    with trio.fail_after(10):
        while True:
            answer = await HttpClient(address).call(ClientRequest("GET", "/entries"))
            if isinstance(answer, Ok):
                return answer.ok_value
            await trio.lowlevel.checkpoint()


@pytest.mark.parametrize("missing", ["configuration", "list of instances"])
def test_a_node_opens_its_address_once_it_is_ready(missing: str) -> None:
    async def main() -> None:
        node = StartingNode(ReservedAddress().text)
        node.is_ready = missing != "configuration"
        node.directory.has_read_list = missing != "list of instances"
        address = node.settings.listen.callers
        async with trio.open_nursery() as nursery:
            callers = CallerInterface(cast(NodeContext, node), cast(Any, None))
            nursery.start_soon(callers.run)
            await trio.testing.wait_all_tasks_blocked()
            closed = await HttpClient(address).call(ClientRequest("GET", "/entries"))
            assert closed == Err(HttpFault.NOT_SENT)
            node.is_ready = node.directory.has_read_list = True
            assert (await answer_once_open(address)).status == 200
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_node_that_does_not_become_ready_opens_its_address_after_a_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(caller_interface, "READY_WAIT_S", 0.05)

    async def main() -> None:
        node = StartingNode(ReservedAddress().text)
        async with trio.open_nursery() as nursery:
            callers = CallerInterface(cast(NodeContext, node), cast(Any, None))
            nursery.start_soon(callers.run)
            assert (await answer_once_open(node.settings.listen.callers)).status == 200
            nursery.cancel_scope.cancel()

    trio.run(main)
