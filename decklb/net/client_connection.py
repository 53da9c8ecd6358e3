"""A client connection that speaks the frame protocol: its requests, its answers and its end.

It reads frames (`frames.FrameReader`), submits requests to the dispatcher and writes one answer for each. It ends with
a lingering close: our side is shut down once there are no open requests, no unsent or unread bytes and no partial
message; further input is discarded until the client closes its side. Made by `listener`; `connection_limits` evicts
connections and times them out.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from decklb.core.attempts import Request
from decklb.core.fair_turns import Turn
from decklb.core.memory_account import REQUEST_OVERHEAD_BYTES, SMALL_MESSAGE_BYTES, HeldKind
from decklb.net import frames
from decklb.net.frames import FrameError, InvalidRequestError
from decklb.wire.connection_end import RECEIVE_BYTES, has_unread_bytes, peer_has_left
from decklb.wire.reading_switch import PauseReason, ReadingSwitch

if TYPE_CHECKING:
    from decklb.net.listener import FrameListener

MAX_STREAMS = 32  # open requests on one connection
MAX_UNSENT_BYTES = 32 * 52_000  # that one client may leave unread: the largest possible answers to its open requests
MAX_INVALID_FRAMES = 8  # complete but invalid frames that are tolerated on one connection
MAX_INPUT_WAIT_MS = 500.0  # for which a request may wait for its turn, before it is rejected without being read
MAX_INVALID_REQUESTS = 1000  # requests with invalid fields, likewise


class StreamSink:
    """The response sink of one stream. See `decklb.core.ports.ResponseSink`."""

    __slots__ = ("client", "stream")

    def __init__(self, client: ClientConnection, stream: int) -> None:
        self.client, self.stream = client, stream

    def served(self, result: bytes) -> None:
        """Send the complete result in one write."""
        self.client.answer(self.stream, frames.SERVED, {}, result)

    def rejected(self, retry_after_ms: float) -> None:
        """Send a rejection: the request is safe to retry, preferably after `retry_after_ms`."""
        self.client.answer(self.stream, frames.REJECTED, frames.rejection_fields(retry_after_ms))

    def failed(self) -> None:
        """Send a failure: the request may or may not have been executed."""
        self.client.answer(self.stream, frames.FAILED, {})


class ClientConnection(Protocol):
    """A client connection."""

    transport: Any  # the type checker does not understand zope interfaces

    def __init__(self, listener: FrameListener) -> None:
        self.listener = listener
        self.requests: dict[int, Request | None] = {}  # open ones by stream; None until the request is submitted
        self.unsent_bytes = 0  # bytes written since the transport last had sent everything
        self.holder = listener.account.holder("client")
        self.has_sent_message = False  # a complete, valid message was received
        self.input_failed = False  # its input is invalid or overdue, and no longer read
        self.close_reason = ""  # why it is to close once nothing is pending; "" while it is not to close
        self.closing = False  # our side is shut down or the connection aborted: further input is discarded
        self.over_limit = False  # accepted beyond the limit: its requests are rejected
        self.reader = frames.FrameReader()
        self.turn: Turn[ClientConnection] = Turn(self)
        self.handled_bytes = 0
        self._reading = ReadingSwitch()
        self._received_at_ms = 0.0  # time of the last receipt
        self._may_be_behind = False  # bytes, or the client's close, may be unread: until a receipt leaves nothing
        self._paused_at_ms: float | None = None  # since when its input waits
        self._paused_ms = 0.0  # for which the message in progress waited unread
        self._message_completed = False  # since the last turn began
        self._go_away_sent = False
        self._end_reason = "client-closed"  # for the log
        self._accepted_requests = 0
        self._invalid_frames = self._invalid_requests = 0
        self._request_frames = self._late_cancels = 0

    def connectionMade(self) -> None:
        """Register the connection, and notify the client at once if the process is draining."""
        self.transport.setTcpNoDelay(True)
        # As a pull producer, it is called each time that the transport has sent everything.
        self.transport.registerProducer(self, False)
        self.holder.name = f"client {self._peer_address()}"
        self.listener.limits.add(self)
        if self.listener.draining:
            self.go_away()

    # The transport reports whether the client reads its answers. The input of a client that reads slowly is accepted
    # while there is memory for its answers.

    def resumeProducing(self) -> None:
        """Called by the transport when everything written has been sent."""
        if self.unsent_bytes:
            self._set_unsent(0)
            self._reading.resume(self.transport, PauseReason.MEMORY)
            self._request_ended()

    def stopProducing(self) -> None:
        """Called by the transport when the connection ends."""

    # Reading.

    def dataReceived(self, data: bytes) -> None:
        """Handle received bytes: frames, split at any position."""
        if self.input_failed or self.closing:
            return
        self._received_at_ms = self.listener.dispatcher.clock.now()
        self._may_be_behind = len(data) >= RECEIVE_BYTES
        self.reader.append(data)
        self.listener.turns.received(self)

    def handle_next(self) -> bool:
        """Handle one frame. See `decklb.wire.input_turns.InputConnection`."""
        if self.input_failed or self.closing:
            return False
        try:
            frame = self.reader.next_frame()
        except FrameError as error:
            self.fail(error.reason)
            return False
        if frame is None:
            return False
        self._message_completed = True
        self.handled_bytes = len(frame.payload)
        self._report_received()
        self._handle(frame)
        return bool(self.reader.buffer)

    @property
    def is_receiving_large(self) -> bool:
        """Whether it is in the middle of a large message."""
        return self.reader.is_receiving_large

    def input_handled(self, waiting: bool) -> None:
        """A turn is over: report what is held, and read on unless there is input that waits."""
        if waiting:
            self._report_received()
            self._pause_for_turn()
            return
        self._resume_after_turn()
        if self.input_failed or self.closing:
            return
        message_completed, self._message_completed = self._message_completed, False
        self._report_partial()
        self.listener.limits.update(self, message_completed)
        self._close_if_done()

    def _pause_for_turn(self) -> None:
        if self._paused_at_ms is None:
            self._paused_at_ms = self.listener.dispatcher.clock.now()
        self._may_be_behind = True
        self._reading.pause(self.transport, PauseReason.TURN)

    def _resume_after_turn(self) -> None:
        if self._paused_at_ms is not None:
            self._paused_ms += self.listener.dispatcher.clock.now() - self._paused_at_ms
            self._paused_at_ms = None
        if not self.reader.has_partial:
            self._paused_ms = 0.0
        self._reading.resume(self.transport, PauseReason.TURN)

    def _report_received(self) -> None:
        self.holder.set_roughly(HeldKind.PARTIAL_MESSAGE, len(self.reader.buffer))

    def _report_partial(self) -> None:
        """Report the message in progress; a large one may be given up if memory is short."""
        self._report_received()
        if self.reader.partial_size() > SMALL_MESSAGE_BYTES:
            self.listener.partial_messages.progressed(self, self.listener.dispatcher.clock.now())
        else:
            self.listener.partial_messages.remove(self)

    def discard_partial(self) -> None:
        """Give up the message in progress, to save memory; its request is rejected when its end has arrived."""
        self.reader.discard_partial()
        self._report_received()

    def _handle(self, frame: frames.Frame) -> None:
        if frame.type == frames.REQUEST:
            self._request_frames += 1
            if frame.stream == 0 or frame.stream in self.requests:
                # An answer on a stream in use would look like a second answer to its first request.
                self._ignore_invalid("stream-in-use")
                return
            waited_ms = self.listener.dispatcher.clock.now() - self._received_at_ms + self._paused_ms
            if waited_ms > MAX_INPUT_WAIT_MS:
                self._reject_unread(frame.stream)
            elif frame.discarded or not self.listener.account.admits(len(frame.payload), REQUEST_OVERHEAD_BYTES):
                self._reject_for_memory(frame.stream)
            else:
                self._submit(frame, waited_ms)
            self._paused_ms = 0.0
        elif frame.type == frames.CANCEL:
            if not self._cancel(frame.stream):
                return
        elif frame.type == frames.READINESS_QUERY:
            self._write(frames.pack(frames.READINESS, frame.stream, bytes([self.listener.ready()]) + b"\0"))
        else:
            self._ignore_invalid("unknown-type")
            return
        self.has_sent_message = True

    def _cancel(self, stream: int) -> bool:
        """Cancel a request; returns whether the frame was valid: its answer may have crossed it."""
        if (request := self._release(stream)) is not None:
            self.listener.dispatcher.abandon(request)
        elif self._late_cancels < self._request_frames:
            self._late_cancels += 1
        else:
            self._ignore_invalid("unknown-stream")
            return False
        self._request_ended()
        return True

    def _ignore_invalid(self, reason: str) -> None:
        """Ignore a complete but invalid frame; the open requests of the connection continue."""
        self._invalid_frames += 1
        if self._invalid_frames > MAX_INVALID_FRAMES:
            self.fail(reason)
            return
        logger.info(
            "frame ignored: {reason} peer={peer}", event="frame-ignored", reason=reason, peer=self._peer_address()
        )
        self._write(frames.pack_answer(0, frames.FAILED, frames.error_fields(reason)))

    def _submit(self, frame: frames.Frame, waited_ms: float) -> None:
        stream, listener = frame.stream, self.listener
        self.requests[stream] = None
        try:
            incoming = frames.read_request(frame.payload, listener.dispatcher.settings)
            other = listener.requests.get(incoming.client_request_id)
            if other is not None and other.incoming.statement != incoming.statement:
                # Engines identify requests by these ids.
                raise InvalidRequestError("rid is open with another statement")
        except InvalidRequestError as error:
            self._invalid_requests += 1
            self.answer(stream, frames.FAILED, frames.error_fields(str(error)))
            if self._invalid_requests > MAX_INVALID_REQUESTS:
                self.fail("invalid-requests")
            return
        incoming.budget_ms -= waited_ms
        if len(self.requests) > MAX_STREAMS or listener.draining or self.over_limit or incoming.budget_ms <= 0:
            self.answer(stream, frames.REJECTED, listener.overload_fields)
            return
        self._accepted_requests += 1
        incoming.charge = self.holder.charge_request(len(frame.payload))
        request = listener.dispatcher.submit(incoming, StreamSink(self, stream), self.client_has_left)
        self.requests[stream] = listener.requests[incoming.client_request_id] = request

    def _reject_for_memory(self, stream: int) -> None:
        """Reject a request that was not kept, or can't be; it is safe to retry."""
        self.listener.memory_log.request_rejected(self.holder)
        self.requests[stream] = None
        self.answer(stream, frames.REJECTED, self.listener.overload_fields)

    def _reject_unread(self, stream: int) -> None:
        """Reject a request that waited so long for its turn that others behind it would be late too."""
        self.requests[stream] = None
        self.answer(stream, frames.REJECTED, self.listener.overload_fields)

    def _release(self, stream: int) -> Request | None:
        """Free the stream; returns its request if it was submitted."""
        request = self.requests.pop(stream, None)
        if request is not None and self.listener.requests.get(request.incoming.client_request_id) is request:
            del self.listener.requests[request.incoming.client_request_id]
        return request

    def has_unread_input(self) -> bool:
        """Whether received bytes are not handled, or the socket has unread bytes."""
        return self.turn.waiting or has_unread_bytes(self.transport)

    def is_receiving(self, since_ms: float) -> bool:
        """Whether a part of a message was received in the last `since_ms`."""
        now = self.listener.dispatcher.clock.now()
        return self.reader.has_partial and now - self._received_at_ms <= since_ms

    def client_has_left(self) -> bool:
        """Whether the client has closed or reset the connection behind bytes that were not read yet."""
        return self._may_be_behind and peer_has_left(self.transport)

    # Writing.

    def answer(self, stream: int, code: int, fields: dict[str, str], body: bytes = b"") -> None:
        """Send the only answer on a stream, complete; does nothing if the client has cancelled the request or left."""
        if stream in self.requests:
            self._release(stream)
            if code == frames.SERVED and self.unsent_bytes and not self.listener.account.admits(len(body), len(body)):
                # It does not read its answers, and there is no memory for more of them.
                code, fields, body = frames.FAILED, frames.error_fields("answers-unread"), b""
            self._write(frames.pack_answer(stream, code, fields, body))
            self._request_ended()

    def _write(self, data: bytes) -> None:
        was_unsent = self.unsent_bytes
        self.transport.write(data)
        self._set_unsent(was_unsent + len(data))
        if self.unsent_bytes > MAX_UNSENT_BYTES:
            self.abort("slow-reader")
        elif was_unsent and self.listener.account.under_pressure:
            self._pause_reading_for_memory()

    def _pause_reading_for_memory(self) -> None:
        self._may_be_behind = True
        if self._reading.pause(self.transport, PauseReason.MEMORY):
            self.listener.memory_log.reading_paused(self.holder)

    def _set_unsent(self, unsent_bytes: int) -> None:
        self.unsent_bytes = unsent_bytes
        self.holder.set_roughly(HeldKind.UNSENT_ANSWER, unsent_bytes)

    def _request_ended(self) -> None:
        if not self.requests and not self.closing:
            self._close_if_done()
            self.listener.limits.update(self)

    # End of the connection.

    @property
    def has_work_pending(self) -> bool:
        """Whether it has an open request, unsent bytes or a partial message."""
        return not self.closing and bool(self.requests or self.unsent_bytes or self.reader.has_partial)

    def fail(self, reason: str) -> None:
        """Stop reading: send the reason on stream 0, and close once open requests are answered."""
        if self.input_failed or self.closing:
            return
        self.input_failed, self.close_reason = True, reason
        self._drop_input()
        self._write(frames.pack_answer(0, frames.FAILED, frames.error_fields(reason)))
        self.close_when_done(reason)

    def go_away(self) -> None:
        """Tell the client to send no new requests; if the process drains, close once open requests are answered."""
        if not self._go_away_sent and not self.closing:
            self._go_away_sent = True
            self._write(frames.pack(frames.GO_AWAY, 0))
        if self.listener.draining:
            self.close_when_done("drained")

    def close_when_done(self, reason: str) -> None:
        """Close as soon as nothing is pending. Requests that arrive before that are answered."""
        self.close_reason = self.close_reason or reason
        self.listener.limits.update(self)
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self.close_reason and not self.requests and not (self.reader.has_partial and not self.input_failed):
            self.close(self.close_reason)

    def close(self, reason: str) -> bool:
        """Shut down our side now if nothing is pending; later input is discarded until the client closes its side.

        The check for unread bytes and the shutdown have to happen together: the transport closes one reactor pass
        later, and a request read in between would never be answered. The receiving side stays open, because the reset
        that follows a close with unread bytes can overtake the last answer.

        Returns:
            Whether our side was shut down.
        """
        if self.closing or self.requests or self.unsent_bytes or (not self.input_failed and self.has_unread_input()):
            return False
        self._end_reason, self.closing = reason, True
        with suppress(OSError):  # the client has closed already
            self.transport.getHandle().shutdown(socket.SHUT_WR)
        self._drop_input()
        self.listener.limits.update(self)
        return True

    def _drop_input(self) -> None:
        self.reader = frames.FrameReader()
        self.listener.partial_messages.remove(self)
        self._report_received()

    def close_socket(self) -> None:
        """Free the descriptor; the kernel still delivers what was sent."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def abort(self, reason: str) -> None:
        """End the connection at once; unread and unsent bytes are lost."""
        if not self.closing:
            self._end_reason, self.closing = reason, True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Unregister the connection and abandon its open requests."""
        self.closing = True
        self.listener.limits.remove(self)
        self._drop_input()
        self._set_unsent(0)
        abandoned = [request for request in map(self._release, list(self.requests)) if request is not None]
        for request in abandoned:
            self.listener.dispatcher.abandon(request)
        if self._end_reason == "client-closed" and reason is not None and reason.type is not ConnectionDone:
            self._end_reason = "reset"
        logger.info(
            "client connection ended: {reason} requests={requests} abandoned={abandoned} peer={peer} "
            "most_held={most_held}",
            event="client-connection-ended",
            reason=self._end_reason,
            requests=self._accepted_requests,
            abandoned=len(abandoned),
            peer=self._peer_address(),
            most_held=self.holder.peak,
        )

    def _peer_address(self) -> str:
        peer = self.transport.getPeer()
        return f"{getattr(peer, 'host', '?')}:{getattr(peer, 'port', 0)}"
