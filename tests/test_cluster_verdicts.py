"""The newest health-check results, and the updates for the dispatcher that follow from them."""

from __future__ import annotations

import unittest

from decklb.cluster.messages import DutyResult, HealthStatus
from decklb.cluster.settings import DutySettings
from decklb.cluster.verdicts import VerdictTable


class Verdicts(unittest.TestCase):
    def setUp(self):
        self.table = VerdictTable(
            DutySettings(repeat_interval_ms=1000.0, mass_failure_hold_ms=5000.0, mass_failure_ratio=0.6)
        )
        self.listed = {f"e{i}" for i in range(10)}

    def apply_result(self, now, subject, status, term=1, at=1, owner="a"):
        return self.table.apply(now, DutyResult("probe", subject, term, owner, at, status))

    def test_results_of_older_terms_are_dropped(self):
        self.assertTrue(self.apply_result(0, "e1", HealthStatus.UP, term=5))
        self.assertFalse(self.apply_result(1, "e1", HealthStatus.DOWN, term=4, at=99))
        self.assertFalse(self.apply_result(1, "e1", HealthStatus.DOWN, term=5, at=0))
        self.assertTrue(self.apply_result(1, "e1", HealthStatus.DOWN, term=5, at=2))
        # A repetition is not counted as outdated.
        self.assertFalse(self.apply_result(1, "e1", HealthStatus.DOWN, term=5, at=2))
        self.assertEqual((self.table.term("e1"), self.table.outdated_results), (5, 2))

    def test_a_failure_is_repeated_until_recovery_and_expires_without_repetition(self):
        self.apply_result(0, "e1", HealthStatus.DOWN)
        self.assertEqual(self.table.take_updates(0, self.listed), [("probe", "e1", False)])
        self.assertEqual(self.table.take_updates(500, self.listed), [])
        self.assertEqual(self.table.take_updates(1000, self.listed), [("probe", "e1", False)])
        self.apply_result(1500, "e1", HealthStatus.UP, at=2)
        self.assertEqual(self.table.take_updates(1500, self.listed), [("probe", "e1", True)])
        self.apply_result(2000, "e1", HealthStatus.DOWN, at=3)
        self.table.take_updates(2000, self.listed)
        # Not repeated for three intervals: the status is unknown, not up.
        self.assertEqual(self.table.take_updates(5001, self.listed), [])
        self.assertFalse(self.table.is_down("e1"))

    def test_engines_that_are_not_up_in_the_endpoint_list_are_never_reported_up(self):
        self.apply_result(0, "e1", HealthStatus.DOWN)
        self.table.take_updates(0, self.listed)
        self.apply_result(1, "e1", HealthStatus.UP, at=2)
        self.assertEqual(self.table.take_updates(1, self.listed - {"e1"}), [])

    def test_a_mass_failure_has_no_effect_until_its_hold_has_ended(self):
        self.apply_result(0, "e0", HealthStatus.DOWN)
        self.assertEqual(self.table.take_updates(0, self.listed), [("probe", "e0", False)])
        for t in range(1000, 9000, 500):  # e0 has been down since long before the mass failure
            self.apply_result(t, "e0", HealthStatus.DOWN, at=t)
            self.table.take_updates(t, self.listed)
        for i in range(1, 10):
            self.apply_result(9000, f"e{i}", HealthStatus.DOWN)
        self.assertEqual(self.table.take_updates(9000, self.listed), [("probe", "e0", False)])
        for i in range(10):
            self.apply_result(11_900, f"e{i}", HealthStatus.DOWN, at=9001)
        self.assertEqual(self.table.take_updates(13_900, self.listed), [("probe", "e0", False)])
        self.assertEqual(len(self.table.take_updates(14_000, self.listed)), 9)  # the hold has ended: it takes effect
