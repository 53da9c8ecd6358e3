"""One settings file in XML on its way into settings: its elements, and the faults found in them so far.

Faults are gathered, each with the line of its element, so that operators see all of a file at once.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from lxml import etree

from decklb.config.errors import ConfigError, Fault, SettingsError

MAX_SUGGESTIONS = 6  # names told in a message of what would be right

# An attribute of the XML -> the key or field that it sets, and how its text is converted.
AttributeTable = dict[str, tuple[str, Callable[[str], Any]]]


class SettingsDocument:
    """A file that the schema has accepted."""

    def __init__(self, path: str, root: etree._Element) -> None:
        self.path, self.root = path, root
        self.faults: list[Fault] = []

    def add_fault(self, element: etree._Element, text: str) -> None:
        """Note a fault at an element's line."""
        self.faults.append(Fault(self.path, element.sourceline or 0, text))

    def raise_faults(self) -> None:
        """Raise SettingsError with what has been found so far, if anything."""
        if self.faults:
            raise SettingsError(sorted(set(self.faults)))

    def check(self, element: etree._Element, make: Callable[[], Any]) -> Any:
        """What `make` returns; None and a fault at that element where it raises."""
        try:
            return make()
        except (ConfigError, KeyError, ValueError) as error:
            reason = str(error).removeprefix("configuration can't be used: ")
            self.add_fault(element, f"<{element.tag!s}>: {reason}")
            return None

    def check_unique(self, parent: etree._Element, attribute: str, kind: str) -> None:
        """Fault each child whose attribute has a value that an earlier one has; `kind` says what they are."""
        first_lines: dict[str, int] = {}
        for child in parent:
            value = child.attrib[attribute]
            if value in first_lines:
                self.add_fault(
                    child, f"{kind} {value!r} stands in line {first_lines[value]} already; one of the two must go"
                )
            first_lines.setdefault(value, int(child.sourceline or 0))

    def check_defined(self, element: etree._Element, attribute: str, names: list[str]) -> None:
        """Fault an attribute whose value is none of the names that are defined, where any are."""
        value = element.get(attribute)
        if value is not None and names and value not in names:
            some = ", ".join(names[:MAX_SUGGESTIONS]) + (", ..." if len(names) > MAX_SUGGESTIONS else "")
            self.add_fault(
                element, f"<{element.tag!s}>: nobody defines {attribute} {value!r}; one of {some} would be right"
            )

    def resolve_path(self, text: str) -> str:
        """A path as seen from the file's folder."""
        return str(Path(self.path).resolve().parent / text)


def converted(element: etree._Element, table: AttributeTable) -> dict[str, Any]:
    """The attributes that are given, under their new names and converted."""
    return {table[name][0]: table[name][1](text) for name, text in element.attrib.items() if name in table}


def boolean(text: str) -> bool:
    """A boolean of XML Schema."""
    return text in ("true", "1")
