"""The policy's actions on recorded streams of events equal the recorded actions, byte for byte.

For the streams, and how to record them again, see `tests/golden_decisions.py`.
"""

from __future__ import annotations

import pytest

from tests import golden_decisions


@pytest.mark.parametrize("name", golden_decisions.SCENARIOS)
def test_actions_equal_those_recorded(name):
    wanted = golden_decisions.lines_of(name, "out").splitlines()
    got = golden_decisions.replay(name, golden_decisions.lines_of(name, "in")).splitlines()
    for number, (want, have) in enumerate(zip(wanted, got, strict=False), 1):
        assert have == want, f"{name}: line {number}"
    assert len(got) == len(wanted)


def test_recorded_streams_contain_no_failed_step():
    for name in golden_decisions.SCENARIOS:
        assert "give_in" not in golden_decisions.lines_of(name, "out"), name
