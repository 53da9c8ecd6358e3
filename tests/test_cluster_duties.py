"""The scheduler of duties: when they run, who owns them, and what follows from failures."""

from __future__ import annotations

import unittest

from decklb.cluster.duties import DutyScheduler
from decklb.cluster.lamport_clock import LamportClock
from decklb.cluster.messages import DutyDecline, DutyResult, HealthStatus
from decklb.cluster.rendezvous import Ranking
from decklb.cluster.settings import DutySettings
from decklb.cluster.timers import TimerQueue
from decklb.cluster.verdicts import VerdictTable


class Scheduling(unittest.TestCase):
    def setUp(self):
        self.timers, self.runs, self.reports = TimerQueue(), [], []
        self.wall_shift = 0.0  # by which the wall clock has jumped, ms

    def make(self, me="a", members=("a",), subjects=("e1",), **overrides):
        ranking, settings = Ranking(), DutySettings(**({"period_ms": 1000.0, "timeout_ms": 100.0} | overrides))
        for name in members:
            ranking.add_member(name, 1.0)
        self.lamport = LamportClock()
        scheduler = DutyScheduler(
            settings,
            me,
            ranking,
            VerdictTable(settings),
            self.lamport,
            self.timers,
            lambda now: now + 1e9 + self.wall_shift,
            lambda start: self.runs.append((self.now, start)),
            self.report,
        )
        self.scheduler = scheduler
        self.now = 0.0
        scheduler.set_subjects(0.0, dict.fromkeys(subjects, 0.0))
        scheduler.update_ownership(0.0, set(members), False)
        return scheduler

    def report(self, message):
        self.reports.append(message)
        if isinstance(message, DutyResult):
            self.scheduler.on_result(self.now, message)
        else:
            self.scheduler.on_decline(self.now, message)

    def advance(self, until, ok=True, run_ms=10.0):
        """Let time pass; each run ends after `run_ms` ms, None for never."""
        while (due := min(self.timers.next_due(), until)) < until or self.timers.next_due() <= until:
            self.now = max(self.now, due)
            before = len(self.runs)
            self.timers.run_due(self.now)
            for _, start in self.runs[before:]:
                if run_ms is not None:
                    self.timers.call_at(self.now + run_ms, lambda t, s=start.subject: self.end_run(t, s, ok))
        self.now = until

    def end_run(self, now, subject, ok):
        before = len(self.runs)
        self.scheduler.on_run_ended(now, subject, ok)
        for _, start in self.runs[before:]:
            self.timers.call_at(now + 10.0, lambda t, s=start.subject: self.end_run(t, s, ok))

    def test_a_duty_runs_once_a_period_at_its_phase(self):
        self.make(subjects=[f"e{i}" for i in range(20)])
        self.advance(10_000.0)
        for i in range(20):
            times = [t for t, s in self.runs if s.subject == f"e{i}"]
            self.assertEqual(len(times), 10)
            self.assertTrue(all(abs(b - a - 1000.0) < 1e-6 for a, b in zip(times, times[1:], strict=False)))
        first = [t for t, _ in self.runs[:20]]
        self.assertGreater(max(first) - min(first), 500.0)  # spread over the period

    def test_periods_are_stretched_while_warming_up_and_in_a_minority(self):
        scheduler = self.make(warming_up_factor=2.0, minority_factor=3.0)
        scheduler.set_subjects(0.0, {"e1": 1e9 + 4000.0})
        self.assertEqual([scheduler.period_ms(t, "e1") for t in (0.0, 3999.0, 4000.0)], [2000.0, 2000.0, 1000.0])
        scheduler.update_ownership(0.0, {"a"}, True)
        self.assertEqual(scheduler.period_ms(5000.0, "e1"), 3000.0)

    def test_a_clock_that_jumps_neither_doubles_nor_stops(self):
        self.make()
        self.advance(3000.0)
        self.wall_shift = -7_777_777.0
        self.advance(6000.0)
        self.wall_shift = 9e12
        self.advance(12_000.0)
        times = [t for t, _ in self.runs]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), 500.0)
        self.assertLessEqual(max(gaps), 2000.0)

    def test_a_run_longer_than_its_period_is_not_started_twice(self):
        scheduler = self.make()
        self.advance(4500.0, run_ms=None)
        self.assertEqual((len(self.runs), scheduler.counters.overruns >= 3), (1, True))
        scheduler.on_run_ended(4500.0, "e1", True)
        self.advance(6000.0)
        self.assertGreater(len(self.runs), 1)

    def test_concurrent_runs_are_bounded(self):
        scheduler = self.make(subjects=[f"e{i}" for i in range(30)], max_concurrent=4)
        self.advance(1500.0, run_ms=None)
        self.assertEqual((len(self.runs), scheduler.running), (4, 4))
        scheduler.on_run_ended(1500.0, self.runs[0][1].subject, True)
        self.assertEqual(len(self.runs), 5)

    def test_an_owner_that_fails_declines_and_its_hold_doubles(self):
        scheduler = self.make(
            members=("a", "b"), subjects=[f"e{i}" for i in range(8)], failures_to_decline=3, decline_hold_ms=60_000.0
        )
        mine = {s for s, x in scheduler.duties.items() if x.is_owned}
        self.assertTrue(0 < len(mine) < 8)
        self.advance(1950.0, ok=False)
        self.assertEqual(self.reports, [])
        self.advance(3100.0, ok=False)
        self.assertEqual({(type(x), x.subject) for x in self.reports}, {(DutyDecline, s) for s in mine})
        self.assertFalse(any(x.is_owned for x in scheduler.duties.values()))
        self.advance(70_000.0, ok=False)  # its rest is over: it tries again, and rests longer
        # What is said again meanwhile has less of its rest left.
        rests = {x.hold_ms for x in self.reports if isinstance(x, DutyDecline)}
        self.assertTrue({60_000, 120_000} <= rests and max(rests) == 120_000, rests)

    def test_the_failure_of_a_second_opinion_is_a_verdict(self):
        scheduler = self.make(me="b", members=("a", "b"), failures_to_decline=3, subjects=[f"e{i}" for i in range(8)])
        theirs = sorted(set(scheduler.ranking.duties()) - {s for s, x in scheduler.duties.items() if x.is_owned})[0]
        scheduler.on_decline(0.0, DutyDecline("probe", theirs, "a", 10**9, 60_000))
        self.assertTrue(scheduler.duties[theirs].is_owned)
        self.advance(400.0, ok=False)  # promptly, not in its turn
        self.assertEqual([(x.subject, x.status) for x in self.reports], [(theirs, HealthStatus.DOWN)])
        self.advance(2000.0, ok=True)
        self.assertEqual([x.status for x in self.reports if x.subject == theirs][-1], HealthStatus.UP)

    def test_a_member_without_others_believes_its_own_failures(self):
        self.make(failures_to_decline=2, repeat_interval_ms=2500.0)
        self.advance(1900.0, ok=False)
        self.assertEqual([x.status for x in self.reports if isinstance(x, DutyResult)], [HealthStatus.DOWN])
        self.advance(9000.0, ok=False)
        self.assertEqual(len(self.reports), 3)  # repeated at each refresh, not each period
        self.advance(11_000.0, ok=True)
        self.assertEqual(
            [x.status for x in self.reports], [HealthStatus.DOWN, HealthStatus.DOWN, HealthStatus.DOWN, HealthStatus.UP]
        )

    def test_terms_rise_above_those_of_other_members_results(self):
        scheduler = self.make()
        first = scheduler.duties["e1"].term
        scheduler.on_result(0.0, DutyResult("probe", "e1", 50, "z", 5, HealthStatus.DOWN))
        self.assertGreater(scheduler.duties["e1"].term, max(first, 50))
        self.assertFalse(scheduler.on_result(0.0, DutyResult("probe", "e1", 49, "y", 9, HealthStatus.DOWN)))
        self.advance(2000.0)
        self.assertEqual([(x.status, x.term > 50) for x in self.reports], [(HealthStatus.UP, True)])

    def test_duties_of_a_dead_member_are_taken_over_promptly_and_given_back(self):
        scheduler = self.make(members=("a", "b"), subjects=[f"e{i}" for i in range(40)])
        before = set(scheduler.duties)
        scheduler.update_ownership(0.0, {"a"}, False)
        due = [x.timer.due_ms for s, x in scheduler.duties.items() if s not in before]
        self.assertLessEqual(max(due), 250.0)
        self.advance(300.0)
        scheduler.update_ownership(300.0, {"a", "b"}, False)
        self.assertEqual({s for s, x in scheduler.duties.items() if x.is_owned}, before)
        self.assertEqual((scheduler.counters.lost, scheduler.counters.gained), (len(due), 40))
