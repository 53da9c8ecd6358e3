"""Seeded runs on a simulated network of whole coordinators, and of ones that break one rule.

Faults are losses, partitions, deaths, returns without memory and wrong suspicions.
"""

import pytest

from decklb.handoff.coordinator import HandoffCoordinator
from decklb.lab.emulation.simulated_handoff import play


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


def doubled(coordinator, seeds):
    """What is run or answered twice in harsh runs, seed by seed."""
    for seed in range(seeds):
        verdict = play(seed, harsh=True, coordinator=coordinator)
        if verdict.doubled or verdict.repeated or verdict.overlapping:
            yield seed, verdict.doubled, verdict.repeated, verdict.overlapping


def test_nothing_is_lost_or_doubled_under_one_fault_at_a_time():
    for members in (3, 5):
        played = [play(seed, members) for seed in range(40)]
        assert [(i, v.lost, v.doubled, v.repeated, v.overlapping) for i, v in enumerate(played) if not v.clean] == []
        assert sum(v.came_back for v in played) > 100  # clients do come back for their answers


def test_nothing_is_doubled_under_any_faults():
    assert list(doubled(HandoffCoordinator, 80)) == []


@pytest.mark.parametrize("coordinator", [VotesWithoutMemory, SendsWithoutQuorum, AnswersWithoutQuorum])
def test_coordinator_without_one_of_the_rules_is_found_out(coordinator):
    assert any(doubled(coordinator, 80))  # up to the first seed that shows it
