"""The thin front of the platform: frames in, one answer a request out. It decides nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, ServerFactory
from twisted.python.failure import Failure

from decklb.core.dispatcher import Dispatcher, Request
from decklb.net import frames
from decklb.net.frames import BadRequest, ProtocolError

MOST_STREAMS = 32  # requests open on one connection
MOST_UNREAD = 32 * 52_000  # bytes that one client may leave unread: as much as its open requests can bring
MOST_HELD = 32 << 20  # bytes of all connections, read in part or not yet taken by their clients
AWAY = 500.0  # ms that a client turned away by the front itself had better wait


class Answer:
    """The answer sink of one stream."""

    __slots__ = ("client", "stream")

    def __init__(self, client: Client, stream: int) -> None:
        self.client, self.stream = client, stream

    def served(self, result: bytes) -> None:
        """The whole result, in one write."""
        self.client.answer(self.stream, frames.SERVED, {}, result)

    def refused(self, backoff: float) -> None:
        """A retry is harmless."""
        self.client.answer(self.stream, frames.REFUSED, {"backoff": str(round(backoff))} if backoff else {})

    def failed(self) -> None:
        """No promise."""
        self.client.answer(self.stream, frames.FAILED, {})


class Client(Protocol):
    """One connection of a client."""

    transport: Any  # zope's interfaces say nothing to the type checker

    def __init__(self, front: Front) -> None:
        self.front = front
        self.reader = frames.FrameReader()
        self.open: dict[int, Request | None] = {}
        self.unread = 0  # bytes that wait for a slow reader
        self.stuck = False
        self.held = 0  # what this connection adds to the front's sum
        self.reason = "client-closed"
        self.taken = 0

    def connectionMade(self) -> None:
        """Keep to the limit on descriptors: a third is for clients."""
        self.transport.setTcpNoDelay(True)
        self.front.clients.add(self)
        self.transport.registerProducer(self, True)
        if len(self.front.clients) > self.front.most_clients:
            self.close("too-many-connections")
        elif self.front.closing:
            self.go_away()

    # The transport tells whether the client reads what it is sent.

    def pauseProducing(self) -> None:
        """The client reads slowly. What it has sent is taken all the same, or its requests would be lost."""
        self.stuck = True

    def resumeProducing(self) -> None:
        """All that was written has gone."""
        self.stuck, self.unread = False, 0
        self._hold()

    def stopProducing(self) -> None:
        """The connection is ending."""

    def dataReceived(self, data: bytes) -> None:
        """Frames, split anywhere."""
        try:
            for frame in self.reader.feed(data):
                self._frame(frame)
        except ProtocolError as error:
            self._error(error.reason)
        self._hold()

    def _frame(self, frame: frames.Frame) -> None:
        if frame.type == frames.REQUEST:
            self._request(frame)
        elif frame.type == frames.GONE:
            request = self.open.pop(frame.stream, None)
            if request is not None:
                self.front.dispatcher.abandon(request)
            self._done()
        elif frame.type == frames.ASK_READY:
            self._write(frames.pack(frames.READY, frame.stream, bytes([self.front.ready()]) + b"\0"))
        else:
            raise ProtocolError("unknown-type")

    def _request(self, frame: frames.Frame) -> None:
        stream = frame.stream
        if stream == 0 or stream in self.open:
            # An answer under a number in use would be a second answer to the first request.
            raise ProtocolError("stream-in-use")
        self.open[stream] = None
        try:
            work = frames.read_request(frame.payload, self.front.dispatcher.settings)
        except BadRequest as error:
            return self.answer(stream, frames.FAILED, {"reason": str(error)})
        if len(self.open) > MOST_STREAMS or self.front.closing:
            return self.answer(stream, frames.REFUSED, {"backoff": str(round(AWAY))})
        self.taken += 1
        self.open[stream] = self.front.dispatcher.submit(work, Answer(self, stream))

    def answer(self, stream: int, code: int, fields: dict[str, str], body: bytes = b"") -> None:
        """The one answer on a stream, whole; nothing if the client has gone."""
        if stream in self.open:
            del self.open[stream]
            self._write(frames.pack_answer(stream, code, fields, body))
            self._done()

    def _write(self, data: bytes) -> None:
        self.transport.write(data)
        if self.stuck:
            self.unread += len(data)
            self._hold()

    def _hold(self) -> None:
        """Guards the memory limit: what clients leave unread or half sent is bounded, each and in sum."""
        held = self.unread + len(self.reader.buffer)
        self.front.held += held - self.held
        self.held = held
        if held and (self.unread > MOST_UNREAD or self.front.held > MOST_HELD):
            self.reason = "slow-reader" if self.unread else "too-much-held"
            self.transport.abortConnection()

    def _error(self, reason: str) -> None:
        """Say what was wrong, under no request, and end."""
        self._write(frames.pack_answer(0, frames.FAILED, {"reason": reason}))
        self.close(reason)

    def go_away(self) -> None:
        """No new request here; close once what is open has its answer."""
        self._write(frames.pack(frames.GO_AWAY, 0))
        self._done()

    def _done(self) -> None:
        if self.front.closing and not self.open:
            self.close("drained")

    def close(self, reason: str) -> None:
        """End the connection once what was written has gone."""
        self.reason = reason
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Free all that this client waited for."""
        self.front.clients.discard(self)
        self.front.held -= self.held
        self.held = 0
        left, self.open = [r for r in self.open.values() if r is not None], {}
        for request in left:
            self.front.dispatcher.abandon(request)
        if self.reason == "client-closed" and reason is not None and reason.type is not ConnectionDone:
            self.reason = "reset"
        peer = self.transport.getPeer()
        logger.info("client connection ended: {} requests={} abandoned={} peer={}:{}", self.reason,
                    self.taken, len(left), getattr(peer, "host", "?"), getattr(peer, "port", 0))


class Front(ServerFactory):
    """Makes a Client for each connection and knows how many there are."""

    noisy = False

    def __init__(self, dispatcher: Dispatcher, ready: Callable[[], bool], most_clients: int) -> None:
        self.dispatcher, self.ready, self.most_clients = dispatcher, ready, most_clients
        self.clients: set[Client] = set()
        self.held = 0
        self.closing = False

    def buildProtocol(self, addr: object) -> Client:
        """One object for a connection."""
        return Client(self)

    def announce(self) -> None:
        """Tell every client to send nothing new, and still take what comes."""
        for client in list(self.clients):
            client.go_away()

    def close(self) -> None:
        """Take nothing new; connections end with their last answer."""
        self.closing = True
        for client in list(self.clients):
            client.go_away()
