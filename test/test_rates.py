import pytest

from lentilchute.rates import MEMORY_S, LearnedRate, UpstreamRates


def test_a_rate_follows_what_is_observed() -> None:
    rate = LearnedRate(8_000.0)
    for _ in range(int(5 * MEMORY_S)):
        rate.observe(1_000, 1.0)
    assert rate.per_s == pytest.approx(1_000, rel=0.1)


def test_a_long_observation_does_not_erase_all_others() -> None:
    rate = LearnedRate(100.0)
    rate.observe(100, 1_000.0)
    assert rate.per_s > 1.0


def test_a_prompt_behind_another_is_timed_from_the_other_ones_first_token() -> None:
    rates = UpstreamRates(1_000.0, 40.0)
    rates.first_token(0.0, 1_000, 1.0)
    rates.first_token(0.0, 1_000, 2.0)
    assert rates.prefill_tokens_per_s == pytest.approx(1_000)


def test_tiny_prompts_do_not_count() -> None:
    rates = UpstreamRates(1_000.0, 40.0)
    rates.first_token(0.0, 20, 5.0)
    assert rates.prefill_tokens_per_s == pytest.approx(1_000)
