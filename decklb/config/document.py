"""An XML settings file while it is converted into settings: its elements and the faults found so far.

Faults are collected with the line of their element, so that operators see all faults of a file at once.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from lxml import etree

from decklb.config.errors import ConfigError, Fault, SettingsError

MAX_SUGGESTIONS = 6  # defined names that a message lists

# Maps an attribute of the XML to the key or field that it sets and the function that converts its text.
AttributeTable = dict[str, tuple[str, Callable[[str], Any]]]


class SettingsDocument:
    """A settings file that is valid against the schema."""

    def __init__(self, path: str, root: etree._Element) -> None:
        self.path, self.root = path, root
        self.faults: list[Fault] = []

    def add_fault(self, element: etree._Element, text: str) -> None:
        """Record a fault with the line of the element."""
        self.faults.append(Fault(self.path, element.sourceline or 0, text))

    def raise_faults(self) -> None:
        """Raise SettingsError with all faults recorded so far, if there are any."""
        if self.faults:
            raise SettingsError(sorted(set(self.faults)))

    def check(self, element: etree._Element, build: Callable[[], Any]) -> Any:
        """Return the result of `build`; if it raises, record a fault at the element and return None."""
        try:
            return build()
        except (ConfigError, KeyError, ValueError) as error:
            reason = str(error).removeprefix("configuration can't be used: ")
            self.add_fault(element, f"<{element.tag!s}>: {reason}")
            return None

    def check_unique(self, parent: etree._Element, attribute: str, kind: str) -> None:
        """Record a fault for each child whose attribute repeats the value of an earlier child.

        `kind` names the children in the text of the fault.
        """
        first_lines: dict[str, int] = {}
        for child in parent:
            value = child.attrib[attribute]
            if value in first_lines:
                self.add_fault(
                    child, f"{kind} {value!r} stands in line {first_lines[value]} already; one of the two must go"
                )
            first_lines.setdefault(value, int(child.sourceline or 0))

    def check_defined(self, element: etree._Element, attribute: str, names: list[str]) -> None:
        """Record a fault if the attribute is given, names are defined and its value is none of them."""
        value = element.get(attribute)
        if value is not None and names and value not in names:
            examples = ", ".join(names[:MAX_SUGGESTIONS]) + (", ..." if len(names) > MAX_SUGGESTIONS else "")
            self.add_fault(
                element, f"<{element.tag!s}>: nobody defines {attribute} {value!r}; one of {examples} would be right"
            )

    def resolve_path(self, text: str) -> str:
        """Return the absolute form of a path; a relative path starts at the folder of the settings file."""
        return str(Path(self.path).resolve().parent / text)


def convert_attributes(element: etree._Element, table: AttributeTable) -> dict[str, Any]:
    """Convert those attributes of an element that the table lists; return the values by the key or field they set."""
    return {table[name][0]: table[name][1](text) for name, text in element.attrib.items() if name in table}


def boolean(text: str) -> bool:
    """Parse an xs:boolean of XML Schema."""
    return text in ("true", "1")
