"""Tests of ``lentilchute demo``."""

import json

import pytest

from lentilchute.demo import TIERS
from lentilchute.ui import run


def test_the_demo_serves_all_tiers_and_prints_figures(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["demo", "--duration-s", "2", "--json"]) == 0
    figures = json.loads(capsys.readouterr().out)
    assert list(figures["tiers"]) == list(TIERS)
    highest = figures["tiers"]["signing"]
    assert highest["complete"] == highest["sent"] > 0
    assert figures["bookings"]["complete"] == figures["bookings"]["sent"] > 0
    assert figures["prefill_tokens"] > 0
