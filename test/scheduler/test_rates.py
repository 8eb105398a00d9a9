import pytest

from lentilchute.scheduler.rates import LearnedRate, UpstreamRates


def test_a_rate_follows_the_observations() -> None:
    rate = LearnedRate(8_000.0, half_life_s=4.0)
    for second in range(20):
        rate.observe(1_000, 1.0, float(second))
    assert rate.per_s == pytest.approx(1_000, rel=0.1)


def test_an_old_observation_weighs_less_than_a_new_one() -> None:
    rate = LearnedRate(100.0, half_life_s=1.0)
    rate.observe(100, 1.0, 0.0)
    rate.observe(10, 1.0, 10.0)
    assert rate.per_s == pytest.approx(10, rel=0.1)


def test_a_prompt_behind_another_is_timed_from_the_other_ones_first_token() -> None:
    rates = UpstreamRates(1_000.0, 40.0)
    rates.record_first_token(0.0, 1_000, 1.0)
    rates.record_first_token(0.0, 1_000, 2.0)
    assert rates.prefill_tokens_per_s == pytest.approx(1_000)


def test_short_prompts_are_ignored() -> None:
    rates = UpstreamRates(1_000.0, 40.0)
    rates.record_first_token(0.0, 20, 5.0)
    assert rates.prefill_tokens_per_s == pytest.approx(1_000)
