"""The program with a member that lies: it always reports one zone dead.

`python -m decklb.lab.standins.byzantine_member ZONE serve ...`

For the fault runs of the locality; everything else is as in `faults.clock_jump`.
"""

from __future__ import annotations

import sys


def main() -> None:
    """Patch, then run the command line as it is."""
    zone = sys.argv.pop(1)
    from decklb.lab.faults.clock_jump import main as jumpy
    from decklb.locality.health_observer import ZoneHealthObserver
    from decklb.locality.zone_state import ZoneObservation

    honest = ZoneHealthObserver.observation

    def observation(self: ZoneHealthObserver, name: str, now: float) -> ZoneObservation | None:
        return ZoneObservation(0.0) if name == zone else honest(self, name, now)

    ZoneHealthObserver.observation = observation  # type: ignore[assignment, method-assign]
    jumpy()


if __name__ == "__main__":
    main()
