"""State machine of one client's session after startup: simple and extended query protocol, without I/O.

`decklb.pg.connection` passes it one message at a time, and none while a statement runs. The session acts through its
`SessionOutput`. It owns the session's parameters, prepared statements and portals, and the protocol state.

Parse, Bind and Close are answered immediately, without an engine; only Describe and Execute need one. So a client that
disconnects between Bind and Execute leaves no work behind.

Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", sections "Simple Query" and "Extended Query".
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import ClassVar, Protocol

from decklb.core.memory_account import REQUEST_OVERHEAD_BYTES, UNLIMITED_BYTES, Holder, MemoryAccount
from decklb.interface import Effect, Settings
from decklb.pg import messages as pg
from decklb.pg import sqlstate
from decklb.pg.errors import PgError
from decklb.pg.messages import BackendType, FrontendType, Message, PayloadReader
from decklb.pg.parameters import ALL, SessionParameters
from decklb.pg.prepared_statements import NamedObjects, Portal, PreparedStatement
from decklb.pg.request import PgRequest
from decklb.pg.settings import PgSettings
from decklb.pg.statements import Classification, LocalCommand, classify
from decklb.wire.table_group import table_group

DESCRIBE_STATEMENT, DESCRIBE_PORTAL = ord("S"), ord("P")  # kinds of objects in Describe and Close
TEXT_OID = 25  # OID of the type `text`
NO_PARAMETER_TYPES = b"\0\0"  # end of a Parse message that specifies no parameter types


@dataclass(slots=True)
class SessionContext:
    """State shared by all sessions.

    Attributes:
        workload: Settings that define the request classes and tenants.
        postgres: Settings of the PostgreSQL front.
        new_request_id: Generates a request id for the log.
        handoff_enabled: Whether answers are retained for clients that ask again with an idempotency key.
        account: The memory that connections hold.
    """

    workload: Settings
    postgres: PgSettings
    new_request_id: Callable[[], str]
    handoff_enabled: bool = False
    account: MemoryAccount = field(default_factory=lambda: MemoryAccount(UNLIMITED_BYTES))


class SessionOutput(Protocol):
    """The methods of the connection that a session calls."""

    def write(self, data: bytes) -> None:
        """Send data to the client."""

    def submit(self, request: PgRequest, on_result: Callable[[bytes], None]) -> None:
        """Submit a statement. The session receives no message until it has its final answer.

        `on_result` is called with the messages of a complete answer of an engine, which may be an ErrorResponse.
        """

    def requeue(self, message: Message) -> None:
        """Pass this message to the session again, before any other."""

    def close(self, reason: str) -> None:
        """Close the connection; `reason` is logged."""


class Session:
    """One session, starting with its first ReadyForQuery."""

    def __init__(
        self, context: SessionContext, output: SessionOutput, parameters: SessionParameters, holder: Holder
    ) -> None:
        """`holder` is charged for what the session holds."""
        self._context, self._output, self._holder = context, output, holder
        self._initial_parameters = self.parameters = parameters
        self._objects = NamedObjects(context.account, holder)
        self._skipping_until_sync = False  # after an error in the extended query protocol
        self._in_simple_query = False  # the query ends with ReadyForQuery, even after an error
        # Portal of a Describe that waits for the next message: if that executes the portal, description and rows are
        # requested from the engine together.
        self._deferred_describe: str | None = None

    def receive(self, message: Message) -> None:
        """Handle the client's next message. The caller passes a PgError to `report_error` unless it is fatal."""
        if self._skipping_until_sync and message.type not in (FrontendType.SYNC, FrontendType.TERMINATE):
            return
        portal_name, self._deferred_describe = self._deferred_describe, None
        if message.discarded and portal_name is None:
            self._in_simple_query = message.type == FrontendType.QUERY
            raise self._no_memory()
        fields = PayloadReader(message.payload)
        if portal_name is not None:
            return self._resume_describe(portal_name, message, fields)
        handler = self._HANDLERS.get(message.type)
        if handler is None:
            raise PgError(sqlstate.PROTOCOL_VIOLATION, f"unexpected message {message.type!r}", fatal=True)
        handler(self, fields)

    def end(self) -> None:
        """The session has ended: free what it holds."""
        self._objects.close_all_portals()
        self._objects.close_all_statements()

    def _no_memory(self) -> PgError:
        retry_ms = max(1, round(self._context.workload.max_retry_after_ms))
        return PgError(
            sqlstate.OUT_OF_MEMORY, "there is no memory for this message now", f"Come back in {retry_ms} ms."
        )

    def report_error(self, error: PgError) -> None:
        """Send a non-fatal error. Unless it ends a simple query, messages are skipped up to the next Sync."""
        self._output.write(pg.pack_error_response(error))
        if self._in_simple_query:
            self._in_simple_query = False
            self._output.write(pg.READY_FOR_QUERY)
        else:
            self._skipping_until_sync = True

    # Simple query.

    def _query(self, fields: PayloadReader) -> None:
        sql = fields.string()
        self._in_simple_query = True
        classification = classify(sql)
        if classification.local is not None:
            described = classification.local is LocalCommand.SHOW
            description = _describe_local(classification) if described else b""
            return self._end_simple_query(description + self._run_local(classification))
        self._output.submit(self._new_request(sql, classification, simple=True), self._end_simple_query)

    def _end_simple_query(self, result: bytes) -> None:
        self._in_simple_query = False
        self._output.write(result + pg.READY_FOR_QUERY)

    # Extended query.

    def _parse(self, fields: PayloadReader) -> None:
        name, sql = fields.string(), fields.string()
        self._objects.check_new_statement(name)
        self._objects.add_statement(name, PreparedStatement(sql, fields.remaining(), classify(sql)))
        self._output.write(pg.PARSE_COMPLETE)

    def _bind(self, fields: PayloadReader) -> None:
        portal_name, statement_name = fields.string(), fields.string()
        statement = self._objects.statement(statement_name)
        self._objects.add_portal(portal_name, Portal(statement, fields.remaining()))
        self._output.write(pg.BIND_COMPLETE)

    def _describe(self, fields: PayloadReader) -> None:
        kind, name = fields.integer("B"), fields.string()
        if kind == DESCRIBE_PORTAL:
            self._objects.portal(name)  # raises now if the portal does not exist
            self._deferred_describe = name
        elif kind == DESCRIBE_STATEMENT:
            self._describe_statement(self._objects.statement(name))
        else:
            raise PgError(sqlstate.PROTOCOL_VIOLATION, "Describe takes S or P", fatal=True)

    def _describe_statement(self, statement: PreparedStatement) -> None:
        if statement.classification.local is not None:
            return self._output.write(pg.NO_PARAMETERS + _describe_local(statement.classification))
        if statement.description is not None:
            return self._output.write(statement.description)

        def on_result(result: bytes) -> None:
            failed = _has_error(result)
            self._relay(result, failed)
            if not failed:
                statement.description = result

        request = self._new_request(statement.sql, statement.classification, parameter_types=statement.parameter_types)
        self._output.submit(request, on_result)

    def _resume_describe(self, portal_name: str, message: Message, fields: PayloadReader) -> None:
        """Handle the message after Describe of a portal.

        If it executes the portal, description and rows are requested together. Otherwise the description is requested
        alone and the message is handled again afterwards.
        """
        if message.type == FrontendType.EXECUTE and not message.discarded and fields.string() == portal_name:
            return self._execute_portal(portal_name, fields.integer("i"), describe=True)
        self._output.requeue(message)
        self._describe_portal(self._objects.portal(portal_name))

    def _describe_portal(self, portal: Portal) -> None:
        statement = portal.statement
        if statement.classification.local is not None:
            return self._output.write(_describe_local(statement.classification))
        request = self._new_request(
            statement.sql,
            statement.classification,
            parameter_types=statement.parameter_types,
            bind=portal.parameters,
            describe=True,
            execute=False,
        )
        self._output.submit(request, lambda result: self._relay(result, _has_error(result)))

    def _execute(self, fields: PayloadReader) -> None:
        self._execute_portal(fields.string(), fields.integer("i"), describe=False)

    def _execute_portal(self, name: str, max_rows: int, describe: bool) -> None:
        """Run a portal, or return more of its rows.

        `max_rows` 0 means all rows; `describe`: the preceding message was Describe of this portal.
        """
        portal = self._objects.portal(name)
        if portal.rows is not None:
            return self._output.write(portal.take_rows(max_rows))
        statement = portal.statement
        if statement.classification.local is not None:
            description = _describe_local(statement.classification) if describe else b""
            return self._output.write(description + self._run_local(statement.classification))

        def on_result(result: bytes) -> None:
            failed = _has_error(result)
            if failed or max_rows <= 0:
                return self._relay(result, failed)
            self._output.write(portal.store(result))
            self._output.write(portal.take_rows(max_rows))
            rows = portal.rows or ()
            self._objects.rows_stored(name, len(rows), sum(map(len, rows)))

        request = self._new_request(
            statement.sql,
            statement.classification,
            parameter_types=statement.parameter_types,
            bind=portal.parameters,
            describe=describe,
        )
        self._output.submit(request, on_result)

    def _close(self, fields: PayloadReader) -> None:
        kind, name = fields.integer("B"), fields.string()
        if kind == DESCRIBE_STATEMENT:
            self._objects.close_statement(name)
        else:
            self._objects.close_portal(name)
        self._output.write(pg.CLOSE_COMPLETE)

    def _sync(self, _fields: PayloadReader) -> None:
        self._skipping_until_sync = False
        self._objects.close_all_portals()
        self._output.write(pg.READY_FOR_QUERY)

    def _relay(self, result: bytes, failed: bool) -> None:
        """Forward an engine's answer; after an error, messages are skipped up to the next Sync."""
        if failed:
            self._skipping_until_sync = True
        self._output.write(result)

    # Other messages.

    def _ignore(self, _fields: PayloadReader) -> None:
        """Flush needs no action, since nothing is buffered. Copy messages are what is left of a rejected COPY."""

    def _terminate(self, _fields: PayloadReader) -> None:
        self._output.close("terminated")

    def _function_call(self, _fields: PayloadReader) -> None:
        self._in_simple_query = True  # not part of the extended query protocol: no Sync follows
        raise PgError(sqlstate.FEATURE_NOT_SUPPORTED, "function calls are not supported", "Use SELECT.")

    _HANDLERS: ClassVar[dict[bytes, Callable[[Session, PayloadReader], None]]] = {
        FrontendType.QUERY: _query,
        FrontendType.PARSE: _parse,
        FrontendType.BIND: _bind,
        FrontendType.DESCRIBE: _describe,
        FrontendType.EXECUTE: _execute,
        FrontendType.CLOSE: _close,
        FrontendType.SYNC: _sync,
        FrontendType.FLUSH: _ignore,
        FrontendType.TERMINATE: _terminate,
        FrontendType.FUNCTION_CALL: _function_call,
        FrontendType.COPY_DATA: _ignore,
        FrontendType.COPY_DONE: _ignore,
        FrontendType.COPY_FAIL: _ignore,
    }

    # Statements.

    def _run_local(self, classification: Classification) -> bytes:
        """Run a statement that needs no engine; return its rows and CommandComplete."""
        match classification.local:
            case LocalCommand.EMPTY:
                return pg.EMPTY_QUERY_RESPONSE
            case LocalCommand.SET:
                self.parameters = self.parameters.set(classification.name, classification.value, self._context.workload)
                return pg.pack_command_complete("SET")
            case LocalCommand.SHOW:
                value = self.parameters.show(classification.name).encode()
                row = pg.pack(BackendType.DATA_ROW, struct.pack(">hi", 1, len(value)) + value)
                return row + pg.pack_command_complete("SHOW")
            case LocalCommand.RESET:
                self.parameters = self.parameters.reset(classification.name, self._initial_parameters)
            case LocalCommand.DISCARD if classification.name == ALL:
                self.parameters = self._initial_parameters
                self._objects.close_all_statements()
            case LocalCommand.DEALLOCATE if classification.name == ALL:
                self._objects.close_all_statements()
            case LocalCommand.DEALLOCATE:
                self._objects.statement(classification.name)  # raises if it does not exist
                self._objects.close_statement(classification.name)
        assert classification.local is not None
        return pg.pack_command_complete(classification.local.name)

    def _new_request(
        self,
        sql: str,
        classification: Classification,
        *,
        simple: bool = False,
        parameter_types: bytes = NO_PARAMETER_TYPES,
        bind: bytes | None = None,
        describe: bool = False,
        execute: bool = True,
    ) -> PgRequest:
        """Build a request from a statement and the session's parameters.

        A request that runs the statement consumes the session's idempotency key.
        """
        parameters = self.parameters
        idempotency_key = ""
        runs = simple or (bind is not None and execute)
        if parameters.idempotency_key and runs:
            if not self._context.handoff_enabled:
                text = "decklb.request needs the handoff, which is off here"
                raise PgError(sqlstate.FEATURE_NOT_SUPPORTED, text)
            idempotency_key = parameters.idempotency_key
            self.parameters = replace(parameters, idempotency_key="")
        request_class = self._request_class(classification)
        text_bytes = sql.encode()
        message_bytes = len(text_bytes) + len(bind or b"")
        if not self._context.account.admits(message_bytes, message_bytes + REQUEST_OVERHEAD_BYTES):
            raise self._no_memory()
        return PgRequest(
            self._context.new_request_id(),
            request_class,
            parameters.tenant,
            parameters.budget_ms or self._context.workload.classes[request_class].deadline_ms,
            text_bytes,
            table_group(text_bytes),
            parameters.ordering_key or None,
            idempotency_key=idempotency_key,
            simple=simple,
            parameter_types=parameter_types,
            bind=bind,
            describe=describe,
            execute=execute,
            charge=self._holder.charge_request(message_bytes),
        )

    def _request_class(self, classification: Classification) -> str:
        """Return the session's class, or `write_class` (if set) for a writing statement in an idempotent class."""
        write_class = self._context.postgres.write_class
        request_class = self.parameters.request_class
        effect = self._context.workload.classes[request_class].effect
        if classification.writes and write_class and effect is Effect.SAFE:
            return write_class
        return request_class


def _has_error(result: bytes) -> bool:
    return any(message.type == BackendType.ERROR_RESPONSE for message in pg.split_messages(result))


def _describe_local(classification: Classification) -> bytes:
    """Return RowDescription or NoData of a statement that needs no engine."""
    if classification.local is not LocalCommand.SHOW:
        return pg.NO_DATA
    column_count = struct.pack(">h", 1)
    column = struct.pack(">ihihih", 0, 0, TEXT_OID, -1, -1, 0)  # table, attribute, type, size, modifier, text format
    return pg.pack(BackendType.ROW_DESCRIPTION, column_count + pg.pack_string(classification.name) + column)
