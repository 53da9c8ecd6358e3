"""The section `handoff`: how records of requests in flight are replicated between members."""

from __future__ import annotations

from decklb.config.document import AttributeTable, SettingsDocument, convert_attributes
from decklb.config.units import format_duration, parse_duration_ms, parse_fraction, parse_size_bytes
from decklb.handoff.settings import HandoffSettings

HANDOFF_ATTRIBUTES: AttributeTable = {
    "copies": ("voter_count", int),
    "members": ("fleet_size", int),
    "patience": ("quorum_timeout_ms", parse_duration_ms),
    "beat": ("heartbeat_interval_ms", parse_duration_ms),
    "resend": ("resend_interval_ms", parse_duration_ms),
    "stagger": ("claim_stagger_ms", parse_duration_ms),
    "longest": ("max_budget_ms", parse_duration_ms),
    "room": ("max_bytes", parse_size_bytes),
    "capacity": ("max_records", int),
    "answer-bytes": ("max_answer_bytes", parse_size_bytes),
    "lease": ("lease_ms", parse_duration_ms),
    "drift": ("max_clock_drift", parse_fraction),
    "linger": ("answer_retention_ms", parse_duration_ms),
    "slack": ("deadline_grace_ms", parse_duration_ms),
}


def read_handoff(document: SettingsDocument, front: str = "postgres") -> HandoffSettings | None:
    """Read the section.

    Args:
        document: The settings file; faults are added to it.
        front: Element of the front whose requests are replicated; "" for an application's own requests.

    Returns:
        The settings; None if there is no section or it has a fault.
    """
    element = document.root.find("handoff")
    if element is None:
        return None
    for needed in ("cluster", front):
        if needed and document.root.find(needed) is None:
            document.add_fault(
                element, f"<handoff> needs <{needed}>: it copies statements of that front between members"
            )
    paths = {"store_folder": document.resolve_path(element.attrib["data"])} if "data" in element.attrib else {}
    settings: HandoffSettings | None = document.check(
        element, lambda: HandoffSettings(**convert_attributes(element, HANDOFF_ATTRIBUTES) | paths)
    )
    if settings is not None:
        _check_member_retention(document, settings)
    return settings


def _check_member_retention(document: SettingsDocument, settings: HandoffSettings) -> None:
    """Record a fault if the cluster forgets dead members before the records that name them have expired."""
    cluster = document.root.find("cluster")
    if cluster is None or "lately" not in cluster.attrib:
        return
    if parse_duration_ms(cluster.attrib["lately"]) < settings.record_lifetime_ms:
        document.add_fault(
            cluster,
            f"<cluster> lately: members must be known for as long as records live; at least "
            f"{format_duration(settings.record_lifetime_ms)} would be right",
        )
