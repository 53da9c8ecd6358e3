"""Seeded runs of whole coordinators on a simulated network, and of coordinators that break one rule."""

import unittest

from decklb.handoff.coordinator import HandoffCoordinator
from decklb.lab.handoff import play


class VotesWithoutMemory(HandoffCoordinator):
    """Grants and acknowledges whatever it may have forgotten."""

    def __init__(self, *args):
        super().__init__(*args)
        self.memory.covers = lambda now, key_generated, age_ms: True


class SendsWithoutQuorum(HandoffCoordinator):
    """Sends without waiting for a quorum to know."""

    def begin_attempt(self, now, key, engine, on_quorum):
        super().begin_attempt(now, key, engine, lambda reached: None)
        on_quorum(self.held(key) is not None)


class AnswersWithoutQuorum(HandoffCoordinator):
    """Gives an answer before a quorum has it."""

    def complete(self, now, key, outcome, answer, reason, on_quorum):
        super().complete(now, key, outcome, answer, reason, lambda reached: None)
        on_quorum(True)


class SimulatedNetworkTest(unittest.TestCase):
    """Seeded runs of whole coordinators with losses, cuts, deaths, returns without memory and wrong suspicions."""

    def test_nothing_is_lost_or_doubled_under_one_fault_at_a_time(self):
        for members in (3, 5):
            played = [play(seed, members) for seed in range(40)]
            self.assertEqual(
                [(i, v.lost, v.doubled, v.repeated, v.overlapping) for i, v in enumerate(played) if not v.clean], []
            )
            self.assertGreater(sum(v.came_back for v in played), 100)  # clients do come back for their answers

    def test_nothing_is_doubled_under_any_faults(self):
        self.assertEqual(list(self.doubled(HandoffCoordinator, 80)), [])

    def test_coordinator_without_one_of_the_rules_is_found_out(self):
        for coordinator in (VotesWithoutMemory, SendsWithoutQuorum, AnswersWithoutQuorum):
            with self.subTest(coordinator.__name__):
                self.assertTrue(any(self.doubled(coordinator, 80)))  # up to the first seed that shows it

    @staticmethod
    def doubled(coordinator, seeds):
        for seed in range(seeds):
            v = play(seed, harsh=True, coordinator=coordinator)
            if v.doubled or v.repeated or v.overlapping:
                yield seed, v.doubled, v.repeated, v.overlapping
