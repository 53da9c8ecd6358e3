"""Zones decided in common, and traffic kept near: without a loop, and on the laboratory's network."""

import unittest
from dataclasses import replace

from decklb.interface import ClassSpec, Entry, Outcome, Phase
from decklb.lab.locality import play
from decklb.locality import messages
from decklb.locality.council import Council
from decklb.locality.settings import LocalitySettings
from decklb.locality.sight import Sight
from decklb.locality.spill import Place, shares, usable
from decklb.locality.steering import Steering
from decklb.locality.zones import Ballot, Decided, State, View, Zones, seen_as

S = LocalitySettings()
DEAD, WELL = View(0.0), View(1.0)


def place(region="r0", load=600.0, state=State.HEALTHY, since=0.0):
    return Place(region, 1000.0, load, state, since)


class Votes(unittest.TestCase):
    def fleet(self, count=5):
        s = replace(S, members=count, zone="z", regions=(("r", ("z",)),))
        made = {f"m{i}": Council(s, f"m{i}", 0.0) for i in range(count)}
        for council in made.values():
            council.members(made)
            council.common.voting_from = 0.0
        return made

    def run_(self, fleet, views, start, span, cut=frozenset()):
        now = start
        while now < start + span:
            for name, council in fleet.items():
                if views.get(name) is not None:
                    council.saw(now, "z", views[name])
                council.tick(now)
                words, council.out = council.out, []
                for other, to in fleet.items():
                    if other != name and (name in cut) == (other in cut):
                        for word in words:
                            to.hear(now, name, word)
            now += 100.0
        return {name: council.state("z")[0] for name, council in fleet.items()}

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

    def test_one_that_only_probes_follows_those_whose_requests_fail_and_not_those_that_are_cut_off(self):
        fleet, well = self.fleet(), {f"m{i}": View(1.0, weak=True) for i in range(2, 5)}
        failing = dict.fromkeys(("m0", "m1"), View(1.0, errors=0.9))
        self.assertEqual(set(self.run_(fleet, failing | well, 0.0, 3000.0).values()), {State.OUT})
        fleet = self.fleet()
        self.assertEqual(
            set(self.run_(fleet, dict.fromkeys(("m0", "m1"), DEAD) | well, 0.0, 3000.0).values()), {State.HEALTHY}
        )

    def test_a_member_that_starts_votes_only_once_its_former_votes_have_lapsed(self):
        fleet = self.fleet()
        for council in fleet.values():
            council.common.voting_from = S.fresh + S.retry
        views = dict.fromkeys(fleet, DEAD)
        self.assertEqual(set(self.run_(fleet, views, 0.0, S.fresh + S.retry).values()), {State.HEALTHY})
        self.assertEqual(set(self.run_(fleet, views, S.fresh + S.retry, 500.0).values()), {State.OUT})

    def test_a_side_that_knows_fewer_than_the_settings_say_decides_nothing(self):
        fleet = self.fleet()
        for council in fleet.values():
            council.members(["m0", "m1"])
        views = dict.fromkeys(fleet, DEAD)
        cut = frozenset(("m0", "m1"))
        self.assertEqual(
            {n: s for n, s in self.run_(fleet, views, 0.0, 3000.0, cut).items() if n in cut},
            dict.fromkeys(cut, State.HEALTHY),
        )

    def test_words_that_cannot_be_read_are_counted_and_lose_nothing_else(self):
        fleet = self.fleet()
        good = messages.pack("z", 3.0, [Ballot("z", "m1", 1, State.OUT, True)])[0]
        for bad in (b"", b"\xc1", good[:-1], good[:1] + b"\x07" + good[2:]):
            fleet["m0"].hear(0.0, "m1", bad)
        self.assertEqual((fleet["m0"].dropped, fleet["m0"].loads), (4, {}))
        fleet["m0"].hear(0.0, "m1", good)
        self.assertEqual(fleet["m0"].demand(1.0), {"z": 3.0})

    def test_two_states_are_never_decided_in_one_term(self):
        a = Zones(S, "m0", ["z"], 0.0)
        a.members(["m0", "m1", "m2"])
        for member, state in (("m1", State.OUT), ("m2", State.DEGRADED), ("m1", State.DEGRADED)):
            a.hear(1.0, Ballot("z", member, 1, state, True), member)
        a.hear(1.0, Ballot("z", "m2", 1, State.OUT, True), "m1")  # in another's name
        a.tick(1.0)
        self.assertEqual((a.zones["z"].term, a.state("z")[0]), (1, State.DEGRADED))
        a.hear(2.0, Decided("z", 1, State.OUT), "m1")  # the term is spent
        self.assertEqual(a.state("z")[0], State.DEGRADED)

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
        fleet["m0"].notices.clear()
        self.assertEqual(self.run_(fleet, views, S.keep, S.fresh + 1000.0, cut)["m0"], State.OUT)
        self.assertTrue(fleet["m0"].alone)
        self.assertEqual([n.event for n in fleet["m0"].notices], ["zones-alone", "zone-state"])  # said once
        self.assertEqual(set(self.run_(fleet, views, 2 * S.keep, 2000.0).values()), {State.HEALTHY})

    def test_a_state_is_left_well_past_where_it_was_entered(self):
        for up, before, wanted in (
            (0.31, State.HEALTHY, State.DEGRADED),
            (0.29, State.HEALTHY, State.OUT),
            (0.35, State.OUT, State.OUT),
            (0.5, State.OUT, State.DEGRADED),
            (0.75, State.DEGRADED, State.DEGRADED),
            (0.8, State.DEGRADED, State.HEALTHY),
        ):
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
        places |= {z: replace(places[z], up=0.0) for z in "bc"}  # where nothing is reached, nothing is sent
        self.assertEqual(shares("a", places, 0.0, S), dict.fromkeys("ad", 0.5))

    def test_a_panic_keeps_to_the_budget_of_a_zone_that_returns(self):
        places = {"a": place(state=State.RETURNING), "b": place(state=State.OUT), "c": place("r1", load=0.0)}
        places["b"] = replace(places["b"], up=0.0)
        for at in (0.0, 500.0, 1000.0):
            made = shares("a", places, at, S)
            self.assertAlmostEqual(1200.0 * made["a"], usable(places["a"], at, S))
            self.assertAlmostEqual(made["a"] + made["c"], 1.0)


