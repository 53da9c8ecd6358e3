"""Starts of engines under a wall clock that is set: a cold engine never looks warm, and not cold for long either."""

from __future__ import annotations

import pytest

from decklb.net.start_times import PROPAGATION_LIMIT_MS, StartTimes

HOUR = 3_600_000.0
BEGIN = 1_000_000.0  # the monotonic clock's first reading
WALL = 1_700_000_000_000.0  # the right wall clock's


class Machine:
    """A manager's two clocks; engines and directory keep right time."""

    def __init__(self, wrong=0.0):
        self.now, self.wrong, self.starts = BEGIN, wrong, StartTimes()
        self.rows = []

    def wait(self, ms):
        """The list is heard each quarter of a second meanwhile."""
        end = self.now + ms
        while self.now < end:
            self.now = min(end, self.now + 250.0)
            self.starts.list_confirmed(self.now, self.wall())

    def wall(self):
        return WALL + self.now - BEGIN + self.wrong

    def told(self, name, ago, current=True):
        """An engine that started that long ago is listed; the age that is reckoned, in ms."""
        self.rows.append((name, round(WALL + self.now - BEGIN - ago)))
        at = self.starts.convert(self.rows, self.now, self.wall(), current)[name]
        return self.now - at


def test_ages_are_right_while_the_clocks_agree():
    machine = Machine()
    assert machine.told("kept", HOUR, current=False) == pytest.approx(HOUR)
    assert machine.told("listed-at-the-start", 5000.0) == pytest.approx(5000.0)
    machine.wait(600_000.0)
    for ago in (0.0, 100.0, 1500.0, 6900.0):
        assert machine.told(f"new-{ago}", ago) == pytest.approx(ago, abs=1.0)


def test_starts_of_long_ago_stay_zero():
    machine = Machine()
    assert machine.starts.convert([("a", 0)], machine.now, machine.wall(), True) == {"a": 0.0}


@pytest.mark.parametrize("step", [1000.0, 5000.0, 60_000.0, HOUR, -1000.0, -5000.0, -60_000.0, -HOUR])
@pytest.mark.parametrize("when", ["before-start", "between-lists", "and-back"])
def test_setting_the_wall_clock_makes_no_engine_look_older_or_younger(step, when):
    """Seen before: an hour ahead, an engine started 1 s ago counted as 3,601 s old; behind, as cold for an hour."""
    machine = Machine(step if when == "before-start" else 0.0)
    machine.told("first", HOUR)
    machine.wait(10_000.0)
    if when != "before-start":
        machine.wrong = step
    for ago in (0.0, 900.0, 3000.0):
        age = machine.told(f"new-{ago}", ago)
        assert 0.0 <= age <= PROPAGATION_LIMIT_MS + 250.0
        if when != "before-start" or abs(step) > PROPAGATION_LIMIT_MS + 250.0:
            assert age <= ago + 1.0
        machine.wait(2000.0)
        if when == "and-back":
            machine.wrong = step if machine.wrong == 0.0 else 0.0


def test_a_wall_clock_that_is_set_right_is_trusted_again():
    machine = Machine(-HOUR)
    machine.told("first", 0.0)
    machine.wait(1000.0)
    machine.wrong = 0.0
    machine.told("second", 2000.0)
    assert machine.told("third", 3000.0) == pytest.approx(3000.0, abs=1.0)


def test_clocks_may_drift():
    machine = Machine()
    machine.told("first", HOUR)
    for _ in range(600):
        machine.wait(1000.0)
        machine.wrong += 0.5
    assert machine.told("new", 2000.0) == pytest.approx(2000.0 + machine.wrong, abs=2.0)
