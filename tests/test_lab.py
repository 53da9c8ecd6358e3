"""Tests of the emulator: queueing theory, invariant checks of faulty policies, stored tables, and errors in files."""

from __future__ import annotations

import math
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

import numpy as np
import pytest
from click.testing import CliRunner

from decklb import interface as api
from decklb.cli import main
from decklb.config import SettingsError
from decklb.core.attempt_runner import AttemptRunner
from decklb.interface import Outcome
from decklb.lab.checks.request_invariants import Rule
from decklb.lab.emulation import policies
from decklb.lab.emulation.emulated_world import FaultKind, InjectedFault
from decklb.lab.emulation.emulator import Run
from decklb.lab.emulation.engine_model import Engine, EngineSpec, Query
from decklb.lab.emulation.policies import Random
from decklb.lab.emulation.random_streams import Streams
from decklb.lab.emulation.simulated_loop import Loop
from decklb.lab.emulation.workload import Tenant, TraceError, TrafficSurge, Workload, draw
from decklb.lab.experiments import experiment_file, statistics
from decklb.lab.experiments import queueing_theory as theory
from decklb.lab.experiments.bundled import world
from tests.standins import ROOT


@pytest.mark.parametrize(("cores", "load"), [(1, 0.3), (1, 0.6), (4, 0.7)])
def test_response_times_match_queueing_theory(cores, load):
    measured = theory.play(cores, load, 60_000, 3)
    assert abs(measured.response_ms / theory.response(cores, load) - 1) < 0.03
    # Little's law
    assert abs(measured.in_system - measured.rate_per_ms * measured.response_ms) < 1e-9 * measured.in_system
    assert measured.unaccounted < 1e-9


def test_share_of_rejected_queries_matches_erlang_b():
    measured = theory.play(8, 0.9, 60_000, 2, sessions=8)
    assert abs(measured.blocked / theory.erlang_b(8, 7.2) - 1) < 0.03
    assert theory.erlang_b(2, 1.0) == pytest.approx(0.2)
    assert theory.response(1, 0.5) == pytest.approx(200.0)


