"""The section `postgres`: the PostgreSQL front and its engine client."""

from __future__ import annotations

from typing import Any

from decklb.config.document import AttributeTable, SettingsDocument, converted
from decklb.config.units import parse_duration_ms, parse_size_bytes

POSTGRES: AttributeTable = {
    "user": ("user", str),
    "database": ("database", str),
    "connections": ("connections", int),
    "writes": ("writes", str),
    "most-result": ("most_result", parse_size_bytes),
    "most-message": ("most_message", parse_size_bytes),
}
SESSION: AttributeTable = {
    "tenant": ("tenant", str),
    "class": ("class", str),
    "budget": ("budget", parse_duration_ms),
}


def translate_postgres(document: SettingsDocument, raw: dict[str, Any]) -> None:
    """Put what the section says into the raw form."""
    if (postgres := document.root.find("postgres")) is None:
        return
    section = converted(postgres, POSTGRES)
    if (defaults := postgres.find("defaults")) is not None:
        section["defaults"] = converted(defaults, SESSION)
    section["users"] = {user.attrib["name"]: converted(user, SESSION) for user in postgres.findall("user")}
    raw["postgres"] = section
