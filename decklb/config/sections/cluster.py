"""The sections `cluster` and `probing`: membership, its seeds, and the health checks that members share."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

from lxml import etree

from decklb.cluster.settings import ClusterSettings, DutySettings, MembershipSettings
from decklb.config.document import AttributeTable, SettingsDocument, converted
from decklb.config.model import Address, parse_address
from decklb.config.units import parse_duration_ms, parse_fraction

WILDCARD_HOSTS = ("0.0.0.0", "::", "*")
MEMBERSHIP: AttributeTable = {
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
HEALTH_CHECKS: AttributeTable = {
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
    """Read both sections; paths are seen from the file's folder.

    Args:
        document: The file; faults are noted in it.
        process_name: The member's name, where the section gives none.

    Returns:
        None without the section `cluster`, and where it has a fault.
    """
    element, probing = document.root.find("cluster"), document.root.find("probing")
    if element is None:
        if probing is not None:
            document.add_fault(probing, "<probing> needs a <cluster>; give one, also for a single instance")
        return None
    health_checks = None
    if probing is not None:
        health_checks = document.check(probing, lambda: DutySettings(**converted(probing, HEALTH_CHECKS)))
    membership = document.check(element, lambda: MembershipSettings(**converted(element, MEMBERSHIP)))
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
    """An address that other members are told; a wildcard would make them send to themselves."""
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
