"""The process' handlers for signals, set before anybody can connect."""

from __future__ import annotations

import signal
from collections.abc import Callable, Mapping
from typing import Any


def install_signal_handlers(reactor: Any, handlers: Mapping[signal.Signals, Callable[[], None]]) -> None:
    """Have the reactor call a handler for each signal, between its other events.

    The defaults, and the reactor's own for SIGTERM, would end the process at once, with the requests in flight.
    """
    for number, handler in handlers.items():
        signal.signal(number, lambda *_, handler=handler: reactor.callFromThread(handler))
