"""Real nodes on a simulated network: crashes, restarts, partitions, pauses, duplicate names, random mixes of these."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from decklb.cluster.settings import DutySettings, MembershipSettings
from decklb.lab.emulation.simulated_cluster import Cluster
from decklb.lab.emulation.simulated_network import Faults
from decklb.lab.experiments.shared_duties import Experiment, run
from tests.standins import ROOT

SECOND = 1000.0
# Time within which all members know of a death under these settings: at most 1.5 s of suspicion and 1.5 s of probing
# and gossip, doubled for safety.
DETECTION_TIME = 6 * SECOND
MEMBERSHIP = MembershipSettings(push_pull_interval_ms=2000.0)
DUTY = DutySettings(
    period_ms=4000.0, timeout_ms=500.0, mass_failure_hold_ms=8000.0, decline_hold_ms=60_000.0, repeat_interval_ms=5000.0
)


def make_cluster(instances=5, engines=30, seed=1, faults=None, warm=True, **clocks):
    return Cluster.make(
        seed, instances, engines, MEMBERSHIP, DUTY, faults, shared_ranking=False, converged=warm, **clocks
    )


class Members(unittest.TestCase):
    def test_members_join_under_packet_loss(self):
        cluster = make_cluster(8, warm=False, faults=Faults(loss=0.2, duplicate=0.1))
        cluster.network.run(MEMBERSHIP.settle_time_ms + DETECTION_TIME)
        self.assertTrue(cluster.views_agree())
        self.assertEqual(cluster.duties_without_single_owner(), [])

    def test_a_single_member_owns_all_duties_after_settling_and_none_before(self):
        cluster = make_cluster(1, warm=False)
        cluster.network.run(MEMBERSHIP.settle_time_ms - 1)
        self.assertEqual(len(cluster.duties_without_single_owner()), 30)
        cluster.network.run(MEMBERSHIP.settle_time_ms + SECOND)
        self.assertEqual(cluster.duties_without_single_owner(), [])

    def test_a_death_is_detected_and_no_other_member_is_declared_dead(self):
        cluster = make_cluster(9, faults=Faults(loss=0.1))
        cluster.network.run(5 * SECOND)
        cluster.network.kill(cluster.host("m4"))
        cluster.network.run(5 * SECOND + DETECTION_TIME)
        self.assertTrue(cluster.views_agree())
        self.assertEqual(cluster.duties_without_single_owner(), [])
        self.assertEqual({name for _, _, name in cluster.deaths}, {"m4"})

    def test_a_departure_is_known_immediately(self):
        cluster = make_cluster()
        cluster.network.run(2 * SECOND)
        leaving = cluster.host("m2")
        leaving.node.leave(leaving.now())
        cluster.network.pump(leaving)
        cluster.network.kill(leaving)
        cluster.network.run(3 * SECOND)
        self.assertTrue(cluster.views_agree())
        self.assertEqual((cluster.duties_without_single_owner(), cluster.deaths), ([], []))
        self.assertFalse(any(h.node.membership.in_minority(h.now()) for h in cluster.live()))

    def test_a_restarted_member_is_not_mistaken_for_its_dead_run(self):
        # The restart comes before the member is suspected, while it is suspected, or after its death is known.
        for gap in (0.0, 800.0, DETECTION_TIME):
            for back in (0.0, 20 * SECOND):  # ms by which the clock of the new run is behind that of the old one
                with self.subTest(gap=gap, back=back):
                    cluster = make_cluster(5, seed=int(gap))
                    cluster.network.run(2 * SECOND)
                    before = cluster.owners()
                    cluster.network.kill(cluster.host("m3"))
                    cluster.network.run(2 * SECOND + gap)
                    restarted = cluster.start(3, wall_back=back)
                    cluster.network.run(cluster.network.now + 3 * DETECTION_TIME)
                    self.assertTrue(cluster.views_agree())
                    self.assertEqual((cluster.duties_without_single_owner(), cluster.owners()), ([], before))
                    self.assertEqual(restarted.node.membership.counters.name_conflicts, 0)

    def test_a_restarted_member_owns_no_duty_until_it_has_synchronized_with_the_others(self):
        cluster = make_cluster()
        cluster.network.run(2 * SECOND)
        cluster.network.kill(cluster.host("m0"))
        cluster.network.run(2 * SECOND + DETECTION_TIME)
        cluster.network.cut = lambda source, target: cluster.address(0) in (source, target)
        restarted = cluster.start(0)
        cluster.network.run(cluster.network.now + MEMBERSHIP.settle_time_ms - 100.0)
        self.assertFalse(any(d.is_owned for d in cluster.scheduler(restarted).duties.values()))
        cluster.heal()
        cluster.network.run(cluster.network.now + DETECTION_TIME)
        self.assertEqual(cluster.duties_without_single_owner(), [])

    def test_a_duplicate_name_is_reported_and_the_older_process_keeps_it(self):
        cluster = make_cluster()
        cluster.network.run(5 * SECOND)
        younger = cluster.start(7, name="m1", address=("10.9.9.9", 7946))
        cluster.network.run(cluster.network.now + 5 * DETECTION_TIME)
        older = next(h for h in cluster.hosts if h.name == "m1" and h is not younger)
        self.assertTrue(younger.node.membership.local.is_yielding)
        self.assertFalse(older.node.membership.local.is_yielding)
        self.assertFalse(any(d.is_owned for d in cluster.scheduler(younger).duties.values()))
        self.assertGreaterEqual(younger.node.membership.counters.name_conflicts, 1)
        cluster.network.kill(younger)
        cluster.hosts.remove(younger)
        cluster.network.run(cluster.network.now + 2 * DETECTION_TIME)
        self.assertEqual(cluster.duties_without_single_owner(), [])
        self.assertEqual(cluster.host("m0").node.membership.members["m1"].address, older.address)

    def test_a_stalled_process_declares_no_member_dead(self):
        cluster = make_cluster(5)
        cluster.network.run(3 * SECOND)
        cluster.network.pause(cluster.host("m1"), 30 * SECOND)
        cluster.network.run(33 * SECOND + 600.0)
        paused = cluster.host("m1").node.membership
        self.assertGreaterEqual(paused.counters.stalls, 1)
        cluster.network.run(33 * SECOND + DETECTION_TIME)
        self.assertTrue(cluster.views_agree())
        self.assertEqual({name for _, _, name in cluster.deaths}, {"m1"})  # only the stalled member was declared dead
        self.assertEqual(cluster.duties_without_single_owner(), [])

    def test_after_a_one_way_partition_no_live_member_is_considered_dead(self):
        cluster = make_cluster(7)
        cluster.network.run(2 * SECOND)
        cluster.partition({"m3"}, one_way=True)
        cluster.network.run(30 * SECOND)
        self.assertLessEqual({name for _, who, name in cluster.deaths if who != "m3"}, {"m3"})
        cluster.heal()
        cluster.network.run(30 * SECOND + 2 * DETECTION_TIME)
        self.assertEqual((cluster.wrongly_dead(), cluster.duties_without_single_owner()), ([], []))


class Duties(unittest.TestCase):
    def test_each_side_of_a_partition_has_one_owner_and_after_healing_only_one_is_left(self):
        cluster = make_cluster(7, seed=3)
        cluster.network.run(4 * SECOND)
        side = {"m0", "m1"}
        cluster.partition(side)
        cluster.network.run(4 * SECOND + 4 * DETECTION_TIME)
        for names in (side, {h.name for h in cluster.hosts} - side):
            owners = [d for n in names for d, x in cluster.scheduler(cluster.host(n)).duties.items() if x.is_owned]
            self.assertEqual(sorted(owners), sorted(cluster.engines))
        self.assertEqual({h.name for h in cluster.hosts if cluster.scheduler(h).in_minority}, side)
        before = cluster.terms()
        cluster.heal()
        cluster.network.run(cluster.network.now + 2 * DUTY.period_ms)
        self.assertEqual((cluster.duties_without_single_owner(), cluster.wrongly_dead()), ([], []))
        after = cluster.terms()
        self.assertTrue(all(after[k] >= v for k, v in before.items()))
        self.assertFalse(any(cluster.scheduler(h).in_minority for h in cluster.hosts))

    def test_after_a_partition_all_members_keep_the_result_with_the_highest_term(self):
        cluster = make_cluster(4, seed=5)
        cluster.network.run(4 * SECOND)
        cluster.partition({"m0", "m1"})
        cluster.network.run(4 * SECOND + DETECTION_TIME)
        cluster.down = {"motor-1"}  # both sides find it down, each with its own term
        cluster.network.run(cluster.network.now + 14 * DUTY.period_ms)
        cluster.heal()
        cluster.network.run(cluster.network.now + 4 * DUTY.period_ms)
        known_verdicts = {
            (v.term, v.owner, v.status)
            for v in (cluster.scheduler(h).verdicts.by_subject["motor-1"] for h in cluster.hosts)
        }
        self.assertEqual(len(known_verdicts), 1, known_verdicts)

    def test_an_owner_that_cannot_reach_the_engine_declines_and_the_next_owner_keeps_the_duty(self):
        cluster = make_cluster(4, seed=2)
        cluster.network.run(2 * SECOND)
        owner = cluster.owners()["motor-7"][0]
        cluster.unreachable = {(owner, "motor-7")}
        cluster.network.run(8 * DUTY.period_ms)
        new_owners = cluster.owners()["motor-7"]
        self.assertEqual(len(new_owners), 1)
        self.assertNotEqual(new_owners, [owner])
        self.assertFalse(any(cluster.scheduler(h).verdicts.is_down("motor-7") for h in cluster.hosts))
        self.assertEqual(cluster.health_results, [])
        cluster.network.run(12 * DUTY.period_ms)
        self.assertEqual(cluster.owners()["motor-7"], new_owners)

    def test_an_engine_is_reported_down_only_after_all_permitted_declines_and_to_all_members(self):
        cluster = make_cluster(4, seed=2)
        cluster.network.run(2 * SECOND)
        cluster.down = {"motor-7"}
        cluster.network.run(8 * DUTY.period_ms)
        checkers = {r.host for r in cluster.runs if r.subject == "motor-7" and r.at > 2 * SECOND}
        self.assertEqual(len(checkers), DUTY.max_declines + 1)
        self.assertEqual(
            {(h, s, up) for _, h, s, up in cluster.health_results}, {(h.name, "motor-7", False) for h in cluster.hosts}
        )
        cluster.down = set()
        cluster.network.run(11 * DUTY.period_ms)
        self.assertEqual([up for _, h, s, up in cluster.health_results if h == "m0"][-1], True)

    def test_a_mass_failure_has_no_effect_until_its_hold_has_ended(self):
        cluster = make_cluster(3, engines=10)
        cluster.network.run(2 * SECOND)
        cluster.down = set(cluster.engines)
        cluster.network.run(2 * SECOND + 10 * DUTY.period_ms)
        scheduler = cluster.scheduler(cluster.host("m0"))
        self.assertIsNotNone(scheduler.verdicts.mass_failure_since)
        until = scheduler.verdicts.mass_failure_since + DUTY.mass_failure_hold_ms
        during = [
            s
            for at, h, s, _ in cluster.health_results
            if h == "m0" and scheduler.verdicts.mass_failure_since <= at < until
        ]
        before = {
            s for at, h, s, _ in cluster.health_results if h == "m0" and at < scheduler.verdicts.mass_failure_since
        }
        self.assertLess(len(before), DUTY.mass_failure_ratio * 10)
        self.assertLessEqual(set(during), before)
        self.assertEqual(
            {s for at, h, s, _ in cluster.health_results if h == "m0" and at >= until}, set(cluster.engines)
        )

    def test_the_figures_of_the_experiment_are_within_their_bounds(self):
        figures = run(Experiment(instances=9, engines=60, periods=16, loss=0.1, kill=1, partition=0.4, seed=3))
        self.assertEqual((figures["per_period_mean"], figures["per_period_max"], figures["false_deaths"]), (1.0, 1, 0))
        self.assertLessEqual(figures["takeover_periods_max"], 3.0)
        self.assertLessEqual(figures["doubled_after_heal_periods"], 2.0)
        self.assertLessEqual(figures["one_owner_after_heal_periods"], 2.0)
        self.assertEqual((figures["parted_max_per_side"], figures["moved_per_change"]), (1, 1.0))
        self.assertEqual((figures["not_one_owner_at_end"], figures["wrongly_dead_at_end"]), (0, 0))

    def test_the_same_seed_gives_the_same_run_with_any_hash_seed(self):
        command = [
            sys.executable,
            "-m",
            "decklb",
            "lab",
            "duties",
            "--instances",
            "6",
            "--periods",
            "8",
            "--loss",
            "0.2",
            "--partition",
            "0.5",
            "--seed",
            "9",
            "--join",
            "--json",
        ]
        results = []
        for hash_seed in ("1", "2"):
            output = subprocess.run(
                command,
                cwd=ROOT,
                env=os.environ | {"PYTHONHASHSEED": hash_seed},
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            results.append({k: v for k, v in json.loads(output).items() if k != "took_s"})
        self.assertEqual(results[0], results[1])
        self.assertGreater(results[0]["datagrams"], 500)


NAMES = st.integers(0, 4)
FAULT = st.one_of(
    st.tuples(st.just("kill"), NAMES),
    st.tuples(st.just("return"), NAMES),
    st.tuples(st.just("pause"), NAMES),
    st.tuples(st.just("part"), st.sets(NAMES, min_size=1, max_size=4)),
    st.tuples(st.just("one-way"), st.sets(NAMES, min_size=1, max_size=4)),
    st.tuples(st.just("heal"), st.none()),
    st.tuples(st.just("loss"), st.sampled_from([0.0, 0.1, 0.4])),
)


class RandomFaultSequences(unittest.TestCase):
    @settings(max_examples=40, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
    @given(st.lists(st.tuples(FAULT, st.floats(0.0, 9000.0)), min_size=1, max_size=8), st.integers(0, 99))
    def test_after_faults_end_each_duty_has_one_live_owner_and_no_live_member_is_considered_dead(self, schedule, seed):
        cluster = make_cluster(5, engines=12, seed=seed, drift=1e-4, skew_ms=20.0)
        cluster.network.run(SECOND)
        terms = {}
        for (fault, target), wait in schedule:
            self.inject(cluster, fault, target)
            cluster.network.run(cluster.network.now + wait)
            new_terms = cluster.terms()
            # A restarted host has lost its terms; at all other hosts terms only rise.
            self.assertTrue(
                all(new_terms[k] >= v for k, v in terms.items() if k in new_terms and k[0] not in cluster.restarted)
            )
            terms = new_terms
            cluster.restarted = set()
        cluster.heal()
        cluster.network.faults.loss = 0.0
        for i in range(5):
            if cluster.address(i) not in cluster.network.hosts:
                cluster.start(i)
        cluster.network.run(cluster.network.now + 12 * SECOND + 3 * DETECTION_TIME)
        self.assertEqual((cluster.wrongly_dead(), cluster.duties_without_single_owner()), ([], []))
        self.assertTrue(cluster.views_agree())

    def inject(self, cluster, fault, target):
        if fault == "kill" and len(cluster.live()) > 1 and cluster.address(target) in cluster.network.hosts:
            cluster.network.kill(cluster.host(f"m{target}"))
        elif fault == "return" and cluster.address(target) not in cluster.network.hosts:
            cluster.start(target)
            cluster.restarted.add(f"m{target}")
        elif (
            fault == "pause"
            and cluster.address(target) in cluster.network.hosts
            and not cluster.host(f"m{target}").paused
        ):
            cluster.network.pause(cluster.host(f"m{target}"), 7 * SECOND)
        elif fault in ("part", "one-way"):
            cluster.partition({f"m{i}" for i in target}, one_way=fault == "one-way")
        elif fault == "heal":
            cluster.heal()
        elif fault == "loss":
            cluster.network.faults.loss = target
