"""The section `maintenance`: budgets and times of taking machines out of service."""

from __future__ import annotations

from decklb.config.document import AttributeTable, SettingsDocument, converted
from decklb.config.units import parse_duration_ms, parse_fraction
from decklb.maintenance.settings import MaintenanceSettings

MAINTENANCE: AttributeTable = {
    "members": ("member_count", int),
    "most": ("max_unavailable", int),
    "most-zone": ("max_unavailable_per_zone", int),
    "most-share": ("max_unavailable_zone_fraction", parse_fraction),
    "reserve": ("max_utilization", parse_fraction),
    "drain": ("drain_timeout_ms", parse_duration_ms),
    "warm": ("warm_up_ms", parse_duration_ms),
    "window": ("default_window_ms", parse_duration_ms),
    "tick": ("tick_ms", parse_duration_ms),
    "patience": ("round_timeout_ms", parse_duration_ms),
    "fresh": ("report_ttl_ms", parse_duration_ms),
    "absent": ("absent_after_ms", parse_duration_ms),
    "kept": ("retained_jobs", int),
}


def read_maintenance(document: SettingsDocument) -> MaintenanceSettings | None:
    """Read the section, and check what it needs beside it; None without it, and where it has a fault."""
    element = document.root.find("maintenance")
    if element is None:
        return None
    if document.root.find("locality") is None:
        document.add_fault(
            element, "<maintenance> needs <locality>: its budgets go by what members see of zones and load"
        )
    if document.root.find("control") is None:
        document.add_fault(element, "<maintenance> needs <control>: operators ask for machines over it")
    paths = {"data_directory": document.resolve_path(element.attrib["data"])} if "data" in element.attrib else {}
    settings: MaintenanceSettings | None = document.check(
        element, lambda: MaintenanceSettings(**converted(element, MAINTENANCE) | paths)
    )
    return settings
