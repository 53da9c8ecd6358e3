"""What can be told from a statement's text: whether it can be kept safely, whether it writes, what it sets."""

from __future__ import annotations

import re
from dataclasses import dataclass

from decklb.pg import sqlstate
from decklb.pg.errors import PgError
from decklb.wire.tables import names

TRANSACTIONS = {b"begin", b"start", b"commit", b"end", b"rollback", b"abort", b"savepoint", b"release"}
# Each of these leaves something behind in one engine's session, which the next statement may not meet.
SESSION = {
    b"declare",
    b"fetch",
    b"move",
    b"close",
    b"listen",
    b"unlisten",
    b"notify",
    b"prepare",
    b"execute",
    b"lock",
    b"load",
}
WRITES = {
    b"insert",
    b"update",
    b"delete",
    b"merge",
    b"call",
    b"do",
    b"create",
    b"alter",
    b"drop",
    b"truncate",
    b"grant",
    b"revoke",
    b"refresh",
    b"reindex",
    b"vacuum",
    b"analyze",
    b"cluster",
    b"comment",
}
_SET = re.compile(
    r"\s*set\s+(?:session\s+)?(?P<name>[\w.]+)\s*(?:=|\s+to\s+)\s*(?P<value>'(?:[^']|'')*'|[^;\s]+)"
    r"\s*;?\s*\Z",
    re.IGNORECASE,
)
_SHOW = re.compile(r"\s*show\s+(?P<name>decklb\.\w+)\s*;?\s*\Z", re.IGNORECASE)


@dataclass(slots=True)
class Statement:
    """What a text is. `local` names what the front does itself: set, show, reset or empty."""

    writes: bool = False
    local: str = ""
    name: str = ""
    value: str = ""


def classify(sql: str) -> Statement:
    """Raises PgError for what can't be kept safely over several engines."""
    firsts, writes, start = [], False, True
    for kind, word in names(sql.encode()):
        if kind == b"sign" and word == b";":
            start = True
        elif start:
            firsts.append(word if kind == b"name" else b"")
            start = False
        writes = writes or kind == b"name" and word in WRITES
    if not firsts:
        return Statement(local="empty")
    for first in firsts:
        _refuse(first)
    if firsts in ([b"set"], [b"reset"], [b"discard"], [b"deallocate"]) or _SHOW.match(sql):
        return _local(sql, firsts[0])
    if {b"set", b"reset", b"discard", b"deallocate"} & set(firsts):
        raise PgError(sqlstate.FEATURE_NOT_SUPPORTED, "SET and its like can't stand among other statements")
    return Statement(writes=writes)


def _refuse(first: bytes) -> None:
    if first in TRANSACTIONS:
        raise PgError(
            sqlstate.FEATURE_NOT_SUPPORTED,
            "explicit transactions can't be kept across engines",
            "Send each statement by itself, in autocommit mode.",
        )
    if first == b"copy":
        raise PgError(sqlstate.FEATURE_NOT_SUPPORTED, "COPY is not supported", "Use INSERT or SELECT.")
    if first in SESSION:
        raise PgError(
            sqlstate.FEATURE_NOT_SUPPORTED,
            f"{first.decode().upper()} needs a session of its own on an engine",
            "Use the protocol's own prepared statements.",
        )


def _local(sql: str, first: bytes) -> Statement:
    if m := _SHOW.match(sql):
        return Statement(local="show", name=m["name"].lower())
    if first != b"set":
        return Statement(local="reset", name=first.decode().upper())
    m = _SET.match(sql)
    if m is None:
        raise PgError(sqlstate.FEATURE_NOT_SUPPORTED, "this form of SET is not supported", "Use SET name = value.")
    value = m["value"]
    if value.startswith("'"):
        value = value[1:-1].replace("''", "'")
    return Statement(local="set", name=m["name"].lower(), value=value)
