"""Seeded runs on a simulated network of correct coordinators, and of coordinators that break one rule.

The faults are message losses, partitions, crashes, restarts without memory, and false suspicions.
"""

import pytest

from decklb.handoff.coordinator import HandoffCoordinator
from decklb.lab.emulation.simulated_handoff import play


class VotesWithoutMemory(HandoffCoordinator):
    """Votes on keys that it may have forgotten."""

    def __init__(self, *args):
        super().__init__(*args)
        self.memory.covers = lambda now, key_generated, age_ms: True


class SendsWithoutQuorum(HandoffCoordinator):
    """Sends an attempt without waiting until a quorum has recorded it."""

    def begin_attempt(self, now, key, engine, on_quorum):
        super().begin_attempt(now, key, engine, lambda reached: None)
        on_quorum(self.held(key) is not None)


class AnswersWithoutQuorum(HandoffCoordinator):
    """Gives an answer to the client before a quorum has it."""

    def complete(self, now, key, outcome, answer, reason, on_quorum):
        super().complete(now, key, outcome, answer, reason, lambda reached: None)
        on_quorum(True)


def doubled(coordinator, seeds):
    """Yield the requests that were executed or answered twice in harsh runs, by seed."""
    for seed in range(seeds):
        verdict = play(seed, harsh=True, coordinator=coordinator)
        if verdict.doubled or verdict.repeated or verdict.overlapping:
            yield seed, verdict.doubled, verdict.repeated, verdict.overlapping


def test_no_request_is_lost_or_doubled_under_one_fault_at_a_time():
    for members in (3, 5):
        verdicts = [play(seed, members) for seed in range(40)]
        assert [(i, v.lost, v.doubled, v.repeated, v.overlapping) for i, v in enumerate(verdicts) if not v.clean] == []
        assert sum(v.came_back for v in verdicts) > 100  # clients do retry to get their answers


def test_no_request_is_doubled_under_several_faults():
    assert list(doubled(HandoffCoordinator, 80)) == []


@pytest.mark.parametrize("coordinator", [VotesWithoutMemory, SendsWithoutQuorum, AnswersWithoutQuorum])
def test_coordinator_that_breaks_a_rule_doubles_a_request(coordinator):
    assert any(doubled(coordinator, 80))  # plays up to the first seed that shows it
