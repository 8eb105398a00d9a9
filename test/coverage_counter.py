"""Counts how often a state machine test reached each of its expected faults and situations."""

from collections import Counter

REPORTS: list[str] = []
"""Lines printed at the end of the test run."""


class CoverageCounter:
    """Counts over all examples of one test; ``check`` fails if a situation was never reached."""

    def __init__(self, name: str, expected: tuple[str, ...]) -> None:
        self._name = name
        self._expected = expected
        self._counts: Counter[str] = Counter()

    def hit(self, situation: str) -> None:
        """Count one occurrence; an unlisted situation is an error in the test."""
        assert situation in self._expected, situation
        self._counts[situation] += 1

    def check(self) -> None:
        """Report the counts, and fail if an expected situation never occurred."""
        counts = ", ".join(f"{name} {self._counts[name]}" for name in self._expected)
        REPORTS.append(f"coverage {self._name}: {counts}")
        never = [name for name in self._expected if not self._counts[name]]
        assert not never, f"{self._name}: never reached: {', '.join(never)}"
