"""Finds the table group of a statement: the number after the underscore in the name of its schema. Stateless scanners.

`table_group` runs for every request of both listeners; `tokenize` is used by the PostgreSQL listener to classify
statements.
"""

from __future__ import annotations

import re

# Possessive quantifiers (`*+`) keep no state for each character that they match.
_TOKEN = re.compile(
    rb"""(?P<line>--[^\n\r]*+)
       | (?P<block>/\*)
       | (?P<escape>[eE]'[^'\\]*+(?:(?:''|\\.)[^'\\]*+)*(?:'|\\?\Z))
       | (?P<string>'[^']*+(?:''[^']*+)*+(?:'|\Z))
       | (?P<dollar>\$(?P<tag>[A-Za-z_\x80-\xff][\w\x80-\xff]*)?\$)
       | (?P<quoted>"[^"]*+(?:""[^"]*+)*+(?:"|\Z))
       | (?P<word>[A-Za-z_\x80-\xff][\w$\x80-\xff]*)
       | (?P<number>[0-9][\w.]*)
       | (?P<dot>\.)
       | (?P<other>\S)""",
    re.VERBOSE | re.DOTALL,
)
_COMMENT_EDGE = re.compile(rb"/\*|\*/")
_WORD_BYTE = rb"[\w$\x80-\xff]"
# Matches only schema names, and the strings and comments in which text may look like one: it runs for every request.
_SCHEMA = re.compile(
    rb"""--[^\n\r]*+
       | (?P<block>/\*)
       | (?<!%b)[eE]'[^'\\]*+(?:(?:''|\\.)[^'\\]*+)*(?:'|\\?\Z)
       | '[^']*+(?:''[^']*+)*+(?:'|\Z)
       | (?<!%b)(?P<dollar>\$(?:[A-Za-z_\x80-\xff][\w\x80-\xff]*)?\$)
       | (?:(?<!%b)(?P<before>from|join|into|update|table|using|only|truncate|merge)\s+)?
         (?:(?<!%b)(?P<name>[A-Za-z_\x80-\xff]%b*_(?P<group>[0-9]{1,9}))
            | "(?P<quoted>[^"]*+(?:""[^"]*+)*+)")
         \s*\.\s*(?=["A-Za-z_\x80-\xff])
       | "[^"]*+(?:""[^"]*+)*+(?:"|\Z)"""
    % ((_WORD_BYTE,) * 5),
    re.VERBOSE | re.DOTALL | re.IGNORECASE,
)
_GROUP_SUFFIX = re.compile(rb".*_([0-9]{1,9})\Z", re.DOTALL)


def _comment_end(text: bytes, pos: int) -> int:
    """Return the end of a block comment whose content begins at `pos`; block comments nest."""
    depth = 1
    while depth:
        match = _COMMENT_EDGE.search(text, pos)
        if match is None:
            return len(text)
        depth += 1 if match.group() == b"/*" else -1
        pos = match.end()
    return pos


def tokenize(text: bytes) -> list[tuple[bytes, bytes]]:
    """Return names and signs in order as (kind, text), without strings, numbers and comments.

    The kind is b"name" for words, which are lower-cased, and for quoted identifiers; it is b"sign" for any other
    character.
    """
    tokens, pos = [], 0
    while (match := _TOKEN.search(text, pos)) is not None:
        pos, kind = match.end(), match.lastgroup
        if match.group("block"):
            pos = _comment_end(text, pos)
        elif match.group("dollar"):
            end = text.find(match.group("dollar"), pos)
            pos = len(text) if end < 0 else end + len(match.group("dollar"))
        elif match.group("quoted"):
            tokens.append((b"name", match.group()[1:-1].replace(b'""', b'"')))
        elif match.group("word"):
            tokens.append((b"name", match.group().lower()))
        elif kind in ("dot", "other"):
            tokens.append((b"sign", match.group()))
    return tokens


def table_group(text: bytes) -> int:
    """Return the table group that a statement reads or writes, or 0 if none is found.

    A schema name is followed by a dot. `t_1.column` looks the same, so a name that follows a keyword such as FROM is
    preferred. The schema `staging` has no group.
    """
    first_group, pos = 0, 0
    while (match := _SCHEMA.search(text, pos)) is not None:
        pos = match.end()
        if match["block"]:
            pos = _comment_end(text, pos)
        elif match["dollar"]:
            end = text.find(match["dollar"], pos)
            pos = len(text) if end < 0 else end + len(match["dollar"])
        else:
            quoted = _GROUP_SUFFIX.match(match["quoted"]) if match["quoted"] else None
            number = quoted[1] if quoted else match["group"]
            if number and match["before"]:
                return int(number)
            first_group = first_group or int(number or 0)
    return first_group
