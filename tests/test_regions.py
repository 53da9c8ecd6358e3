"""The locality between real processes: five managers and six engines in three zones, with faults under load.

The last tests check the verdict of such a run on made-up records.
"""

import asyncio
import unittest

from decklb.lab.checks.execution_verdict import ExecutionEvent
from decklb.lab.checks.zone_verdict import CallRecord, ZoneFault, ZoneStateChange, ZoneVerdict, judge
from decklb.lab.fault_runs.zone_run import campaign, zone_of
from decklb.locality.settings import LocalitySettings

ZONE_BY_MANAGER = {"m0": "z0", "m1": "z1"}


class ZoneFaultTest(unittest.TestCase):
    def test_managers_decide_on_zones_in_common_and_no_request_is_lost(self):
        """A zone is lost and returns, two managers are cut off from a zone, and a member sends false reports."""
        cases = ["lost", "parted", "liar"]
        verdicts = {v.case: v for v in asyncio.run(campaign(cases, [1], ["common"], 3, lambda v: None))}
        for case, v in verdicts.items():
            self.assertGreater(v.requests, 1000, case)
            self.assertEqual((v.lost, v.overlapping, v.wrong, v.faults), (0, 0, 0, 0), case)
            self.assertLessEqual(v.attempts, 4, case)
            # 0 to 0.1% on an idle machine; without locality, two in three requests would leave their zone.
            self.assertLess(v.left_share, 0.1, case)
        self.assertEqual((verdicts["lost"].errors, verdicts["lost"].undecided, len(verdicts["lost"].out_ms)), (0, 0, 5))
        self.assertEqual((verdicts["liar"].errors, verdicts["liar"].changes), (0, 0))
        self.assertEqual(verdicts["parted"].changes, 0)
        # Attempts in flight at unreachable engines can't be cancelled, so they are not repeated elsewhere: their
        # requests are rejected at the deadline.
        self.assertLess(verdicts["parted"].errors, 0.05 * verdicts["parted"].requests)


class VerdictTest(unittest.TestCase):
    def judge_records(self, calls=(), events=(), changes=(), lost_zones=()):
        return judge(
            ZoneVerdict("lost", "common", 1),
            calls,
            events,
            changes,
            ZONE_BY_MANAGER,
            zone_of,
            ZoneFault(lost_zones, lost_zones, false_reporters=(), started=3.0, ended=9.0),
            100.0,
            16.0,
            LocalitySettings(recovery_ramp_ms=8000.0),
        )

    def event(self, what, key, run, manager, at, engine="e0"):
        return ExecutionEvent(what, key, run, manager, 100.0 + at, engine)

    def test_answers_executions_and_executions_outside_the_clients_zone_are_counted(self):
        calls = [
            CallRecord("a", "z0", "m0", 1.0, 100, "served"),
            CallRecord("b", "z0", "m0", 1.0, 100, "53000"),
            CallRecord("c", "z1", "m1", 1.0, 100),
        ]
        events = [
            self.event("start", "a", 1, 0, 1.0),
            self.event("end", "a", 1, 0, 1.2),
            self.event("start", "b", 2, 0, 1.0, "e2"),
            self.event("end", "b", 2, 0, 1.4, "e2"),
            self.event("start", "b", 3, 0, 1.3),
            self.event("end", "b", 3, 0, 1.5),
        ]
        v = self.judge_records(calls, events)
        self.assertEqual(
            (v.served, v.errors, v.lost, v.overlapping, v.attempts, v.stayed, v.left), (1, 1, 1, 1, 2, 2, 1)
        )

    def test_decisions_are_timed_and_taking_out_a_healthy_zone_is_counted_as_wrong(self):
        changes = [
            ZoneStateChange("m0", "z0", "out", 3.5),
            ZoneStateChange("m1", "z1", "out", 4.0),
            ZoneStateChange("m1", "z0", "out", 2.0),
        ]
        v = self.judge_records(changes=changes, lost_zones=("z0",))
        self.assertEqual((v.out_ms, v.undecided, v.wrong, v.changes), ([500.0], 1, 2, 3))

    def test_the_load_on_a_returning_zone_is_compared_with_its_capacity(self):
        changes = [ZoneStateChange("m0", "z0", "returning", 9.5)]
        for count, flooded in ((2, False), (60, True)):
            calls = [CallRecord(f"k{i}", "z0", "m0", 9.5, 200, "served") for i in range(count)]
            events = [self.event(w, f"k{i}", i, 0, 9.6 + 0.01 * i) for i in range(count) for w in ("start", "end")]
            self.assertEqual(self.judge_records(calls, events, changes, ("z0",)).flood > 1.0, flooded)
