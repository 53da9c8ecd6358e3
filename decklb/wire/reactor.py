"""The reactor of the daemon: Twisted's epoll reactor, made to survive transient errors of its system calls.

Owns the stall detector and the set of descriptors that could not be watched yet. Its sockets are those of
`retrying_sockets`. Installed by `decklb serve`; the dispatcher asks it how long its input has been unread.
"""

from __future__ import annotations

import time
from errno import EEXIST, EINTR, ENOENT
from typing import Any

from twisted.internet import main
from twisted.internet.epollreactor import EPollReactor

from decklb.wire.local_errors import RETRYABLE_ERRNOS
from decklb.wire.retrying_sockets import RETRY_DELAY_S, RetryingConnector, RetryingDatagramPort, RetryingPort
from decklb.wire.stall_detector import StallDetector
from decklb.wire.system_call_log import system_calls

MAX_WAIT_S = 0.1  # longest wait for events, kept short so that a stall during a wait is detected
WAIT_RETRY_LIMIT_S = 5.0  # for how long a failing wait for events is retried before timers run


class RetryingReactor(EPollReactor):
    """The reactor of the daemon."""

    def __init__(self) -> None:
        self._stalls = StallDetector()
        # Descriptors that could not be watched yet: (id of the descriptor object, id of the set it belongs to).
        self._unwatched: set[tuple[int, int]] = set()
        super().__init__()

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30.0, bindAddress: Any = None) -> Any:
        """See IReactorTCP."""
        connector = RetryingConnector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def listenTCP(self, port: Any, factory: Any, backlog: int = 50, interface: str = "") -> RetryingPort:
        """See IReactorTCP."""
        listener = RetryingPort(port, factory, backlog, interface, self)
        listener.startListening()
        return listener

    def listenUDP(
        self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192
    ) -> RetryingDatagramPort:
        """See IReactorUDP."""
        listener = RetryingDatagramPort(port, protocol, interface, maxPacketSize, self)
        listener.startListening()
        return listener

    def _add(self, xer: Any, primary: Any, other: Any, selectables: Any, event: int, antievent: int) -> None:
        """Watch a descriptor; retried later if the kernel is short of a resource."""
        key = (id(xer), id(primary))
        try:
            super()._add(xer, primary, other, selectables, event, antievent)
            self._unwatched.discard(key)
        except OSError as error:
            system_calls.failed("epoll_ctl", error)
            if error.errno not in RETRYABLE_ERRNOS | {EEXIST, ENOENT}:
                raise
            # If our record of watched descriptors differs from the kernel's, follow the kernel.
            registered = error.errno == EEXIST
            if error.errno in RETRYABLE_ERRNOS or not self._set_events(
                xer.fileno(), event, antievent, other, registered
            ):
                self._unwatched.add(key)
                self.callLater(RETRY_DELAY_S, self._retry_add, key, xer, primary, other, selectables, event, antievent)
                return
            self._unwatched.discard(key)
            primary.add(xer.fileno())
            selectables[xer.fileno()] = xer

    def _retry_add(self, key: tuple[int, int], xer: Any, *arguments: Any) -> None:
        if key in self._unwatched and xer.fileno() != -1:
            self._add(xer, *arguments)

    def _set_events(self, fd: int, event: int, antievent: int, other: Any, registered: bool) -> bool:
        flags = event | (antievent if fd in other else 0)
        try:
            (self._poller.modify if registered else self._poller.register)(fd, flags)
        except OSError as error:
            system_calls.failed("epoll_ctl", error)
            return False
        return True

    def has_unwatched_descriptors(self) -> bool:
        """Whether some descriptors can't be watched at the moment, so that their events go unnoticed."""
        return bool(self._unwatched)

    def _remove(self, xer: Any, primary: Any, other: Any, selectables: Any, event: int, antievent: int) -> None:
        """Stop watching a descriptor; one that the kernel does not know any more is removed here too."""
        self._unwatched.discard((id(xer), id(primary)))
        fd = xer.fileno()
        try:
            super()._remove(xer, primary, other, selectables, event, antievent)
        except OSError as error:
            system_calls.failed("epoll_ctl", error)
            primary.discard(fd)
            if fd not in other:
                selectables.pop(fd, None)

    def doPoll(self, timeout: float | None) -> None:
        """Wait for events and handle them; errors of the wait itself must not cause a busy loop."""
        wait = MAX_WAIT_S if timeout is None else min(timeout, MAX_WAIT_S)
        self._stalls.wait_begins(time.monotonic(), wait)
        give_up_at = time.monotonic() + WAIT_RETRY_LIMIT_S
        while True:
            try:
                events = self._poller.poll(wait, max(1, len(self._selectables)))
                break
            except OSError as error:
                if error.errno != EINTR:
                    system_calls.failed("epoll_wait", error)
                if error.errno == EINTR or time.monotonic() > give_up_at:
                    return
                time.sleep(RETRY_DELAY_S)  # retried before the timers run: what they wait for may be unread
        self._stalls.reading_begins(time.monotonic())
        for fd, event in events:
            selectable = self._selectables.get(fd)
            if selectable is not None:
                self._doReadOrWrite(selectable, fd, event)

    doIteration = doPoll

    def unread_for_s(self) -> float:
        """Return for how many seconds the input of this read pass may have been unread; 0 without a stall."""
        return self._stalls.unread_for(time.monotonic())


def install() -> Any:
    """Install this as the reactor of the process. Raises Twisted's error if one is installed already."""
    reactor = RetryingReactor()
    main.installReactor(reactor)
    return reactor
