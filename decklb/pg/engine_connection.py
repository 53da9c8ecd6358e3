"""One session at a PostgreSQL engine, which runs one attempt at a time.

An attempt is out until the engine's ReadyForQuery or until its connection is gone, also when it was given up: until
then nothing else goes on the connection, and the core is not told that it is free. Dialing, idling and the logged end
are those of `wire.engine_connection`.

State: the attempt that the connection carries, waits for or is reserved for, and the result so far. Owned by a pool of
`pg.engines`.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import TYPE_CHECKING

from decklb.core.attempts import Attempt
from decklb.interface import Outcome
from decklb.pg import messages as pg
from decklb.pg import sqlstate
from decklb.pg.cancel_request import CANCEL_TIMEOUT_MS
from decklb.pg.engine_prepared_statements import PreparedStatements
from decklb.pg.errors import PgError
from decklb.pg.messages import BackendKey, BackendType, FrontendType
from decklb.pg.request import PgRequest
from decklb.wire.engine_connection import IDLE_TIMEOUT, EngineConnection

if TYPE_CHECKING:
    from decklb.pg.engines import PgPool

IDLE_TIMEOUT_MS = 60_000.0  # after which an unused connection closes
MESSAGE_OVERHEAD = 1 << 20  # bytes by which one message may be larger than the largest result
# Classes of SQLSTATE that are the engine's own errors, not the statement's: another engine may do better.
ENGINE_ERRORS = ("53", "57P", "58", "XX", "08")
NO_KEY = BackendKey(0, 0)
KEY_FORMAT = struct.Struct(">II")  # process id and secret
TRANSACTION_IDLE = b"I"  # status in ReadyForQuery: in no transaction block
RESULT_MESSAGES = frozenset(  # passed to the client
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
        self.sent = False  # a statement is out
        self.reserved = False  # kept for the attempt, which may not go out yet
        self.attempt: Attempt | None = None  # told of the end
        self._freed: Callable[[], None] | None = None  # told of it in its stead once the attempt was given up
        self._backend_key = NO_KEY
        self._statements = PreparedStatements()
        self._result = list[bytes]()  # messages for the client
        self._result_size = 0  # bytes of them
        self._error: dict[str, str] | None = None  # the last ErrorResponse, by its fields' letters
        self._reader = pg.MessageReader(pool.client.settings.max_result_bytes + MESSAGE_OVERHEAD, startup=False)

    # Attempts.

    @property
    def available(self) -> bool:
        """Whether it may be given an attempt."""
        return not (self.attempt or self._freed or self.closed)

    @property
    def cancel_key(self) -> bytes:
        """By which another manager can cancel what runs here; "" where the engine named no key."""
        return KEY_FORMAT.pack(*self._backend_key) if self._backend_key != NO_KEY else b""

    def run(self, attempt: Attempt) -> None:
        """Run an attempt, now or when the session is ready."""
        self.attempt = attempt
        self._cancel_timer()
        if self.ready:
            self._send()

    def reserve(self, attempt: Attempt) -> None:
        """Keep the connection, which is ready, for an attempt."""
        self.attempt, self.reserved = attempt, True
        self._cancel_timer()

    def run_reserved(self) -> None:
        """Run the attempt that it was kept for."""
        self.reserved = False
        self._send()

    def give_up(self, freed: Callable[[], None]) -> None:
        """Cancel what runs; `freed` is called when the engine is ready again or the connection is gone."""
        if not self.sent:  # the connection is still coming up, or was kept: nothing is out
            self.attempt = None
            if self.reserved:
                self.reserved = False
                self._schedule_idle_close()
            self.pool.client.clock.call_later(0, freed)
            return
        self.attempt, self._freed = None, freed
        self.pool.cancel(self._backend_key)
        self._timer = self.pool.client.clock.call_later(CANCEL_TIMEOUT_MS, self._cancel_timed_out)

    def _cancel_timed_out(self) -> None:
        self._timer = None
        self._abort("cancel-timeout")

    def _send(self) -> None:
        assert self.attempt is not None
        work = self.attempt.request.incoming
        assert isinstance(work, PgRequest)
        self.ready, self.sent = False, True
        self.attempt.sent = True
        set_cancel_token = getattr(self.attempt, "set_cancel_token", None)
        if set_cancel_token is not None and self.cancel_key:  # another manager may take it over
            set_cancel_token(self.cancel_key)
        self._result, self._result_size, self._error = [], 0, None
        self.transport.write(self._statements.encode(work))

    # Messages.

    def connectionMade(self) -> None:
        """Send the startup message."""
        self.transport.setTcpNoDelay(True)
        ours = {"client_encoding": "UTF8", "application_name": "decklb"}
        self.transport.write(pg.pack_startup(self.pool.client.settings.startup | ours))

    def dataReceived(self, data: bytes) -> None:
        """The engine's messages, split anywhere."""
        try:
            for message in self._reader.feed(data):
                if not self.closed:
                    self._handle(message)
        except PgError as error:
            self._abort(f"protocol: {error}")

    def _handle(self, message: pg.Message) -> None:
        if message.type in RESULT_MESSAGES:
            self._keep(message.raw)
        elif message.type == BackendType.READY_FOR_QUERY:
            self._ready_for_query(message.payload)
        elif message.type == BackendType.ERROR_RESPONSE:
            self._error = pg.read_error(message.payload)
            self._keep(message.raw)
        elif message.type == BackendType.BACKEND_KEY_DATA and len(message.payload) == KEY_FORMAT.size:
            self._backend_key = BackendKey(*KEY_FORMAT.unpack(message.payload))
        elif message.type == BackendType.AUTHENTICATION and message.payload != pg.AUTHENTICATION_OK_PAYLOAD:
            self._abort("authentication-requested")
        elif message.type in COPY_RESPONSES:
            self._abort("copy-refused")  # the front lets none through; whatever began it is not let run on
        elif message.type == BackendType.PARSE_COMPLETE:
            self._statements.parse_complete()

    def _keep(self, raw: bytes) -> None:
        if not self.sent or self._freed is not None:
            return
        self._result.append(raw)
        self._result_size += len(raw)
        if self._result_size > self.pool.client.settings.max_result_bytes and self.attempt is not None:
            attempt, self.attempt = self.attempt, None
            self._abort("result-too-large")
            attempt.end(Outcome.SUCCESS, pg.pack_error(sqlstate.PROGRAM_LIMIT_EXCEEDED, "the result is too large"))

    def _ready_for_query(self, transaction_status: bytes) -> None:
        self._statements.statement_ended(failed=self._error is not None)
        if transaction_status != TRANSACTION_IDLE:
            self._abort("left-in-transaction")
            return
        self.ready = True
        if self.attempt is not None and not self.sent:  # it waited for the connection
            self._start_waiting(self.attempt)
            return
        attempt, freed = self.attempt, self._freed
        self.attempt, self._freed, self.sent = None, None, False
        self._schedule_idle_close()
        if freed is not None:
            freed()
        elif attempt is not None:
            self._answer(attempt)

    def _start_waiting(self, attempt: Attempt) -> None:
        if self.reserved:
            return
        if self.pool.client.clock.now() <= attempt.start_deadline_ms:
            self._send()
            return
        self.attempt = None  # it waited too long: its engine drains, or it may not be repeated now
        self._schedule_idle_close()
        attempt.end(Outcome.NEVER_SENT)

    def _answer(self, attempt: Attempt) -> None:
        state = (self._error or {}).get("C", "")
        if state.startswith(ENGINE_ERRORS):
            self.recent_answers.answered(attempt, Outcome.ERROR)
        else:
            self.recent_answers.answered(attempt, Outcome.SUCCESS, b"".join(self._result))

    # Its end.

    def _schedule_idle_close(self) -> None:
        """Close the unused connection after the idle time-out, at once if its engine has gone."""
        self._cancel_timer()
        if self.pool.retired:
            self.close_unused()
            return
        self._timer = self.pool.client.clock.call_later(IDLE_TIMEOUT_MS, self.close_unused)

    def close_unused(self) -> None:
        """Close in an orderly way; nothing is out."""
        self._close_idle(IDLE_TIMEOUT)

    def _before_close(self) -> None:
        self.transport.write(pg.pack(FrontendType.TERMINATE))

    def retire(self) -> None:
        """Its engine has gone, or has moved: close now if it is not in use; what is out ends before it closes.

        What is still coming up never does: its address may be another engine's by then.
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
        refused = (self._error or {}).get("C") == sqlstate.TOO_MANY_CONNECTIONS  # before anything was sent
        return Outcome.OVERLOADED if refused else Outcome.UNREACHABLE

    def _ended(self, outcome: Outcome) -> None:
        uncertain_answers = self._leave_pool()
        aborted_attempts = int(self.sent and (self.attempt is not None or self._freed is not None))
        self._log_end(aborted_attempts, uncertain_answers)
        attempt, freed = self.attempt, self._freed
        self.attempt = self._freed = None
        if freed is not None:
            freed()
        if attempt is not None:
            attempt.end(outcome)
