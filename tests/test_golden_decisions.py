"""The policy's actions on recorded streams of events equal the recorded actions, byte for byte.

For the streams, and how to record them again, see `tests/golden_decisions.py`.
"""

from __future__ import annotations

import pytest

from tests import golden_decisions


@pytest.mark.parametrize("name", golden_decisions.SCENARIOS)
def test_actions_equal_those_recorded(name):
    expected_lines = golden_decisions.read_stream(name, "out").splitlines()
    actual_lines = golden_decisions.replay(name, golden_decisions.read_stream(name, "in")).splitlines()
    for number, (expected, actual) in enumerate(zip(expected_lines, actual_lines, strict=False), 1):
        assert actual == expected, f"{name}: line {number}"
    assert len(actual_lines) == len(expected_lines)


def test_recorded_streams_contain_no_failed_step():
    for name in golden_decisions.SCENARIOS:
        assert "give_in" not in golden_decisions.read_stream(name, "out"), name
