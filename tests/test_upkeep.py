"""Maintenance between real processes: the plan takes machines out while clients send and faults are injected."""

import asyncio
import unittest

from decklb.lab.fault_runs.maintenance_run import campaign


class MaintenanceFaultTest(unittest.TestCase):
    def test_plans_complete_despite_loss_of_the_driver_a_partition_a_lost_zone_and_restarts_of_all_managers(self):
        """No request is lost or finally rejected, the budget holds, every step is done once, and no engine is taken
        down while a statement runs there."""
        cases = ["named", "managers", "driver", "zone", "all-killed", "overlapping", "partition", "never-back"]
        results = asyncio.run(campaign(cases, [1], 4, lambda r: None))
        self.assertEqual(sorted(r.case for r in results), sorted(cases))
        # Requests with a key run once.
        self.assertEqual([r.again for r in results if r.case == "named"], [0])
        for r in results:
            self.assertTrue(r.clean, r)
            self.assertGreater(r.requests, 100, r.case)
