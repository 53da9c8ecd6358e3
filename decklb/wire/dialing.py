"""Opens a TCP connection to an engine and retries after transient errors of this machine.

Used by the engine connections and for cancel requests. Owns the time-out and the retries of one connection.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError, TimeoutError
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from decklb.core.ports import Clock, Timer
from decklb.core.timers import call_after_reading
from decklb.wire.local_errors import is_local_error

# Twisted's own time-out; longer than any connection attempt, so that `Dial._time_out` always comes first.
ENDPOINT_TIMEOUT_S = 3600.0
REDIAL_DELAY_MS = 20.0  # delay before the next try after an error of this machine


class Dial:
    """Establishes one connection, or reports once that it could not be established.

    After an error of this machine (see `local_errors`) it tries again until the time-out.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: tuple[str, int],
        protocol: Any,
        timeout_ms: float,
        on_failure: Callable[[Failure], None],
    ) -> None:
        """Start connecting.

        Args:
            reactor: opens the socket.
            clock: measures the time-out.
            address: host and port of the engine.
            protocol: protocol instance of the connection.
            timeout_ms: time within which the connection has to be established.
            on_failure: called once, with the reason, if it is not established.
        """
        self._reactor, self._clock, self._address, self._protocol = reactor, clock, address, protocol
        self._on_failure = on_failure
        self._deadline = clock.now() + timeout_ms
        self._connecting: Deferred[Any] | None = None
        self._redial_timer: Timer | None = None
        self._last_try_at = 0.0  # when the last try began, in ms
        self._finished = False
        self._timed_out = False
        self._local_error: Failure | None = None  # error of this machine that ended the last try
        # Twisted's own time-out is not used: after a stall of the process it would fire before the reactor has noticed
        # that the connection was established in the meantime.
        call_after_reading(clock, timeout_ms, self._time_out)
        self._try()

    def _try(self) -> None:
        self._redial_timer, self._last_try_at = None, self._clock.now()
        host, port = self._address
        factory: Any = Factory.forProtocol(lambda: self._protocol)
        factory.noisy = False
        self._connecting = TCP4ClientEndpoint(self._reactor, host, port, ENDPOINT_TIMEOUT_S).connect(factory)
        self._connecting.addCallbacks(self._connected, self._try_failed)

    def _connected(self, protocol: Any) -> None:
        self._finished = True

    def _time_out(self) -> None:
        if not self._finished:
            self._finished = self._timed_out = True
            if self._socket_unwatched():
                self._local_error = Failure(ConnectError(errno.ENOMEM, "the reactor can't watch its socket"))  # type: ignore[no-untyped-call]
            elif self._clock.now() - self._last_try_at > REDIAL_DELAY_MS:
                self._local_error = None  # the local error is over: now it is the engine that does not answer
            self.cancel()

    def _socket_unwatched(self) -> bool:
        """Whether the reactor currently fails to watch some descriptors, possibly including the one of this socket."""
        has_unwatched = getattr(self._reactor, "has_unwatched_descriptors", None)
        return has_unwatched is not None and has_unwatched()

    def _try_failed(self, reason: Failure) -> None:
        if self._timed_out:
            reason = self._local_error or Failure(TimeoutError())  # type: ignore[no-untyped-call]
        self._local_error = reason if is_local_error(reason.value) else None
        may_redial = not self._finished and self._clock.now() + REDIAL_DELAY_MS < self._deadline
        if self._local_error is not None and may_redial:
            self._redial_timer = self._clock.call_later(REDIAL_DELAY_MS, self._try)
        else:
            self._finished = True
            self._on_failure(reason)

    def cancel(self) -> None:
        """Stop connecting and report a failure, unless the connection is already established."""
        if self._redial_timer is not None:
            self._redial_timer.cancel()
            self._redial_timer = None
            self._try_failed(Failure(ConnectingCancelledError(self._address)))  # type: ignore[no-untyped-call]
        elif self._connecting is not None:
            self._connecting.cancel()
