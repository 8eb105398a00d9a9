"""``lentilchute show``: print the service document in force."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import trio

from ..errors import ExitCode
from ..ids import ServiceName
from ..operators.api import DocumentAnswer
from ..operators.cluster import first_answer
from .document_texts import add_version_line
from .nodes import NodeOptions, open_cluster, unwrap_answer
from .registry import register_command


@register_command("show", help="Print the service document in force.")
@dataclass
class Show(NodeOptions):
    """Prints the version in the first line, from which ``apply`` reads a file's base version."""

    service: Annotated[str, cappa.Arg(help="Name of the service.")]
    json: Annotated[bool, cappa.Arg(long=True, help="Print version and text as JSON.")] = False

    def __call__(self) -> ExitCode:
        answer = trio.run(self._read)
        if self.json:
            print(answer.model_dump_json())
        else:
            print(add_version_line(answer), end="")
        return ExitCode.OK

    async def _read(self) -> DocumentAnswer:
        service = ServiceName(self.service)
        async with open_cluster(self) as cluster:
            clients = cluster.clients_newest_first(service)
            return unwrap_answer(
                await first_answer(clients, lambda client: client.document(service))
            )
