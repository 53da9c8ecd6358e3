"""Placement of keys on their voters."""

import unittest

from decklb.handoff.placement import Placement


class PlacementTest(unittest.TestCase):
    def test_member_that_leaves_moves_only_the_keys_it_voted_on(self):
        placement = Placement(64)
        members = [f"m{i}" for i in range(12)]
        placement.set_members(members)
        keys = [f"key-{i}" for i in range(300)]
        before = {k: placement.voters(k, 3) for k in keys}
        placement.set_members(members[:-1])
        after = {k: placement.voters(k, 3) for k in keys}
        moved = [k for k in keys if before[k] != after[k]]
        self.assertTrue(moved)
        self.assertTrue(all("m11" in before[k] for k in moved))
        self.assertTrue(all(len(v) == 3 for v in after.values()))
