"""Signal handlers of the process, installed before its port is opened."""

from __future__ import annotations

import signal
from collections.abc import Callable, Mapping
from typing import Any


def install_signal_handlers(reactor: Any, handlers: Mapping[signal.Signals, Callable[[], None]]) -> None:
    """Have the reactor call the handler of each signal between its other events.

    The default handlers, and the reactor's own for SIGTERM, would end the process at once, with requests in flight.
    """
    for number, handler in handlers.items():
        signal.signal(number, lambda *_, handler=handler: reactor.callFromThread(handler))
