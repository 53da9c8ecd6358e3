"""The epoll reactor with sockets that outlive transient errors of system calls.

Twisted ends a connection at any error of recv(2) or send(2), drops a datagram socket at an unknown error of
recvfrom(2), closes unread whoever waits for accept(2) when descriptors run out, and calls at once again what has just
failed. Here a call that failed for a shortage of the machine (`local_faults.SHORTAGES`) is made again RETRY seconds
later, and the connection lives on; so do listeners and datagram sockets at any error.
"""

from __future__ import annotations

import os
import socket
import time
from collections import deque
from collections.abc import Callable
from errno import EAGAIN, EALREADY, EEXIST, EINPROGRESS, EINTR, EINVAL, EISCONN, EMSGSIZE, ENOENT
from typing import Any

from loguru import logger
from twisted.internet import main, tcp, udp
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import MessageLengthError, getConnectError
from twisted.python import log

from decklb.core.timers import HELD
from decklb.wire.local_faults import GONE_BEFORE_ACCEPT, RETRY, SHORTAGES

LONGEST_WAIT = 0.1  # seconds of one wait for events
PASSES = 3  # of reading after a standstill: a connection is accepted in the first and read in the second
BLIND = 5.0  # seconds for which nothing but the wait for events is tried, while that fails
TOLD_AGAIN = 1.0  # seconds until the same error of the same call is logged once more


class _Faults:
    """Logs each error of each call at most once a second."""

    def __init__(self) -> None:
        self._told: dict[tuple[str, int], float] = {}

    def tell(self, call: str, error: OSError) -> None:
        """One line with the call and the error's name."""
        now, kind = time.monotonic(), (call, error.errno or 0)
        if now - self._told.get(kind, -TOLD_AGAIN) >= TOLD_AGAIN:
            self._told[kind] = now
            logger.warning(
                "system call failed: {call}: {error}",
                event="system-call-failed",
                call=call,
                error=error.strerror or repr(error),
                errno=error.errno,
            )


faults = _Faults()


