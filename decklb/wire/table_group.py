"""The group of tables of a statement: the number after the underscore in its schema's name."""

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
_COMMENT = re.compile(rb"/\*|\*/")
_WORD = rb"[\w$\x80-\xff]"
# Only what a group can stand in or hide in is looked at: cutting whole statements into words took two fifths of a
# busy core.
_NAMED = re.compile(
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
    % ((_WORD,) * 5),
    re.VERBOSE | re.DOTALL | re.IGNORECASE,
)
_GROUP = re.compile(rb".*_([0-9]{1,9})\Z", re.DOTALL)


def _after_comment(text: bytes, at: int) -> int:
    """Where a block comment that opened just before `at` ends; they nest."""
    depth = 1
    while depth:
        m = _COMMENT.search(text, at)
        if m is None:
            return len(text)
        depth += 1 if m.group() == b"/*" else -1
        at = m.end()
    return at


def names(text: bytes) -> list[tuple[bytes, bytes]]:
    """Words, quoted identifiers and signs in order as (kind, text), without strings and comments."""
    found, at = [], 0
    while (m := _TOKEN.search(text, at)) is not None:
        at, kind = m.end(), m.lastgroup
        if m.group("block"):
            at = _after_comment(text, at)
        elif m.group("dollar"):
            end = text.find(m.group("dollar"), at)
            at = len(text) if end < 0 else end + len(m.group("dollar"))
        elif m.group("quoted"):
            found.append((b"name", m.group()[1:-1].replace(b'""', b'"')))
        elif m.group("word"):
            found.append((b"name", m.group().lower()))
        elif kind in ("dot", "other"):
            found.append((b"sign", m.group()))
    return found


def table_group(text: bytes) -> int:
    """The group that a statement reads or writes, 0 if none shows.

    A schema stands before a dot. `t_1.column` looks alike, so a name where tables are named is preferred.
    `staging` has no group.
    """
    first, at = 0, 0
    while (m := _NAMED.search(text, at)) is not None:
        at = m.end()
        if m["block"]:
            at = _after_comment(text, at)
        elif m["dollar"]:
            end = text.find(m["dollar"], at)
            at = len(text) if end < 0 else end + len(m["dollar"])
        else:
            quoted = _GROUP.match(m["quoted"]) if m["quoted"] else None
            number = quoted[1] if quoted else m["group"]
            if number and m["before"]:
                return int(number)
            first = first or int(number or 0)
    return first
