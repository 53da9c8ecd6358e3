"""Checks that names used in one section are defined in another."""

from __future__ import annotations

from typing import Any

from decklb.config.document import SettingsDocument


def check_references(document: SettingsDocument, raw: dict[str, Any]) -> None:
    """Record faults for classes, tenants and kinds of engines that neither the file nor the platform's JSON defines."""
    settings = raw.get("settings") or {}
    classes = [spec["name"] for spec in settings.get("categories") or []]
    tenants = [tenant["name"] for tenant in settings.get("tenants") or []]
    kinds = list(settings.get("kinds") or [])
    for element in document.root.iterfind("postgres//*"):
        document.check_defined(element, "class", classes)
        document.check_defined(element, "tenant", tenants)
    for element in document.root.iterfind("engines/engine"):
        document.check_defined(element, "kind", kinds)
    if (postgres := document.root.find("postgres")) is not None:
        document.check_defined(postgres, "writes", classes)
