"""Which parts a configuration asks for. What it leaves off is not even imported."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from decklb.config import Config
from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import Clock

if TYPE_CHECKING:
    from decklb.bgp.speaker import Speaker
    from decklb.net.engines import RespEngines
    from decklb.net.front import Front
    from decklb.pg.engines import PgEngines
    from decklb.pg.front import PgFront


@dataclass(slots=True)
class Parts:
    """One core between a front and its engines."""

    dispatcher: Dispatcher
    front: Front | PgFront
    engines: RespEngines | PgEngines


def assemble(reactor: Any, clock: Clock, config: Config, draw: Callable[[int], int],
             ready: Callable[[], bool]) -> Parts:
    """The platform's front, or that of PostgreSQL where its section is given."""
    if config.postgres is None:
        from decklb.net.engines import RespEngines
        from decklb.net.front import Front

        resp = RespEngines(reactor, clock, config.limits)
        core = Dispatcher(config.settings, config.seed, clock, resp)
        return Parts(core, Front(core, ready, config.most_clients, config.spare_clients, config.most_held), resp)
    from decklb.pg.engines import PgEngines
    from decklb.pg.front import PgFront

    pg = PgEngines(reactor, clock, config.postgres)
    core = Dispatcher(config.settings, config.seed, clock, pg)
    return Parts(core, PgFront(core, config.postgres, draw, config.most_clients), pg)


def speaker(reactor: Any, clock: Clock, config: Config) -> Speaker | None:
    """The BGP speaker, where there is a section for it."""
    if config.bgp is None:
        return None
    from decklb.bgp.speaker import Speaker

    return Speaker(reactor, clock, config.bgp)
