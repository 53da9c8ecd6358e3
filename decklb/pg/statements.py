"""Classification of a statement by its text: whether it needs an engine, is supported, and writes data.

Statements of one session run on different engines, one at a time and in autocommit mode. Statements that create or
need state in an engine's session are rejected. Pure functions, called by `decklb.pg.session` for each Query and Parse.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, auto

from decklb.pg import sqlstate
from decklb.pg.errors import PgError
from decklb.wire.table_group import tokenize

# First words of statements, in lower case as `decklb.wire.table_group` returns them.
TRANSACTION_COMMANDS = frozenset(
    (b"begin", b"start", b"commit", b"end", b"rollback", b"abort", b"savepoint", b"release")
)
# Each creates or needs state in an engine's session, but the next statement may run in another session.
SESSION_STATE_COMMANDS = frozenset(
    (
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
    )
)
PARAMETER_COMMANDS = frozenset((b"set", b"reset", b"discard", b"deallocate"))
# A statement writes if it contains one of these anywhere, as in WITH ... DELETE.
WRITE_KEYWORDS = frozenset(
    (
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
    )
)
# Possessive quantifiers (`*+`, `++`) never give back what they matched, so the time is linear in the length of a text.
_STATEMENT_END = r"\s*+;?\s*+\Z"
_SET = re.compile(
    r"\s*+set\s++(?:session\s++)?(?P<name>[\w.]++)(?:\s*+=|\s++to\s)\s*+"
    r"(?P<value>'[^']*+(?:''[^']*+)*+'|[^;\s]++)" + _STATEMENT_END,
    re.IGNORECASE,
)
_SHOW = re.compile(r"\s*+show\s++(?P<name>decklb\.\w++)" + _STATEMENT_END, re.IGNORECASE)


class LocalCommand(Enum):
    """A statement that the manager answers without an engine."""

    EMPTY = auto()
    SET = auto()
    SHOW = auto()
    RESET = auto()  # RESET, DISCARD and DEALLOCATE


@dataclass(slots=True)
class Classification:
    """Classification of a statement.

    Attributes:
        writes: Whether it may change data.
        local: The command that is answered without an engine; None if an engine has to run the statement.
        name: Parameter of SET and SHOW; for RESET, DISCARD and DEALLOCATE the command itself.
        value: Value of SET.
    """

    writes: bool = False
    local: LocalCommand | None = None
    name: str = ""
    value: str = ""


def classify(sql: str) -> Classification:
    """Classify a text of one or more statements. Raises PgError for statements that need one engine's session."""
    first_words, writes = _scan(sql)
    if not first_words:
        return Classification(local=LocalCommand.EMPTY)
    for word in first_words:
        _reject_unsupported(word)
    if (len(first_words) == 1 and first_words[0] in PARAMETER_COMMANDS) or _SHOW.match(sql):
        return _classify_local(sql, first_words[0])
    if not PARAMETER_COMMANDS.isdisjoint(first_words):
        raise PgError(sqlstate.FEATURE_NOT_SUPPORTED, "SET and its like can't stand among other statements")
    return Classification(writes=writes)


def _scan(sql: str) -> tuple[list[bytes], bool]:
    """Return the first word of each statement (b"" if it starts with something else) and whether any of them writes."""
    first_words: list[bytes] = []
    writes, at_start = False, True
    for kind, word in tokenize(sql.encode()):
        if kind == b"sign" and word == b";":
            at_start = True
        elif at_start:
            first_words.append(word if kind == b"name" else b"")
            at_start = False
        writes = writes or (kind == b"name" and word in WRITE_KEYWORDS)
    return first_words, writes


def _reject_unsupported(first_word: bytes) -> None:
    if first_word in TRANSACTION_COMMANDS:
        raise PgError(
            sqlstate.FEATURE_NOT_SUPPORTED,
            "explicit transactions can't be kept across engines",
            "Send each statement by itself, in autocommit mode.",
        )
    if first_word == b"copy":
        raise PgError(sqlstate.FEATURE_NOT_SUPPORTED, "COPY is not supported", "Use INSERT or SELECT.")
    if first_word in SESSION_STATE_COMMANDS:
        raise PgError(
            sqlstate.FEATURE_NOT_SUPPORTED,
            f"{first_word.decode().upper()} needs a session of its own on an engine",
            "Use the protocol's own prepared statements.",
        )


def _classify_local(sql: str, first_word: bytes) -> Classification:
    if show := _SHOW.match(sql):
        return Classification(local=LocalCommand.SHOW, name=show["name"].lower())
    if first_word != b"set":
        return Classification(local=LocalCommand.RESET, name=first_word.decode().upper())
    assignment = _SET.match(sql)
    if assignment is None:
        raise PgError(sqlstate.FEATURE_NOT_SUPPORTED, "this form of SET is not supported", "Use SET name = value.")
    value = assignment["value"]
    if value.startswith("'"):
        value = value[1:-1].replace("''", "'")
    return Classification(local=LocalCommand.SET, name=assignment["name"].lower(), value=value)
