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
    from decklb.locality.sight import Sight
    from decklb.locality.zones import View

    honest = Sight.view

    def view(self: Sight, name: str, now: float) -> View | None:
        return View(0.0) if name == zone else honest(self, name, now)

    Sight.view = view  # type: ignore[assignment, method-assign]
    jumpy()


if __name__ == "__main__":
    main()
