"""The thin front of the platform: frames in, one answer a request out. It decides nothing."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, ServerFactory
from twisted.python.failure import Failure

from decklb.core.dispatcher import Dispatcher, Request
from decklb.net import frames
from decklb.net.frames import BadRequest, ProtocolError
from decklb.wire.connections import FIRST, HALF, LINGER, unread

MOST_STREAMS = 32  # requests open on one connection
MOST_UNREAD = 32 * 52_000  # bytes that one client may leave unread: as much as its open requests can bring
AWAY = 500.0  # ms that a client turned away by the front itself had better wait, where the settings allow as much
SETTLED = 30.0  # ms in which a new connection says something if it ever does soon
SWEEP, RETRY = 100.0, 10.0  # ms between looks at what is overdue; between tries to find places
CROWDED = 200.0  # ms without a place after which newcomers come in to be refused
ACCEPTS = 10  # connections taken in one go
MOST_FAULTS = 8  # frames that can't be used, after which a connection ends


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
        self.unsent = 0  # bytes written since the transport last had none left
        self.held = 0  # what this connection adds to the front's sum
        self.spoken = False  # a whole message has come that can be used
        self.mute = False  # what it says can't be read any more
        self.warned = False  # told to send nothing new
        self.parting = ""  # why it is to end once nothing is owed on it
        self.ending = False  # our half is closed: what still comes is thrown away
        self.crowded = False  # it came when every place was in use, and is refused
        self.reason = "client-closed"
        self.taken = self.faults = 0

    def connectionMade(self) -> None:
        """Find it a place."""
        self.transport.setTcpNoDelay(True)
        # Not streaming: it is told each time that nothing is left to send.
        self.transport.registerProducer(self, False)
        self.front.joined(self)
        if self.front.closing:
            self.go_away()

    # The transport tells whether the client reads what it is sent. If it reads slowly, what it has sent is taken all
    # the same, or its requests would be lost.

    def resumeProducing(self) -> None:
        """All that was written has gone."""
        if self.unsent:
            self.unsent = 0
            self._hold()
            self._done()

    def stopProducing(self) -> None:
        """The connection is ending."""

    def dataReceived(self, data: bytes) -> None:
        """Frames, split anywhere."""
        if self.mute or self.ending:
            return
        whole = False
        try:
            for frame in self.reader.feed(data):
                whole = True
                self._frame(frame)
                if self.mute:
                    return
        except ProtocolError as error:
            return self.error(error.reason)
        self.front.file(self, whole)
        self._hold()
        self._part()

    def _frame(self, frame: frames.Frame) -> None:
        if frame.type == frames.REQUEST:
            if frame.stream == 0 or frame.stream in self.open:
                # An answer under a number in use would be a second answer to the first request.
                return self._fault("stream-in-use")
            self._request(frame)
        elif frame.type == frames.GONE:
            if (request := self._release(frame.stream)) is not None:
                self.front.dispatcher.abandon(request)
            self._done()
        elif frame.type == frames.ASK_READY:
            self._write(frames.pack(frames.READY, frame.stream, bytes([self.front.ready()]) + b"\0"))
        else:
            return self._fault("unknown-type")
        self.spoken = True

    def _fault(self, reason: str) -> None:
        """A whole frame that can't be used: it is passed over, and what else is open here lives on."""
        self.faults += 1
        if self.faults > MOST_FAULTS:
            return self.error(reason)
        peer = self.transport.getPeer()
        logger.info(
            "frame passed over: {reason} peer={peer}",
            event="frame-passed-over",
            reason=reason,
            peer=f"{getattr(peer, 'host', '?')}:{getattr(peer, 'port', 0)}",
        )
        self._write(frames.pack_answer(0, frames.FAILED, {"reason": reason}))

    def _request(self, frame: frames.Frame) -> None:
        stream = frame.stream
        self.open[stream] = None
        try:
            work = frames.read_request(frame.payload, self.front.dispatcher.settings)
            if (other := self.front.ids.get(work.rid)) is not None and other.work.statement != work.statement:
                raise BadRequest("rid is open with another statement")  # engines know requests by their ids
        except BadRequest as error:
            return self.answer(stream, frames.FAILED, {"reason": str(error)})
        if len(self.open) > MOST_STREAMS or self.front.closing or self.crowded:
            return self.answer(stream, frames.REFUSED, self.front.away)
        self.taken += 1
        self.open[stream] = self.front.ids[work.rid] = self.front.dispatcher.submit(work, Answer(self, stream))

    def _release(self, stream: int) -> Request | None:
        """The stream is free again; its request, if one was taken on it."""
        request = self.open.pop(stream, None)
        if request is not None and self.front.ids.get(request.work.rid) is request:
            del self.front.ids[request.work.rid]
        return request

    def answer(self, stream: int, code: int, fields: dict[str, str], body: bytes = b"") -> None:
        """The one answer on a stream, whole; nothing if the client has gone."""
        if stream in self.open:
            self._release(stream)
            self._write(frames.pack_answer(stream, code, fields, body))
            self._done()

    def _write(self, data: bytes) -> None:
        self.transport.write(data)
        self.unsent += len(data)
        self._hold()

    def _hold(self) -> None:
        """Guards the memory limit: what clients leave unread or half sent is bounded, each and in sum."""
        held = self.unsent + len(self.reader.buffer)
        self.front.held += held - self.held
        self.held = held
        if self.unsent > MOST_UNREAD:
            self.abort("slow-reader")
        elif self.front.held > self.front.most_held:
            max(self.front.clients, key=lambda c: c.held).abort("too-much-held")

    def error(self, reason: str) -> None:
        """Nothing more can be read: say why, under no request, and end once what is open has its answer."""
        if self.mute or self.ending:
            return
        self.mute, self.parting = True, reason
        self.reader = frames.FrameReader()
        self._write(frames.pack_answer(0, frames.FAILED, {"reason": reason}))
        self.part(reason)

    def go_away(self) -> None:
        """No new request here; once the front closes, it ends when what is open has its answer."""
        if not self.warned and not self.ending:
            self.warned = True
            self._write(frames.pack(frames.GO_AWAY, 0))
        if self.front.closing:
            self.part("drained")

    def part(self, reason: str) -> None:
        """End as soon as nothing is owed here. What comes before that is answered."""
        self.parting = self.parting or reason
        self.front.file(self)
        self._part()

    def _part(self) -> None:
        if self.parting and not self.open and not (self.reader.buffer and not self.mute):
            self.close(self.parting)

    def close(self, reason: str) -> bool:
        """Close our half now if nothing is owed; what comes later is thrown away until the client closes its own.

        Looking whether something lies unread and closing have to be one: the transport closes a pass later, and what
        is read in between would never be answered. The other half stays open, since a reset over unread bytes can
        overtake the last answer.
        """
        if self.ending or self.open or self.unsent or not self.mute and self.heard():
            return False
        self.reason, self.ending = reason, True
        with suppress(OSError):  # the client was quicker
            self.transport.getHandle().shutdown(socket.SHUT_WR)
        self.reader = frames.FrameReader()
        self._hold()
        self.front.file(self)
        return True

    def _done(self) -> None:
        if not self.open and not self.ending:
            self._part()
            self.front.file(self)

    def heard(self) -> bool:
        """Whether something that it said lies unread."""
        return unread(self.transport)

    @property
    def owed(self) -> bool:
        """Whether it waits for an answer, or is in the middle of a message."""
        return not self.ending and bool(self.open or self.unsent or self.reader.buffer)

    def drop(self) -> None:
        """Give its descriptor back; the machine still delivers what was sent."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def abort(self, reason: str) -> None:
        """End it with what was not read or written."""
        if not self.ending:
            self.reason, self.ending = reason, True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Free all that this client waited for."""
        self.front.left(self)
        left = [r for r in map(self._release, list(self.open)) if r is not None]
        for request in left:
            self.front.dispatcher.abandon(request)
        if self.reason == "client-closed" and reason is not None and reason.type is not ConnectionDone:
            self.reason = "reset"
        peer = self.transport.getPeer()
        logger.info(
            "client connection ended: {reason} requests={requests} abandoned={abandoned} peer={peer}",
            event="client-connection-ended",
            reason=self.reason,
            requests=self.taken,
            abandoned=len(left),
            peer=f"{getattr(peer, 'host', '?')}:{getattr(peer, 'port', 0)}",
        )


