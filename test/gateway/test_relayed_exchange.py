"""The near end of an exchange that a peer carries."""

from collections.abc import Iterable

import pytest
import trio
from result import Err, Ok, Result

from lentilchute.gateway.path_health import PathHealth
from lentilchute.gateway.relay_messages import PathState, RelayEnd, RelayHead, RelayPart
from lentilchute.gateway.relayed_exchange import MAX_PENDING_BYTES, RelayedExchange, RelayMessage
from lentilchute.http.client import HttpFault, PartResult
from lentilchute.ids import UpstreamId

HEAD = RelayHead(1, 200, (), False)


def part(index: int, data: bytes = b"x") -> RelayPart:
    return RelayPart(1, index, data)


def end(parts: int, fault: str = "", state: PathState = PathState.OPEN) -> RelayEnd:
    return RelayEnd(1, parts, fault, state, is_reused=False, ended_with_connection=False)


def relay(messages: Iterable[RelayMessage]) -> tuple[Result[bool, HttpFault], bytes]:
    """Return how an exchange ends that gets these messages, and the body that it relays."""
    body = bytearray()

    async def take(data: bytes) -> PartResult:
        body.extend(data)
        return PartResult.PROGRESS

    async def main() -> Result[bool, HttpFault]:
        exchange = RelayedExchange(head_timeout_s=0.05, read_timeout_s=0.05)
        for message in messages:
            exchange.receive(message)
        head = await exchange.head()
        return head if isinstance(head, Err) else await exchange.relay_parts(take)

    return trio.run(main), bytes(body)


def test_a_whole_answer_is_relayed_in_order() -> None:
    assert relay([HEAD, part(0, b"a"), part(1, b"b"), end(2)]) == (Ok(True), b"ab")


@pytest.mark.parametrize(
    "messages",
    [
        [HEAD, part(1)],
        [HEAD, part(0), part(0)],
        [HEAD, part(0), end(2)],
        [part(0), end(1)],
    ],
)
def test_an_answer_with_a_lost_message_is_broken(messages: list[RelayMessage]) -> None:
    ended, _ = relay(messages)
    assert ended == Err(HttpFault.RESET)


@pytest.mark.parametrize("fault", [HttpFault.NOT_SENT, HttpFault.RESET, HttpFault.TIMED_OUT])
def test_a_fault_at_the_peer_is_the_fault_of_the_exchange(fault: HttpFault) -> None:
    assert relay([end(0, fault.value)]) == (Err(fault), b"")
    assert relay([HEAD, part(0), end(1, fault.value)]) == (Err(fault), b"x")


def test_a_silent_peer_ends_the_exchange_in_time() -> None:
    assert relay([HEAD, part(0)]) == (Err(HttpFault.TIMED_OUT), b"x")


def test_an_answer_that_nobody_reads_is_given_up() -> None:
    pieces = [part(index, b"x" * 65_536) for index in range(MAX_PENDING_BYTES // 65_536 + 1)]
    assert relay([HEAD, *pieces])[0] == Err(HttpFault.WRONG_ANSWER)


def test_a_node_is_cut_off_when_it_reaches_one_upstream_after_the_other_in_vain() -> None:
    health = PathHealth()
    health.record_failed(UpstreamId("a"))
    health.record_failed(UpstreamId("a"))
    assert not health.is_cut_off, "one upstream may have ended"
    health.record_failed(UpstreamId("b"))
    assert health.is_cut_off
    health.record_opened()
    assert not health.is_cut_off
