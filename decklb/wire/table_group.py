"""The group of tables of a statement: the number after the underscore in its schema's name. Scanners, no state.

`table_group` runs for every request of both listeners; `tokenize` serves the PostgreSQL listener's look at statements.
"""

from __future__ import annotations

import re

_TOKEN = re.compile(
    rb"""(?P<line>--[^\n]*)
       | (?P<block>/\*)
       | (?P<escape>[eE]'(?:[^'\\]|''|\\.)*(?:'|\Z))
       | (?P<string>'(?:[^']|'')*(?:'|\Z))
       | (?P<dollar>\$(?P<tag>[A-Za-z_\x80-\xff][\w\x80-\xff]*)?\$)
       | (?P<quoted>"(?:[^"]|"")*(?:"|\Z))
       | (?P<word>[A-Za-z_\x80-\xff][\w$\x80-\xff]*)
       | (?P<number>[0-9][\w.]*)
       | (?P<dot>\.)
       | (?P<other>\S)""",
    re.VERBOSE | re.DOTALL,
)
_COMMENT_EDGE = re.compile(rb"/\*|\*/")
_WORD_BYTE = rb"[\w$\x80-\xff]"
# Only what a group can stand in or hide in is matched: cutting whole statements into words took two fifths of a busy
# core.
_SCHEMA = re.compile(
    rb"""--[^\n]*
       | (?P<block>/\*)
       | (?<!%b)[eE]'(?:[^'\\]|''|\\.)*(?:'|\Z)
       | '(?:[^']|'')*(?:'|\Z)
       | (?<!%b)(?P<dollar>\$(?:[A-Za-z_\x80-\xff][\w\x80-\xff]*)?\$)
       | (?:(?<!%b)(?P<before>from|join|into|update|table|using|only|truncate|merge)\s+)?
         (?:(?<!%b)(?P<name>[A-Za-z_\x80-\xff]%b*_(?P<group>[0-9]{1,9}))
            | "(?P<quoted>(?:[^"]|"")*)")
         \s*\.\s*(?=["A-Za-z_\x80-\xff])
       | "(?:[^"]|"")*(?:"|\Z)"""
    % ((_WORD_BYTE,) * 5),
    re.VERBOSE | re.DOTALL | re.IGNORECASE,
)
_GROUP_SUFFIX = re.compile(rb".*_([0-9]{1,9})\Z", re.DOTALL)


def _after_comment(text: bytes, at: int) -> int:
    """Where a block comment that opened just before `at` ends; they nest."""
    depth = 1
    while depth:
        match = _COMMENT_EDGE.search(text, at)
        if match is None:
            return len(text)
        depth += 1 if match.group() == b"/*" else -1
        at = match.end()
    return at


def tokenize(text: bytes) -> list[tuple[bytes, bytes]]:
    """Names and signs in order as (kind, text), without strings and comments.

    Kinds are b"name" for words, which are lowered, and quoted identifiers, and b"sign" for any other character.
    """
    found, at = [], 0
    while (match := _TOKEN.search(text, at)) is not None:
        at, kind = match.end(), match.lastgroup
        if match.group("block"):
            at = _after_comment(text, at)
        elif match.group("dollar"):
            end = text.find(match.group("dollar"), at)
            at = len(text) if end < 0 else end + len(match.group("dollar"))
        elif match.group("quoted"):
            found.append((b"name", match.group()[1:-1].replace(b'""', b'"')))
        elif match.group("word"):
            found.append((b"name", match.group().lower()))
        elif kind in ("dot", "other"):
            found.append((b"sign", match.group()))
    return found


def table_group(text: bytes) -> int:
    """The group that a statement reads or writes, 0 if none shows.

    A schema stands before a dot. `t_1.column` looks alike, so a name where tables are named is preferred.
    `staging` has no group.
    """
    first, at = 0, 0
    while (match := _SCHEMA.search(text, at)) is not None:
        at = match.end()
        if match["block"]:
            at = _after_comment(text, at)
        elif match["dollar"]:
            end = text.find(match["dollar"], at)
            at = len(text) if end < 0 else end + len(match["dollar"])
        else:
            quoted = _GROUP_SUFFIX.match(match["quoted"]) if match["quoted"] else None
            number = quoted[1] if quoted else match["group"]
            if number and match["before"]:
                return int(number)
            first = first or int(number or 0)
    return first
