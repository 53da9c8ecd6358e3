"""Maintenance between real processes: the fleet's plan takes machines out while callers send and the rig strikes."""

import asyncio
import unittest

from decklb.lab.fault_runs.maintenance_run import campaign


class Plans(unittest.TestCase):
    def test_plans_go_on_through_the_loss_of_their_driver_a_partition_a_lost_zone_and_restarts_of_all_managers(self):
        """By name, side by side: no request lost or refused for good, no more out than the budget, no step done twice
        or left out, no engine taken down while a statement ran there."""
        cases = ["named", "managers", "driver", "zone", "all-killed", "overlapping", "partition", "never-back"]
        made = asyncio.run(campaign(cases, [1], 4, lambda r: None))
        self.assertEqual(sorted(r.case for r in made), sorted(cases))
        self.assertEqual([r.again for r in made if r.case == "named"], [0])  # named requests run once
        for r in made:
            self.assertTrue(r.clean, r)
            self.assertGreater(r.requests, 100, r.case)
