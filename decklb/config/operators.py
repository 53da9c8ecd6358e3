"""Reads the operators' XML: over the platform's configuration, or only the sections that members of a fleet need.

Each section has a module in `config.sections`. Sections that the platform's JSON has too are translated into its raw
form and checked with it; the others are read into the settings of their subsystems. Each fault names the line of the
element that holds it, also where only a second look finds it: names that nobody defines, figures that don't go
together.
"""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import Any

from decklb.cluster.settings import ClusterSettings
from decklb.config.document import SettingsDocument
from decklb.config.errors import ConfigError, Fault, SettingsError
from decklb.config.model import Config
from decklb.config.platform import from_raw
from decklb.config.sections.bgp import translate_bgp
from decklb.config.sections.cluster import read_cluster
from decklb.config.sections.control import read_control
from decklb.config.sections.decisions import translate_decisions
from decklb.config.sections.engines import translate_engines
from decklb.config.sections.handoff import read_handoff
from decklb.config.sections.locality import read_locality
from decklb.config.sections.maintenance import read_maintenance
from decklb.config.sections.postgres import translate_postgres
from decklb.config.sections.process import translate_process
from decklb.config.sections.references import check_references
from decklb.config.xml import read
from decklb.handoff.settings import HandoffSettings

Json = dict[str, Any]

# Of the raw form: the sections that are checked by the packages they configure.
RAW_SUBSYSTEM_SECTIONS = ("postgres", "bgp")


def merge(path: str, raw: Json) -> Config:
    """Read an XML file over a platform's configuration.

    Args:
        path: The operators' XML file.
        raw: The platform's JSON as parsed; `{}` for none.

    Raises:
        SettingsError: With every fault of the file.
    """
    document = SettingsDocument(path, read(path))
    raw = _translate(document, raw)
    document.raise_faults()
    if "settings" not in raw:
        raise SettingsError([Fault(path, 0, "no classes: give <classes>, or the platform's configuration too")])
    _check_raw_subsystems(document, raw)
    document.raise_faults()
    try:
        config = from_raw(raw)
    except ConfigError as error:
        raise SettingsError([Fault(path, 0, str(error))]) from error
    _read_subsystems(document, config)
    document.raise_faults()
    return config


def read_member_settings(path: str, member: str) -> tuple[ClusterSettings, HandoffSettings]:
    """Read only `cluster` and `handoff` of a file, for an application whose processes are members of a fleet.

    Args:
        path: The operators' XML file.
        member: Name of this process among the members.

    Raises:
        SettingsError: With every fault of the two sections, or where one is missing.
    """
    document = SettingsDocument(path, read(path))
    cluster, handoff = read_cluster(document, member), read_handoff(document, front="")
    document.raise_faults()
    if cluster is None or handoff is None:
        raise SettingsError([Fault(path, 0, "a member of a fleet needs <cluster> and <handoff>; give both")])
    return replace(cluster, member=member), handoff


def _translate(document: SettingsDocument, raw: Json) -> Json:
    """The raw form with what the file says in place of what it said."""
    raw = dict(raw)
    for translate in (
        translate_process,
        translate_decisions,
        translate_engines,
        translate_postgres,
        translate_bgp,
    ):
        translate(document, raw)
    check_references(document, raw)
    return raw


def _check_raw_subsystems(document: SettingsDocument, raw: Json) -> None:
    """Check these sections one at a time, so that a fault can be laid at its element."""
    for section in RAW_SUBSYSTEM_SECTIONS:
        element = document.root.find(section)
        if element is not None:
            others_off = {other: None for other in RAW_SUBSYSTEM_SECTIONS if other != section}
            document.check(element, partial(from_raw, raw | others_off))


def _read_subsystems(document: SettingsDocument, config: Config) -> None:
    """Put the sections that the raw form does not have into the configuration."""
    config.cluster = read_cluster(document, config.name)
    config.control = read_control(document)
    config.handoff = read_handoff(document)
    config.locality = read_locality(document)
    config.maintenance = read_maintenance(document)
    # Without a store a restarted manager has lost its votes, and may not vote while old records can still live.
    if config.maintenance is not None and config.handoff is not None and not config.handoff.store_folder:
        config.maintenance = replace(config.maintenance, manager_voting_delay_ms=config.handoff.record_lifetime_ms)
