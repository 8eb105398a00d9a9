"""Configuration of all tests: hypothesis generates the same examples in every run."""

from pathlib import Path

import pytest
from coverage_counter import REPORTS
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")

ROOT = Path(__file__).parents[1]


def known_red() -> frozenset[str]:
    """Return the tests that KNOWN-RED.txt names, each on the first line of its entry."""
    lines = (ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8").splitlines()
    return frozenset(line.strip() for line in lines if line.startswith("test/"))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let the tests that KNOWN-RED.txt names fail; the summary prints them."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print how often each state machine reached its faults and situations."""
    for line in REPORTS:
        terminalreporter.write_line(line)
    for outcome, meaning in (("xfailed", "known red"), ("xpassed", "listed as red, but passes")):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"{meaning}: {report.nodeid}")
