"""Tests of rendezvous hashing."""

from lentilchute.peers.rendezvous import rendezvous_order


def test_removing_a_name_moves_only_its_own_keys() -> None:
    names = [f"entry-{number}" for number in range(9)]
    for key in (f"service/{number}" for number in range(200)):
        order = rendezvous_order(key, names)
        without_last = [name for name in order if name != order[-1]]
        assert rendezvous_order(key, without_last) == without_last


def test_keys_spread_over_all_names() -> None:
    names = [f"entry-{number}" for number in range(6)]
    first = [rendezvous_order(f"service/{number}", names)[0] for number in range(600)]
    assert all(first.count(name) > 50 for name in names)
