"""The program with a member that lies: `python -m decklb.lab.liar ZONE serve ...` always reports that zone dead.

For the fault runs of the locality; everything else is as in `jumpy`.
"""

from __future__ import annotations

import sys


def main() -> None:
    """Patch, then run the command line as it is."""
    zone = sys.argv.pop(1)
    from decklb.lab.jumpy import main as jumpy
    from decklb.locality.consensus import View
    from decklb.locality.health_observer import Sight

    honest = Sight.view

    def view(self: Sight, name: str, now: float) -> View | None:
        return View(0.0) if name == zone else honest(self, name, now)

    Sight.view = view  # type: ignore[assignment, method-assign]
    jumpy()


if __name__ == "__main__":
    main()
