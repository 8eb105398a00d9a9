"""Configuration of all tests: hypothesis generates the same examples in every run."""

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


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print how often each state machine reached its faults and situations."""
    for line in REPORTS:
        terminalreporter.write_line(line)
