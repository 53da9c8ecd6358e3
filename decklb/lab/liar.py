"""The program with a member that lies: `python -m decklb.lab.liar ZONE serve ...` always reports that zone dead.

For the fault runs of the locality; everything else is as in `jumpy`.
"""

from __future__ import annotations

import sys


def main() -> None:
    """Patch, then run the command line as it is."""
    zone = sys.argv.pop(1)
    from decklb.lab.jumpy import main as jumpy
    from decklb.locality.health_observer import ZoneHealthObserver
    from decklb.locality.zone_state import ZoneObservation

    honest = ZoneHealthObserver.observation

    def observation(self: ZoneHealthObserver, name: str, now: float) -> ZoneObservation | None:
        return ZoneObservation(0.0) if name == zone else honest(self, name, now)

    ZoneHealthObserver.observation = observation  # type: ignore[assignment, method-assign]
    jumpy()


if __name__ == "__main__":
    main()
