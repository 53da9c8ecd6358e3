"""Opening a connection to an engine, in spite of passing faults of this machine."""

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
from decklb.wire.local_errors import is_local

NEVER = 3600.0  # seconds: longer than any handshake here may take
AGAIN = 20.0  # ms until a connection that failed for a fault of this machine is tried again


class Dial:
    """One connection that comes up, or is refused once.

    While nothing but this machine's own faults stand in its way it is tried again, until `timeout` ms are over.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: tuple[str, int],
        protocol: Any,
        timeout: float,
        refused: Callable[[Failure], None],
    ) -> None:
        """`protocol` gets the connection; `refused` is told why there is none."""
        self._reactor, self._clock, self._address, self._protocol = reactor, clock, address, protocol
        self._refused = refused
        self._until = clock.now() + timeout
        self._attempt: Deferred[Any] | None = None
        self._timer: Timer | None = None
        self._tried = 0.0  # when the last try began
        self._over = self._timed_out = False
        self._local: Failure | None = None  # this machine's fault that the last try met
        # Not Twisted's own time-out: after a standstill of the process it would fire before what has come up is read.
        call_after_reading(clock, timeout, self._overdue)
        self._try()

    def _try(self) -> None:
        self._timer, self._tried = None, self._clock.now()
        host, port = self._address
        factory: Any = Factory.forProtocol(lambda: self._protocol)
        factory.noisy = False
        self._attempt = TCP4ClientEndpoint(self._reactor, host, port, NEVER).connect(factory)
        self._attempt.addCallbacks(self._came_up, self._failed)

    def _came_up(self, protocol: Any) -> None:
        self._over = True

    def _overdue(self) -> None:
        if not self._over:
            self._over = self._timed_out = True
            if self._blind():
                self._local = Failure(ConnectError(errno.ENOMEM, "its socket can't be watched"))  # type: ignore[no-untyped-call]
            elif self._clock.now() - self._tried > AGAIN:
                self._local = None  # what this machine was at fault for is over: it is the engine that is silent
            self.cancel()

    def _blind(self) -> bool:
        unwatched = getattr(self._reactor, "unwatched", None)
        return unwatched is not None and unwatched()

    def _failed(self, reason: Failure) -> None:
        if self._timed_out:
            reason = self._local or Failure(TimeoutError())  # type: ignore[no-untyped-call]
        self._local = reason if is_local(reason.value) else None
        if self._local is not None and not self._over and self._clock.now() + AGAIN < self._until:
            self._timer = self._clock.call_later(AGAIN, self._try)
        else:
            self._over = True
            self._refused(reason)

    def cancel(self) -> None:
        """Give it up; it is refused, unless it is up."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._failed(Failure(ConnectingCancelledError(self._address)))  # type: ignore[no-untyped-call]
        elif self._attempt is not None:
            self._attempt.cancel()
