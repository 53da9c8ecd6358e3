"""The prepared statements of one engine connection, and the messages that run a statement on it. No I/O.

A statement is parsed once per connection, under a generated name. At the limit, the oldest statement is closed. Owned
by `pg.engine_connection`.
"""

from __future__ import annotations

from hashlib import blake2b

from decklb.pg import messages as pg
from decklb.pg.messages import FrontendType
from decklb.pg.request import PgRequest

STATEMENT = b"S"  # kinds of objects that Describe and Close refer to
PORTAL = b"P"
MAX_PREPARED = 200  # prepared statements on one connection
DIGEST_BYTES = 16


class EnginePreparedStatements:
    """The statements that the engine has prepared on one connection."""

    __slots__ = ("_names", "_unconfirmed_statement", "_name_count")

    def __init__(self) -> None:
        # Generated names by the digest of the statement and its parameter types, oldest first.
        self._names: dict[bytes, bytes] = {}
        self._unconfirmed_statement: bytes | None = None  # digest; no ParseComplete received yet
        self._name_count = 0  # number of names generated so far

    def encode(self, request: PgRequest) -> bytes:
        """Return the messages that run a statement, including a Parse if it is new on this connection."""
        self._unconfirmed_statement = None
        if request.simple:
            return pg.pack(FrontendType.QUERY, request.statement + b"\0")
        out, name = self._prepare(request)
        if request.bind is None:
            out += pg.pack(FrontendType.DESCRIBE, STATEMENT + name + b"\0")
        else:
            out += pg.pack(FrontendType.BIND, b"\0" + name + b"\0" + request.bind)
            out += pg.pack(FrontendType.DESCRIBE, PORTAL + b"\0") if request.describe else b""
            out += pg.EXECUTE_ALL if request.execute else b""
        return out + pg.SYNC

    def _prepare(self, request: PgRequest) -> tuple[bytes, bytes]:
        """Return the messages that prepare a statement (none if it is prepared already) and its name."""
        statement = _digest(request)
        name = self._names.get(statement)
        if name is not None:
            return b"", name
        out = b""
        if len(self._names) >= MAX_PREPARED:
            out += pg.pack(FrontendType.CLOSE, STATEMENT + self._names.pop(next(iter(self._names))) + b"\0")
        self._name_count += 1
        name = b"d%d" % self._name_count
        out += pg.pack(FrontendType.PARSE, name + b"\0" + request.statement + b"\0" + request.parameter_types)
        self._unconfirmed_statement = statement
        self._names[statement] = name
        return out, name

    def parse_complete(self) -> None:
        """The engine has confirmed the Parse."""
        self._unconfirmed_statement = None

    def statement_ended(self, failed: bool) -> None:
        """ReadyForQuery was received. After an error, an unconfirmed Parse may have failed, so the name is dropped."""
        if failed and self._unconfirmed_statement is not None:
            self._names.pop(self._unconfirmed_statement, None)
        self._unconfirmed_statement = None


def _digest(request: PgRequest) -> bytes:
    """Return a key for a statement with its parameter types that is short however long they are."""
    digest = blake2b(request.statement, digest_size=DIGEST_BYTES)
    digest.update(b"\0" + request.parameter_types)  # a statement contains no zero octet
    return digest.digest()
