"""Start times of engines when the wall clock is set: a cold engine must not look warm, nor a warm one cold for long."""

from __future__ import annotations

import pytest

from decklb.net.start_times import PROPAGATION_LIMIT_MS, StartTimes

HOUR_MS = 3_600_000.0
MONOTONIC_START = 1_000_000.0  # first reading of the monotonic clock
WALL_START = 1_700_000_000_000.0  # first reading of a correct wall clock


class ManagerClocks:
    """The two clocks of a manager; the clocks of engines and directory are correct."""

    def __init__(self, wall_error=0.0):
        self.now, self.wall_error, self.starts = MONOTONIC_START, wall_error, StartTimes()
        self.listed = []

    def wait(self, ms):
        """Advance both clocks; the list is confirmed each quarter of a second."""
        end = self.now + ms
        while self.now < end:
            self.now = min(end, self.now + 250.0)
            self.starts.list_confirmed(self.now, self.wall_time())

    def wall_time(self):
        return WALL_START + self.now - MONOTONIC_START + self.wall_error

    def listed_age(self, name, ago_ms, current=True):
        """List an engine that started `ago_ms` ago and return its computed age in ms."""
        self.listed.append((name, round(WALL_START + self.now - MONOTONIC_START - ago_ms)))
        at = self.starts.convert(self.listed, self.now, self.wall_time(), current)[name]
        return self.now - at


def test_ages_are_right_while_the_clocks_agree():
    clocks = ManagerClocks()
    assert clocks.listed_age("kept", HOUR_MS, current=False) == pytest.approx(HOUR_MS)
    assert clocks.listed_age("listed-at-the-start", 5000.0) == pytest.approx(5000.0)
    clocks.wait(600_000.0)
    for ago_ms in (0.0, 100.0, 1500.0, 6900.0):
        assert clocks.listed_age(f"new-{ago_ms}", ago_ms) == pytest.approx(ago_ms, abs=1.0)


def test_a_start_of_long_ago_stays_zero():
    clocks = ManagerClocks()
    assert clocks.starts.convert([("a", 0)], clocks.now, clocks.wall_time(), True) == {"a": 0.0}


@pytest.mark.parametrize("step", [1000.0, 5000.0, 60_000.0, HOUR_MS, -1000.0, -5000.0, -60_000.0, -HOUR_MS])
@pytest.mark.parametrize("when", ["before-start", "between-lists", "and-back"])
def test_setting_the_wall_clock_makes_no_engine_look_older_or_younger(step, when):
    """Guards against wrong ages: with the clock an hour ahead, an engine started 1 s ago counted as 3,601 s old.

    With the clock an hour behind, it counted as cold for an hour.
    """
    clocks = ManagerClocks(step if when == "before-start" else 0.0)
    clocks.listed_age("first", HOUR_MS)
    clocks.wait(10_000.0)
    if when != "before-start":
        clocks.wall_error = step
    for ago_ms in (0.0, 900.0, 3000.0):
        age = clocks.listed_age(f"new-{ago_ms}", ago_ms)
        assert 0.0 <= age <= PROPAGATION_LIMIT_MS + 250.0
        if when != "before-start" or abs(step) > PROPAGATION_LIMIT_MS + 250.0:
            assert age <= ago_ms + 1.0
        clocks.wait(2000.0)
        if when == "and-back":
            clocks.wall_error = step if clocks.wall_error == 0.0 else 0.0


def test_a_wall_clock_that_is_corrected_is_used_again():
    clocks = ManagerClocks(-HOUR_MS)
    clocks.listed_age("first", 0.0)
    clocks.wait(1000.0)
    clocks.wall_error = 0.0
    clocks.listed_age("second", 2000.0)
    assert clocks.listed_age("third", 3000.0) == pytest.approx(3000.0, abs=1.0)


def test_a_slow_drift_of_the_wall_clock_is_followed():
    clocks = ManagerClocks()
    clocks.listed_age("first", HOUR_MS)
    for _ in range(600):
        clocks.wait(1000.0)
        clocks.wall_error += 0.5
    assert clocks.listed_age("new", 2000.0) == pytest.approx(2000.0 + clocks.wall_error, abs=2.0)
