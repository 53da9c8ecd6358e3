"""The parts on the way of each request: one dispatcher between a front and the client of its engines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from decklb.core.dispatcher import Dispatcher
    from decklb.net.engines import RespEngines
    from decklb.net.front import Front
    from decklb.pg.engines import PgEngines
    from decklb.pg.front import PgFront


@dataclass(frozen=True, slots=True)
class RequestPath:
    """A dispatcher, the front that submits requests to it, and the engine client that runs its attempts."""

    dispatcher: Dispatcher
    front: Front | PgFront
    engines: RespEngines | PgEngines
