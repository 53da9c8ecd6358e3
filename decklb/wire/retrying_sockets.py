"""Twisted's sockets, made to survive transient errors of system calls.

Twisted ends a connection after any error of recv(2) or send(2), drops a datagram socket after an unknown error of
recvfrom(2), and closes connections that wait for accept(2), without reading them, when descriptors run out. Here a call
that failed because of a local shortage (`local_errors.RETRYABLE_ERRNOS`) is repeated RETRY_DELAY_S later; until then
the socket is not watched for that operation, so that a failing call does not cause a busy loop. Listeners and datagram
sockets continue after any error.

Made by `wire.reactor` in place of Twisted's own classes, whose method and attribute names they keep.
"""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable
from errno import EAGAIN, EALREADY, EINPROGRESS, EINVAL, EISCONN, EMSGSIZE
from typing import Any

from loguru import logger
from twisted.internet import main, tcp, udp
from twisted.internet.error import MessageLengthError, getConnectError
from twisted.python import log

from decklb.wire.local_errors import ABORTED_ACCEPT_ERRNOS, RETRYABLE_ERRNOS
from decklb.wire.system_call_log import system_calls

RETRY_DELAY_S = 0.01  # delay before a failed call is repeated


class _RetryingConnection:
    """Reading and writing, common to accepted and outgoing TCP connections."""

    def doRead(self: Any) -> Any:
        """Read once; after an error caused by a shortage, reading is retried later."""
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as error:
            if error.errno == EAGAIN:
                return None
            if error.errno not in RETRYABLE_ERRNOS:
                return main.CONNECTION_LOST  # logged when the connection ends
            system_calls.failed("recv", error)
            self.stopReading()
            self.reactor.callLater(RETRY_DELAY_S, self._resume_reading)
            return None
        return self._dataReceived(data)

    def _resume_reading(self: Any) -> None:
        if self.connected and not self.disconnected:
            self.startReading()

    def writeSomeData(self: Any, data: bytes) -> Any:
        """Write once; after an error caused by a shortage, writing is retried later."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as error:
            if error.errno == EAGAIN:
                return 0
            if error.errno not in RETRYABLE_ERRNOS:
                return main.CONNECTION_LOST  # logged when the connection ends
            system_calls.failed("send", error)
            self.stopWriting()
            self.reactor.callLater(RETRY_DELAY_S, self._resume_writing)
            return 0

    def _resume_writing(self: Any) -> None:
        if self.connected and not self.disconnected:
            self.startWriting()

    def setTcpNoDelay(self: Any, enabled: bool) -> None:
        """Best effort: a connection without it is slower, not unusable."""
        try:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, enabled)
        except OSError as error:
            system_calls.failed("setsockopt", error)


class RetryingServer(_RetryingConnection, tcp.Server):
    """An accepted connection."""


class RetryingClient(_RetryingConnection, tcp.Client):
    """An outgoing connection."""

    def doConnect(self) -> None:
        """Start or continue connecting; overrides the hook of tcp.BaseClient."""
        self.doWrite = self.doRead = self.doConnect  # type: ignore[method-assign]
        if not hasattr(self, "connector"):  # it has failed in the meantime
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
    """Makes outgoing connections of class `RetryingClient`."""

    def _makeTransport(self) -> RetryingClient:
        return RetryingClient(self.host, self.port, self.bindAddress, self, self.reactor)


class RetryingPort(tcp.Port):
    """A listening socket. Connections that can't be accepted now wait in the kernel's accept queue."""

    transport = RetryingServer

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._paused = False  # by the owner of the listener
        self._backing_off = False  # after an error of accept(2)

    def pauseProducing(self) -> None:
        """Stop accepting until `resumeProducing`."""
        self._paused = True
        super().pauseProducing()

    def resumeProducing(self) -> None:
        """Resume accepting, unless it is delayed after an error."""
        self._paused = False
        if not self._backing_off:
            super().resumeProducing()

    def doRead(self) -> None:
        """Accept up to `numberAccepts` connections."""
        self.accept_up_to(self.numberAccepts)

    def accept_up_to(self, limit: int) -> bool:
        """Accept at most `limit` connections; returns whether more may wait in the kernel's accept queue."""
        failed = 0
        for _ in range(limit):
            if self.disconnecting or not self.connected:
                return False
            try:
                accepted, address = self.socket.accept()
            except OSError as error:
                if error.errno == EAGAIN:
                    return False
                system_calls.failed("accept", error)
                failed += 1
                if error.errno not in ABORTED_ACCEPT_ERRNOS:
                    break
                continue
            self._serve(accepted, address)
        if failed:
            self._back_off()
        return True

    def _serve(self, accepted: Any, address: Any) -> None:
        factory: Any = self.factory
        protocol = factory.buildProtocol(self._buildAddr(address))
        self.sessionno += 1
        try:
            transport = self.transport(accepted, protocol, address, self, self.sessionno, self.reactor)
            protocol.makeConnection(transport)
        except Exception as error:  # an error of one connection must not close the listener
            logger.error("connection setup failed: {error}", event="connection-setup-failed", error=repr(error))
            accepted.close()

    def _back_off(self) -> None:
        if not self._backing_off:
            self._backing_off = True
            self.stopReading()
            self.reactor.callLater(RETRY_DELAY_S, self._resume_after_error)

    def _resume_after_error(self) -> None:
        self._backing_off = False
        if not self._paused:
            super().resumeProducing()

    def drain_accept_queue(self, batch: int, timeout_s: float, done: Callable[[], None]) -> None:
        """Accept all connections in the kernel's accept queue, then call `done`.

        Args:
            batch: number of connections accepted per reactor pass.
            timeout_s: maximum time for which connections are accepted.
            done: called once, at the end.
        """
        deadline = time.monotonic() + timeout_s

        def accept_batch() -> None:
            if self.accept_up_to(batch) and time.monotonic() < deadline:
                self.reactor.callLater(RETRY_DELAY_S, accept_batch)
            else:
                done()

        accept_batch()


class RetryingDatagramPort(udp.Port):
    """A datagram socket that is not closed by any error.

    The errors that it reports often concern a single datagram that was sent earlier.
    """

    def doRead(self) -> None:
        """Read the datagrams that have arrived; after an error, reading is retried later."""
        bytes_read = 0
        while bytes_read < self.maxThroughput:
            try:
                data, address = self.socket.recvfrom(self.maxPacketSize)
            except OSError as error:
                if error.errno != EAGAIN:
                    self._back_off(error)
                return
            bytes_read += len(data)
            try:
                self.protocol.datagramReceived(data, address)
            except Exception:  # an error of one datagram must not close the socket
                log.err()

    def _back_off(self, error: OSError) -> None:
        system_calls.failed("recvfrom", error)
        self.stopReading()
        self.reactor.callLater(RETRY_DELAY_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if getattr(self, "socket", None) is not None and self.connected:
            self.startReading()

    def write(self, datagram: bytes, addr: tuple[str, int] | None = None) -> int | None:  # type: ignore[override]
        """Send a datagram. It is dropped on an error, as it may be dropped by the network."""
        try:
            return super().write(datagram, addr)
        except MessageLengthError:
            system_calls.failed("sendto", OSError(EMSGSIZE, os.strerror(EMSGSIZE)))
        except OSError as error:
            system_calls.failed("sendto", error)
        return None
