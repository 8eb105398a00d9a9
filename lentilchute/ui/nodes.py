"""Connections of operator commands to nodes, with their shared options and errors."""

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, ClassVar, TypeVar

import cappa
from result import Err, Ok, Result

from ..errors import ExitCode, FindingsError, UserError
from ..ids import InstanceId, ServiceName
from ..operators.api import operator_key
from ..operators.client import FaultKind, OperatorClient, OperatorFault
from ..operators.cluster import ClusterStatus, fetch_cluster_status
from ..settings import load_settings

Answer = TypeVar("Answer")

NODES_VARIABLE = "LENTILCHUTE_NODES"
KEY_FILE_VARIABLE = "LENTILCHUTE_OPERATOR_KEY_FILE"


class UnreachableError(UserError):
    """No node answered; nothing was changed."""

    exit_code: ClassVar[ExitCode] = ExitCode.UNREACHABLE


class ConflictError(UserError):
    """Another change was accepted first."""

    exit_code: ClassVar[ExitCode] = ExitCode.CONFLICT


class UnknownOutcomeError(UserError):
    """The change may have been committed."""

    exit_code: ClassVar[ExitCode] = ExitCode.UNKNOWN_OUTCOME


@dataclass(kw_only=True)
class NodeOptions:
    """Options for the addresses of nodes and the operator key."""

    node: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            help="Operator address of a node; may be given several times. "
            f"Default: {NODES_VARIABLE}, a comma-separated list of addresses.",
        ),
    ] = field(default_factory=list)
    key_file: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            help="File with the operator key, see operator-key. "
            f"Default: the file named in {KEY_FILE_VARIABLE}.",
        ),
    ] = None
    settings: Annotated[
        str | None,
        cappa.Arg(
            long=True, help="Node settings from which to read the address and the key instead."
        ),
    ] = None

    def addresses_and_key(self) -> tuple[list[str], str]:
        """Return the addresses of the nodes and the bearer key.

        Raises ``UserError`` if the options and environment variables do not give both.
        """
        if self.settings is not None:
            return self._from_settings(self.settings)
        addresses = list(self.node) or _split_addresses(os.environ.get(NODES_VARIABLE, ""))
        key_file = self.key_file or os.environ.get(KEY_FILE_VARIABLE)
        if not addresses or not key_file:
            raise UserError("give --node and --key-file, or --settings")
        return addresses, _read_key(key_file)

    def _from_settings(self, path: str) -> tuple[list[str], str]:
        loaded = load_settings(path)
        if isinstance(loaded, Err):
            raise FindingsError(loaded.err_value)
        settings = loaded.ok_value
        addresses = list(self.node) or [settings.listen.operators]
        key = _read_key(self.key_file) if self.key_file else operator_key(settings.shared_key)
        return addresses, key


def _split_addresses(addresses: str) -> list[str]:
    return [address.strip() for address in addresses.split(",") if address.strip()]


def _read_key(path: str) -> str:
    try:
        return Path(path).read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise UserError(f"the key file {path} cannot be read") from error


@dataclass(frozen=True, slots=True)
class Cluster:
    """The state of all nodes, and a client for each node that answered."""

    status: ClusterStatus
    clients: dict[InstanceId, OperatorClient]

    def clients_newest_first(self, service: ServiceName) -> list[OperatorClient]:
        """Return the clients ordered by the version in force on their node, highest first."""
        nodes = sorted(
            self.status.nodes, key=lambda node: node.documents.get(service, 0), reverse=True
        )
        return [self.clients[node.instance] for node in nodes]


@asynccontextmanager
async def open_cluster(options: NodeOptions) -> AsyncIterator[Cluster]:
    """Query all nodes and yield a client for each node that answered.

    Raises ``UnreachableError`` if none answered.
    """
    addresses, key = options.addresses_and_key()
    status = await fetch_cluster_status(addresses, key)
    if not status.nodes:
        reasons = "; ".join(f"{node.name}: {node.reason}" for node in status.unresponsive)
        raise UnreachableError(f"no node answered ({reasons})")
    clients = {
        instance: OperatorClient(address, key) for instance, address in status.addresses.items()
    }
    try:
        yield Cluster(status, clients)
    finally:
        for client in clients.values():
            await client.aclose()


def unwrap_answer(result: Result[Answer, list[OperatorFault]]) -> Answer:
    """Return the answer. Raises a ``UserError`` with the fault of each node."""
    if isinstance(result, Ok):
        return result.ok_value
    faults = result.err_value
    message = "; ".join(fault.message for fault in faults)
    if all(fault.kind in (FaultKind.NOT_SENT, FaultKind.ANSWER_LOST) for fault in faults):
        raise UnreachableError(message)
    raise UserError(message)
