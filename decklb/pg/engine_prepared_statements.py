"""The prepared statements of one engine connection, and the messages that run a statement there. No I/O.

A statement is parsed once on each connection and kept under a name of ours; the oldest is closed where there are too
many. Owned by `pg.engine_connection`.
"""

from __future__ import annotations

from decklb.pg import messages as pg
from decklb.pg.messages import FrontendType
from decklb.pg.request import PgRequest

STATEMENT = b"S"  # what Describe and Close mean by a name
PORTAL = b"P"
MAX_PREPARED = 200  # statements kept on one connection


class PreparedStatements:
    """What the engine has prepared on one connection."""

    __slots__ = ("_names", "_unconfirmed", "_count")

    def __init__(self) -> None:
        # Names of ours by (statement, parameter types), oldest first.
        self._names: dict[tuple[bytes, bytes], bytes] = {}
        self._unconfirmed: tuple[bytes, bytes] | None = None  # its ParseComplete has not come
        self._count = 0  # names given so far

    def encode(self, work: PgRequest) -> bytes:
        """The messages that run a statement, with a Parse if it is new to this connection."""
        self._unconfirmed = None
        if work.simple:
            return pg.pack(FrontendType.QUERY, work.statement + b"\0")
        out, name = self._prepare(work)
        if work.bind is None:
            out += pg.pack(FrontendType.DESCRIBE, STATEMENT + name + b"\0")
        else:
            out += pg.pack(FrontendType.BIND, b"\0" + name + b"\0" + work.bind)
            out += pg.pack(FrontendType.DESCRIBE, PORTAL + b"\0") if work.describe else b""
            out += pg.EXECUTE_ALL if work.execute else b""
        return out + pg.SYNC

    def _prepare(self, work: PgRequest) -> tuple[bytes, bytes]:
        """The messages that prepare a statement, none if it is, and its name."""
        statement = (work.statement, work.types)
        name = self._names.get(statement)
        if name is not None:
            return b"", name
        out = b""
        if len(self._names) >= MAX_PREPARED:
            out += pg.pack(FrontendType.CLOSE, STATEMENT + self._names.pop(next(iter(self._names))) + b"\0")
        self._count += 1
        name = b"d%d" % self._count
        out += pg.pack(FrontendType.PARSE, name + b"\0" + work.statement + b"\0" + work.types)
        self._unconfirmed = statement
        self._names[statement] = name
        return out, name

    def parse_complete(self) -> None:
        """The engine has taken the Parse."""
        self._unconfirmed = None

    def statement_ended(self, failed: bool) -> None:
        """ReadyForQuery has come. After an error the engine did not take the statement, or may not have."""
        if failed and self._unconfirmed is not None:
            self._names.pop(self._unconfirmed, None)
        self._unconfirmed = None
