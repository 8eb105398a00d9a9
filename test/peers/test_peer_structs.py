"""Test that the generated structs match their definitions."""

import runpy
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_the_generated_structs_match_the_definitions() -> None:
    tool = runpy.run_path(str(ROOT / "tools" / "generate_peer_structs.py"))
    assert (ROOT / "lentilchute" / "peers" / "peer_structs.py").read_text() == tool["generate"]()