class _RetryingConnection:
    """What both ends' TCP transports share."""

    def doRead(self: Any) -> Any:
        """Read once; a shortage puts reading off."""
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as error:
            if error.errno == EAGAIN:
                return None
            if error.errno not in SHORTAGES:
                return main.CONNECTION_LOST  # told by the line of the connection's end
            faults.tell("recv", error)
            self.stopReading()
            self.reactor.callLater(RETRY, self._read_again)
            return None
        return self._dataReceived(data)

    def _read_again(self: Any) -> None:
        if self.connected and not self.disconnected:
            self.startReading()

    def writeSomeData(self: Any, data: bytes) -> Any:
        """Write once; a shortage puts writing off."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as error:
            if error.errno == EAGAIN:
                return 0
            if error.errno not in SHORTAGES:
                return main.CONNECTION_LOST  # told by the line of the connection's end
            faults.tell("send", error)
            self.stopWriting()
            self.reactor.callLater(RETRY, self._write_again)
            return 0

    def _write_again(self: Any) -> None:
        if self.connected and not self.disconnected:
            self.startWriting()

    def setTcpNoDelay(self: Any, enabled: bool) -> None:
        """Best effort: a connection without it is slower, not unusable."""
        try:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, enabled)
        except OSError as error:
            faults.tell("setsockopt", error)


class RetryingServer(_RetryingConnection, tcp.Server):
    """A connection that was accepted."""


class RetryingClient(_RetryingConnection, tcp.Client):
    """A connection that we open."""

    def doConnect(self) -> None:
        """Begin the handshake, or go on with it. See tcp.BaseClient, whose hooks these are."""
        self.doWrite = self.doRead = self.doConnect  # type: ignore[method-assign]
        if not hasattr(self, "connector"):  # it has failed meanwhile
            return
        try:
            error = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or self._connect()
        except OSError as raised:
            error = raised.errno or EINVAL
        if error in (EINPROGRESS, EALREADY):
            self.startReading()
            self.startWriting()
        elif error:
            self.failIfNotConnected(getConnectError((error, os.strerror(error))))
        else:
            del self.doWrite, self.doRead
            self.stopReading()
            self.stopWriting()
            self._connectDone()

    def _connect(self) -> int:
        error = self.socket.connect_ex(self.realAddress)
        return 0 if error == EISCONN else error


class RetryingConnector(tcp.Connector):
    """Opens RetryingClients."""

    def _makeTransport(self) -> RetryingClient:
        return RetryingClient(self.host, self.port, self.bindAddress, self, self.reactor)


class RetryingPort(tcp.Port):
    """A listener. What can't be accepted now waits in the machine's queue."""

    transport = RetryingServer

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self._paused = self._putting_off = False

    def pauseProducing(self) -> None:
        """Accept nothing until resumeProducing."""
        self._paused = True
        super().pauseProducing()

    def resumeProducing(self) -> None:
        """Accept again."""
        self._paused = False
        if not self._putting_off:
            super().resumeProducing()

    def doRead(self) -> None:
        """Accept up to `numberAccepts` connections."""
        self.accept_up_to(self.numberAccepts)

    def accept_up_to(self, most: int) -> bool:
        """Accept that many at most; whether some may still wait in the queue."""
        failed = 0
        for _ in range(most):
            if self.disconnecting or not self.connected:
                return False
            try:
                skt, address = self.socket.accept()
            except OSError as error:
                if error.errno == EAGAIN:
                    return False
                faults.tell("accept", error)
                failed += 1
                if error.errno not in GONE_BEFORE_ACCEPT:
                    break
                continue
            self._take(skt, address)
        if failed:
            self._put_off()
        return True

    def _take(self, skt: Any, address: Any) -> None:
        factory: Any = self.factory
        protocol = factory.buildProtocol(self._buildAddr(address))
        self.sessionno += 1
        try:
            transport = self.transport(skt, protocol, address, self, self.sessionno, self.reactor)
            protocol.makeConnection(transport)
        except Exception as error:  # a fault with one connection must not close the listener
            logger.error("connection dropped: {error}", event="connection-dropped", error=repr(error))
            skt.close()

    def _put_off(self) -> None:
        if not self._putting_off:
            self._putting_off = True
            self.stopReading()
            self.reactor.callLater(RETRY, self._again)

    def _again(self) -> None:
        self._putting_off = False
        if not self._paused:
            super().resumeProducing()

    def empty_queue(self, most: int, seconds: float, done: Callable[[], None]) -> None:
        """Accept all that waits in the machine's queue, in spite of errors for so long; then call `done`."""
        until = time.monotonic() + seconds

        def go_on() -> None:
            if self.accept_up_to(most) and time.monotonic() < until:
                self.reactor.callLater(RETRY, go_on)
            else:
                done()

        go_on()


class RetryingDatagramPort(udp.Port):
    """A datagram socket that no error ends: what it reports are often errors of single datagrams on their way."""

    def doRead(self) -> None:
        """Read what there is; an error puts reading off."""
        read = 0
        while read < self.maxThroughput:
            try:
                data, address = self.socket.recvfrom(self.maxPacketSize)
            except OSError as error:
                if error.errno != EAGAIN:
                    self._put_off(error)
                return
            read += len(data)
            try:
                self.protocol.datagramReceived(data, address)
            except Exception:  # one datagram must not end the socket
                log.err()

    def _put_off(self, error: OSError) -> None:
        faults.tell("recvfrom", error)
        self.stopReading()
        self.reactor.callLater(RETRY, self._read_again)

    def _read_again(self) -> None:
        if getattr(self, "socket", None) is not None and self.connected:
            self.startReading()

    def write(self, datagram: bytes, addr: tuple[str, int] | None = None) -> int | None:  # type: ignore[override]
        """Send it, or lose it as the network may."""
        try:
            return super().write(datagram, addr)
        except MessageLengthError:
            faults.tell("sendto", OSError(EMSGSIZE, os.strerror(EMSGSIZE)))
        except OSError as error:
            faults.tell("sendto", error)
        return None


