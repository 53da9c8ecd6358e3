"""Prepared statements and portals of one client session (extended query protocol).

They exist only in the manager. A statement is prepared at an engine, on the connection in use, when a Describe or
Execute needs the engine. Owned by `decklb.pg.session.Session`.

Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", section "Extended Query".
"""

from __future__ import annotations

import sys
from collections import deque
from dataclasses import dataclass

from decklb.core.memory_account import HeldKind, Holder, MemoryAccount
from decklb.pg import messages as pg
from decklb.pg import sqlstate
from decklb.pg.errors import PgError
from decklb.pg.messages import BackendType
from decklb.pg.statements import Classification

MAX_NAMED_OBJECTS = 1000  # each for prepared statements and portals of a session
OBJECT_OVERHEAD_BYTES = 1024  # of the records of a prepared statement or portal
ROW_OVERHEAD_BYTES = 64  # of a row of a portal beside its bytes


@dataclass(slots=True)
class PreparedStatement:
    """A prepared statement, created by Parse.

    Attributes:
        sql: The text of the statement.
        parameter_types: The rest of Parse after the text: the number of parameter types and their OIDs.
        classification: The classification of the text.
        description: ParameterDescription with RowDescription or NoData, once an engine has returned them.
    """

    sql: str
    parameter_types: bytes
    classification: Classification
    description: bytes | None = None

    def held_bytes(self) -> int:
        """Return the memory that it takes."""
        return OBJECT_OVERHEAD_BYTES + sys.getsizeof(self.sql) + len(self.parameter_types)


@dataclass(slots=True)
class Portal:
    """A portal, created by Bind.

    Attributes:
        statement: The prepared statement.
        parameters: The rest of Bind after the names: formats and values.
        rows: DataRows not returned yet; None until an Execute with a row limit has run the statement.
        completion: CommandComplete or EmptyQueryResponse of that execution, sent after the last row.
    """

    statement: PreparedStatement
    parameters: bytes
    rows: deque[bytes] | None = None
    completion: bytes = b""

    def held_bytes(self) -> int:
        """Return the memory that it takes, without the rows."""
        return OBJECT_OVERHEAD_BYTES + len(self.parameters)

    def store(self, result: bytes) -> bytes:
        """Store the rows of a complete result and return the messages that describe them, if any."""
        messages = list(pg.split_messages(result))
        self.rows = deque(message.raw for message in messages if message.type == BackendType.DATA_ROW)
        completion_types = (
            BackendType.COMMAND_COMPLETE,
            BackendType.EMPTY_QUERY_RESPONSE,
            BackendType.PORTAL_SUSPENDED,
        )
        self.completion = b"".join(message.raw for message in messages if message.type in completion_types)
        description_types = (BackendType.ROW_DESCRIPTION, BackendType.NO_DATA)
        return b"".join(message.raw for message in messages if message.type in description_types)

    def take_rows(self, max_rows: int) -> bytes:
        """Return the next rows, followed by PortalSuspended if more remain, else by the completion.

        `max_rows` 0 means no limit.
        """
        rows = self.rows if self.rows is not None else deque()
        count = len(rows) if max_rows <= 0 else min(max_rows, len(rows))
        taken = b"".join(rows.popleft() for _ in range(count))
        return taken + (pg.PORTAL_SUSPENDED if rows else self.completion)


class NamedObjects:
    """The prepared statements and portals of a session by name; "" is the unnamed statement or portal.

    What they take is charged to the session's holder. One that there is no memory for is refused with a PgError.
    """

    def __init__(self, account: MemoryAccount, holder: Holder) -> None:
        self._account, self._holder = account, holder
        self._statements: dict[str, PreparedStatement] = {}
        self._portals: dict[str, Portal] = {}
        self._row_bytes: dict[str, int] = {}  # memory of the rows that portals keep, by portal

    def check_new_statement(self, name: str) -> None:
        """Raise PgError if Parse can't use this name. The unnamed statement may be replaced."""
        if name and name in self._statements:
            raise PgError(sqlstate.DUPLICATE_PREPARED_STATEMENT, f"prepared statement {name!r} already exists")
        if len(self._statements) >= MAX_NAMED_OBJECTS and name not in self._statements:
            raise PgError(sqlstate.PROGRAM_LIMIT_EXCEEDED, "too many prepared statements")

    def add_statement(self, name: str, statement: PreparedStatement) -> None:
        """Store a statement whose name has been checked. Raises PgError if there is no memory for it."""
        self._check_memory(statement.held_bytes())
        self.close_statement(name)
        self._statements[name] = statement
        self._charge(statement.held_bytes())

    def statement(self, name: str) -> PreparedStatement:
        """Return the statement. Raises PgError if it does not exist."""
        if name not in self._statements:
            raise PgError(sqlstate.INVALID_SQL_STATEMENT_NAME, f"prepared statement {name!r} does not exist")
        return self._statements[name]

    def add_portal(self, name: str, portal: Portal) -> None:
        """Store a portal. Raises PgError if Bind can't use this name; the unnamed portal may be replaced."""
        if name and name in self._portals:
            raise PgError(sqlstate.DUPLICATE_CURSOR, f"portal {name!r} already exists")
        if len(self._portals) >= MAX_NAMED_OBJECTS and name not in self._portals:
            raise PgError(sqlstate.PROGRAM_LIMIT_EXCEEDED, "too many portals")
        self._check_memory(portal.held_bytes())
        self.close_portal(name)
        self._portals[name] = portal
        self._charge(portal.held_bytes())

    def rows_stored(self, name: str, row_count: int, row_bytes: int) -> None:
        """A portal that still exists keeps these rows."""
        if name in self._portals:
            amount = row_bytes + row_count * ROW_OVERHEAD_BYTES
            self._charge(amount - self._row_bytes.get(name, 0))
            self._row_bytes[name] = amount

    def _check_memory(self, size: int) -> None:
        if not self._account.admits(size, size):
            raise PgError(
                sqlstate.OUT_OF_MEMORY, "out of memory", "Close prepared statements, or come back in a moment."
            )

    def _charge(self, difference: int) -> None:
        self._holder.change(HeldKind.PREPARED, difference)

    def portal(self, name: str) -> Portal:
        """Return the portal. Raises PgError if it does not exist."""
        if name not in self._portals:
            raise PgError(sqlstate.INVALID_CURSOR_NAME, f"portal {name!r} does not exist")
        return self._portals[name]

    def close_statement(self, name: str) -> None:
        """Remove a statement if it exists."""
        statement = self._statements.pop(name, None)
        if statement is not None:
            self._charge(-statement.held_bytes())

    def close_portal(self, name: str) -> None:
        """Remove a portal if it exists."""
        portal = self._portals.pop(name, None)
        if portal is not None:
            self._charge(-portal.held_bytes() - self._row_bytes.pop(name, 0))

    def close_all_statements(self) -> None:
        """Remove all statements, as DISCARD and DEALLOCATE do."""
        for name in list(self._statements):
            self.close_statement(name)

    def close_all_portals(self) -> None:
        """Remove all portals, as the end of a transaction does."""
        for name in list(self._portals):
            self.close_portal(name)
