"""One session at a PostgreSQL engine, which runs one attempt at a time.

An attempt, even a cancelled one, is in flight until the engine sends ReadyForQuery or the connection is lost. Until
then the connection sends no other statement, and the core is not notified that the attempt has ended. A session for
which a CancelRequest is on its way takes no other attempt, because the request would end it: it is used again once the
engine has read the request, and closed if that remains unknown. Dialing, idle timeouts and the log line at the end are
those of `wire.engine_connection`.

State: the attempt that runs on the connection, waits for it or has reserved it, its CancelRequest, and the result
received so far. Owned by a pool of `pg.engines`.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import TYPE_CHECKING

from decklb.core.attempts import Attempt
from decklb.core.memory_account import HeldKind
from decklb.interface import Outcome
from decklb.pg import messages as pg
from decklb.pg import sqlstate
from decklb.pg.cancel_request import CANCEL_TIMEOUT_MS, CancelEnd, CancelRequest
from decklb.pg.engine_prepared_statements import EnginePreparedStatements
from decklb.pg.errors import PgError
from decklb.pg.messages import BackendKey, BackendType, FrontendType
from decklb.pg.request import PgRequest
from decklb.wire.engine_connection import IDLE_TIMEOUT, EngineConnection

if TYPE_CHECKING:
    from decklb.pg.engines import PgPool

IDLE_TIMEOUT_MS = 60_000.0  # an unused connection closes after this time
MESSAGE_OVERHEAD = 1 << 20  # bytes by which one message may exceed the largest result
# SQLSTATE classes of errors of the engine, not of the statement: another engine may succeed. Class 57 includes a
# cancellation that this manager did not ask for; the end of one that it asked for is not looked at.
ENGINE_ERROR_CLASSES = ("53", "57", "58", "XX", "08")
NO_BACKEND_KEY = BackendKey(0, 0)
BACKEND_KEY_FORMAT = struct.Struct(">II")  # process id and secret key
TRANSACTION_IDLE = b"I"  # status in ReadyForQuery: not in a transaction block
RESULT_MESSAGES = frozenset(  # forwarded to the client
    (
        BackendType.PARAMETER_DESCRIPTION,
        BackendType.ROW_DESCRIPTION,
        BackendType.NO_DATA,
        BackendType.DATA_ROW,
        BackendType.COMMAND_COMPLETE,
        BackendType.EMPTY_QUERY_RESPONSE,
        BackendType.PORTAL_SUSPENDED,
    )
)
COPY_RESPONSES = frozenset((b"G", b"H", b"W"))  # CopyInResponse, CopyOutResponse, CopyBothResponse


class PgConnection(EngineConnection):
    """One session at an engine."""

    pool: PgPool

    def __init__(self, pool: PgPool) -> None:
        super().__init__(pool)
        self.ready = False  # the last message was ReadyForQuery: a statement may be sent
        self.sent = False  # a statement is in flight
        self.reserved = False  # reserved for the attempt, which may not be sent yet
        self.attempt: Attempt | None = None  # notified when the statement ends
        self._on_released: Callable[[], None] | None = None  # called instead of the attempt after its cancellation
        self._cancel_request: CancelRequest | None = None  # on its way to the engine
        self._cancel_uncertain = False  # the engine may still read the last cancel request
        self._backend_key = NO_BACKEND_KEY
        self._statements = EnginePreparedStatements()
        self._result = list[bytes]()  # messages to forward to the client
        self._result_size = 0  # total size of these messages in bytes
        self._error: dict[str, str] | None = None  # fields of the last ErrorResponse, by their codes
        self._sent_bytes = 0  # of the statement in flight
        self._holder = pool.client.account.holder(f"engine {pool.engine}")
        self._reader = pg.MessageReader(pool.client.settings.max_result_bytes + MESSAGE_OVERHEAD, startup=False)

    # Attempts.

    @property
    def available(self) -> bool:
        """Whether the connection can take an attempt."""
        return not (self.attempt or self._on_released or self._cancel_request or self.closed)

    @property
    def cancel_key(self) -> bytes:
        """Key with which another manager can cancel the statement that runs here; empty if the engine sent no key."""
        return BACKEND_KEY_FORMAT.pack(*self._backend_key) if self._backend_key != NO_BACKEND_KEY else b""

    def run(self, attempt: Attempt) -> None:
        """Run an attempt, now or as soon as the session is ready."""
        self.attempt = attempt
        self._cancel_timer()
        if self.ready:
            self._send()

    def reserve(self, attempt: Attempt) -> None:
        """Reserve the connection, which is ready, for an attempt."""
        self.attempt, self.reserved = attempt, True
        self._cancel_timer()

    def run_reserved(self) -> None:
        """Run the attempt that has reserved the connection."""
        self.reserved = False
        self._send()

    def cancel_attempt(self, on_released: Callable[[], None]) -> None:
        """Cancel the attempt; `on_released` is called once the engine is ready again or the connection is lost."""
        if not self.sent:  # the connection is being established or was reserved: nothing was sent
            self.attempt = None
            if self.reserved:
                self.reserved = False
                self._schedule_idle_close()
            self.pool.client.clock.call_later(0, on_released)
            return
        self.attempt, self._on_released = None, on_released
        self._timer = self.pool.client.clock.call_later(CANCEL_TIMEOUT_MS, self._cancel_timed_out)
        self._cancel_request = self.pool.cancel(self._backend_key, self._cancel_request_ended)

    def _cancel_timed_out(self) -> None:
        self._timer = None
        self._abort("cancel-timeout")

    def _cancel_request_ended(self, end: CancelEnd) -> None:
        self._cancel_request, self._cancel_uncertain = None, end is CancelEnd.UNKNOWN
        if self._on_released is None and not self.closed:
            self._reuse_or_close()

    def _reuse_or_close(self) -> None:
        """The statement has ended. A cancel request that may still be read would end the next one in this session."""
        if self._cancel_uncertain:
            self._abort("cancel-uncertain")
        elif self._cancel_request is None or self.pool.retired:
            self._schedule_idle_close()

    def _send(self) -> None:
        assert self.attempt is not None
        pg_request = self.attempt.request.incoming
        assert isinstance(pg_request, PgRequest)
        self.ready, self.sent = False, True
        self.attempt.sent = True
        set_cancel_token = getattr(self.attempt, "set_cancel_token", None)
        if set_cancel_token is not None and self.cancel_key:  # lets another manager cancel it after a takeover
            set_cancel_token(self.cancel_key)
        self._result, self._result_size, self._error = [], 0, None
        encoded = self._statements.encode(pg_request)
        self.transport.write(encoded)
        self._sent_bytes = len(encoded)
        self._report_held()

    def _report_held(self) -> None:
        held = 0 if self.closed else self._sent_bytes + self._result_size + len(self._reader.buffer)
        self._holder.set(HeldKind.ENGINE, held)

    # Messages.

    def connectionMade(self) -> None:
        """Send the startup message."""
        self.transport.setTcpNoDelay(True)
        session_parameters = {"client_encoding": "UTF8", "application_name": "decklb"}
        self.transport.write(pg.pack_startup(self.pool.client.settings.startup | session_parameters))

    def dataReceived(self, data: bytes) -> None:
        """Handle a chunk of the byte stream, which may contain any part of a message."""
        try:
            for message in self._reader.feed(data):
                if not self.closed:
                    self._handle(message)
        except PgError as error:
            self._abort(f"protocol: {error}")
        self._report_held()

    def _handle(self, message: pg.Message) -> None:
        if message.type in RESULT_MESSAGES:
            self._add_to_result(message.raw)
        elif message.type == BackendType.READY_FOR_QUERY:
            self._ready_for_query(message.payload)
        elif message.type == BackendType.ERROR_RESPONSE:
            self._error = pg.read_error(message.payload)
            self._add_to_result(message.raw)
        elif message.type == BackendType.BACKEND_KEY_DATA and len(message.payload) == BACKEND_KEY_FORMAT.size:
            self._backend_key = BackendKey(*BACKEND_KEY_FORMAT.unpack(message.payload))
        elif message.type == BackendType.AUTHENTICATION and message.payload != pg.AUTHENTICATION_OK_PAYLOAD:
            self._abort("authentication-requested")
        elif message.type in COPY_RESPONSES:
            # The front rejects clients' COPY statements; a COPY that was started in another way is aborted here.
            self._abort("copy-refused")
        elif message.type == BackendType.PARSE_COMPLETE:
            self._statements.parse_complete()

    def _add_to_result(self, raw: bytes) -> None:
        if not self.sent or self._on_released is not None:
            return
        self._result.append(raw)
        self._result_size += len(raw)
        if self.attempt is None:
            return
        if self._result_size > self.pool.client.settings.max_result_bytes:
            self._end_with_error("result-too-large", sqlstate.PROGRAM_LIMIT_EXCEEDED, "the result is too large")
        elif not self.pool.client.account.admits(self._result_size, len(raw)):
            text = "the statement ran, but there is no memory for its result"
            self._end_with_error("no-memory", sqlstate.STATEMENT_COMPLETION_UNKNOWN, text)

    def _end_with_error(self, reason: str, error_code: str, text: str) -> None:
        """Abort the connection; the attempt ends with an error for its client."""
        attempt, self.attempt = self.attempt, None
        self._abort(reason)
        if attempt is not None:
            attempt.end(Outcome.SUCCESS, pg.pack_error(error_code, text))

    def _ready_for_query(self, transaction_status: bytes) -> None:
        self._statements.statement_ended(failed=self._error is not None)
        if transaction_status != TRANSACTION_IDLE:
            self._abort("left-in-transaction")
            return
        self.ready = True
        if self.attempt is not None and not self.sent:  # the attempt was waiting for the connection
            self._start_pending_attempt(self.attempt)
            return
        attempt, on_released = self.attempt, self._on_released
        self.attempt, self._on_released, self.sent = None, None, False
        result, self._result, self._result_size, self._sent_bytes = b"".join(self._result), [], 0, 0
        if self._cancel_request is not None:
            self._cancel_request.withdraw()
        self._reuse_or_close()
        if on_released is not None:
            on_released()
        elif attempt is not None:
            self._complete_attempt(attempt, result)

    def _start_pending_attempt(self, attempt: Attempt) -> None:
        if self.reserved:
            return
        if self.pool.client.clock.now() <= attempt.start_deadline_ms:
            self._send()
            return
        self.attempt = None  # too late to start: the engine is draining, or the request may no longer be retried
        self._schedule_idle_close()
        attempt.end(Outcome.NEVER_SENT)

    def _complete_attempt(self, attempt: Attempt, result: bytes) -> None:
        error_code = (self._error or {}).get("C", "")
        if error_code.startswith(ENGINE_ERROR_CLASSES):
            self.recent_answers.answered(attempt, Outcome.ERROR)
        else:
            self.recent_answers.answered(attempt, Outcome.SUCCESS, result)

    # Closing.

    def _schedule_idle_close(self) -> None:
        """Close the unused connection after the idle timeout, or at once if its pool is retired."""
        self._cancel_timer()
        if self.pool.retired:
            self.close_unused()
            return
        self._timer = self.pool.client.clock.call_later(IDLE_TIMEOUT_MS, self.close_unused)

    def close_unused(self) -> None:
        """Close gracefully; no attempt is in flight."""
        self._close_idle(IDLE_TIMEOUT)

    def _before_close(self) -> None:
        self.transport.write(pg.pack(FrontendType.TERMINATE))

    def retire(self) -> None:
        """The engine was removed or has moved: close now if unused, otherwise when the attempt in flight has ended.

        A connection that is still being established is aborted, since another engine may use the address by then.
        """
        if self.ready and not self.reserved:
            self._cancel_timer()
            self.close_unused()
        elif self.ready or self.sent:
            return
        elif self.connected:
            self._abort("endpoint-removed")
        else:
            self._cancel_dial()

    def _abort(self, reason: str) -> None:
        self.closed, self.end_reason = True, reason
        self.transport.abortConnection()

    def _outcome_of_loss(self) -> Outcome:
        if self.sent:
            return Outcome.CONNECTION_RESET
        # The engine rejected the session before any statement was sent.
        refused = (self._error or {}).get("C") == sqlstate.TOO_MANY_CONNECTIONS
        return Outcome.OVERLOADED if refused else Outcome.UNREACHABLE

    def _ended(self, outcome: Outcome) -> None:
        uncertain_answers = self._leave_pool()
        self._report_held()
        aborted_attempts = int(self.sent and (self.attempt is not None or self._on_released is not None))
        self._log_end(aborted_attempts, uncertain_answers)
        attempt, on_released = self.attempt, self._on_released
        self.attempt = self._on_released = None
        if on_released is not None:
            on_released()
        if attempt is not None:
            attempt.end(outcome)
