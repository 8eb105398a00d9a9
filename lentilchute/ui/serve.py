"""``lentilchute serve``: run one node until a signal stops it."""

import signal
from dataclasses import dataclass
from typing import Annotated

import cappa
import trio
from result import Err

from ..errors import ExitCode, FindingsError, UserError
from ..logs import LogWriter, open_log
from ..node import Node
from ..settings import NodeSettings, load_settings
from .registry import register_command


@register_command("serve", help="Run one node.")
@dataclass
class Serve:
    """Runs the roles given in the settings; SIGTERM and SIGINT start a planned stop."""

    settings: Annotated[str, cappa.Arg(long=True, help="Settings of the node, in YAML.")]
    log: Annotated[str | None, cappa.Arg(long=True, help="Log file; default: standard error.")] = (
        None
    )

    def __call__(self) -> ExitCode:
        loaded = load_settings(self.settings)
        if isinstance(loaded, Err):
            raise FindingsError(loaded.err_value)
        log = open_log(self.log)
        try:
            trio.run(_serve, loaded.ok_value, log)
        except* OSError as group:
            raise UserError(f"cannot serve: {group.exceptions[0]}") from group
        finally:
            log.close()
        return ExitCode.OK


async def _serve(settings: NodeSettings, log: LogWriter) -> None:
    node = Node(settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        nursery.start_soon(_stop_on_signal, node)
        await node.run()
        nursery.cancel_scope.cancel()


async def _stop_on_signal(node: Node) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.stop()