class EngineModel(unittest.TestCase):
    def setUp(self):
        self.loop, self.ended = Loop(), []
        self.spec = EngineSpec(cores=2, thrash_threshold=10.0, warm_up_ms=0.0)

    def engine(self, **changes):
        return Engine(self.loop, "e", replace(self.spec, **changes))

    def query(self, name, work_ms, **options):
        return Query(
            work_ms,
            memory_mb=options.pop("memory_mb", 0.0),
            io_share=options.pop("io_share", 0.0),
            on_end=lambda outcome: self.ended.append((name, outcome, round(self.loop.now(), 6))),
            **options,
        )

    def test_queries_share_the_cores(self):
        engine = self.engine()
        for name in "abcd":
            engine.submit(self.query(name, 100.0))
        engine.submit(self.query("wide", 400.0, threads=2))
        self.loop.run(1000.0)
        # Six threads share two cores, so each runs at a third of the speed until four have done 100 ms of work each.
        self.assertEqual(
            [(name, ended_ms) for name, _, ended_ms in self.ended],
            [("a", 300.0), ("b", 300.0), ("c", 300.0), ("d", 300.0), ("wide", 400.0)],
        )

    def test_thrashing_spilling_cache_and_bad_plans_change_the_duration(self):
        engine = self.engine(thrash_threshold=1.0, thrash_slope=1.0)
        engine.submit(self.query("a", 100.0, threads=4))
        self.loop.run(1000.0)
        # 25 ms per thread; the speed is halved for lack of cores and halved again by thrashing.
        self.assertEqual(self.ended.pop()[2], 100.0)
        engine = self.engine(memory_mb=100.0, spill_factor=3.0)
        engine.submit(self.query("big", 100.0, memory_mb=200.0))
        self.loop.run(2000.0)
        self.assertEqual(self.ended.pop()[2], 1000.0 + 250.0)  # half of its memory is missing
        engine = self.engine(cache_saving=0.5)
        for name in ("first", "second"):
            engine.submit(self.query(name, 100.0, io_share=0.4, table_group=7, plan_factor=2.0))
            self.loop.run(self.loop.now() + 1000.0)
        (_, _, uncached_ms), (_, _, cached_ms) = self.ended[-2:]
        self.assertEqual((uncached_ms - 2000.0, cached_ms - 3000.0), (200.0, 160.0))

    def test_a_load_locks_its_table_group(self):
        engine = self.engine()
        engine.submit(self.query("load", 100.0, locks_tables=True, table_group=1))
        engine.submit(self.query("reader", 10.0, waits_for_loads=True, table_group=1))
        engine.submit(self.query("other load", 10.0, locks_tables=True, table_group=1))
        engine.submit(self.query("elsewhere", 10.0, waits_for_loads=True, table_group=2))
        self.loop.run(500.0)
        self.assertEqual([name for name, _, _ in self.ended], ["elsewhere", "load", "reader", "other load"])

    def test_work_of_a_cancelled_query_counts_as_lost(self):
        engine = self.engine()
        query = self.query("a", 100.0)
        engine.submit(query)
        self.loop.run(40.0)
        engine.cancel(query)
        engine.cancel(query)
        self.loop.run(500.0)
        self.assertEqual((self.ended, engine.account.lost_ms, engine.account.executed_ms), ([], 40.0, 40.0))

    def test_queries_end_despite_the_clock_resolution_late_in_a_long_run(self):
        """At 40,000,000 ms the resolution of the clock is 7e-9 ms.

        The remaining work of a query can be less than that; its end was then scheduled forever at the same time.
        """
        self.loop.run(4e7)
        engine = self.engine()
        for i in range(200):
            engine.submit(self.query(i, 10.0 + i / 7, threads=1 + i % 3))
            self.loop.run(self.loop.now() + 1 / 3)
        self.loop.run(self.loop.now() + 1e5)
        self.assertEqual(len(self.ended), 200)
        self.assertLess(abs(engine.account.served_ms / engine.account.executed_ms - 1), 1e-9)

    def test_queries_end_with_the_engine_unless_its_machine_disappears(self):
        engine = self.engine()
        engine.submit(self.query("a", 100.0))
        self.loop.run(10.0)
        engine.stop()
        engine.submit(self.query("b", 1.0))
        self.assertEqual(
            [(name, outcome) for name, outcome, _ in self.ended],
            [("a", Outcome.CONNECTION_RESET), ("b", Outcome.UNREACHABLE)],
        )
        engine.start()
        engine.submit(self.query("c", 100.0))
        engine.stop(silent=True)
        engine.submit(self.query("d", 1.0))
        self.loop.run(500.0)
        self.assertEqual(len(self.ended), 2)

    def test_a_starting_engine_warms_up_and_crashes_under_overload(self):
        engine = self.engine(warm_up_ms=1000.0, initial_capacity=0.25, overload_window_ms=500.0, overload_factor=2.0)
        engine.stop()
        engine.start()
        self.assertEqual(engine.capacity(), 0.5)
        engine.submit(self.query("a", 50.0))
        self.loop.run(1200.0)
        self.assertGreater(self.ended[0][2], 100.0)
        self.assertEqual(engine.capacity(), 2.0)
        engine.stop()
        engine.start()
        for i in range(12):
            engine.submit(self.query(f"q{i}", 100.0))
        self.assertEqual(engine.account.crashes, 1)
        self.assertIn(Outcome.CONNECTION_RESET, {outcome for _, outcome, _ in self.ended[1:]})