class Sights(unittest.TestCase):
    def sight(self, zones=("a", "b"), each=2):
        sight = Sight(S, "m0")
        sight.listed({f"{z}{i}": (z, 4.0) for z in zones for i in range(each)})
        return sight

    def test_engines_are_down_after_misses_in_a_row_and_up_after_one_answer(self):
        sight = self.sight()
        self.assertIsNone(sight.view("a", 0.0))
        self.assertFalse(sight.probed(1.0, "a0", False, 250.0))
        sight.ended(2.0, "a1", "q", Outcome.GOOD, 1.0)
        self.assertEqual(sight.view("a", 2.0).up, 1.0)
        self.assertTrue(sight.probed(3.0, "a0", False, 250.0))
        self.assertEqual((sight.view("a", 3.0).up, sight.down()), (0.5, ["a0"]))
        sight.probed(4.0, "a0", True, 1.0)
        self.assertEqual((sight.view("a", 4.0).up, sight.down()), (1.0, []))

    def test_a_late_request_is_no_miss_of_an_engine_that_answered_others_meanwhile(self):
        sight = self.sight()
        sight.ended(1000.0, "a0", "q", Outcome.GOOD, 5.0)
        for _ in range(3):
            sight.ended(1500.0, "a0", "q", Outcome.LATE, 900.0)
        self.assertEqual(sight.down(), [])
        for now in (3000.0, 3500.0):
            sight.ended(now, "a0", "q", Outcome.LATE, 900.0)
        self.assertEqual(sight.down(), ["a0"])

    def test_only_what_nothing_told_of_lately_is_probed_and_more_rarely_in_a_large_fleet(self):
        sight = self.sight(each=20)
        self.assertEqual(len(sight.due(0.0, 5)), 16)  # a few of each zone
        self.assertEqual(sight.due(S.look / 2, 5), [])
        first = sight.zones["a"].looked[0]
        sight.ended(S.look, first, "q", Outcome.GOOD, 1.0)
        self.assertNotIn(first, sight.due(S.look, 5))
        self.assertEqual(sight.due(3 * S.look, 64), [])
        self.assertEqual(len(sight.due(5 * S.look, 64)), 16)

    def test_probes_alone_are_weak_and_requests_tell_of_errors_and_latency(self):
        sight = self.sight()
        for i in range(100):
            for z in "ab":
                sight.probed(float(i), f"{z}0", True, 1.0)
        self.assertTrue(sight.view("a", 100.0).weak)
        for i in range(100):
            sight.ended(200.0 + i, "a0", "q", Outcome.BAD, 1.0)
            sight.ended(200.0 + i, "b0", "q", Outcome.GOOD, 10.0)
            sight.probed(200.0 + i, "a0", True, 200.0)
        bad, well = sight.view("a", 300.0), sight.view("b", 300.0)
        self.assertFalse(bad.weak or well.weak)
        self.assertGreater(bad.errors, S.out)
        self.assertGreater(bad.slowness, S.slow)
        self.assertLess(max(well.errors, well.slowness), 1.5)


