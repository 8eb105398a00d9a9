"""Tests of ``lentilchute standin``."""

import signal

import cappa
import pytest
import trio

from lentilchute.standins import plain
from lentilchute.ui import root_command
from lentilchute.ui.standin import EngineCommand, _serve_until_signal


def test_arguments_become_the_engine_settings() -> None:
    argv = ["standin", "engine", "--listen", "127.0.0.1:7", "--ignores-fencing", "--adapters", "tn"]
    command = cappa.parse(root_command("standin"), argv=argv).command.kind
    assert isinstance(command, EngineCommand)
    settings = command.settings()
    assert settings.listen == "127.0.0.1:7" and settings.adapters == ("tn",)
    assert not settings.checks_fencing


def test_a_standin_prints_its_address_and_stops_on_a_signal(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def main() -> None:
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                settings = plain.PlainStandinSettings()
                nursery.start_soon(_serve_until_signal, "plain", plain.serve, settings)
                while "listens" not in (text := capsys.readouterr().out):
                    await trio.testing.wait_all_tasks_blocked()
                signal.raise_signal(signal.SIGTERM)
        assert text.startswith("plain listens on 127.0.0.1:")

    trio.run(main)
