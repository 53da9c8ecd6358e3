"""The components that every request passes: the front, the dispatcher and the engine client."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from decklb.core.dispatcher import Dispatcher
    from decklb.core.memory_account import MemoryAccount
    from decklb.net.engines import RespEngines
    from decklb.net.listener import FrameListener
    from decklb.pg.engines import PgEngines
    from decklb.pg.listener import PgListener


@dataclass(frozen=True, slots=True)
class RequestPath:
    """A dispatcher, its front, the engine client that runs its attempts, and the account of what connections hold."""

    dispatcher: Dispatcher
    front: FrameListener | PgListener
    engines: RespEngines | PgEngines
    account: MemoryAccount
