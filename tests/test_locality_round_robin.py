"""Smooth weighted round robin."""

from collections import Counter

from decklb.locality.weighted_round_robin import WeightedRoundRobin


def test_after_any_number_of_picks_each_item_is_within_one_of_its_share():
    weights, counts = {"a": 0.5, "b": 0.3, "c": 0.2}, Counter()
    items = WeightedRoundRobin(dict(weights))
    for picks in range(1, 200):
        counts[items.pick()] += 1
        assert all(abs(counts[name] - picks * weight) <= 1 for name, weight in weights.items())


def test_credit_is_inherited_for_items_that_remain():
    previous = WeightedRoundRobin({"a": 0.5, "b": 0.5})
    previous.pick()
    current = WeightedRoundRobin({"a": 0.5, "c": 0.5})
    current.inherit_credit(previous)
    assert current.credit == {"a": previous.credit["a"]}
