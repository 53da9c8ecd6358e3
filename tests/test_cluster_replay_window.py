"""Rejection of datagrams that are replayed, too late, or from a sender with a wrong clock."""

from __future__ import annotations

import pytest

from decklb.cluster.errors import WireError
from decklb.cluster.messages import decode_envelope
from decklb.cluster.replay_window import WINDOW_SIZE, ReplayWindow
from tests.cluster_builders import WALL_MS, envelope


@pytest.fixture
def reason():
    """Return a function that checks a datagram against one window and returns the reason of its rejection, or ""."""
    window = ReplayWindow(max_clock_skew_ms=1000.0)

    def check(sequence, wall_ms=WALL_MS, run_id=7):
        try:
            window.check(decode_envelope(envelope(sequence=sequence, wall_ms=wall_ms, run_id=run_id)), float(WALL_MS))
            return ""
        except WireError as error:
            return error.reason

    return check


def test_each_datagram_of_a_run_is_accepted_once_within_the_window_and_skew(reason):
    assert [reason(n) for n in (5, 7, 6, 5, 7, 6)] == ["", "", "", "replay", "replay", "replay"]
    after_jump = [reason(n) for n in (5000, 5000 - WINDOW_SIZE + 1, 5000 - WINDOW_SIZE, 4999)]
    assert after_jump == ["", "", "replay", ""]
    assert [reason(6000, WALL_MS - 1001), reason(6001, WALL_MS + 1001)] == ["skew", "skew"]
    assert reason(5, run_id=8) == ""
