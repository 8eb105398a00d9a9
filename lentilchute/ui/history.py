"""``lentilchute history``: list the accepted versions of a service document."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import trio

from ..errors import ExitCode
from ..ids import ServiceName
from ..operators.api import HistoryAnswer
from ..operators.cluster import first_answer
from .nodes import NodeOptions, open_cluster, unwrap_answer
from .registry import register_command
from .text_table import columns


@register_command("history", help="List the accepted versions of a service document.")
@dataclass
class History(NodeOptions):
    """Prints version, author, change id and text digest of each version, newest first."""

    service: Annotated[str, cappa.Arg(help="Name of the service.")]
    json: Annotated[bool, cappa.Arg(long=True, help="Print the list as JSON.")] = False

    def __call__(self) -> ExitCode:
        answer = trio.run(self._read)
        if self.json:
            print(answer.model_dump_json())
            return ExitCode.OK
        rows = [("version", "author", "change", "sha256")]
        for entry in answer.entries:
            version = str(entry.version)
            rows.append((version, entry.author, entry.change_id, entry.text_sha256[:12]))
        print(columns(rows))
        return ExitCode.OK

    async def _read(self) -> HistoryAnswer:
        service = ServiceName(self.service)
        async with open_cluster(self) as cluster:
            clients = cluster.clients_newest_first(service)
            return unwrap_answer(
                await first_answer(clients, lambda client: client.history(service))
            )
