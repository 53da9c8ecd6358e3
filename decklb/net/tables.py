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
_GROUP = re.compile(rb"\w*_([0-9]{1,9})\Z")
_BEFORE = {b"from", b"join", b"into", b"update", b"table", b"using", b"only", b"truncate", b"copy"}


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

    A schema stands before a dot. `t.column` looks alike, so a name where tables are named is preferred.
    `staging` has no group.
    """
    tokens, first = names(text), 0
    for i in range(len(tokens) - 2):
        (kind, name), (_, sign), (last, _) = tokens[i : i + 3]
        if kind != b"name" or sign != b"." or last != b"name" or name == b"staging":
            continue
        m = _GROUP.match(name)
        if m is None:
            continue
        group = int(m.group(1))
        if i and tokens[i - 1][0] == b"name" and tokens[i - 1][1] in _BEFORE:
            return group
        first = first or group
    return first
