"""One client's TCP connection: reading and writing, startup, timeouts, backpressure and closing.

Passes messages one at a time to the session's state machine (`decklb.pg.session`) and submits its statements to the
dispatcher. Created by `decklb.pg.listener.PgListener` for each client. Owns the messages that wait while a statement
runs, the running statement, the timer and the reason for closing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from decklb.core.fair_turns import Turn
from decklb.core.memory_account import SMALL_MESSAGE_BYTES, HeldKind, MemoryAccount
from decklb.core.ports import Clock, RequestHandler, Timer
from decklb.pg import messages as pg
from decklb.pg import sqlstate
from decklb.pg.connection_registry import ConnectionRegistry
from decklb.pg.errors import PgError, Severity
from decklb.pg.messages import BackendKey
from decklb.pg.parameters import IDEMPOTENCY_KEY_PARAMETER
from decklb.pg.request import PgRequest
from decklb.pg.running_statement import RunningStatement
from decklb.pg.session import Session, SessionContext
from decklb.pg.startup import (
    ENCRYPTION_REFUSED,
    CancelRequest,
    EncryptionRequest,
    StartupMessage,
    initial_parameters,
    read_startup,
    startup_reply,
)
from decklb.wire.client_timeouts import FIRST_MESSAGE_TIMEOUT_MS, LINGERING_CLOSE_TIMEOUT_MS, PARTIAL_MESSAGE_TIMEOUT_MS
from decklb.wire.connection_end import RECEIVE_BYTES, peer_has_left
from decklb.wire.input_turns import InputTurns
from decklb.wire.memory_log import MemoryLog
from decklb.wire.partial_messages import PartialMessages
from decklb.wire.reading_switch import PauseReason, ReadingSwitch

MAX_PENDING_BYTES = 1 << 20  # total size of the messages that wait while a statement runs
PENDING_OVERHEAD_BYTES = 300  # of the records of a message that waits
COPIES_OF_PENDING = 2  # a message that waits is kept with and without its header
MAX_UNREAD_RESULTS = 2  # limit on the bytes that a client leaves unread, as a multiple of `max_result_bytes`


@dataclass(slots=True)
class ConnectionContext:
    """State shared by all connections of a listener.

    Attributes:
        session_context: State shared by their sessions.
        registry: The open connections.
        clock: Monotonic time and timers.
        request_handler: Receives statements: the dispatcher, or the handoff in front of it.
        account: The memory that connections hold.
        partial_messages: The large messages in progress.
        memory_log: Logs what was rejected or paused because memory is short.
        turns: In which the input of all connections is handled.
    """

    session_context: SessionContext
    registry: ConnectionRegistry
    clock: Clock
    request_handler: RequestHandler
    account: MemoryAccount
    partial_messages: PartialMessages
    memory_log: MemoryLog
    turns: InputTurns


class ClientConnection(Protocol):
    """One client connection."""

    transport: Any  # the type checker can't read zope's interfaces

    def __init__(self, context: ConnectionContext) -> None:
        self._context, self._registry = context, context.registry
        self._session: Session | None = None  # None until startup is complete
        self._backend_key: BackendKey | None = None
        self._running: RunningStatement | None = None
        self.write_paused = False  # the client is not reading its data
        self._reader = pg.MessageReader(context.session_context.postgres.max_message_bytes, startup=True)
        self._holder = context.account.holder("session")
        self.turn: Turn[ClientConnection] = Turn(self)
        self.handled_bytes = 0
        self._reading = ReadingSwitch()
        self._may_be_behind = False  # bytes, or the client's close, may be unread: until a receipt leaves nothing
        self._message_completed = False  # since the last turn began
        self._pending: deque[pg.Message] = deque()
        self._pending_bytes = 0
        self._unread_bytes = 0  # written since the client stopped reading
        self._closed = False
        self._end_reason = "client-closed"  # as logged
        self._submitted_count = 0
        self._abandoned_count = 0
        self._timer: Timer | None = None  # for startup, an incomplete message, or the lingering close

    # Incoming data.

    def connectionMade(self) -> None:
        """Start the timeout for the client's first message; nothing is sent before it."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._holder.name = f"session {self._peer_address()}"
        self._start_timer(FIRST_MESSAGE_TIMEOUT_MS, self._message_timed_out)
        self._registry.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Handle a chunk of the byte stream, which may contain any part of a message."""
        if self._closed:  # read and discarded: closing with unread bytes would send a reset
            return
        self._may_be_behind = len(data) >= RECEIVE_BYTES
        self._reader.append(data)
        self._context.turns.received(self)

    def handle_next(self) -> bool:
        """Handle one message. See `decklb.wire.input_turns.InputConnection`."""
        if self._closed:
            return False
        try:
            if self._can_handle_pending:
                self._handle_pending()
            else:
                self.handled_bytes = 0
                message = self._reader.next_message()
                if message is None:
                    return False
                self._message_completed = True
                if self._reader.startup:
                    self._receive_startup(message)
                else:
                    self._add_pending(message)
        except PgError as error:
            self._end_with_error(error)
        return not self._closed and bool(self._can_handle_pending or self._reader.has_partial)

    @property
    def is_receiving_large(self) -> bool:
        """Whether it is in the middle of a large message."""
        return self._reader.is_receiving_large

    def input_handled(self, waiting: bool) -> None:
        """A turn is over: report what is held, and read on unless there is input that waits."""
        if waiting:
            self._report_received()
            self._may_be_behind = True
            self._reading.pause(self.transport, PauseReason.TURN)
            return
        self._reading.resume(self.transport, PauseReason.TURN)
        if self._closed:
            return
        try:
            self._report_partial()
        except PgError as error:
            return self._end_with_error(error)
        message_completed, self._message_completed = self._message_completed, False
        if self._session is None:
            return
        if not self._reader.has_partial:
            self._cancel_timer()
        elif message_completed or self._timer is None:
            self._start_timer(PARTIAL_MESSAGE_TIMEOUT_MS, self._message_timed_out)
        if message_completed:
            self.end_if_draining()

    def _add_pending(self, message: pg.Message) -> None:
        if not self._context.account.admits(len(message.raw)):
            message = pg.Message(message.type, b"", b"", discarded=True)
        if message.discarded:
            self._context.memory_log.request_rejected(self._holder)
        self._pending.append(message)
        self._pending_bytes += len(message.raw) + PENDING_OVERHEAD_BYTES
        # Reading continues up to this limit, since a disconnect is only noticed by reading.
        if self._pending_bytes - len(message.raw) > MAX_PENDING_BYTES:
            raise PgError(sqlstate.PROGRAM_LIMIT_EXCEEDED, "too many messages at once", fatal=True)

    def _next_pending(self) -> pg.Message:
        message = self._pending.popleft()
        self._pending_bytes -= len(message.raw) + PENDING_OVERHEAD_BYTES
        return message

    def _report_received(self) -> None:
        received = len(self._reader.buffer) + COPIES_OF_PENDING * self._pending_bytes
        self._holder.set(HeldKind.PARTIAL_MESSAGE, received)

    def _report_partial(self) -> None:
        """Report what waits and the message in progress; a large one may be given up if memory is short."""
        self._report_received()
        if self._reader.partial_size() > SMALL_MESSAGE_BYTES:
            self._context.partial_messages.progressed(self, self._context.clock.now())
        else:
            self._context.partial_messages.remove(self)
        if self._pending and self._context.account.under_pressure:
            self._pause_reading_for_memory()

    def _pause_reading_for_memory(self) -> None:
        self._may_be_behind = True
        if self._reading.pause(self.transport, PauseReason.MEMORY):
            self._context.memory_log.reading_paused(self._holder)

    def discard_partial(self) -> None:
        """Give up the message in progress, to save memory; it is refused when its end has arrived."""
        self._reader.discard_partial()
        self._report_received()

    def _receive_startup(self, message: pg.Message) -> None:
        request = read_startup(message.payload)
        if isinstance(request, EncryptionRequest):
            self.transport.write(ENCRYPTION_REFUSED)
        elif isinstance(request, CancelRequest):
            self._registry.cancel(request.key)
            self.close("cancel-request")
        else:
            self._begin_session(request)

    def _begin_session(self, startup: StartupMessage) -> None:
        self._registry.check_admission()
        context = self._context.session_context
        parameters = initial_parameters(startup, context.postgres, context.workload)
        self._session = Session(context, self, parameters, self._holder)
        self._reader.startup = False
        self._backend_key = self._registry.register_session(self)
        self.write(startup_reply(startup, self._backend_key))

    @property
    def _can_handle_pending(self) -> bool:
        """Whether a message waits and may be handled: they wait while an engine runs a statement."""
        return bool(self._pending) and self._running is None and not (self.write_paused or self._closed)

    def _handle_pending(self) -> None:
        """Handle the message that has waited longest."""
        message = self._next_pending()
        self.handled_bytes = len(message.raw)
        assert self._session is not None
        try:
            self._session.receive(message)
        except PgError as error:
            if error.fatal:
                raise
            self._session.report_error(error)
        self._report_received()
        if not self._pending:
            self._reading.resume(self.transport, PauseReason.MEMORY)

    # Implementation of `SessionOutput`, which the session calls.

    def write(self, data: bytes) -> None:
        """Send data; a client that leaves too much of it unread is disconnected."""
        self.transport.write(data)
        if self.write_paused:
            self._set_unread(self._unread_bytes + len(data))
            if self._unread_bytes > MAX_UNREAD_RESULTS * self._context.session_context.postgres.max_result_bytes:
                self._closed, self._end_reason = True, "slow-reader"
                self.transport.abortConnection()

    def submit(self, request: PgRequest, on_result: Callable[[bytes], None]) -> None:
        """Submit a statement to the request handler."""
        self._submitted_count += 1
        idempotency_key = request.idempotency_key
        deadline_ms = self.now_ms() + request.budget_ms
        statement = RunningStatement(self, deadline_ms, on_result, has_idempotency_key=bool(idempotency_key))
        self._running = statement
        statement.handle = self._context.request_handler.submit(request, statement, self.client_has_left)
        if request.idempotency_key != idempotency_key:  # the handoff has generated a key: tell the client
            self.write(pg.pack_parameter_status(IDEMPOTENCY_KEY_PARAMETER, request.idempotency_key))

    def client_has_left(self) -> bool:
        """Whether the client has closed or reset the connection behind bytes that were not read yet."""
        return self._may_be_behind and peer_has_left(self.transport)

    def requeue(self, message: pg.Message) -> None:
        """Handle this message again before any other."""
        self._pending.appendleft(message)
        self._pending_bytes += len(message.raw) + PENDING_OVERHEAD_BYTES

    def close(self, reason: str) -> None:
        """Close the connection after all written data has been sent."""
        self._closed, self._end_reason = True, reason
        self._registry.startup_ended(self)
        self._abandon_running()
        self._start_timer(LINGERING_CLOSE_TIMEOUT_MS, self._linger_ended)
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    # Implementation of `AnswerReceiver`, which the running statement calls.

    def now_ms(self) -> float:
        """Return the monotonic time in ms."""
        return self._context.clock.now()

    def complete(self, send_answer: Callable[[], None]) -> None:
        """The running statement has its final answer: send it to the client and handle the messages that wait."""
        self._running = None
        if not self._closed:
            send_answer()
            self.end_if_draining()
            self._context.turns.received(self)

    def report_error(self, error: PgError) -> None:
        """Send a non-fatal error."""
        assert self._session is not None
        self._session.report_error(error)

    def cancel_running(self) -> None:
        """Carry out a CancelRequest: cancel the running statement and answer it now."""
        statement, self._running = self._running, None
        if statement is not None and statement.handle is not None:
            self._context.request_handler.cancel(statement.handle)
            error = PgError(sqlstate.QUERY_CANCELED, "canceling statement due to user request")
            self.complete(lambda: self.report_error(error))

    def admits_result(self, result_bytes: int) -> bool:
        """Whether there is memory to send a result of this size."""
        return self._context.account.admits(result_bytes, result_bytes)

    # Backpressure: Twisted's push producer interface.

    def pauseProducing(self) -> None:
        """The client reads too slowly: stop handling its messages."""
        self.write_paused = True

    def resumeProducing(self) -> None:
        """All written data has been sent: continue."""
        self.write_paused = False
        self._set_unread(0)
        self._context.turns.received(self)

    def stopProducing(self) -> None:
        """The connection is closing; `connectionLost` does the cleanup."""

    # Closing.

    def end_if_draining(self) -> None:
        """While the program drains, end the session as soon as no statement runs or waits."""
        idle = self._running is None and not (self._pending or self.turn.waiting)
        if self._registry.draining and idle and not self._closed:
            text = "the workload manager is shutting down"
            self._end_with_error(PgError(sqlstate.ADMIN_SHUTDOWN, text, fatal=True))

    def _end_with_error(self, error: PgError) -> None:
        """Send a fatal error, then discard incoming data until the client closes or the lingering close times out."""
        self.write(pg.pack_error(error.sqlstate, error.message, error.hint, Severity.FATAL))
        self._closed, self._end_reason = True, error.sqlstate
        self._abandon_running()
        self._drop_input()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._start_timer(LINGERING_CLOSE_TIMEOUT_MS, self._linger_ended)

    def _drop_input(self) -> None:
        self._reader.buffer.clear()
        self._pending.clear()
        self._pending_bytes = 0
        self._context.partial_messages.remove(self)
        self._report_received()

    def _set_unread(self, unread_bytes: int) -> None:
        self._unread_bytes = unread_bytes
        self._holder.set(HeldKind.UNSENT_ANSWER, unread_bytes)

    def _abandon_running(self) -> None:
        statement, self._running = self._running, None
        if statement is not None and statement.handle is not None:
            self._abandoned_count += 1
            self._context.request_handler.abandon(statement.handle)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Abandon the running statement, remove the connection from the registry and log its end."""
        self._closed = True
        self._cancel_timer()
        self._abandon_running()
        self._drop_input()
        self._set_unread(0)
        if self._session is not None:
            self._session.end()
        self._registry.remove(self, self._backend_key)
        if self._end_reason == "client-closed" and reason is not None and reason.type is not ConnectionDone:
            self._end_reason = "reset"
        logger.info(
            "session ended: {reason} requests={requests} abandoned={abandoned} peer={peer} most_held={most_held}",
            event="session-ended",
            reason=self._end_reason,
            requests=self._submitted_count,
            abandoned=self._abandoned_count,
            peer=self._peer_address(),
            most_held=self._holder.peak,
        )

    def _peer_address(self) -> str:
        peer = self.transport.getPeer()
        return f"{peer.host}:{peer.port}"

    # The timer.

    def _start_timer(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._context.clock.call_later(delay_ms, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _message_timed_out(self) -> None:
        self._timer = None
        text = "the message did not become whole in time"
        self._end_with_error(PgError(sqlstate.PROTOCOL_VIOLATION, text, fatal=True))

    def _linger_ended(self) -> None:
        self._timer = None
        self.transport.abortConnection()
