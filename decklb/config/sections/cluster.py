"""The sections `cluster` and `probing`: membership, seeds, and the health checks that members divide among them."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

from lxml import etree

from decklb.cluster.settings import ClusterSettings, DutySettings, MembershipSettings
from decklb.config.document import AttributeTable, SettingsDocument, convert_attributes
from decklb.config.model import Address, parse_address
from decklb.config.units import parse_duration_ms, parse_fraction

WILDCARD_HOSTS = ("0.0.0.0", "::", "*")
MEMBERSHIP_ATTRIBUTES: AttributeTable = {
    "name": ("cluster_name", str),
    "weight": ("weight", float),
    "interval": ("probe_interval_ms", parse_duration_ms),
    "timeout": ("probe_timeout_ms", parse_duration_ms),
    "gossip": ("gossip_interval_ms", parse_duration_ms),
    "fanout": ("gossip_fanout", int),
    "indirect": ("indirect_probes", int),
    "suspicion": ("suspicion_multiplier", float),
    "suspicion-most": ("suspicion_max_multiplier", float),
    "exchange": ("push_pull_interval_ms", parse_duration_ms),
    "settle": ("settle_time_ms", parse_duration_ms),
    "lately": ("dead_retention_ms", parse_duration_ms),
    "skew": ("max_clock_skew_ms", parse_duration_ms),
}
HEALTH_CHECK_ATTRIBUTES: AttributeTable = {
    "period": ("period_ms", parse_duration_ms),
    "timeout": ("timeout_ms", parse_duration_ms),
    "connections": ("max_concurrent", int),
    "hand-on": ("failures_to_decline", int),
    "hands": ("max_declines", int),
    "rest": ("decline_hold_ms", parse_duration_ms),
    "cold-factor": ("warming_up_factor", float),
    "minority-factor": ("minority_factor", float),
    "refresh": ("repeat_interval_ms", parse_duration_ms),
    "doubt": ("mass_failure_hold_ms", parse_duration_ms),
    "doubt-share": ("mass_failure_ratio", parse_fraction),
}


def read_cluster(document: SettingsDocument, process_name: str) -> ClusterSettings | None:
    """Read the sections `cluster` and `probing`; paths are relative to the folder of the file.

    Args:
        document: The settings file; faults are added to it.
        process_name: The member's name if the section gives none.

    Returns:
        The settings; None if there is no section `cluster` or it has a fault.
    """
    element, probing = document.root.find("cluster"), document.root.find("probing")
    if element is None:
        if probing is not None:
            document.add_fault(probing, "<probing> needs a <cluster>; give one, also for a single instance")
        return None
    health_checks = None
    if probing is not None:
        health_checks = document.check(
            probing, lambda: DutySettings(**convert_attributes(probing, HEALTH_CHECK_ATTRIBUTES))
        )
    membership = document.check(
        element, lambda: MembershipSettings(**convert_attributes(element, MEMBERSHIP_ATTRIBUTES))
    )
    bind_address = _reachable_address(document, element, "bind")
    advertise_address = None
    if "advertise" in element.attrib:
        advertise_address = _reachable_address(document, element, "advertise")
    seeds = tuple(_seed_addresses(document, element))
    if membership is None or bind_address is None:
        return None
    member = element.get("member", process_name)
    key_file = document.resolve_path(element.attrib["keys"])
    return ClusterSettings(member, bind_address, key_file, seeds, membership, health_checks, advertise_address)


def _reachable_address(document: SettingsDocument, element: etree._Element, attribute: str) -> Address | None:
    """Parse an address that other members send to; a wildcard is a fault: they would send to themselves."""
    address: Address | None = document.check(element, lambda: parse_address(element.attrib[attribute]))
    if address is not None and address[0] in WILDCARD_HOSTS:
        document.add_fault(
            element,
            f"<cluster> {attribute}: others can't reach {address[0]}; the address of one interface would be right",
        )
    return address


def _seed_addresses(document: SettingsDocument, element: etree._Element) -> Iterator[Address]:
    for seed in element.findall("seed"):
        address = document.check(seed, partial(parse_address, seed.text or ""))
        if address is not None:
            yield address
