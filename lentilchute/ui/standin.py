"""``lentilchute standin``: serve stand-ins for the platform, an engine or a plain service."""

import signal
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from typing import Annotated, Any

import cappa
import trio

from ..errors import ExitCode
from ..standins import engine, plain, platform
from ..standins.engine_settings import EngineStandinSettings
from .registry import register_command

Text = Annotated[str, cappa.Arg(long=True)]
Number = Annotated[float, cappa.Arg(long=True)]
Count = Annotated[int, cappa.Arg(long=True)]
Switch = Annotated[bool, cappa.Arg(long=True)]
Names = Annotated[tuple[str, ...], cappa.Arg(long=True, num_args=-1)]

_ENGINE = EngineStandinSettings()
_PLAIN = plain.PlainStandinSettings()
_PLATFORM = platform.PlatformStandinSettings()


@cappa.command(name="engine", help="An OpenAI-compatible model engine with deterministic answers.")
@dataclass
class EngineCommand:
    """Serves the stand-in for an engine."""

    listen: Text = _ENGINE.listen
    name: Text = _ENGINE.name
    model: Text = _ENGINE.model
    version: Text = _ENGINE.version
    adapters: Names = _ENGINE.adapters
    prefill_tokens_per_s: Number = _ENGINE.prefill_tokens_per_s
    decode_tokens_per_s: Number = _ENGINE.decode_tokens_per_s
    max_batch: Count = _ENGINE.max_batch
    cache_tokens: Count = _ENGINE.cache_tokens
    block_tokens: Count = _ENGINE.block_tokens
    load_lag_s: Number = _ENGINE.load_lag_s
    cache_event_lag_s: Number = _ENGINE.cache_event_lag_s
    load_model_s: Number = _ENGINE.load_model_s
    ignores_fencing: Switch = False
    seed: Count = _ENGINE.seed

    def __call__(self) -> ExitCode:
        """Serve until interrupted."""
        return _run("engine", engine.serve, self.settings())

    def settings(self) -> EngineStandinSettings:
        """Return the arguments as the stand-in's settings."""
        values = asdict(self)
        checks_fencing = not values.pop("ignores_fencing")
        return EngineStandinSettings(**values, checks_fencing=checks_fencing)


@cappa.command(name="plain", help="A plain service that answers any path and counts its calls.")
@dataclass
class PlainCommand:
    """Serves the stand-in for a plain service."""

    listen: Text = _PLAIN.listen
    call_s: Number = _PLAIN.call_s
    max_running: Count = _PLAIN.max_running
    load_lag_s: Number = _PLAIN.load_lag_s

    def __call__(self) -> ExitCode:
        """Serve until interrupted."""
        return _run("plain", plain.serve, plain.PlainStandinSettings(**asdict(self)))


@cappa.command(name="platform", help="The platform's table, object store and instance list.")
@dataclass
class PlatformCommand:
    """Serves the stand-in for the platform."""

    listen: Text = _PLATFORM.listen
    seed: Count = _PLATFORM.seed

    def __call__(self) -> ExitCode:
        """Serve until interrupted."""
        return _run("platform", platform.serve, platform.PlatformStandinSettings(**asdict(self)))


@register_command("standin", help="Serve a stand-in for the platform, an engine or a service.")
@dataclass
class Standin:
    """Serves one stand-in, which prints its address and runs until SIGINT or SIGTERM."""

    kind: cappa.Subcommands[EngineCommand | PlainCommand | PlatformCommand]


def _run(name: str, serve: Callable[..., Awaitable[None]], settings: Any) -> ExitCode:
    trio.run(_serve_until_signal, name, serve, settings)
    return ExitCode.OK


async def _serve_until_signal(
    name: str, serve: Callable[..., Awaitable[None]], settings: Any
) -> None:
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve, settings)
            print(f"{name} listens on {address}", flush=True)
            async for _ in signals:
                nursery.cancel_scope.cancel()
