"""Runs a manager as a Byzantine member of the cluster, which always reports one zone as unavailable.

The zone fault runs start `python -m decklb.lab.standins.byzantine_member ZONE serve ...` in place of one manager. In
all other respects, including the signals that set the clock, the process behaves as `decklb.lab.faults.clock_jump`.
"""

from __future__ import annotations

import sys

from decklb.lab.faults import clock_jump
from decklb.locality.health_observer import ZoneHealthObserver
from decklb.locality.zone_state import ZoneObservation


def main() -> None:
    """Replace this process's observations of the zone, then run the program with the remaining arguments."""
    false_zone = sys.argv.pop(1)
    true_observation = ZoneHealthObserver.observation

    def observation(self: ZoneHealthObserver, name: str, now: float) -> ZoneObservation | None:
        return ZoneObservation(0.0) if name == false_zone else true_observation(self, name, now)

    ZoneHealthObserver.observation = observation  # type: ignore[assignment, method-assign]
    clock_jump.main()


if __name__ == "__main__":
    main()
