"""Zones decided in common, and traffic kept near: without a loop, and on the laboratory's network."""

import unittest

from decklb.lab.locality import play
from decklb.locality.settings import LocalitySettings
from decklb.locality.spill import Place, shares, usable
from decklb.locality.zones import Ballot, Decided, State, View, Zones, seen_as

S = LocalitySettings()
DEAD, WELL = View(0.0), View(1.0)


def place(region="r0", load=600.0, state=State.HEALTHY, since=0.0):
    return Place(region, 1000.0, load, state, since)


class Votes(unittest.TestCase):
    def fleet(self, count=5):
        made = {f"m{i}": Zones(S, f"m{i}", ["z"], 0.0) for i in range(count)}
        for zones in made.values():
            zones.members(made)
        return made

    def run_(self, fleet, views, start, span, cut=frozenset()):
        now = start
        while now < start + span:
            for name, zones in fleet.items():
                if views.get(name) is not None:
                    zones.saw(now, "z", views[name])
                zones.tick(now)
                words, zones.out = zones.out, []
                for other, to in fleet.items():
                    if other != name and (name in cut) == (other in cut):
                        for word in words:
                            to.hear(now, word, name)
            now += 100.0
        return {name: zones.state("z", now)[0] for name, zones in fleet.items()}

    def test_a_majority_moves_a_zone_and_a_minority_or_a_liar_does_not(self):
        for dead, wanted in ((1, State.HEALTHY), (2, State.HEALTHY), (3, State.OUT)):
            fleet = self.fleet()
            views = {f"m{i}": DEAD if i < dead else WELL for i in range(5)}
            self.assertEqual(set(self.run_(fleet, views, 0.0, 3000.0).values()), {wanted}, dead)

    def test_those_that_saw_nothing_follow_most_of_those_that_did(self):
        fleet = self.fleet()
        self.assertEqual(set(self.run_(fleet, {"m0": DEAD, "m1": DEAD}, 0.0, 3000.0).values()), {State.OUT})
        fleet = self.fleet()
        self.assertEqual(set(self.run_(fleet, {"m0": DEAD, "m1": WELL}, 0.0, 3000.0).values()), {State.HEALTHY})

    def test_two_states_are_never_decided_in_one_term(self):
        a = Zones(S, "m0", ["z"], 0.0)
        a.members(["m0", "m1", "m2"])
        for member, state in (("m1", State.OUT), ("m2", State.DEGRADED), ("m1", State.DEGRADED)):
            a.hear(1.0, Ballot("z", member, 1, state, True), member)
        a.hear(1.0, Ballot("z", "m2", 1, State.OUT, True), "m1")  # in another's name
        a.tick(1.0)
        self.assertEqual((a.zones["z"].term, a.state("z", 1.0)[0]), (1, State.DEGRADED))
        a.hear(2.0, Decided("z", 1, State.OUT), "m1")  # the term is spent
        self.assertEqual(a.state("z", 2.0)[0], State.DEGRADED)

    def test_no_state_flaps_faster_than_its_hold(self):
        fleet, changes, before = self.fleet(), 0, State.HEALTHY
        for i in range(60):  # the zone comes and goes twice a second, for half a minute
            views = dict.fromkeys(fleet, DEAD if i % 4 < 2 else WELL)
            now = set(self.run_(fleet, views, i * 500.0, 500.0).values())
            self.assertEqual(len(now), 1)
            changes, before = changes + (now != {before}), next(iter(now))
        self.assertLessEqual(changes, 30_000.0 / S.hold + 1)
        self.assertGreater(changes, 0)

    def test_one_that_no_quorum_reaches_keeps_the_decision_for_a_while_and_then_goes_by_itself(self):
        fleet, cut = self.fleet(), frozenset({"m0"})
        views = {"m0": DEAD} | {f"m{i}": WELL for i in range(1, 5)}
        self.assertEqual(self.run_(fleet, views, 0.0, S.keep, cut)["m0"], State.HEALTHY)
        self.assertFalse(fleet["m0"].alone)
        self.assertEqual(self.run_(fleet, views, S.keep, S.fresh + 1000.0, cut)["m0"], State.OUT)
        self.assertTrue(fleet["m0"].alone)
        self.assertEqual(set(self.run_(fleet, views, 2 * S.keep, 2000.0).values()), {State.HEALTHY})

    def test_a_state_is_left_well_past_where_it_was_entered(self):
        for up, before, wanted in ((0.31, State.HEALTHY, State.DEGRADED), (0.29, State.HEALTHY, State.OUT),
                                   (0.35, State.OUT, State.OUT), (0.5, State.OUT, State.DEGRADED),
                                   (0.75, State.DEGRADED, State.DEGRADED), (0.8, State.DEGRADED, State.HEALTHY)):
            self.assertEqual(seen_as(View(up), before, S), wanted, (up, before))


class Spill(unittest.TestCase):
    def test_traffic_stays_while_its_zone_can_bear_it(self):
        places = {"a": place(load=850.0), "b": place(), "c": place("r1")}
        self.assertEqual(shares("a", places, 0.0, S), {"a": 1.0})

    def test_what_does_not_fit_goes_near_by_spare_capacity(self):
        places = {"a": place(load=1700.0), "b": place(load=650.0), "c": place(load=450.0), "d": place("r1", load=0.0)}
        made = shares("a", places, 0.0, S)
        self.assertEqual([round(made[z], 3) for z in "abc"], [0.5, 0.167, 0.333])
        self.assertNotIn("d", made)  # another region

    def test_another_region_only_where_none_of_the_own_is_left(self):
        places = {"a": place(state=State.OUT), "b": place(), "c": place("r1")}
        self.assertEqual(shares("a", places, 0.0, S), {"b": 1.0})
        places["b"] = place(state=State.OUT)
        places["d"] = place("r1")
        self.assertEqual(shares("a", places, 0.0, S), {"c": 0.5, "d": 0.5})

    def test_allowed_zones_always_win(self):
        places = {"a": place(), "b": place(state=State.OUT), "c": place("r1")}
        self.assertEqual(shares("a", places, 0.0, S, ["c"]), {"c": 1.0})
        self.assertEqual(shares("a", places, 0.0, S, []), {})

    def test_a_returning_zone_is_never_loaded_beyond_its_ramp_by_all_together(self):
        for at in range(0, 10_001, 500):
            places = {"a": place(state=State.RETURNING), "b": place(), "c": place(load=700.0)}
            made = shares("a", places, float(at), S)
            self.assertLessEqual(600.0 * made.get("a", 0.0), usable(places["a"], float(at), S) + 1e-6)
            self.assertAlmostEqual(sum(made.values()), 1.0)

    def test_with_too_little_healthy_all_are_used_alike(self):
        places = {"a": place(), **{z: place(state=State.OUT) for z in "bcd"}}
        self.assertEqual(shares("a", places, 0.0, S), dict.fromkeys("abcd", 0.25))


class Networks(unittest.TestCase):
    def test_a_bad_link_or_a_liar_moves_lone_judges_and_not_the_fleet(self):
        for case in ("parted", "liar"):
            alone, common = (play(case, 1, common=c) for c in (False, True))
            self.assertGreater(alone.wrong, 0)
            self.assertEqual((common.wrong, common.changes), (0, 0))

    def test_a_lost_zone_is_out_for_all_and_its_return_within_the_budget(self):
        for case in ("lost", "region"):
            told = play(case, 2, common=True)
            self.assertEqual(len(told.decided), 12)
            self.assertLess(max(told.decided), S.settle + 1000.0)
            self.assertLessEqual(told.flood, 1.0)
            self.assertEqual(told.left, 0.0)