class Drawn(unittest.TestCase):
    def steering(self, **zones):
        s = replace(S, zone="a", regions=(("r0", ("a", "b")), ("r1", ("c",))))
        council = Council(s, "m0", 0.0)
        for zone, state in zones.items():
            council.common.zones[zone].state, council.common.zones[zone].since = state, 0.0
        classes = {
            "q": ClassSpec("q", 1000.0, 5000.0),
            "only-c": ClassSpec("only-c", 1000.0, 5000.0, zones=("c",)),
            "kind-y": ClassSpec("kind-y", 1000.0, 5000.0, kinds=("y",)),
        }
        made = Steering(s, classes, {"x": 10, "y": 10})
        made.listed([Entry(f"{z}-{k}", z, k, 0, Phase.UP) for z, k in (("a", "x"), ("b", "x"), ("b", "y"), ("c", "x"))])
        return made, council

    def drawn(self, steering, council, lane="q", now=0.0, count=200):
        found = [steering.place(now, lane, 100.0, council) for _ in range(count)]
        return {z: sum(f[0] == z for f in found) / count for z in {f[0] for f in found}}, dict(found)

    def test_all_stays_near_and_tries_after_the_first_may_go_to_any_zone_that_is_well(self):
        self.assertEqual(self.drawn(*self.steering()), ({"a": 1.0}, {"a": ("a", "b", "c")}))

    def test_what_the_own_zone_cannot_bear_is_drawn_for_others_in_exact_shares(self):
        steering, council = self.steering()
        council.load = 17.0  # of 10 cores, of which 8.5 may be filled
        self.assertEqual(self.drawn(steering, council)[0], {"a": 0.5, "b": 0.5})

    def test_a_returning_zone_takes_no_second_tries(self):
        steering, council = self.steering(a=State.RETURNING)
        council.load = 4.25
        self.assertEqual(self.drawn(steering, council)[1], {"b": ("b", "c")})  # none but what its budget has saved up
        came = [steering.place(at, "q", 100.0, council)[0] for at in range(0, 2000, 20)].count("a")
        bears = usable(place(state=State.RETURNING), 1000.0, S) / 100  # of 10 cores, at half time
        self.assertAlmostEqual(100 * came / 2000, bears, delta=0.25 * bears)

    def test_allowed_targets_win(self):
        steering, council = self.steering()
        self.assertEqual(self.drawn(steering, council, "only-c"), ({"c": 1.0}, {"c": ("c",)}))
        self.assertEqual(self.drawn(steering, council, "kind-y"), ({"b": 1.0}, {"b": ("b",)}))
        steering.listed([])
        self.assertEqual(steering.place(0.0, "q", 100.0, council), ("", None))


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
