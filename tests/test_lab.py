"""The emulator: against theory, its rules' checkers against broken policies, its tables, its files and their faults."""

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
def test_response_times_as_in_theory(cores, load):
    f = theory.play(cores, load, 60_000, 3)
    assert abs(f.response_ms / theory.response(cores, load) - 1) < 0.03
    assert abs(f.in_system - f.rate_per_ms * f.response_ms) < 1e-9 * f.in_system  # Little's law
    assert f.unaccounted < 1e-9


def test_sessions_are_lost_as_erlang_says():
    f = theory.play(8, 0.9, 60_000, 2, sessions=8)
    assert abs(f.blocked / theory.erlang_b(8, 7.2) - 1) < 0.03
    assert theory.erlang_b(2, 1.0) == pytest.approx(0.2)
    assert theory.response(1, 0.5) == pytest.approx(200.0)


class EngineModel(unittest.TestCase):
    def setUp(self):
        self.loop, self.ended = Loop(), []
        self.spec = EngineSpec(cores=2, thrash_threshold=10.0, warm_up_ms=0.0)

    def engine(self, **more):
        return Engine(self.loop, "e", replace(self.spec, **more))

    def query(self, name, work, **more):
        return Query(
            work,
            memory_mb=more.pop("memory_mb", 0.0),
            io_share=more.pop("io_share", 0.0),
            on_end=lambda outcome: self.ended.append((name, outcome, round(self.loop.now(), 6))),
            **more,
        )

    def test_cores_are_shared(self):
        e = self.engine()
        for name in "abcd":
            e.submit(self.query(name, 100.0))
        e.submit(self.query("wide", 400.0, threads=2))
        self.loop.run(1000.0)
        # Six threads on two cores: a third of the speed until four have had 100 ms of work each.
        self.assertEqual(
            [(n, t) for n, _, t in self.ended],
            [("a", 300.0), ("b", 300.0), ("c", 300.0), ("d", 300.0), ("wide", 400.0)],
        )

    def test_thrash_spill_warmth_and_plans_add_work_or_time(self):
        e = self.engine(thrash_threshold=1.0, thrash_slope=1.0)
        e.submit(self.query("a", 100.0, threads=4))
        self.loop.run(1000.0)
        self.assertEqual(self.ended.pop()[2], 100.0)  # 25 ms a thread at a half of the speed, halved again
        e = self.engine(memory_mb=100.0, spill_factor=3.0)
        e.submit(self.query("big", 100.0, memory_mb=200.0))
        self.loop.run(2000.0)
        self.assertEqual(self.ended.pop()[2], 1000.0 + 250.0)  # half of its memory lacks
        e = self.engine(cache_saving=0.5)
        for name in ("first", "second"):
            e.submit(self.query(name, 100.0, io_share=0.4, table_group=7, plan_factor=2.0))
            self.loop.run(self.loop.now() + 1000.0)
        (_, _, one), (_, _, two) = self.ended[-2:]
        self.assertEqual((one - 2000.0, two - 3000.0), (200.0, 160.0))

    def test_a_load_holds_its_group(self):
        e = self.engine()
        e.submit(self.query("load", 100.0, locks_tables=True, table_group=1))
        e.submit(self.query("reader", 10.0, waits_for_loads=True, table_group=1))
        e.submit(self.query("other load", 10.0, locks_tables=True, table_group=1))
        e.submit(self.query("elsewhere", 10.0, waits_for_loads=True, table_group=2))
        self.loop.run(500.0)
        self.assertEqual([n for n, _, _ in self.ended], ["elsewhere", "load", "reader", "other load"])

    def test_called_off_work_is_lost_and_accounted(self):
        e = self.engine()
        q = self.query("a", 100.0)
        e.submit(q)
        self.loop.run(40.0)
        e.cancel(q)
        e.cancel(q)
        self.loop.run(500.0)
        self.assertEqual((self.ended, e.account.lost_ms, e.account.executed_ms), ([], 40.0, 40.0))

    def test_late_in_a_long_run_moments_still_pass(self):
        """At 40,000,000 ms the clock moves by 7e-9: what was left of a query was less, and its end came for ever."""
        self.loop.run(4e7)
        e = self.engine()
        for i in range(200):
            e.submit(self.query(i, 10.0 + i / 7, threads=1 + i % 3))
            self.loop.run(self.loop.now() + 1 / 3)
        self.loop.run(self.loop.now() + 1e5)
        self.assertEqual(len(self.ended), 200)
        self.assertLess(abs(e.account.served_ms / e.account.executed_ms - 1), 1e-9)

    def test_deaths_loud_and_silent(self):
        e = self.engine()
        e.submit(self.query("a", 100.0))
        self.loop.run(10.0)
        e.stop()
        e.submit(self.query("b", 1.0))
        self.assertEqual(
            [(n, o) for n, o, _ in self.ended], [("a", Outcome.CONNECTION_RESET), ("b", Outcome.UNREACHABLE)]
        )
        e.start()
        e.submit(self.query("c", 100.0))
        e.stop(silent=True)
        e.submit(self.query("d", 1.0))
        self.loop.run(500.0)
        self.assertEqual(len(self.ended), 2)

    def test_cold_start_is_slow_then_not_and_falls_over(self):
        e = self.engine(warm_up_ms=1000.0, initial_capacity=0.25, overload_window_ms=500.0, overload_factor=2.0)
        e.stop()
        e.start()
        self.assertEqual(e.capacity(), 0.5)
        e.submit(self.query("a", 50.0))
        self.loop.run(1200.0)
        self.assertGreater(self.ended[0][2], 100.0)
        self.assertEqual(e.capacity(), 2.0)
        e.stop()
        e.start()
        for i in range(12):
            e.submit(self.query(f"q{i}", 100.0))
        self.assertEqual(e.account.crashes, 1)
        self.assertIn(Outcome.CONNECTION_RESET, {o for _, o, _ in self.ended[1:]})


