"""Reads the operators' XML file: as an overlay on the platform's JSON, or only the sections that fleet members need.

Each section has a module in `config.sections`. Sections that the platform's JSON has too are translated into the raw
configuration (a dictionary with the structure of that JSON) and validated with it; the others are read directly into
the settings of their subsystems. Every fault has the line of its element, including faults that the schema can't find,
such as undefined names and values that contradict one another.
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

# Sections of the raw configuration that are validated by the packages that they configure.
RAW_SUBSYSTEM_SECTIONS = ("postgres", "bgp")


def merge(path: str, raw: Json) -> Config:
    """Read an XML file as an overlay on the platform's configuration.

    Args:
        path: The operators' XML file.
        raw: The platform's parsed JSON; `{}` if there is none.

    Raises:
        SettingsError: With all faults of the file.
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
    """Read only the sections `cluster` and `handoff`, for an application whose processes are members of a fleet.

    Args:
        path: The operators' XML file.
        member: Name of this process among the members.

    Raises:
        SettingsError: With all faults of the two sections, or because one of them is missing.
    """
    document = SettingsDocument(path, read(path))
    cluster, handoff = read_cluster(document, member), read_handoff(document, front="")
    document.raise_faults()
    if cluster is None or handoff is None:
        raise SettingsError([Fault(path, 0, "a member of a fleet needs <cluster> and <handoff>; give both")])
    return replace(cluster, member=member), handoff


def _translate(document: SettingsDocument, raw: Json) -> Json:
    """Return the raw configuration with the sections of the file replacing its values."""
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
    """Validate RAW_SUBSYSTEM_SECTIONS one section at a time, so that each fault can be reported at its element."""
    for section in RAW_SUBSYSTEM_SECTIONS:
        element = document.root.find(section)
        if element is not None:
            other_sections_off = {other: None for other in RAW_SUBSYSTEM_SECTIONS if other != section}
            document.check(element, partial(from_raw, raw | other_sections_off))


def _read_subsystems(document: SettingsDocument, config: Config) -> None:
    """Add the settings of the sections that the raw configuration can't express."""
    config.cluster = read_cluster(document, config.name)
    config.control = read_control(document)
    config.handoff = read_handoff(document)
    config.locality = read_locality(document)
    config.maintenance = read_maintenance(document)
    # Without a store, a restarted manager has lost its votes, so it must not vote until all records that it may have
    # voted on have expired.
    if config.maintenance is not None and config.handoff is not None and not config.handoff.store_folder:
        config.maintenance = replace(config.maintenance, manager_voting_delay_ms=config.handoff.record_lifetime_ms)
