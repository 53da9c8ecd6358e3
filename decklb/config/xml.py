"""Reads XML files against a schema that ships with the package: bounded, without entities, all faults at once.

Used for the operators' settings and for the laboratory's experiments; keeps no state.
"""

from __future__ import annotations

import re
from importlib import resources
from pathlib import Path

from lxml import etree

from decklb.config.errors import Fault, SettingsError

SETTINGS_PACKAGE = "decklb.config"
SETTINGS_SCHEMA = "decklb.xsd"
XML_SCHEMA_NAMESPACE = "{http://www.w3.org/2001/XMLSchema}"
# Bytes of a file: bounds the memory that parsing takes.
MAX_BYTES = 4 << 20
# Levels of elements: bounds the work of looking through a file that no schema accepts.
MAX_DEPTH = 8
# Faults that are told at once.
MAX_FAULTS = 100
# What the schemas' types accept, for messages.
ACCEPTED_BY_TYPE = {
    "duration": "a duration such as 250ms, 2s, 1min",
    "size": "a size such as 64KiB, 64MiB",
    "share": "a share such as 10%",
    "name": "1 to 64 letters, digits, '_', '.' or '-'",
    "address": "HOST:PORT",
    "prefix": "an IPv4 prefix such as 192.0.2.0/24",
    "ipv4": "an IPv4 address",
    "text": "1 to 200 characters",
    "number": "a number from 0 to 1000000000",
    "count": "a whole number from 1",
    "asn": "an AS number from 1 to 4294967295",
    "semantics": "idempotent, deduplicated or at_most_once",
    "state": "ready or draining",
    "group": "all, zone or cell",
    "attempts": "a whole number from 1 to 4",
    "xs:boolean": "true or false",
    "xs:nonNegativeInteger": "a whole number from 0",
}
# How libxml2 words a value of the wrong type, and one that breaks a facet of its type.
_WRONG_TYPE = re.compile(
    r"^(?P<where>Element '[^']+'(?:, attribute '[^']+')?): (?P<value>'.*') is not a valid value of the "
    r"(?:atomic|union|list) type '(?P<type>[^']+)'\.$",
    re.DOTALL,
)
_WRONG_FACET = re.compile(
    r"^(?P<where>Element '[^']+'(?:, attribute '[^']+')?): \[facet '[^']+'\] The value (?P<value>'.*') "
    r"is (?P<why>not accepted by the pattern '(?P<pattern>.*)'|.*)\.$",
    re.DOTALL,
)


def schema_text(package: str = SETTINGS_PACKAGE, name: str = SETTINGS_SCHEMA) -> str:
    """The text of a schema that ships with a package; that of the operators' settings by default."""
    return (resources.files(package) / name).read_text()


def read(path: str | Path, package: str = SETTINGS_PACKAGE, name: str = SETTINGS_SCHEMA) -> etree._Element:
    """The root of a file that the schema accepts. Raises SettingsError with every fault."""
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_BYTES + 1)
    except OSError as error:
        raise SettingsError([Fault(str(path), 0, f"can't be read: {error.strerror}")]) from error
    return parse(data, str(path), schema_text(package, name))


def parse(data: bytes, name: str, schema: str) -> etree._Element:
    """The root of a document that a schema accepts; `name` stands for the file in messages.

    Raises:
        SettingsError: The document is too large, no XML, or not as the schema wants it; with every fault.
    """
    root = _parse_closed(data, name)
    _check_schema(root, name, schema)
    return root


def _parse_closed(data: bytes, name: str) -> etree._Element:
    """Parse within bounds, and reject what could read other files or grow without bound."""
    if len(data) > MAX_BYTES:
        raise SettingsError([Fault(name, 0, f"larger than {MAX_BYTES >> 20} MiB")])
    # Entities would let a small file grow without bound or read other files.
    parser = etree.XMLParser(
        resolve_entities=False,
        no_network=True,
        load_dtd=False,
        dtd_validation=False,
        huge_tree=False,
        remove_comments=True,
        remove_pis=True,
    )
    try:
        root = etree.fromstring(data, parser)
    except etree.XMLSyntaxError as error:
        raise SettingsError([Fault(name, error.lineno or 0, f"is no XML: {error.msg}")]) from error
    if root.getroottree().docinfo.doctype or root.getroottree().docinfo.internalDTD is not None:
        raise SettingsError([Fault(name, 1, "a DOCTYPE is not allowed; write the values themselves")])
    if (depth := _depth(root)) > MAX_DEPTH:
        raise SettingsError([Fault(name, 0, f"elements nest {depth} deep; {MAX_DEPTH} is the most")])
    return root


def _check_schema(root: etree._Element, name: str, schema: str) -> None:
    schema_root = etree.fromstring(schema.encode())
    validator = etree.XMLSchema(schema_root)
    if validator.validate(root):
        return
    types = _types_by_pattern(schema_root)
    # libxml2 goes on to the next fault by itself.
    faults = {Fault(name, error.line, _explain(error.message, types)) for error in validator.error_log}
    raise SettingsError(sorted(faults)[:MAX_FAULTS])


def _types_by_pattern(schema_root: etree._Element) -> dict[str, str]:
    """The name of the type that has a pattern, by the pattern: libxml2 tells of the pattern alone."""
    return {
        pattern.attrib["value"]: pattern.getparent().getparent().get("name", "")  # type: ignore[union-attr]
        for pattern in schema_root.iter(f"{XML_SCHEMA_NAMESPACE}pattern")
    }


def _depth(root: etree._Element) -> int:
    """Levels of elements; no more than one over MAX_DEPTH are counted."""
    depth, level = 0, [root]
    while level and depth <= MAX_DEPTH:
        depth, level = depth + 1, [child for element in level for child in element]
    return depth


def _explain(message: str, types: dict[str, str]) -> str:
    """What is wrong and what would be right, from libxml2's words; `types` names the type of each pattern."""
    if match := _WRONG_TYPE.match(message):
        accepted = ACCEPTED_BY_TYPE.get(match["type"], f"a value of type {match['type']}")
    elif match := _WRONG_FACET.match(message):
        if not match["pattern"]:
            return f"{match['where']}: {match['value']} is {match['why']}"
        accepted = ACCEPTED_BY_TYPE.get(types.get(match["pattern"], ""), f"a text like {match['pattern']}")
    else:
        return message.rstrip(".")
    return f"{match['where']}: {match['value']} is wrong; {accepted} would be right"