class Front(ServerFactory):
    """Makes a Client for each connection and knows which of them may go when places run out.

    A client that asked once and stays is welcome while there is room; one that never said anything is not.
    """

    noisy = False

    def __init__(
        self, dispatcher: Dispatcher, ready: Callable[[], bool], most_clients: int, spare_clients: int, most_held: int
    ) -> None:
        self.dispatcher, self.ready = dispatcher, ready
        self.most_clients, self.spare_clients, self.most_held = most_clients, spare_clients, most_held
        s = dispatcher.settings
        wait = min(AWAY, s.max_retry_after) if s.retry_after else 0.0
        self.away = {"backoff": str(round(wait))} if wait else {}
        self.clients: set[Client] = set()
        # Connections by what they wait for, with the time since when, oldest first; each is in one of these or in
        # none, and none has an open request but one whose message is half sent.
        self.silent: dict[Client, float] = {}
        self.half: dict[Client, float] = {}
        self.idle: dict[Client, float] = {}
        self.lingering: dict[Client, float] = {}
        self.ids: dict[str, Request] = {}  # open requests by their clients' ids
        self.held = 0
        self.closing = False
        self.port: Any = None
        self.paused = self.overrun = self._watching = False

    def listens(self, port: Any) -> None:
        """Where connections come in."""
        self.port = port
        port.numberAccepts = ACCEPTS

    def buildProtocol(self, addr: object) -> Client:
        """One object for a connection."""
        return Client(self)

    # Places.

    def joined(self, client: Client) -> None:
        """A new connection. Guards the descriptors, and usual clients against those that only hold places."""
        self.clients.add(client)
        self.silent[client] = self.dispatcher.clock.now()
        self._watch()
        if len(self.clients) > self.most_clients:
            client.crowded = self.overrun
            self._make_room()

    def left(self, client: Client) -> None:
        """A connection has ended."""
        self.clients.discard(client)
        self._forget(client)
        self.held -= client.held
        client.held = 0
        if self.paused:
            self._make_room()

    def file(self, client: Client, whole: bool = False) -> None:
        """File a connection anew after something came or went; `whole`: a message has ended just now."""
        now = self.dispatcher.clock.now()
        if client.ending or client.mute:
            since = self.lingering.get(client, now)
            self._forget(client)
            if client.ending or not client.open:
                self.lingering[client] = since
            return self._watch()
        if not client.spoken:
            return
        if client.reader.buffer:
            if whole or client not in self.half:
                self._forget(client)
                self.half[client] = now
        else:
            self._forget(client)
            if not client.open:
                self.idle[client] = now
        if len(self.clients) > self.most_clients:
            self._make_room()
        self._watch()

    def _forget(self, client: Client) -> None:
        for group in (self.silent, self.half, self.idle, self.lingering):
            group.pop(client, None)

    def _make_room(self) -> None:
        """Close what waits for nothing: what was refused before, the silent after a while, the longest idle.

        Those that have spoken make room for others that have, not for the silent. What is closed counts until its
        descriptor is free.
        """
        settled = self.dispatcher.clock.now() - SETTLED
        while self._crowd() and (client := self._oldest(self.lingering, settled)) is not None:
            self._drop(client)
        while self._crowd() > len(self.lingering):
            if (client := self._oldest(self.silent, settled)) is not None:
                if not client.close("evicted-silent"):  # it is we who were held up
                    del self.silent[client]
                    self.silent[client] = settled + SETTLED
            elif self._crowd() > len(self.silent) + len(self.lingering) and self.idle:
                client = next(iter(self.idle))
                if not client.close("evicted-idle"):
                    # A request that was written long before we close would be lost; it has only not been read yet.
                    self._forget(client)
            else:
                break
        # What comes when no place is left waits in the machine's queue: within SETTLED somebody may go.
        full = len(self.clients) >= self.most_clients + self.spare_clients
        self.overrun = self.overrun and full
        self._pause(full)

    def _crowd(self) -> int:
        """How many connections there are beyond the places."""
        return max(0, len(self.clients) - self.most_clients)

    def _drop(self, client: Client) -> None:
        """Its time to close from its own side is over."""
        self.clients.discard(client)
        self._forget(client)
        if client.ending:
            client.drop()
        else:  # it doesn't read what it is told
            client.abort(client.parting)

    def _oldest(self, group: dict[Client, float], before: float) -> Client | None:
        """The first of a group if it is in it since before then."""
        return next((c for c, when in group.items() if when < before), None)

    def _pause(self, full: bool) -> None:
        if self.port is None or self.closing:
            return
        self.port.numberAccepts = ACCEPTS  # the reactor raises it under a flood, and accepts the lot before it pauses
        if full != self.paused:
            self.paused = full
            if full:
                self.port.pauseProducing()
                self.dispatcher.clock.call_later(RETRY, lambda: self._again(1))
            else:
                self.port.resumeProducing()

    def _again(self, tries: int) -> None:
        if self.paused:
            self._make_room()
        if self.paused and tries * RETRY >= CROWDED:  # everybody has a request open: some more come in, to be refused
            self.overrun = True
            self._pause(False)
        elif self.paused:
            self.dispatcher.clock.call_later(RETRY, lambda: self._again(tries + 1))

    def _watch(self) -> None:
        if not self._watching:
            self._watching = True
            self.dispatcher.clock.call_later(SWEEP, self._sweep)

    def _sweep(self) -> None:
        """End what is overdue."""
        now = self.dispatcher.clock.now()
        for group, limit, reason in ((self.silent, FIRST, "no-message"), (self.half, HALF, "half-message")):
            for client in [c for c, since in group.items() if now - since > limit]:
                if not client.heard():
                    client.error(reason)
        for client in [c for c, since in self.lingering.items() if now - since > LINGER]:
            self._drop(client)
        if self._crowd():
            self._make_room()
        self._watching = bool(self.silent or self.half or self.lingering)
        if self._watching:
            self.dispatcher.clock.call_later(SWEEP, self._sweep)

    # The end of the process.

    def announce(self) -> None:
        """Tell every client to send nothing new, and still take what comes."""
        for client in list(self.clients):
            client.go_away()

    def close(self) -> None:
        """Take nothing new; connections end with their last answer."""
        self.closing = True
        for client in list(self.clients):
            client.go_away()

    @property
    def owing(self) -> bool:
        """Whether some client still waits for something."""
        return any(client.owed for client in self.clients)
