"""The section `locality`: regions, their zones, and when the load of a zone spills over to others."""

from __future__ import annotations

from decklb.config.document import AttributeTable, SettingsDocument, convert_attributes
from decklb.config.units import parse_duration_ms, parse_fraction
from decklb.locality.settings import DecisionMode, LocalitySettings

LOCALITY_ATTRIBUTES: AttributeTable = {
    "zone": ("home_zone", str),
    "members": ("member_count", int),
    "judge": ("decision_mode", DecisionMode),
    "misses": ("unhealthy_threshold", int),
    "slow": ("degraded_latency_ratio", float),
    "tick": ("tick_ms", parse_duration_ms),
    "look": ("health_check_interval_ms", parse_duration_ms),
    "timeout": ("health_check_timeout_ms", parse_duration_ms),
    "fresh": ("observation_ttl_ms", parse_duration_ms),
    "settle": ("stabilization_ms", parse_duration_ms),
    "hold": ("min_state_duration_ms", parse_duration_ms),
    "retry": ("vote_timeout_ms", parse_duration_ms),
    "keep": ("isolation_grace_ms", parse_duration_ms),
    "ramp": ("recovery_ramp_ms", parse_duration_ms),
    "ramp-floor": ("recovery_min_fraction", parse_fraction),
    "out": ("out_threshold", parse_fraction),
    "degraded": ("degraded_threshold", parse_fraction),
    "full": ("max_utilization", parse_fraction),
    "panic": ("panic_threshold", parse_fraction),
}


def read_locality(document: SettingsDocument) -> LocalitySettings | None:
    """Read the section and check it against `engines`; return None if there is no section or it has a fault."""
    element = document.root.find("locality")
    if element is None:
        return None
    if document.root.find("cluster") is None:
        document.add_fault(element, "<locality> needs <cluster>: members decide on zones together")
    regions = tuple((region.attrib["name"], tuple(zone.attrib["name"] for zone in region)) for region in element)
    document.check_unique(element, "name", "region")
    settings: LocalitySettings | None = document.check(
        element, lambda: LocalitySettings(**convert_attributes(element, LOCALITY_ATTRIBUTES), regions=regions)
    )
    engine_zones = {engine.get("zone", "") for engine in document.root.iterfind("engines/engine")}
    if settings is not None and engine_zones and not engine_zones & settings.region_of.keys():
        document.add_fault(
            element,
            f"<locality>: no engine of <engines> is in any of its zones; theirs are "
            f"{', '.join(sorted(repr(zone) for zone in engine_zones))}",
        )
    return settings
