"""Assignment of duties to members by weighted rendezvous hashing."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from decklb.cluster.declines import Declines
from decklb.cluster.rendezvous import Ranking


class Assignment(unittest.TestCase):
    def make_ranking(self, members, duties=2000):
        ranking = Ranking()
        for name, weight in members.items():
            ranking.add_member(name, weight)
        ranking.set_duties([f"e{i}" for i in range(duties)])
        return ranking

    def test_shares_are_proportional_to_weights(self):
        ranking = self.make_ranking({"a": 1.0, "b": 2.0, "c": 1.0})
        owned_counts = {n: len(ranking.duties_of(n, {"a", "b", "c"}, {})) for n in "abc"}
        self.assertEqual(sum(owned_counts.values()), 2000)
        self.assertTrue(900 < owned_counts["b"] < 1100, owned_counts)

    @settings(max_examples=60, deadline=None)
    @given(st.sets(st.integers(0, 39), min_size=1), st.integers(0, 9))
    def test_each_duty_has_exactly_one_owner_whoever_is_eligible(self, eligible, leaving_index):
        ranking = self.make_ranking({f"m{i}": 1.0 + i % 3 for i in range(40)}, 200)
        names = {f"m{i}" for i in eligible}
        owned = [d for n in names for d in ranking.duties_of(n, names, {})]
        self.assertEqual(sorted(owned), sorted(ranking.duties()))
        self.assertTrue(
            all(d in ranking.duties_of(ranking.owner(d, names), names, {}) for d in list(ranking.duties())[:20])
        )
        # When a member leaves, only its own duties move.
        leaving = sorted(names)[leaving_index % len(names)]
        rest = names - {leaving}
        if rest:
            moved = {d for d in ranking.duties() if ranking.owner(d, names) != ranking.owner(d, rest)}
            self.assertEqual(moved, ranking.duties_of(leaving, names, {}))

    def test_owners_do_not_depend_on_the_order_in_which_members_are_added(self):
        names = {f"m{i}": 1.0 for i in range(30)}
        first, second = self.make_ranking(names, 300), Ranking()
        second.set_duties([f"e{i}" for i in range(300)])
        for name in reversed(names):
            second.add_member(name, 1.0)
        second.add_member("x", 5.0)
        second.remove_member("x")
        second.add_member("m3", 2.0)
        second.add_member("m3", 1.0)
        for eligible in (set(names), {"m4", "m20"}):
            self.assertEqual(
                [first.owner(d, eligible) for d in first.duties()], [second.owner(d, eligible) for d in first.duties()]
            )

    def test_a_duty_goes_to_a_member_that_has_not_declined_it(self):
        ranking = self.make_ranking({"a": 1.0, "b": 1.0}, 50)
        duty = next(iter(ranking.duties_of("a", {"a", "b"}, {})))
        self.assertEqual(ranking.owner(duty, {"a", "b"}, {"a"}), "b")
        self.assertIn(duty, ranking.duties_of("b", {"a", "b"}, {duty: {"a"}}))
        self.assertEqual(ranking.owner(duty, {"a", "b"}, {"a", "b"}), "a")  # all have declined: the highest score wins
        declines = Declines()
        self.assertTrue(declines.add(duty, "a", 10.0))
        self.assertFalse(declines.add(duty, "a", 10.0))
        self.assertEqual((declines.active(9.0), declines.active(10.0)), ({duty: {"a"}}, {}))
