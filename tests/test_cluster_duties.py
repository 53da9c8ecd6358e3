"""The duty scheduler: when duties run, who owns them, and what follows from failed runs."""

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
        self.wall_clock_shift_ms = 0.0  # ms by which the wall clock has jumped

    def make(self, member="a", members=("a",), subjects=("e1",), **overrides):
        ranking, settings = Ranking(), DutySettings(**({"period_ms": 1000.0, "timeout_ms": 100.0} | overrides))
        for name in members:
            ranking.add_member(name, 1.0)
        self.lamport = LamportClock()
        scheduler = DutyScheduler(
            settings,
            member,
            ranking,
            VerdictTable(settings),
            self.lamport,
            self.timers,
            lambda now: now + 1e9 + self.wall_clock_shift_ms,
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

    def advance(self, until, ok=True, run_duration_ms=10.0):
        """Advance the time to `until`; each run ends after `run_duration_ms`, or never if that is None."""
        while (due := min(self.timers.next_due(), until)) < until or self.timers.next_due() <= until:
            self.now = max(self.now, due)
            before = len(self.runs)
            self.timers.run_due(self.now)
            for _, start in self.runs[before:]:
                if run_duration_ms is not None:
                    self.timers.call_at(self.now + run_duration_ms, lambda t, s=start.subject: self.end_run(t, s, ok))
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

    def test_jumps_of_the_wall_clock_neither_double_nor_stop_runs(self):
        self.make()
        self.advance(3000.0)
        self.wall_clock_shift_ms = -7_777_777.0
        self.advance(6000.0)
        self.wall_clock_shift_ms = 9e12
        self.advance(12_000.0)
        times = [t for t, _ in self.runs]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), 500.0)
        self.assertLessEqual(max(gaps), 2000.0)

    def test_a_duty_is_not_started_while_its_run_takes_longer_than_the_period(self):
        scheduler = self.make()
        self.advance(4500.0, run_duration_ms=None)
        self.assertEqual((len(self.runs), scheduler.counters.overruns >= 3), (1, True))
        scheduler.on_run_ended(4500.0, "e1", True)
        self.advance(6000.0)
        self.assertGreater(len(self.runs), 1)

    def test_concurrent_runs_are_bounded(self):
        scheduler = self.make(subjects=[f"e{i}" for i in range(30)], max_concurrent=4)
        self.advance(1500.0, run_duration_ms=None)
        self.assertEqual((len(self.runs), scheduler.running), (4, 4))
        scheduler.on_run_ended(1500.0, self.runs[0][1].subject, True)
        self.assertEqual(len(self.runs), 5)

    def test_an_owner_with_repeated_failures_declines_and_the_hold_doubles(self):
        scheduler = self.make(
            members=("a", "b"), subjects=[f"e{i}" for i in range(8)], failures_to_decline=3, decline_hold_ms=60_000.0
        )
        owned = {s for s, x in scheduler.duties.items() if x.is_owned}
        self.assertTrue(0 < len(owned) < 8)
        self.advance(1950.0, ok=False)
        self.assertEqual(self.reports, [])
        self.advance(3100.0, ok=False)
        self.assertEqual({(type(x), x.subject) for x in self.reports}, {(DutyDecline, s) for s in owned})
        self.assertFalse(any(x.is_owned for x in scheduler.duties.values()))
        self.advance(70_000.0, ok=False)  # the first hold has ended: the duty runs, fails and is declined for longer
        # Repeated reports of a decline state the remaining hold, which is shorter.
        holds = {x.hold_ms for x in self.reports if isinstance(x, DutyDecline)}
        self.assertTrue({60_000, 120_000} <= holds and max(holds) == 120_000, holds)

    def test_a_failure_of_the_second_owner_is_reported(self):
        scheduler = self.make(
            member="b", members=("a", "b"), failures_to_decline=3, subjects=[f"e{i}" for i in range(8)]
        )
        declined = sorted(set(scheduler.ranking.duties()) - {s for s, x in scheduler.duties.items() if x.is_owned})[0]
        scheduler.on_decline(0.0, DutyDecline("probe", declined, "a", 10**9, 60_000))
        self.assertTrue(scheduler.duties[declined].is_owned)
        self.advance(400.0, ok=False)  # runs soon after the decline, not at the regular phase
        self.assertEqual([(x.subject, x.status) for x in self.reports], [(declined, HealthStatus.DOWN)])
        self.advance(2000.0, ok=True)
        self.assertEqual([x.status for x in self.reports if x.subject == declined][-1], HealthStatus.UP)

    def test_a_single_member_reports_failures_without_a_second_opinion(self):
        self.make(failures_to_decline=2, repeat_interval_ms=2500.0)
        self.advance(1900.0, ok=False)
        self.assertEqual([x.status for x in self.reports if isinstance(x, DutyResult)], [HealthStatus.DOWN])
        self.advance(9000.0, ok=False)
        self.assertEqual(len(self.reports), 3)  # repeated once per repeat interval, not per period
        self.advance(11_000.0, ok=True)
        self.assertEqual(
            [x.status for x in self.reports], [HealthStatus.DOWN, HealthStatus.DOWN, HealthStatus.DOWN, HealthStatus.UP]
        )

    def test_the_owners_term_rises_above_terms_of_other_members_results(self):
        scheduler = self.make()
        first = scheduler.duties["e1"].term
        scheduler.on_result(0.0, DutyResult("probe", "e1", 50, "z", 5, HealthStatus.DOWN))
        self.assertGreater(scheduler.duties["e1"].term, max(first, 50))
        self.assertFalse(scheduler.on_result(0.0, DutyResult("probe", "e1", 49, "y", 9, HealthStatus.DOWN)))
        self.advance(2000.0)
        self.assertEqual([(x.status, x.term > 50) for x in self.reports], [(HealthStatus.UP, True)])

    def test_duties_of_a_dead_member_are_taken_over_soon_and_returned_when_it_is_back(self):
        scheduler = self.make(members=("a", "b"), subjects=[f"e{i}" for i in range(40)])
        before = set(scheduler.duties)
        scheduler.update_ownership(0.0, {"a"}, False)
        due = [x.timer.due_ms for s, x in scheduler.duties.items() if s not in before]
        self.assertLessEqual(max(due), 250.0)
        self.advance(300.0)
        scheduler.update_ownership(300.0, {"a", "b"}, False)
        self.assertEqual({s for s, x in scheduler.duties.items() if x.is_owned}, before)
        self.assertEqual((scheduler.counters.lost, scheduler.counters.gained), (len(due), 40))
