"""The program as a Byzantine member of the cluster: it always reports one zone as dead.

`python -m decklb.lab.standins.byzantine_member ZONE serve ...` is started by the zone fault runs in place of one
manager. Everything else, the clock's signals included, is as in `decklb.lab.faults.clock_jump`.
"""

from __future__ import annotations

import sys

from decklb.lab.faults import clock_jump
from decklb.locality.sight import Sight
from decklb.locality.zones import View


def main() -> None:
    """Replace what this process observes of the zone, then run the program with the remaining arguments."""
    false_zone = sys.argv.pop(1)
    observed_view = Sight.view

    def view(self: Sight, name: str, now: float) -> View | None:
        return View(0.0) if name == false_zone else observed_view(self, name, now)

    Sight.view = view  # type: ignore[assignment, method-assign]
    clock_jump.main()


if __name__ == "__main__":
    main()
