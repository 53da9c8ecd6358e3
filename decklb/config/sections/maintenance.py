"""The section `maintenance`: limits and timing for taking machines out of service."""

from __future__ import annotations

from decklb.config.document import AttributeTable, SettingsDocument, convert_attributes
from decklb.config.units import parse_duration_ms, parse_fraction
from decklb.maintenance.settings import MaintenanceSettings

MAINTENANCE_ATTRIBUTES: AttributeTable = {
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
    """Read the section and check that the sections it needs are present.

    Returns None if there is no section or it has a fault.
    """
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
        element, lambda: MaintenanceSettings(**convert_attributes(element, MAINTENANCE_ATTRIBUTES) | paths)
    )
    return settings
