"""Many managers for the same engines, emulated: what one alone can't show. Same seeds, same figures every time."""

from dataclasses import replace

import pytest

from decklb.lab.emulation.emulated_world import FaultKind, InjectedFault
from decklb.lab.emulation.emulator import Run
from decklb.lab.experiments.bundled import world

RELEASE = (
    InjectedFault(1500.0, FaultKind.DRAIN, 1000.0, victim_count=8),
    InjectedFault(2500.0, FaultKind.DRAIN, 1000.0, victim_count=8),
)


@pytest.mark.parametrize(
    ("managers", "engines", "faults", "least"),
    [
        # Without places at engines and turns for heavy classes these were 0.72, 0.40 and 0.43 (6a4ddcf).
        (30, 24, (), 0.95),
        (
            30,
            24,
            (InjectedFault(2000.0, FaultKind.KILL, 1500.0, victim_count=8),),
            0.7,
        ),  # a third of the engines is lost and returns cold
        (30, 24, RELEASE, 0.53),  # two thirds are replaced within 3.5 s
        (2, 24, (), 0.95),
        (15, 24, (), 0.95),  # 0.914 where a front chose among as few as may bear three of its threads
        (100, 24, (), 0.9),
    ],
)
def test_a_fleet_serves_whatever_the_number_of_its_managers(managers, engines, faults, least):
    s = Run(replace(world(managers, engines, 600.0, 6000.0), faults=faults), 3).run()
    assert s["worth"] > least
    assert s["broken"] == 0 and s["lost"] == 0
    assert s["served"] + s["refused"] + s["failed"] + s["left"] == s["requests"]
