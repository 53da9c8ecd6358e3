"""The section `postgres`: the PostgreSQL front and its engine client."""

from __future__ import annotations

from typing import Any

from decklb.config.document import AttributeTable, SettingsDocument, convert_attributes
from decklb.config.units import parse_duration_ms, parse_size_bytes

POSTGRES_ATTRIBUTES: AttributeTable = {
    "user": ("user", str),
    "database": ("database", str),
    "connections": ("connections", int),
    "writes": ("writes", str),
    "most-result": ("most_result", parse_size_bytes),
    "most-message": ("most_message", parse_size_bytes),
}
SESSION_ATTRIBUTES: AttributeTable = {
    "tenant": ("tenant", str),
    "class": ("class", str),
    "budget": ("budget", parse_duration_ms),
}


def translate_postgres(document: SettingsDocument, raw: dict[str, Any]) -> None:
    """Write the section into the raw configuration."""
    if (postgres := document.root.find("postgres")) is None:
        return
    section = convert_attributes(postgres, POSTGRES_ATTRIBUTES)
    if (defaults := postgres.find("defaults")) is not None:
        section["defaults"] = convert_attributes(defaults, SESSION_ATTRIBUTES)
    section["users"] = {
        user.attrib["name"]: convert_attributes(user, SESSION_ATTRIBUTES) for user in postgres.findall("user")
    }
    raw["postgres"] = section
