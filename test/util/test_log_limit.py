"""The rate limit for log lines with the same cause."""

from lentilchute.util.log_limit import MAX_LINES_PER_S, LogLineLimiter


def test_a_burst_is_bounded_and_counted() -> None:
    limiter = LogLineLimiter()
    written = [limiter.acquire("overloaded", 0.5) for _ in range(MAX_LINES_PER_S + 30)]
    assert sum(line is not None for line in written) == MAX_LINES_PER_S
    assert limiter.acquire("overloaded", 1.6) == 30
    assert limiter.acquire("overloaded", 1.7) == 0


def test_causes_do_not_hide_each_other() -> None:
    limiter = LogLineLimiter()
    for _ in range(MAX_LINES_PER_S + 1):
        limiter.acquire("unknown-key", 0.0)
    assert limiter.acquire("overloaded", 0.0) == 0
