"""One connection of a client that speaks frames: its requests, its answers, its end.

It reads frames (`frames.FrameReader`), submits requests to the dispatcher and writes one answer for each. It ends in a
lingering close: our half is closed when nothing is open, unsent, unread or sent in part, and what still comes is thrown
away until the client closes its half. Made by `listener`; `connection_limits` evicts and times out.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from decklb.core.dispatcher import Request
from decklb.net import frames
from decklb.net.frames import FrameError, InvalidRequestError
from decklb.wire.connection_end import has_unread_bytes

if TYPE_CHECKING:
    from decklb.net.listener import FrameListener

MAX_STREAMS = 32  # requests open on one connection
MAX_UNSENT_BYTES = 32 * 52_000  # that one client may leave unread: as much as its open requests can bring
MAX_INVALID_FRAMES = 8  # whole frames that can't be used, after which a connection ends


class StreamSink:
    """The answer sink of one stream. See `decklb.core.ports.AnswerSink`."""

    __slots__ = ("client", "stream")

    def __init__(self, client: ClientConnection, stream: int) -> None:
        self.client, self.stream = client, stream

    def served(self, result: bytes) -> None:
        """The whole result, in one write."""
        self.client.answer(self.stream, frames.SERVED, {}, result)

    def rejected(self, retry_after_ms: float) -> None:
        """Rejected: a retry is harmless; it had better come after `retry_after_ms` ms."""
        self.client.answer(self.stream, frames.REJECTED, frames.rejection_fields(retry_after_ms))

    def failed(self) -> None:
        """No promise about what was done."""
        self.client.answer(self.stream, frames.FAILED, {})


class ClientConnection(Protocol):
    """One connection of a client."""

    transport: Any  # zope's interfaces say nothing to the type checker

    def __init__(self, listener: FrameListener) -> None:
        self.listener = listener
        self.requests: dict[int, Request | None] = {}  # open ones by stream; None while its request is read
        self.unsent_bytes = 0  # written since the transport last had none left
        self.buffered_bytes = 0  # what this connection adds to the sum of `connection_limits`
        self.has_sent_message = False  # a whole message has come that can be used
        self.input_failed = False  # what it sends can't be read any more
        self.close_reason = ""  # why it is to end once nothing is pending on it; "" while it is not
        self.closing = False  # our half is closed, or the connection aborted: what still comes is thrown away
        self.over_limit = False  # accepted when there were too many, to be rejected
        self.reader = frames.FrameReader()  # its buffer holds what has come of a message in part
        self._go_away_sent = False
        self._end_reason = "client-closed"  # for the log
        self._accepted_requests = 0
        self._invalid_frames = 0

    def connectionMade(self) -> None:
        """Count it, and tell it at once if the process is draining."""
        self.transport.setTcpNoDelay(True)
        # Not streaming: it is told each time that nothing is left to send.
        self.transport.registerProducer(self, False)
        self.listener.limits.add(self)
        if self.listener.draining:
            self.go_away()

    # The transport tells whether the client reads what it is sent. If it reads slowly, what it has sent is taken all
    # the same, or its requests would be lost.

    def resumeProducing(self) -> None:
        """All that was written has left."""
        if self.unsent_bytes:
            self.unsent_bytes = 0
            self._count_buffered()
            self._request_ended()

    def stopProducing(self) -> None:
        """The connection is ending."""

    # Reading.

    def dataReceived(self, data: bytes) -> None:
        """Frames, split anywhere."""
        if self.input_failed or self.closing:
            return
        message_completed = False
        try:
            for frame in self.reader.feed(data):
                message_completed = True
                self._handle(frame)
                if self.input_failed:
                    return
        except FrameError as error:
            self.fail(error.reason)
            return
        self.listener.limits.update(self, message_completed)
        self._count_buffered()
        self._close_if_done()

    def _handle(self, frame: frames.Frame) -> None:
        if frame.type == frames.REQUEST:
            if frame.stream == 0 or frame.stream in self.requests:
                # An answer under a number in use would be a second answer to the first request.
                self._ignore_invalid("stream-in-use")
                return
            self._submit(frame)
        elif frame.type == frames.CANCEL:
            if (request := self._release(frame.stream)) is not None:
                self.listener.dispatcher.abandon(request)
            self._request_ended()
        elif frame.type == frames.READINESS_QUERY:
            self._write(frames.pack(frames.READINESS, frame.stream, bytes([self.listener.ready()]) + b"\0"))
        else:
            self._ignore_invalid("unknown-type")
            return
        self.has_sent_message = True

    def _ignore_invalid(self, reason: str) -> None:
        """A whole frame that can't be used: it is ignored, and what else is open here goes on."""
        self._invalid_frames += 1
        if self._invalid_frames > MAX_INVALID_FRAMES:
            self.fail(reason)
            return
        logger.info(
            "frame ignored: {reason} peer={peer}", event="frame-ignored", reason=reason, peer=self._peer_address()
        )
        self._write(frames.pack_answer(0, frames.FAILED, frames.error_fields(reason)))

    def _submit(self, frame: frames.Frame) -> None:
        stream, listener = frame.stream, self.listener
        self.requests[stream] = None
        try:
            work = frames.read_request(frame.payload, listener.dispatcher.settings)
            other = listener.requests.get(work.client_request_id)
            if other is not None and other.incoming.statement != work.statement:
                raise InvalidRequestError("rid is open with another statement")  # engines know requests by their ids
        except InvalidRequestError as error:
            self.answer(stream, frames.FAILED, frames.error_fields(str(error)))
            return
        if len(self.requests) > MAX_STREAMS or listener.draining or self.over_limit:
            self.answer(stream, frames.REJECTED, listener.overload_fields)
            return
        self._accepted_requests += 1
        request = listener.dispatcher.submit(work, StreamSink(self, stream))
        self.requests[stream] = listener.requests[work.client_request_id] = request

    def _release(self, stream: int) -> Request | None:
        """Free the stream; returns its request, if one was accepted on it."""
        request = self.requests.pop(stream, None)
        if request is not None and self.listener.requests.get(request.incoming.client_request_id) is request:
            del self.listener.requests[request.incoming.client_request_id]
        return request

    def has_unread_input(self) -> bool:
        """Whether something that it sent lies unread in its socket."""
        return has_unread_bytes(self.transport)

    # Writing.

    def answer(self, stream: int, code: int, fields: dict[str, str], body: bytes = b"") -> None:
        """The one answer on a stream, whole; nothing if the client has gone."""
        if stream in self.requests:
            self._release(stream)
            self._write(frames.pack_answer(stream, code, fields, body))
            self._request_ended()

    def _write(self, data: bytes) -> None:
        self.transport.write(data)
        self.unsent_bytes += len(data)
        self._count_buffered()

    def _count_buffered(self) -> None:
        """Guards the memory limit: what clients leave unread or send in part is bounded, each and in sum."""
        limits = self.listener.limits
        buffered_bytes = self.unsent_bytes + len(self.reader.buffer)
        limits.buffered_bytes += buffered_bytes - self.buffered_bytes
        self.buffered_bytes = buffered_bytes
        if self.unsent_bytes > MAX_UNSENT_BYTES:
            self.abort("slow-reader")
        elif limits.buffered_bytes > limits.max_buffered_bytes:
            limits.abort_largest()

    def _request_ended(self) -> None:
        if not self.requests and not self.closing:
            self._close_if_done()
            self.listener.limits.update(self)

    # Its end.

    @property
    def has_work_pending(self) -> bool:
        """Whether it waits for an answer, or is in the middle of a message."""
        return not self.closing and bool(self.requests or self.unsent_bytes or self.reader.buffer)

    def fail(self, reason: str) -> None:
        """Nothing more can be read: say why, under no request, and end once what is open has its answer."""
        if self.input_failed or self.closing:
            return
        self.input_failed, self.close_reason = True, reason
        self.reader = frames.FrameReader()
        self._write(frames.pack_answer(0, frames.FAILED, frames.error_fields(reason)))
        self.close_when_done(reason)

    def go_away(self) -> None:
        """Tell it to send no new request; once the process drains, it ends when what is open has its answer."""
        if not self._go_away_sent and not self.closing:
            self._go_away_sent = True
            self._write(frames.pack(frames.GO_AWAY, 0))
        if self.listener.draining:
            self.close_when_done("drained")

    def close_when_done(self, reason: str) -> None:
        """End as soon as nothing is pending here. What comes before that is answered."""
        self.close_reason = self.close_reason or reason
        self.listener.limits.update(self)
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self.close_reason and not self.requests and not (self.reader.buffer and not self.input_failed):
            self.close(self.close_reason)

    def close(self, reason: str) -> bool:
        """Close our half now if nothing is pending; what comes later is thrown away until the client closes its own.

        Looking whether something lies unread and closing have to be one: the transport closes a pass later, and what
        is read in between would never be answered. The other half stays open, since a reset over unread bytes can
        overtake the last answer.

        Returns:
            Whether it was closed.
        """
        if self.closing or self.requests or self.unsent_bytes or (not self.input_failed and self.has_unread_input()):
            return False
        self._end_reason, self.closing = reason, True
        with suppress(OSError):  # the client was quicker
            self.transport.getHandle().shutdown(socket.SHUT_WR)
        self.reader = frames.FrameReader()
        self._count_buffered()
        self.listener.limits.update(self)
        return True

    def close_socket(self) -> None:
        """Give its descriptor back; the kernel still delivers what was sent."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def abort(self, reason: str) -> None:
        """End it with what was not read or written."""
        if not self.closing:
            self._end_reason, self.closing = reason, True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Free all that this client waited for."""
        self.listener.limits.remove(self)
        abandoned = [request for request in map(self._release, list(self.requests)) if request is not None]
        for request in abandoned:
            self.listener.dispatcher.abandon(request)
        if self._end_reason == "client-closed" and reason is not None and reason.type is not ConnectionDone:
            self._end_reason = "reset"
        logger.info(
            "client connection ended: {reason} requests={requests} abandoned={abandoned} peer={peer}",
            event="client-connection-ended",
            reason=self._end_reason,
            requests=self._accepted_requests,
            abandoned=len(abandoned),
            peer=self._peer_address(),
        )

    def _peer_address(self) -> str:
        peer = self.transport.getPeer()
        return f"{getattr(peer, 'host', '?')}:{getattr(peer, 'port', 0)}"
