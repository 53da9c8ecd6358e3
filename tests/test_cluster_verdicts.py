"""The results held of health checks, and what the dispatcher is told of them."""

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

    def say(self, now, subject, status, term=1, at=1, owner="a"):
        return self.table.apply(now, DutyResult("probe", subject, term, owner, at, status))

    def test_results_of_older_terms_are_dropped(self):
        self.assertTrue(self.say(0, "e1", HealthStatus.UP, term=5))
        self.assertFalse(self.say(1, "e1", HealthStatus.DOWN, term=4, at=99))
        self.assertFalse(self.say(1, "e1", HealthStatus.DOWN, term=5, at=0))
        self.assertTrue(self.say(1, "e1", HealthStatus.DOWN, term=5, at=2))
        self.assertFalse(self.say(1, "e1", HealthStatus.DOWN, term=5, at=2))  # the same again is no older result
        self.assertEqual((self.table.term("e1"), self.table.outdated_results), (5, 2))

    def test_a_failure_is_repeated_then_lifted_then_expires(self):
        self.say(0, "e1", HealthStatus.DOWN)
        self.assertEqual(self.table.take_updates(0, self.listed), [("probe", "e1", False)])
        self.assertEqual(self.table.take_updates(500, self.listed), [])
        self.assertEqual(self.table.take_updates(1000, self.listed), [("probe", "e1", False)])
        self.say(1500, "e1", HealthStatus.UP, at=2)
        self.assertEqual(self.table.take_updates(1500, self.listed), [("probe", "e1", True)])
        self.say(2000, "e1", HealthStatus.DOWN, at=3)
        self.table.take_updates(2000, self.listed)
        self.assertEqual(self.table.take_updates(5001, self.listed), [])  # no word for three refreshes: unknown, not up
        self.assertFalse(self.table.is_down("e1"))

    def test_a_result_never_lets_in_what_the_list_keeps_out(self):
        self.say(0, "e1", HealthStatus.DOWN)
        self.table.take_updates(0, self.listed)
        self.say(1, "e1", HealthStatus.UP, at=2)
        self.assertEqual(self.table.take_updates(1, self.listed - {"e1"}), [])

    def test_a_mass_failure_has_no_effect_until_its_hold_is_over(self):
        self.say(0, "e0", HealthStatus.DOWN)
        self.assertEqual(self.table.take_updates(0, self.listed), [("probe", "e0", False)])
        for t in range(1000, 9000, 500):  # known to be down long before
            self.say(t, "e0", HealthStatus.DOWN, at=t)
            self.table.take_updates(t, self.listed)
        for i in range(1, 10):
            self.say(9000, f"e{i}", HealthStatus.DOWN)
        self.assertEqual(self.table.take_updates(9000, self.listed), [("probe", "e0", False)])
        for i in range(10):
            self.say(11_900, f"e{i}", HealthStatus.DOWN, at=9001)
        self.assertEqual(self.table.take_updates(13_900, self.listed), [("probe", "e0", False)])
        self.assertEqual(len(self.table.take_updates(14_000, self.listed)), 9)  # it has stood for so long: believed
