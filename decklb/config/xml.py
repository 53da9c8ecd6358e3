"""Reads XML files and validates them against a schema that ships with the package.

Size and nesting are bounded, entities are not resolved, and all faults are reported at once. Used for the operators'
settings and for the laboratory's experiments.
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
# Largest file in bytes: bounds the memory for parsing.
MAX_BYTES = 4 << 20
# Maximum depth of nested elements: bounds the work of validating an invalid file.
MAX_DEPTH = 8
# Maximum number of faults reported at once.
MAX_FAULTS = 100
# Descriptions, for error messages, of what each type of the schemas accepts.
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
# libxml2's messages for a value of the wrong type and for one that violates a facet of its type.
_TYPE_ERROR = re.compile(
    r"^(?P<where>Element '[^']+'(?:, attribute '[^']+')?): (?P<value>'.*') is not a valid value of the "
    r"(?:atomic|union|list) type '(?P<type>[^']+)'\.$",
    re.DOTALL,
)
_FACET_ERROR = re.compile(
    r"^(?P<where>Element '[^']+'(?:, attribute '[^']+')?): \[facet '[^']+'\] The value (?P<value>'.*') "
    r"is (?P<why>not accepted by the pattern '(?P<pattern>.*)'|.*)\.$",
    re.DOTALL,
)


def schema_text(package: str = SETTINGS_PACKAGE, name: str = SETTINGS_SCHEMA) -> str:
    """Return the text of a schema that ships with a package, by default that of the operators' settings."""
    return (resources.files(package) / name).read_text()


def read(path: str | Path, package: str = SETTINGS_PACKAGE, name: str = SETTINGS_SCHEMA) -> etree._Element:
    """Read and validate a file and return its root element. Raises SettingsError with all faults."""
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_BYTES + 1)
    except OSError as error:
        raise SettingsError([Fault(str(path), 0, f"can't be read: {error.strerror}")]) from error
    return parse(data, str(path), schema_text(package, name))


def parse(data: bytes, name: str, schema: str) -> etree._Element:
    """Parse and validate a document and return its root element.

    Args:
        data: The document.
        name: The file's name, for error messages.
        schema: Text of the schema.

    Raises:
        SettingsError: With all faults: the document is too large, not well-formed or invalid against the schema.
    """
    root = _parse_safely(data, name)
    _check_schema(root, name, schema)
    return root


def _parse_safely(data: bytes, name: str) -> etree._Element:
    """Parse a document; reject one that exceeds the limits or has a DOCTYPE."""
    if len(data) > MAX_BYTES:
        raise SettingsError([Fault(name, 0, f"file is larger than {MAX_BYTES >> 20} MiB")])
    # Entities could make a small file expand without bound or include other files.
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
        raise SettingsError([Fault(name, 1, "a DOCTYPE is not allowed; write values directly instead of entities")])
    if (depth := _nesting_depth(root)) > MAX_DEPTH:
        raise SettingsError(
            [
                Fault(
                    name, 0, f"elements are nested at least {depth} levels deep; at most {MAX_DEPTH} levels are allowed"
                )
            ]
        )
    return root


def _check_schema(root: etree._Element, name: str, schema: str) -> None:
    schema_root = etree.fromstring(schema.encode())
    validator = etree.XMLSchema(schema_root)
    if validator.validate(root):
        return
    types = _types_by_pattern(schema_root)
    # libxml2 does not stop at the first fault, so the log has all of them.
    faults = {Fault(name, error.line, _explain(error.message, types)) for error in validator.error_log}
    raise SettingsError(sorted(faults)[:MAX_FAULTS])


def _types_by_pattern(schema_root: etree._Element) -> dict[str, str]:
    """Map each pattern to the name of its type: libxml2's messages give only the pattern."""
    return {
        pattern.attrib["value"]: pattern.getparent().getparent().get("name", "")  # type: ignore[union-attr]
        for pattern in schema_root.iter(f"{XML_SCHEMA_NAMESPACE}pattern")
    }


def _nesting_depth(root: etree._Element) -> int:
    """Return the depth of nested elements, counted up to MAX_DEPTH + 1."""
    depth, level = 0, [root]
    while level and depth <= MAX_DEPTH:
        depth, level = depth + 1, [child for element in level for child in element]
    return depth


def _explain(message: str, types: dict[str, str]) -> str:
    """Rephrase a message of libxml2 as what is wrong and what is accepted; `types` maps patterns to their types."""
    if match := _TYPE_ERROR.match(message):
        accepted = ACCEPTED_BY_TYPE.get(match["type"], f"a value of type {match['type']}")
    elif match := _FACET_ERROR.match(message):
        if not match["pattern"]:
            return f"{match['where']}: {match['value']} is {match['why']}"
        accepted = ACCEPTED_BY_TYPE.get(types.get(match["pattern"], ""), f"a text that matches {match['pattern']}")
    else:
        return message.rstrip(".")
    return f"{match['where']}: {match['value']} is wrong; {accepted} would be right"
