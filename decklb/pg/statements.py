"""Classification of a statement by its text: whether it needs an engine, is supported, and writes data.

Statements of one session run on different engines, one at a time and in autocommit mode. Statements that create or
need state in an engine's session are rejected. Pure functions, called by `decklb.pg.session` for each Query and Parse.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, auto
from itertools import pairwise

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
# Functions that leave something behind in the engine's session: a parameter, the seed of random(), a lock.
SESSION_STATE_FUNCTIONS = frozenset(
    (
        b"set_config",
        b"setseed",
        b"pg_advisory_lock",
        b"pg_advisory_lock_shared",
        b"pg_try_advisory_lock",
        b"pg_try_advisory_lock_shared",
    )
)
TEMPORARY = frozenset((b"temp", b"temporary"))
CREATE_MODIFIERS = frozenset((b"or", b"replace", b"global", b"local"))  # between CREATE and TEMPORARY
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
_CLEAR = re.compile(
    r"\s*+(?:discard\s++(?P<discarded>all|plans|sequences|temp|temporary)"
    r"|deallocate\s++(?:prepare\s++)?(?P<statement>\"[^\"]++\"|\w++)"
    r"|reset\s++(?P<parameter>session\s++authorization|time\s++zone|[\w.]++))" + _STATEMENT_END,
    re.IGNORECASE,
)
_SHOW = re.compile(r"\s*+show\s++(?P<name>decklb\.\w++)" + _STATEMENT_END, re.IGNORECASE)


class LocalCommand(Enum):
    """A statement that the manager answers without an engine."""

    EMPTY = auto()
    SET = auto()
    SHOW = auto()
    RESET = auto()
    DISCARD = auto()
    DEALLOCATE = auto()


@dataclass(slots=True)
class Classification:
    """Classification of a statement.

    Attributes:
        writes: Whether it may change data.
        local: The command that is answered without an engine; None if an engine has to run the statement.
        name: Parameter of SET, SHOW and RESET; for DISCARD what is discarded; prepared statement of DEALLOCATE. `ALL`
            stands for each of them, in any case of letters.
        value: Value of SET.
    """

    writes: bool = False
    local: LocalCommand | None = None
    name: str = ""
    value: str = ""


def classify(sql: str) -> Classification:
    """Classify a text of one or more statements. Raises PgError for statements that need one engine's session."""
    tokens = tokenize(sql.encode())
    first_words = _first_words(tokens)
    if not first_words:
        return Classification(local=LocalCommand.EMPTY)
    for word in first_words:
        _reject_unsupported(word)
    words = {word for kind, word in tokens if kind == b"name"}
    if not SESSION_STATE_FUNCTIONS.isdisjoint(words):
        _reject_session_functions(tokens)
    if not TEMPORARY.isdisjoint(words):
        _reject_temporary_objects(tokens)
    if (len(first_words) == 1 and first_words[0] in PARAMETER_COMMANDS) or _SHOW.match(sql):
        return _classify_local(sql, first_words[0])
    if not PARAMETER_COMMANDS.isdisjoint(first_words):
        raise PgError(sqlstate.FEATURE_NOT_SUPPORTED, "SET and its like can't stand among other statements")
    return Classification(writes=not WRITE_KEYWORDS.isdisjoint(words))


def _first_words(tokens: list[tuple[bytes, bytes]]) -> list[bytes]:
    """Return the first word of each statement; b"" if it starts with something else."""
    first_words: list[bytes] = []
    at_start = True
    for kind, word in tokens:
        if kind == b"sign" and word == b";":
            at_start = True
        elif at_start:
            first_words.append(word if kind == b"name" else b"")
            at_start = False
    return first_words


def _reject_session_functions(tokens: list[tuple[bytes, bytes]]) -> None:
    for (_, word), following in pairwise(tokens):
        if word in SESSION_STATE_FUNCTIONS and following == (b"sign", b"("):
            raise _needs_own_session(f"{word.decode()}()")


def _reject_temporary_objects(tokens: list[tuple[bytes, bytes]]) -> None:
    """Reject CREATE TEMPORARY; `temp` is no reserved word, so it may also be the name of a table."""
    after_create = False
    for kind, word in tokens:
        if after_create and kind == b"name" and word in TEMPORARY:
            raise _needs_own_session("a temporary object")
        after_create = kind == b"name" and (word == b"create" or (after_create and word in CREATE_MODIFIERS))


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
        raise _needs_own_session(first_word.decode().upper(), "Use the protocol's own prepared statements.")


def _needs_own_session(what: str, hint: str = "Engines' sessions are shared between clients.") -> PgError:
    return PgError(sqlstate.FEATURE_NOT_SUPPORTED, f"{what} needs a session of its own on an engine", hint)


def _classify_local(sql: str, first_word: bytes) -> Classification:
    if show := _SHOW.match(sql):
        return Classification(local=LocalCommand.SHOW, name=show["name"].lower())
    if first_word != b"set":
        return _classify_clearing(sql, first_word)
    assignment = _SET.match(sql)
    if assignment is None:
        raise PgError(sqlstate.FEATURE_NOT_SUPPORTED, "this form of SET is not supported", "Use SET name = value.")
    value = assignment["value"]
    if value.startswith("'"):
        value = value[1:-1].replace("''", "'")
    return Classification(local=LocalCommand.SET, name=assignment["name"].lower(), value=value)


def _classify_clearing(sql: str, first_word: bytes) -> Classification:
    """Classify RESET, DISCARD and DEALLOCATE. An unquoted name is folded to lower case, as PostgreSQL does."""
    command = LocalCommand[first_word.decode().upper()]
    match = _CLEAR.match(sql)
    if match is None:
        text = f"this form of {command.name} is not supported"
        raise PgError(sqlstate.FEATURE_NOT_SUPPORTED, text, f"Use {command.name} name or {command.name} ALL.")
    name = match[match.lastgroup or 0]
    return Classification(local=command, name=name[1:-1] if name.startswith('"') else name.lower())