class Arrivals(unittest.TestCase):
    def test_a_change_of_one_property_leaves_other_draws_unchanged(self):
        workload = world(3, 8, 100.0, 10_000.0).workload
        original, changed = (
            draw(workload, Streams(5), 10_000.0),
            draw(
                replace(workload, zipf_exponent=0.1, surges=(TrafficSurge(2000.0, 1000.0, 5.0, tenant="cusco"),)),
                Streams(5),
                10_000.0,
            ),
        )
        again = draw(workload, Streams(5), 10_000.0)
        self.assertTrue(np.array_equal(original.work_ms, again.work_ms))
        self.assertGreater(len(changed), len(original))
        common = np.isin(changed.time_ms, original.time_ms)
        self.assertTrue(np.array_equal(changed.work_ms[common], original.work_ms))
        self.assertTrue(np.array_equal(changed.class_index[common], original.class_index))
        self.assertFalse(np.array_equal(draw(workload, Streams(6), 10_000.0).time_ms, original.time_ms))

    def test_arrival_rate_follows_surges_and_the_daily_variation(self):
        workload = Workload(1000.0, world(1, 1, 1.0, 1.0).workload.classes, (Tenant("t", 1.0),))
        surged = replace(workload, surges=(TrafficSurge(5000.0, 5000.0, 3.0),))
        arrivals = draw(surged, Streams(1), 20_000.0)
        during_surge = ((arrivals.time_ms >= 5000) & (arrivals.time_ms < 10_000)).sum()
        self.assertAlmostEqual(during_surge / 15_000, 1.0, delta=0.05)
        day = draw(replace(workload, daily_amplitude=0.5, day_length_ms=20_000.0), Streams(1), 20_000.0)
        self.assertGreater((day.time_ms < 10_000).sum() / (day.time_ms >= 10_000).sum(), 1.7)
        self.assertAlmostEqual(float(arrivals.work_ms[arrivals.class_index == 0].mean()) / 100.0, 1.0, delta=0.05)

    def test_a_trace_is_replayed_and_its_errors_name_the_line(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "t.csv"
            path.write_text(
                "time_ms,class,tenant,work_ms,tables,key\n20,consulta,cusco,50,3,\n10,carga,ayacucho,80,1,7\n"
            )
            workload = replace(world(1, 2, 1.0, 1000.0).workload, trace_path=str(path))
            arrivals = draw(workload, Streams(1), 1000.0)
            self.assertEqual(
                (list(arrivals.time_ms), list(arrivals.work_ms), list(arrivals.key)),
                ([10.0, 20.0], [80.0, 50.0], [7, -1]),
            )
            run = Run(replace(world(1, 2, 1.0, 1000.0), workload=workload), 1)
            self.assertEqual(run.run()["served"], 2)
            for text, message in (
                ("time_ms\n1\n", ":1: columns"),
                ("{h}x,consulta,cusco,50,3,\n", ":2: could not"),
                ("{h}1,nobody,cusco,50,3,\n", ":2: undefined class or tenant 'nobody'"),
                ("{h}1,consulta,cusco,-50,3,\n", ":2: time_ms must be in "),
            ):
                path.write_text(text.replace("{h}", "time_ms,class,tenant,work_ms,tables,key\n"))
                with self.assertRaisesRegex(TraceError, message):
                    draw(workload, Streams(1), 1000.0)


class EmulatedRun(unittest.TestCase):
    def test_work_and_requests_are_conserved_through_faults(self):
        emulated_world = replace(
            world(4, 10, 300.0, 12_000.0),
            message_loss=0.01,
            faults=(
                InjectedFault(3000.0, FaultKind.KILL, 2000.0, victim_count=2),
                InjectedFault(4000.0, FaultKind.VANISH, 3000.0, victim_count=1),
                InjectedFault(5000.0, FaultKind.DRAIN, 4000.0, victim_count=1),
                InjectedFault(6000.0, FaultKind.SLOW, 3000.0, victim_count=2, slowdown=5.0),
                InjectedFault(7000.0, FaultKind.MANAGER, 1000.0, victim_count=1),
            ),
            partial_update_share=0.5,
        )
        summary = Run(emulated_world, 4).run()
        self.assertEqual(
            summary["served"] + summary["refused"] + summary["failed"] + summary["left"] + summary["lost"],
            summary["requests"],
        )
        accounted = summary["work_served"] + summary["work_lost"] + summary["work_open"]
        self.assertLess(abs(accounted / summary["work_done"] - 1), 1e-9)
        self.assertLess(abs(summary["little_l"] / summary["little_lw"] - 1), 1e-9)
        self.assertEqual({name: count for name, count in summary.items() if name.startswith("broken_")}, {})
        self.assertGreater(summary["worth"], 0.5)

    def test_requests_and_attempts_of_the_warm_up_are_not_counted(self):
        summary = Run(replace(world(2, 6, 40.0, 6000.0), warm_up_ms=3000.0, speed_sigma=0.0), 3).run()
        self.assertAlmostEqual(summary["attempts_a_request"], 1.0, delta=0.05)

    def test_shared_health_checks_detect_engines_whose_machine_disappears(self):
        emulated_world = replace(
            world(4, 10, 120.0, 24_000.0),
            faults=(
                InjectedFault(9000.0, FaultKind.VANISH, 14_000.0, victim_count=3),
                InjectedFault(12_000.0, FaultKind.MANAGER, 3000.0, victim_count=1),
            ),
            list_delay_ms=60_000.0,  # the endpoint list reports the loss too late
        )
        unchecked, checked = (
            Run(emulated_world, 2).run(),
            Run(replace(emulated_world, health_check_period_ms=2000.0), 2).run(),
        )
        self.assertEqual((unchecked["broken"], checked["broken"]), (0, 0))
        self.assertAlmostEqual(checked["probes_an_engine_a_period"], 1.0, delta=0.25)
        self.assertNotIn("probes_an_engine_a_period", unchecked)
        self.assertGreaterEqual(checked["worth"], unchecked["worth"])

    def test_impatient_clients_leave(self):
        emulated_world = world(2, 2, 160.0, 6000.0)
        patient = Run(emulated_world, 2).run()
        impatient = Run(replace(emulated_world, workload=replace(emulated_world.workload, patience_share=0.2)), 2).run()
        self.assertEqual(patient["left"], 0)
        self.assertGreater(impatient["left"], 0)
        self.assertEqual((patient["broken"], impatient["broken"]), (0, 0))

    def test_two_policies_get_the_same_requests(self):
        random_run, oracle_run = (Run(world(3, 8, 200.0, 5000.0, p), 9) for p in ("random", "oracle"))
        self.assertTrue(np.array_equal(random_run.arrivals.plan_draw, oracle_run.arrivals.plan_draw))
        random_summary, oracle_summary = random_run.run(), oracle_run.run()
        self.assertEqual(random_summary["requests"], oracle_summary["requests"])
        self.assertGreater(oracle_summary["worth"], random_summary["worth"])


class FaultyPolicy(Random):
    """A policy that violates the invariant `rule`."""

    rule = ""

    def _request_arrived(self, event):
        if self.rule == "key":
            self.arrival_times_ms.append(self.now)
            request = self.open_requests[event.request_id] = policies.OpenRequest(
                event, self.settings.classes[event.request_class], self.now
            )
            return self._send(request)
        super()._request_arrived(event)

    def _endpoints_updated(self, event):
        super()._endpoints_updated(event)
        if self.rule == "drain":
            self.usable = list(self.endpoints.values())

    def _may_retry(self, request):
        if self.rule == "repeat":
            return len(request.tried_engines) < 3
        if self.rule == "attempts":
            return True
        if self.rule == "ration":
            return len(request.tried_engines) < 4 and (
                not request.may_have_run or request.spec.effect is api.Effect.SAFE
            )
        return super()._may_retry(request)

    def pick(self, request):
        if self.rule == "cold":
            return max(self.usable, key=lambda endpoint: endpoint.started_at_ms).engine_id
        return super().pick(request)


@pytest.mark.parametrize("rule", ["attempts", "repeat", "drain", "cold", "key", "ration"])
def test_violations_by_a_faulty_policy_are_detected(rule, monkeypatch):
    monkeypatch.setitem(policies.POLICIES, "bad", type("Broken", (FaultyPolicy,), {"rule": rule}))
    kills = tuple(InjectedFault(at_ms, FaultKind.KILL, 1000.0, victim_count=3) for at_ms in (2000.0, 4000.0, 6000.0))
    emulated_world = replace(
        world(2, 6, 150.0, 9000.0, "bad"),
        message_loss=0.03,
        engine_spec=EngineSpec(max_sessions=200 if rule == "cold" else 8),
        faults=(*kills, InjectedFault(3000.0, FaultKind.DRAIN, 0.0, victim_count=2)),
    )
    if rule == "key":
        emulated_world = replace(
            emulated_world,
            workload=replace(
                emulated_world.workload,
                classes=tuple(
                    replace(c, distinct_keys=3 if c.distinct_keys else 0) for c in emulated_world.workload.classes
                ),
            ),
        )
    if rule == "repeat":  # the dispatcher blocks these retries itself; with that disabled, the checker must see them
        assert Run(emulated_world, 1).run().get("broken_repeat", 0) == 0
        monkeypatch.setattr(AttemptRunner, "_repeatable_until", lambda self, request: math.inf)
    faulty = Run(emulated_world, 1).run()
    assert faulty.get(f"broken_{rule}", 0) > 0
    correct = Run(replace(emulated_world, policy="random"), 1).run()
    assert correct.get(f"broken_{rule}", 0) == 0 or rule == "cold"


def test_violations_of_answer_and_overlap_are_detected():
    """The dispatcher prevents these violations with any policy, so the test calls the checker directly."""
    checker = Run(world(1, 1, 1.0, 1000.0), 1).checker
    checker.request_arrived(0.0, 0, "a", "consulta", None)
    checker.attempt_sent(1.0, 0, "a", "e0", False)
    checker.attempt_sent(2.0, 0, "a", "e1", False)
    checker.request_answered(0, "a", "served")
    checker.request_answered(0, "a", "failed")
    checker.request_arrived(3.0, 0, "b", "consulta", None)
    checker.run_ended()
    assert checker.violations == {"overlap": 1, "answer": 2}
    assert set(Rule) >= set(checker.violations)


SMALL_EXAMPLE = str(ROOT / "examples" / "small.xml")
FILE_ERRORS = [  # text of the example, its replacement, line of the error, part of the message
    ('span="12s"', 'span="12"', 2, "a duration such as"),
    ("<policy>random", "<policy>best", 13, "best"),
    ('count="1" for', "for", 10, "either share or count"),
    ('at="6s"', 'at="60s"', 10, "after the end of the run"),
    ('name="ayacucho"', 'name="cusco"', 8, "defined more than once"),
    ('aim="1s"', 'aim="6s"', 4, "aim must not be above the deadline"),
    ('<cells seeds="2">', '<cells seeds="0">', 11, "a whole number from 1"),
    ("<faults>", "<swell/><faults>", 10, "swell"),
]


@pytest.mark.parametrize(("old", "new", "line", "message"), FILE_ERRORS, ids=[m for *_, m in FILE_ERRORS])
def test_errors_in_experiment_files_are_reported(old, new, line, message, tmp_path):
    path = tmp_path / "x.xml"
    text = Path(SMALL_EXAMPLE).read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(SettingsError) as caught:
        experiment_file.load(str(path))
    assert [f for f in caught.value.faults if f.line == line and message in f.text], str(caught.value)


def test_results_are_identical_with_one_or_several_processes_and_after_a_resume(tmp_path):
    one, two = str(tmp_path / "one"), str(tmp_path / "two")
    run = CliRunner().invoke
    result = run(main, ["lab", "run", SMALL_EXAMPLE, "--out", one, "--workers", "1", "--quiet"])
    assert result.exit_code == 0, result.output
    assert run(main, ["lab", "run", SMALL_EXAMPLE, "--out", two, "--workers", "3", "--quiet"]).exit_code == 0
    expected = (Path(one) / "summaries.parquet").read_bytes()
    assert expected == (Path(two) / "summaries.parquet").read_bytes()
    # As after an interruption: one cell is missing, another incomplete; the other cells must not be run again.
    missing, incomplete = sorted((Path(two) / "cells").glob("*.json"))[:2]
    complete = sorted((Path(two) / "cells").glob("*.json"))[2]
    before = complete.stat().st_mtime_ns
    missing.unlink()
    incomplete.write_text(incomplete.read_text()[:40])
    assert run(main, ["lab", "run", SMALL_EXAMPLE, "--out", two, "--workers", "2", "--quiet"]).exit_code == 0
    assert expected == (Path(two) / "summaries.parquet").read_bytes() and complete.stat().st_mtime_ns == before
    report = run(main, ["lab", "report", one])
    assert report.exit_code == 0 and (Path(one) / "report" / "over_time.png").stat().st_size > 5000
    assert "power-of-two" in (Path(one) / "report" / "index.html").read_text()
    comparison = run(main, ["lab", "compare", one, two, "--policy-a", "random", "--policy-b", "decklb"])
    assert "worth" in comparison.output and "*" in comparison.output
    assert run(main, ["lab", "compare", one, two, "--policy-a", "none"]).exit_code == 1


def test_bootstrap_confidence_interval():
    rng = Streams(1).get("t")
    low, high = statistics.interval(rng.normal(5.0, 1.0, 400), rng)
    assert low < 5.0 < high and high - low == pytest.approx(4 * 0.05, rel=0.3)
    assert statistics.interval(np.array([1.0]), rng) == (float("-inf"), float("inf"))
