"""Operations on all nodes: reading their state, and changes that are safe if answers are lost."""

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import trio
from pydantic import BaseModel
from result import Err, Ok, Result

from ..ids import InstanceId, ServiceName
from .api import ChangeAnswer, ChangeRequest, ChangeState, StatusAnswer
from .client import FaultKind, OperatorClient, OperatorFault

MAX_NODES = 1_000
RETRY_INTERVAL_S = 0.2

Answer = TypeVar("Answer", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class UnresponsiveNode:
    """A node that did not answer, or whose address is not known."""

    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class ClusterStatus:
    """Status of all nodes that answered, ordered by instance, and the nodes that did not."""

    nodes: tuple[StatusAnswer, ...]
    unresponsive: tuple[UnresponsiveNode, ...]
    addresses: dict[InstanceId, str]
    """Operator addresses of the nodes that answered."""


async def fetch_cluster_status(addresses: list[str], key: str) -> ClusterStatus:
    """Query these nodes, then the peers that they list, until no unqueried node remains.

    Starts no further round once ``MAX_NODES`` addresses were queried.
    """
    answers: dict[str, StatusAnswer] = {}
    unresponsive: dict[str, UnresponsiveNode] = {}
    instance_names = dict.fromkeys(addresses, "")
    queried: set[str] = set()
    while len(queried) < MAX_NODES and (pending := set(instance_names) - queried):
        queried |= pending
        for address, result in (await _fetch_statuses(sorted(pending), key)).items():
            if isinstance(result, Ok):
                answers[address] = result.ok_value
            else:
                name = instance_names[address] or address
                unresponsive[address] = UnresponsiveNode(name, result.err_value.message)
        for answer in answers.values():
            _discover_peers(answer, instance_names, unresponsive)
    return _merge_statuses(answers, unresponsive)


def _discover_peers(
    answer: StatusAnswer, instance_names: dict[str, str], unresponsive: dict[str, UnresponsiveNode]
) -> None:
    for peer in answer.peers:
        if peer.operators_address:
            instance_names.setdefault(peer.operators_address, peer.instance)
        else:
            unresponsive.setdefault(
                peer.instance, UnresponsiveNode(peer.instance, "its address is not known")
            )


def _merge_statuses(
    answers: dict[str, StatusAnswer], unresponsive: dict[str, UnresponsiveNode]
) -> ClusterStatus:
    """Drop duplicates: a node may be listed with an address of an earlier incarnation too."""
    by_instance = {answer.instance: answer for answer in answers.values()}
    missing = {node.name: node for node in unresponsive.values() if node.name not in by_instance}
    return ClusterStatus(
        nodes=tuple(answer for _, answer in sorted(by_instance.items())),
        unresponsive=tuple(node for _, node in sorted(missing.items())),
        addresses={answer.instance: address for address, answer in answers.items()},
    )


async def _fetch_statuses(
    addresses: list[str], key: str
) -> dict[str, Result[StatusAnswer, OperatorFault]]:
    results: dict[str, Result[StatusAnswer, OperatorFault]] = {}

    async def fetch(address: str) -> None:
        client = OperatorClient(address, key)
        results[address] = await client.status()
        await client.aclose()

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(fetch, address)
    return results


async def submit_change(
    clients: list[OperatorClient],
    service: ServiceName,
    change: ChangeRequest,
    timeout_s: float,
    report: Callable[[str], None],
) -> Result[ChangeAnswer, OperatorFault]:
    """Retry a change with the same id, on one node after another, until its outcome is known.

    After a lost answer the write may be committed; the next node looks up the id before it writes.
    No attempt starts after ``timeout_s``, but an attempt in flight is not cancelled, since its
    outcome would then be unknown. Returns ``UNRESOLVED`` or ``NOT_APPLIED`` if no node reported a
    final state, and an error if a node rejects the request itself and no earlier attempt may be
    committed.
    """
    may_be_committed = False
    deadline_s = trio.current_time() + timeout_s
    for client in itertools.cycle(clients):
        result = await client.change(service, change)
        if isinstance(result, Err):
            fault = result.err_value
            if fault.kind is FaultKind.REFUSED and not may_be_committed:
                return result
            may_be_committed |= fault.kind is FaultKind.ANSWER_LOST
            report(f"{client.address}: {fault.message}; retrying with the same id")
        elif _is_final(result.ok_value.state, may_be_committed):
            return result
        else:
            state = result.ok_value.state
            may_be_committed |= state is ChangeState.UNRESOLVED
            report(f"{client.address}: {state.value}; retrying with the same id")
        await trio.sleep(RETRY_INTERVAL_S)
        if trio.current_time() >= deadline_s:
            break
    return Ok(ChangeAnswer(state=_unsettled_state(may_be_committed)))


def _unsettled_state(may_be_committed: bool) -> ChangeState:
    return ChangeState.UNRESOLVED if may_be_committed else ChangeState.NOT_APPLIED


def _is_final(state: ChangeState, may_be_committed: bool) -> bool:
    if state is ChangeState.INVALID:
        # A node whose checks differ rejects the document without looking up the earlier write.
        return not may_be_committed
    return state in (ChangeState.ACCEPTED, ChangeState.CONFLICT)


Query = Callable[[OperatorClient], Awaitable[Result[Answer, OperatorFault]]]


async def first_answer(
    clients: list[OperatorClient], query: Query[Answer]
) -> Result[Answer, list[OperatorFault]]:
    """Return the first successful answer, or the faults of all nodes."""
    faults: list[OperatorFault] = []
    for client in clients:
        result = await query(client)
        if isinstance(result, Ok):
            return result
        fault = result.err_value
        faults.append(OperatorFault(fault.kind, f"{client.address}: {fault.message}"))
    return Err(faults)
