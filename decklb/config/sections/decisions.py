"""The sections that configure the policy: `classes`, `tenants`, `kinds` and `rules`."""

from __future__ import annotations

from typing import Any

from lxml import etree

from decklb.config.document import AttributeTable, SettingsDocument, boolean, convert_attributes
from decklb.config.units import parse_duration_ms, parse_fraction

CLASS_ATTRIBUTES: AttributeTable = {
    "name": ("name", str),
    "aim": ("aim", parse_duration_ms),
    "deadline": ("deadline", parse_duration_ms),
    "semantics": ("semantics", str),
    "stretch": ("aim_stretch", float),
    "worth": ("worth", float),
    "late-worth": ("late_worth", float),
    "group": ("group", str),
    "memory-span": ("memory_span", parse_duration_ms),
    "serial-by-key": ("serial_by_key", boolean),
}
RULE_ATTRIBUTES: AttributeTable = {
    "cold": ("cold", parse_duration_ms),
    "cold-share": ("cold_share", parse_fraction),
    "drain-grace": ("drain_grace", parse_duration_ms),
    "extra-floor": ("extra_floor", float),
    "extra-share": ("further_ratio", parse_fraction),
    "extra-window": ("extra_window", parse_duration_ms),
    "fall": ("fall", parse_duration_ms),
    "overload-factor": ("overload_factor", float),
    "settle-after-doubt": ("settle_after_doubt", parse_duration_ms),
}
SECTIONS_NEEDING_CLASSES = ("tenants", "kinds", "rules")
# Tolerance for rounding: shares are decimal fractions, so their sum may exceed 100% slightly.
MAX_TOTAL_SHARE = 1.000001


def translate_decisions(document: SettingsDocument, raw: dict[str, Any]) -> None:
    """Write the sections into the settings of the raw configuration."""
    root = document.root
    classes = root.find("classes")
    if classes is None and not _changes_platform_settings(document, raw):
        return
    settings = dict(raw.get("settings") or {})
    domain = dict(settings.get("domain") or {})
    if classes is not None:
        _translate_classes(document, classes, settings, domain)
    if (tenants := root.find("tenants")) is not None:
        _translate_tenants(document, tenants, settings)
    if (kinds := root.find("kinds")) is not None:
        settings["kinds"] = [kind.attrib["name"] for kind in kinds]
        domain["kind_cores"] = [int(kind.attrib["cores"]) for kind in kinds]
        document.check_unique(kinds, "name", "kind")
    settings["domain"] = domain
    if (rules := root.find("rules")) is not None:
        _translate_rules(rules, settings)
    raw["settings"] = settings


def _changes_platform_settings(document: SettingsDocument, raw: dict[str, Any]) -> bool:
    """Return whether the other sections of a file without <classes> change settings of the platform's JSON.

    If that JSON has no settings, each of these sections is a fault.
    """
    present = [name for name in SECTIONS_NEEDING_CLASSES if document.root.find(name) is not None]
    if "settings" not in raw:
        for name in present:
            section = document.root.find(name)
            assert section is not None
            document.add_fault(section, f"<{name}> needs <classes> beside it")
        return False
    return bool(present)


def _translate_classes(
    document: SettingsDocument, classes: etree._Element, settings: dict[str, Any], domain: dict[str, Any]
) -> None:
    settings["categories"] = [convert_attributes(element, CLASS_ATTRIBUTES) for element in classes]
    for element in classes:
        if parse_duration_ms(element.attrib["aim"]) > parse_duration_ms(element.attrib["deadline"]):
            document.add_fault(
                element,
                f"class {element.attrib['name']!r}: an aim over the deadline; at most "
                f"{element.attrib['deadline']} would be right",
            )
    domain["dop"] = [int(element.get("threads", "1")) for element in classes]
    domain["holds_tables"] = [boolean(element.get("holds-tables", "false")) for element in classes]
    domain["yields_to_loads"] = [boolean(element.get("yields-to-loads", "false")) for element in classes]
    document.check_unique(classes, "name", "class")


def _translate_tenants(document: SettingsDocument, tenants: etree._Element, settings: dict[str, Any]) -> None:
    settings["tenants"] = [_tenant_entry(element) for element in tenants]
    document.check_unique(tenants, "name", "tenant")
    total = sum(parse_fraction(element.attrib["share"]) for element in tenants)
    if total > MAX_TOTAL_SHARE:
        document.add_fault(tenants, f"<tenants>: shares add up to {100 * total:g}%; at most 100% would be right")


def _tenant_entry(element: etree._Element) -> dict[str, Any]:
    tenant = {"name": element.attrib["name"], "share": parse_fraction(element.attrib["share"])}
    if "quota-per-second" in element.attrib:
        tenant["quota_per_s"] = float(element.attrib["quota-per-second"])
    return tenant


def _translate_rules(rules: etree._Element, settings: dict[str, Any]) -> None:
    settings["rules"] = dict(settings.get("rules") or {}) | convert_attributes(rules, RULE_ATTRIBUTES)
    limits = dict(settings.get("limits") or {})
    if "retry-after" in rules.attrib:
        limits |= {"retry_after": True, "max_retry_after": parse_duration_ms(rules.attrib["retry-after"])}
    if "cancelling" in rules.attrib:
        limits["cancelling"] = boolean(rules.attrib["cancelling"])
    if "max-attempts" in rules.attrib:
        limits["max_attempts"] = int(rules.attrib["max-attempts"])
    settings["limits"] = limits
    if "tick" in rules.attrib:
        settings["tick"] = parse_duration_ms(rules.attrib["tick"])
    if "balancers" in rules.attrib:
        settings["balancers"] = int(rules.attrib["balancers"])
