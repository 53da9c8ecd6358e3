"""The section `maintenance`: budgets and times of taking machines out of service."""

from __future__ import annotations

from decklb.config.document import AttributeTable, SettingsDocument, converted
from decklb.config.units import duration, share
from decklb.maintenance.settings import MaintenanceSettings

MAINTENANCE: AttributeTable = {
    "members": ("member_count", int),
    "most": ("max_unavailable", int),
    "most-zone": ("max_unavailable_per_zone", int),
    "most-share": ("max_unavailable_zone_fraction", share),
    "reserve": ("max_utilization", share),
    "drain": ("drain_timeout_ms", duration),
    "warm": ("warm_up_ms", duration),
    "window": ("default_window_ms", duration),
    "tick": ("tick_ms", duration),
    "patience": ("round_timeout_ms", duration),
    "fresh": ("report_ttl_ms", duration),
    "absent": ("absent_after_ms", duration),
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
