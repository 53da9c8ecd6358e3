"""Prepared statements and portals of one session (extended query protocol).

They are kept here alone: an engine is asked when a Describe or Execute needs it, and prepares the statement on its own
connection then. Owned by `decklb.pg.session.Session`.

Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", section "Extended Query".
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from decklb.pg import messages as pg
from decklb.pg import sqlstate
from decklb.pg.errors import PgError
from decklb.pg.messages import BackendType
from decklb.pg.statements import Classification

MAX_NAMED_OBJECTS = 1000  # prepared statements, and portals, of one session; bounds its memory


@dataclass(slots=True)
class PreparedStatement:
    """What Parse made.

    Attributes:
        sql: Its text.
        parameter_types: What follows the text in Parse: the number of parameter types and their OIDs.
        classification: What the text tells of the statement.
        description: ParameterDescription with RowDescription or NoData, once an engine has told them.
    """

    sql: str
    parameter_types: bytes
    classification: Classification
    description: bytes | None = None


@dataclass(slots=True)
class Portal:
    """What Bind made.

    Attributes:
        statement: The prepared statement.
        parameters: What follows the names in Bind: formats and values.
        rows: DataRows that no Execute has taken yet; None until one with a row limit has run the statement.
        completion: CommandComplete or EmptyQueryResponse of that run, sent after the last row.
    """

    statement: PreparedStatement
    parameters: bytes
    rows: deque[bytes] | None = None
    completion: bytes = b""

    def store(self, result: bytes) -> bytes:
        """Keep the rows of an engine's whole result; returns the messages that describe them, if there are any."""
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
        """The next rows and what follows them: PortalSuspended while there are more. A limit of 0 is none."""
        rows = self.rows if self.rows is not None else deque()
        count = len(rows) if max_rows <= 0 else min(max_rows, len(rows))
        taken = b"".join(rows.popleft() for _ in range(count))
        return taken + (pg.PORTAL_SUSPENDED if rows else self.completion)


class NamedObjects:
    """The prepared statements and portals of a session by name; "" is the unnamed one of each."""

    def __init__(self) -> None:
        self._statements: dict[str, PreparedStatement] = {}
        self._portals: dict[str, Portal] = {}

    def check_new_statement(self, name: str) -> None:
        """Raises PgError if a Parse can't use this name. The unnamed statement is replaced by the next one."""
        if name and name in self._statements:
            raise PgError(sqlstate.DUPLICATE_PREPARED_STATEMENT, f"prepared statement {name!r} already exists")
        if len(self._statements) >= MAX_NAMED_OBJECTS and name not in self._statements:
            raise PgError(sqlstate.PROGRAM_LIMIT_EXCEEDED, "too many prepared statements")

    def add_statement(self, name: str, statement: PreparedStatement) -> None:
        """Keep a statement whose name was checked."""
        self._statements[name] = statement

    def statement(self, name: str) -> PreparedStatement:
        """Raises PgError if there is none."""
        if name not in self._statements:
            raise PgError(sqlstate.INVALID_SQL_STATEMENT_NAME, f"prepared statement {name!r} does not exist")
        return self._statements[name]

    def add_portal(self, name: str, portal: Portal) -> None:
        """Raises PgError if a Bind can't use this name. The unnamed portal is replaced by the next one."""
        if name and name in self._portals:
            raise PgError(sqlstate.DUPLICATE_CURSOR, f"portal {name!r} already exists")
        if len(self._portals) >= MAX_NAMED_OBJECTS and name not in self._portals:
            raise PgError(sqlstate.PROGRAM_LIMIT_EXCEEDED, "too many portals")
        self._portals[name] = portal

    def portal(self, name: str) -> Portal:
        """Raises PgError if there is none."""
        if name not in self._portals:
            raise PgError(sqlstate.INVALID_CURSOR_NAME, f"portal {name!r} does not exist")
        return self._portals[name]

    def close_statement(self, name: str) -> None:
        """Forget a statement; it is no error if there is none."""
        self._statements.pop(name, None)

    def close_portal(self, name: str) -> None:
        """Forget a portal; it is no error if there is none."""
        self._portals.pop(name, None)

    def close_all_statements(self) -> None:
        """As DISCARD and DEALLOCATE do."""
        self._statements.clear()

    def close_all_portals(self) -> None:
        """As the end of a transaction does."""
        self._portals.clear()