class Standstill:
    """Notices that the process was held up, by the time between two passes of reading and within the wait for one.

    Times in seconds of the monotonic clock. A standstill within a wait shows only where it outlasts the wait, so waits
    are short.
    """

    def __init__(self) -> None:
        self._read: float | None = None  # when the last pass of reading began
        self._wait = (0.0, 0.0)  # when the present wait began, and how long it may be
        # For each of the last passes: since when what it read may have lain unread, None if it was not held up.
        self._recent: deque[float | None] = deque(maxlen=PASSES)

    def waits(self, now: float, longest: float) -> None:
        """All that was read has been handled."""
        self._wait = now, longest

    def reads(self, now: float) -> None:
        """A pass of reading begins."""
        began, longest = self._wait
        since = None
        if self._read is not None and began - self._read > HELD / 1000:
            since = self._read
        elif now - began - longest > HELD / 1000:
            since = began
        self._recent.append(since)
        self._read = now

    def unread_for(self, now: float) -> float:
        """How long what is read now may have lain unread."""
        return now - min((since for since in self._recent if since is not None), default=now)


class RetryingReactor(EPollReactor):
    """The reactor of the daemon."""

    def __init__(self) -> None:
        self._standstill = Standstill()
        self._wanted: set[tuple[int, int]] = set()  # (id of the descriptor object, id of the set it belongs in)
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
        """Watch a descriptor; a shortage puts that off."""
        again = (id(xer), id(primary))
        try:
            super()._add(xer, primary, other, selectables, event, antievent)
            self._wanted.discard(again)
        except OSError as error:
            faults.tell("epoll_ctl", error)
            if error.errno not in SHORTAGES | {EEXIST, ENOENT}:
                raise
            # Where our books and the kernel's differ the kernel's count.
            if error.errno in SHORTAGES or not self._set(xer.fileno(), event, antievent, other, error.errno == EEXIST):
                self._wanted.add(again)
                self.callLater(RETRY, self._add_again, again, xer, primary, other, selectables, event, antievent)
                return
            self._wanted.discard(again)
            primary.add(xer.fileno())
            selectables[xer.fileno()] = xer

    def _add_again(self, again: tuple[int, int], xer: Any, *more: Any) -> None:
        if again in self._wanted and xer.fileno() != -1:
            self._add(xer, *more)

    def _set(self, fd: int, event: int, antievent: int, other: Any, known: bool) -> bool:
        flags = event | (antievent if fd in other else 0)
        try:
            (self._poller.modify if known else self._poller.register)(fd, flags)
        except OSError as error:
            faults.tell("epoll_ctl", error)
            return False
        return True

    def unwatched(self) -> bool:
        """Whether there are descriptors that can't be watched at the moment: what happens to them is not seen."""
        return bool(self._wanted)

    def _remove(self, xer: Any, primary: Any, other: Any, selectables: Any, event: int, antievent: int) -> None:
        """Watch a descriptor no longer; one that the kernel has forgotten is forgotten here too."""
        self._wanted.discard((id(xer), id(primary)))
        fd = xer.fileno()
        try:
            super()._remove(xer, primary, other, selectables, event, antievent)
        except OSError as error:
            faults.tell("epoll_ctl", error)
            primary.discard(fd)
            if fd not in other:
                selectables.pop(fd, None)

    def doPoll(self, timeout: float | None) -> None:
        """Wait for events and handle them; an error of the wait itself must not become a busy loop."""
        wait = LONGEST_WAIT if timeout is None else min(timeout, LONGEST_WAIT)
        self._standstill.waits(time.monotonic(), wait)
        until = time.monotonic() + BLIND
        while True:
            try:
                events = self._poller.poll(wait, max(1, len(self._selectables)))
                break
            except OSError as error:
                if error.errno != EINTR:
                    faults.tell("epoll_wait", error)
                if error.errno == EINTR or time.monotonic() > until:
                    return
                time.sleep(RETRY)  # not on to the timers: what they wait for may lie unread
        self._standstill.reads(time.monotonic())
        for fd, event in events:
            selectable = self._selectables.get(fd)
            if selectable is not None:
                self._doReadOrWrite(selectable, fd, event)

    doIteration = doPoll

    def unread_for(self) -> float:
        """Seconds for which what is read in this pass may have lain unread; 0 unless the process was held up."""
        return self._standstill.unread_for(time.monotonic())


def install() -> Any:
    """Make this the process' reactor. Raises what Twisted raises where there is one already."""
    reactor = RetryingReactor()
    main.installReactor(reactor)
    return reactor
