"""The program as a Byzantine member of the cluster: it always reports one zone as dead.

`python -m decklb.lab.standins.byzantine_member ZONE serve ...` is started by the zone fault runs in place of one
manager. Everything else, the clock's signals included, is as in `decklb.lab.faults.clock_jump`.
"""

from __future__ import annotations

import sys

from decklb.lab.faults import clock_jump
from decklb.locality.health_observer import ZoneHealthObserver
from decklb.locality.zone_state import ZoneObservation


def main() -> None:
    """Replace what this process observes of the zone, then run the program with the remaining arguments."""
    false_zone = sys.argv.pop(1)
    observed = ZoneHealthObserver.observation

    def observation(self: ZoneHealthObserver, name: str, now: float) -> ZoneObservation | None:
        return ZoneObservation(0.0) if name == false_zone else observed(self, name, now)

    ZoneHealthObserver.observation = observation  # type: ignore[assignment, method-assign]
    clock_jump.main()


if __name__ == "__main__":
    main()