class Draws(unittest.TestCase):
    def test_concerns_do_not_disturb_each_other(self):
        w = world(3, 8, 100.0, 10_000.0).workload
        plain, tailed = (
            draw(w, Streams(5), 10_000.0),
            draw(
                replace(w, zipf_exponent=0.1, surges=(TrafficSurge(2000.0, 1000.0, 5.0, tenant="cusco"),)),
                Streams(5),
                10_000.0,
            ),
        )
        again = draw(w, Streams(5), 10_000.0)
        self.assertTrue(np.array_equal(plain.work_ms, again.work_ms))
        self.assertGreater(len(tailed), len(plain))
        kept = np.isin(tailed.time_ms, plain.time_ms)
        self.assertTrue(np.array_equal(tailed.work_ms[kept], plain.work_ms))
        self.assertTrue(np.array_equal(tailed.class_index[kept], plain.class_index))
        self.assertFalse(np.array_equal(draw(w, Streams(6), 10_000.0).time_ms, plain.time_ms))

    def test_rates_bursts_and_the_daily_shape(self):
        w = Workload(1000.0, world(1, 1, 1.0, 1.0).workload.classes, (Tenant("t", 1.0),))
        burst = replace(w, surges=(TrafficSurge(5000.0, 5000.0, 3.0),))
        a = draw(burst, Streams(1), 20_000.0)
        inside = ((a.time_ms >= 5000) & (a.time_ms < 10_000)).sum()
        self.assertAlmostEqual(inside / 15_000, 1.0, delta=0.05)
        day = draw(replace(w, daily_amplitude=0.5, day_length_ms=20_000.0), Streams(1), 20_000.0)
        self.assertGreater((day.time_ms < 10_000).sum() / (day.time_ms >= 10_000).sum(), 1.7)
        self.assertAlmostEqual(float(a.work_ms[a.class_index == 0].mean()) / 100.0, 1.0, delta=0.05)

    def test_trace(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "t.csv"
            path.write_text(
                "time_ms,class,tenant,work_ms,tables,key\n20,consulta,cusco,50,3,\n10,carga,ayacucho,80,1,7\n"
            )
            w = replace(world(1, 2, 1.0, 1000.0).workload, trace_path=str(path))
            a = draw(w, Streams(1), 1000.0)
            self.assertEqual((list(a.time_ms), list(a.work_ms), list(a.key)), ([10.0, 20.0], [80.0, 50.0], [7, -1]))
            run = Run(replace(world(1, 2, 1.0, 1000.0), workload=w), 1)
            self.assertEqual(run.run()["served"], 2)
            for text, words in (
                ("time_ms\n1\n", ":1: columns"),
                ("{h}x,consulta,cusco,50,3,\n", ":2: could not"),
                ("{h}1,nobody,cusco,50,3,\n", ":2: nobody defines 'nobody'"),
                ("{h}1,consulta,cusco,-50,3,\n", ":2: time_ms from 0"),
            ):
                path.write_text(text.replace("{h}", "time_ms,class,tenant,work_ms,tables,key\n"))
                with self.assertRaisesRegex(TraceError, words):
                    draw(w, Streams(1), 1000.0)


class Emulated(unittest.TestCase):
    def test_work_and_requests_are_conserved_through_faults(self):
        w = replace(
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
        s = Run(w, 4).run()
        self.assertEqual(s["served"] + s["refused"] + s["failed"] + s["left"] + s["lost"], s["requests"])
        done = s["work_served"] + s["work_lost"] + s["work_open"]
        self.assertLess(abs(done / s["work_done"] - 1), 1e-9)
        self.assertLess(abs(s["little_l"] / s["little_lw"] - 1), 1e-9)
        self.assertEqual({k: v for k, v in s.items() if k.startswith("broken_")}, {})
        self.assertGreater(s["worth"], 0.5)

    def test_a_warm_up_counts_neither_requests_nor_attempts(self):
        s = Run(replace(world(2, 6, 40.0, 6000.0), warm_up_ms=3000.0, speed_sigma=0.0), 3).run()
        self.assertAlmostEqual(s["attempts_a_request"], 1.0, delta=0.05)

    def test_shared_probing_finds_engines_that_vanish(self):
        w = replace(
            world(4, 10, 120.0, 24_000.0),
            faults=(
                InjectedFault(9000.0, FaultKind.VANISH, 14_000.0, victim_count=3),
                InjectedFault(12_000.0, FaultKind.MANAGER, 3000.0, victim_count=1),
            ),
            list_delay_ms=60_000.0,
        )  # the list says nothing of it in time
        blind, sighted = Run(w, 2).run(), Run(replace(w, health_check_period_ms=2000.0), 2).run()
        self.assertEqual((blind["broken"], sighted["broken"]), (0, 0))
        self.assertAlmostEqual(sighted["probes_an_engine_a_period"], 1.0, delta=0.25)
        self.assertNotIn("probes_an_engine_a_period", blind)
        self.assertGreaterEqual(sighted["worth"], blind["worth"])

    def test_impatience_and_client_retries(self):
        w = world(2, 2, 160.0, 6000.0)
        plain = Run(w, 2).run()
        left = Run(replace(w, workload=replace(w.workload, patience_share=0.2)), 2).run()
        self.assertEqual(plain["left"], 0)
        self.assertGreater(left["left"], 0)
        self.assertEqual((plain["broken"], left["broken"]), (0, 0))

    def test_two_policies_see_the_same_world(self):
        one, two = (Run(world(3, 8, 200.0, 5000.0, p), 9) for p in ("random", "oracle"))
        self.assertTrue(np.array_equal(one.arrivals.plan_draw, two.arrivals.plan_draw))
        a, b = one.run(), two.run()
        self.assertEqual(a["requests"], b["requests"])
        self.assertGreater(b["worth"], a["worth"])


class Bad(Random):
    """Breaks one rule, named by `rule`."""

    rule = ""

    def _request_arrived(self, a):
        if self.rule == "key":
            self.taken_ms.append(self.now)
            r = self.open[a.request_id] = policies.OpenRequest(a, self.settings.classes[a.request_class], self.now)
            return self._send(r)
        super()._request_arrived(a)

    def _endpoints_updated(self, e):
        super()._endpoints_updated(e)
        if self.rule == "drain":
            self.usable = list(self.endpoints.values())

    def _may_retry(self, r):
        if self.rule == "repeat":
            return len(r.tried) < 3
        if self.rule == "attempts":
            return True
        if self.rule == "ration":
            return len(r.tried) < 4 and (not r.may_have_run or r.spec.effect is api.Effect.SAFE)
        return super()._may_retry(r)

    def pick(self, r):
        if self.rule == "cold":
            return max(self.usable, key=lambda x: x.started_at_ms).engine_id
        return super().pick(r)


@pytest.mark.parametrize("rule", ["attempts", "repeat", "drain", "cold", "key", "ration"])
def test_a_policy_that_breaks_a_rule_is_caught(rule, monkeypatch):
    monkeypatch.setitem(policies.POLICIES, "bad", type("Broken", (Bad,), {"rule": rule}))
    deaths = tuple(InjectedFault(at, FaultKind.KILL, 1000.0, victim_count=3) for at in (2000.0, 4000.0, 6000.0))
    w = replace(
        world(2, 6, 150.0, 9000.0, "bad"),
        message_loss=0.03,
        engine_spec=EngineSpec(max_sessions=200 if rule == "cold" else 8),
        faults=(*deaths, InjectedFault(3000.0, FaultKind.DRAIN, 0.0, victim_count=2)),
    )
    if rule == "key":
        w = replace(
            w,
            workload=replace(
                w.workload,
                classes=tuple(replace(c, distinct_keys=3 if c.distinct_keys else 0) for c in w.workload.classes),
            ),
        )
    if rule == "repeat":  # the dispatcher holds these back, whatever the policy says; then the checker has to see them
        assert Run(w, 1).run().get("broken_repeat", 0) == 0
        monkeypatch.setattr(AttemptRunner, "_repeatable_until", lambda self, request: math.inf)
    s = Run(w, 1).run()
    assert s.get(f"broken_{rule}", 0) > 0
    good = Run(replace(w, policy="random"), 1).run()
    assert good.get(f"broken_{rule}", 0) == 0 or rule == "cold"


def test_answers_and_overlap_are_caught():
    """The dispatcher lets no policy do these, so the checker is told by hand."""
    c = Run(world(1, 1, 1.0, 1000.0), 1).checker
    c.request_arrived(0.0, 0, "a", "consulta", None)
    c.attempt_sent(1.0, 0, "a", "e0", False)
    c.attempt_sent(2.0, 0, "a", "e1", False)
    c.request_answered(0, "a", "served")
    c.request_answered(0, "a", "failed")
    c.request_arrived(3.0, 0, "b", "consulta", None)
    c.run_ended()
    assert c.violations == {"overlap": 1, "answer": 2}
    assert set(Rule) >= set(c.violations)


SMALL = str(ROOT / "examples" / "small.xml")
BROKEN = [  # what stands in the example, what in its place, the line, words of the fault
    ('span="12s"', 'span="12"', 2, "a duration such as"),
    ("<policy>random", "<policy>best", 13, "best"),
    ('count="1" for', "for", 10, "either share or count"),
    ('at="6s"', 'at="60s"', 10, "after the end of the run"),
    ('name="ayacucho"', 'name="cusco"', 8, "defined more than once"),
    ('aim="1s"', 'aim="6s"', 4, "aim must not be above the deadline"),
    ('<cells seeds="2">', '<cells seeds="0">', 11, "a whole number from 1"),
    ("<faults>", "<swell/><faults>", 10, "swell"),
]


@pytest.mark.parametrize(("old", "new", "line", "words"), BROKEN, ids=[w for *_, w in BROKEN])
def test_broken_experiments(old, new, line, words, tmp_path):
    path = tmp_path / "x.xml"
    text = Path(SMALL).read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(SettingsError) as caught:
        experiment_file.load(str(path))
    assert [f for f in caught.value.faults if f.line == line and words in f.text], str(caught.value)


def test_run_resume_report_compare_same_bytes_in_one_process_and_many(tmp_path):
    one, two = str(tmp_path / "one"), str(tmp_path / "two")
    run = CliRunner().invoke
    said = run(main, ["lab", "run", SMALL, "--out", one, "--workers", "1", "--quiet"])
    assert said.exit_code == 0, said.output
    assert run(main, ["lab", "run", SMALL, "--out", two, "--workers", "3", "--quiet"]).exit_code == 0
    whole = (Path(one) / "summaries.parquet").read_bytes()
    assert whole == (Path(two) / "summaries.parquet").read_bytes()
    # Stopped in the midst: one cell lacks, another was being written; all else is kept.
    lost, half = sorted((Path(two) / "cells").glob("*.json"))[:2]
    kept = sorted((Path(two) / "cells").glob("*.json"))[2]
    before = kept.stat().st_mtime_ns
    lost.unlink()
    half.write_text(half.read_text()[:40])
    assert run(main, ["lab", "run", SMALL, "--out", two, "--workers", "2", "--quiet"]).exit_code == 0
    assert whole == (Path(two) / "summaries.parquet").read_bytes() and kept.stat().st_mtime_ns == before
    page = run(main, ["lab", "report", one])
    assert page.exit_code == 0 and (Path(one) / "report" / "over_time.png").stat().st_size > 5000
    assert "power-of-two" in (Path(one) / "report" / "index.html").read_text()
    said = run(main, ["lab", "compare", one, two, "--policy-a", "random", "--policy-b", "decklb"])
    assert "worth" in said.output and "*" in said.output
    assert run(main, ["lab", "compare", one, two, "--policy-a", "none"]).exit_code == 1


def test_bootstrap():
    rng = Streams(1).get("t")
    low, high = statistics.interval(rng.normal(5.0, 1.0, 400), rng)
    assert low < 5.0 < high and high - low == pytest.approx(4 * 0.05, rel=0.3)
    assert statistics.interval(np.array([1.0]), rng) == (float("-inf"), float("inf"))
