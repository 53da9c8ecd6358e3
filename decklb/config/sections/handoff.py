"""The section `handoff`: how requests in flight are copied between members."""

from __future__ import annotations

from decklb.config.document import AttributeTable, SettingsDocument, converted
from decklb.config.units import duration, share, size, written
from decklb.handoff.settings import HandoffSettings

HANDOFF: AttributeTable = {
    "copies": ("voter_count", int),
    "members": ("fleet_size", int),
    "patience": ("quorum_timeout_ms", duration),
    "beat": ("heartbeat_interval_ms", duration),
    "resend": ("resend_interval_ms", duration),
    "stagger": ("claim_stagger_ms", duration),
    "longest": ("max_budget_ms", duration),
    "room": ("max_bytes", size),
    "capacity": ("max_records", int),
    "answer-bytes": ("max_answer_bytes", size),
    "lease": ("lease_ms", duration),
    "drift": ("max_clock_drift", share),
    "linger": ("answer_retention_ms", duration),
    "slack": ("deadline_grace_ms", duration),
}


def read_handoff(document: SettingsDocument, front: str = "postgres") -> HandoffSettings | None:
    """Read the section.

    Args:
        document: The file; faults are noted in it.
        front: Element of the front whose requests are copied; "" for an application's own requests.

    Returns:
        None without the section, and where it has a fault.
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
        element, lambda: HandoffSettings(**converted(element, HANDOFF) | paths)
    )
    if settings is not None:
        _check_member_retention(document, settings)
    return settings


def _check_member_retention(document: SettingsDocument, settings: HandoffSettings) -> None:
    """Fault a cluster that forgets dead members before the records that name them expire."""
    cluster = document.root.find("cluster")
    if cluster is None or "lately" not in cluster.attrib:
        return
    if duration(cluster.attrib["lately"]) < settings.record_lifetime_ms:
        document.add_fault(
            cluster,
            f"<cluster> lately: members must be known for as long as records live; at least "
            f"{written(settings.record_lifetime_ms)} would be right",
        )
