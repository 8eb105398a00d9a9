"""Tests the retry budget that all nodes share."""

from hypothesis import given
from hypothesis import strategies as st

from lentilchute.gateway.retry_budget import RetryBudget
from lentilchute.gateway.settings import RetrySettings
from lentilchute.ids import ServiceName

SERVICE = ServiceName("drafters")
SETTINGS = RetrySettings(ratio=0.2, window_s=10.0, slack=50.0)


def test_repeats_follow_the_requests_and_the_slack() -> None:
    budget = RetryBudget(SETTINGS)
    spent = sum(budget.try_spend(SERVICE, 0.2, 0.0) for _ in range(100))
    assert spent == 7
    for _ in range(100):
        budget.record_request(SERVICE, 1.0)
    spent += sum(budget.try_spend(SERVICE, 0.2, 1.0) for _ in range(100))
    assert spent == 21


def test_repeats_are_allowed_again_after_a_window() -> None:
    budget = RetryBudget(SETTINGS)
    while budget.try_spend(SERVICE, 1.0, 0.0):
        pass
    assert not budget.try_spend(SERVICE, 1.0, 9.0)
    assert budget.try_spend(SERVICE, 1.0, 11.0)


def test_each_service_has_its_own_budget() -> None:
    budget = RetryBudget(SETTINGS)
    while budget.try_spend(SERVICE, 1.0, 0.0):
        pass
    assert budget.try_spend(ServiceName("agenda"), 1.0, 0.0)


@given(
    st.lists(
        st.tuples(st.floats(0.0, 1.0), st.integers(0, 2), st.booleans()), min_size=1, max_size=300
    )
)
def test_all_nodes_together_stay_within_any_window(
    steps: list[tuple[float, int, bool]],
) -> None:
    """Three nodes that know of each other never spend more than the shared budget."""
    nodes = [RetryBudget(SETTINGS) for _ in range(3)]
    now_s = 0.0
    requests: list[float] = []
    repeats: list[float] = []
    for pause_s, node, is_repeat in steps:
        now_s += pause_s
        if not is_repeat:
            nodes[node].record_request(SERVICE, now_s)
            requests.append(now_s)
        elif nodes[node].try_spend(SERVICE, 1 / 3, now_s):
            repeats.append(now_s)
        spent = sum(1 for at_s in repeats if now_s - at_s <= 10.0)
        requested = sum(1 for at_s in requests if now_s - at_s <= 20.0)
        assert spent <= 0.2 * requested + 50.0
