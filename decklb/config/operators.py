"""The operators' XML translated: into what the platform's JSON would say, and into settings of its own parts.

Each fault names the line of the element that holds it, also where only a second look finds it: names that nobody
defines, figures that don't go together.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial
from typing import Any

from lxml import etree

from decklb.cluster.settings import ClusterSettings, DutySettings, MembershipSettings
from decklb.config.document import SettingsDocument, converted
from decklb.config.errors import ConfigError, Fault, SettingsError
from decklb.config.model import Config, parse_address
from decklb.config.platform import from_raw
from decklb.config.sections.bgp import translate_bgp
from decklb.config.sections.decisions import translate_decisions
from decklb.config.sections.engines import translate_engines
from decklb.config.sections.postgres import translate_postgres
from decklb.config.sections.process import translate_process
from decklb.config.sections.references import check_references
from decklb.config.units import duration, share, size, written
from decklb.config.xml import read
from decklb.handoff.settings import HandoffSettings
from decklb.locality.settings import DecisionMode, LocalitySettings
from decklb.maintenance.settings import MaintenanceSettings

Json = dict[str, Any]
Convert = Callable[[str], Any]

WILDCARDS = ("0.0.0.0", "::", "*")
SECTIONS = ("postgres", "bgp")  # of the raw form, each checked by its own part
MAX_SOCKET_PATH_BYTES = 100  # sockaddr_un holds 108 bytes
MEMBERSHIP: dict[str, tuple[str, Convert]] = {
    "name": ("cluster_name", str),
    "weight": ("weight", float),
    "interval": ("probe_interval_ms", duration),
    "timeout": ("probe_timeout_ms", duration),
    "gossip": ("gossip_interval_ms", duration),
    "fanout": ("gossip_fanout", int),
    "indirect": ("indirect_probes", int),
    "suspicion": ("suspicion_multiplier", float),
    "suspicion-most": ("suspicion_max_multiplier", float),
    "exchange": ("push_pull_interval_ms", duration),
    "settle": ("settle_time_ms", duration),
    "lately": ("dead_retention_ms", duration),
    "skew": ("max_clock_skew_ms", duration),
}
PROBING: dict[str, tuple[str, Convert]] = {
    "period": ("period_ms", duration),
    "timeout": ("timeout_ms", duration),
    "connections": ("max_concurrent", int),
    "hand-on": ("failures_to_decline", int),
    "hands": ("max_declines", int),
    "rest": ("decline_hold_ms", duration),
    "cold-factor": ("warming_up_factor", float),
    "minority-factor": ("minority_factor", float),
    "refresh": ("repeat_interval_ms", duration),
    "doubt": ("mass_failure_hold_ms", duration),
    "doubt-share": ("mass_failure_ratio", share),
}


HANDOFF: dict[str, tuple[str, Convert]] = {
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


LOCALITY: dict[str, tuple[str, Convert]] = {
    "zone": ("home_zone", str),
    "members": ("member_count", int),
    "judge": ("decision_mode", DecisionMode),
    "misses": ("unhealthy_threshold", int),
    "slow": ("degraded_latency_ratio", float),
    "tick": ("tick_ms", duration),
    "look": ("health_check_interval_ms", duration),
    "timeout": ("health_check_timeout_ms", duration),
    "fresh": ("observation_ttl_ms", duration),
    "settle": ("stabilization_ms", duration),
    "hold": ("min_state_duration_ms", duration),
    "retry": ("vote_timeout_ms", duration),
    "keep": ("isolation_grace_ms", duration),
    "ramp": ("recovery_ramp_ms", duration),
    "ramp-floor": ("recovery_min_fraction", share),
    "out": ("out_threshold", share),
    "degraded": ("degraded_threshold", share),
    "full": ("max_utilization", share),
    "panic": ("panic_threshold", share),
}


MAINTENANCE: dict[str, tuple[str, Convert]] = {
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


def merge(path: str, raw: Json) -> Config:
    """The XML file over a platform's configuration (`{}` for none). Raises SettingsError with every fault."""
    root = read(path)
    book = Translation(path, root)
    raw = _over(book, raw)
    book.raise_faults()
    if "settings" not in raw:
        raise SettingsError([Fault(path, 0, "no classes: give <classes>, or the platform's configuration too")])
    for section in SECTIONS:  # one at a time, so that a fault can be laid at its element
        element = root.find(section)
        if element is not None:
            book.check(element, partial(from_raw, raw | {x: None for x in SECTIONS if x != section}))
    book.raise_faults()
    try:
        config = from_raw(raw)
    except ConfigError as error:
        raise SettingsError([Fault(path, 0, str(error))]) from error
    config.cluster, config.control = book.cluster(config.name), book.control()
    config.handoff, config.locality, config.maintenance = book.handoff(), book.locality(), book.maintenance()
    if config.maintenance is not None and config.handoff is not None and not config.handoff.store_folder:
        config.maintenance = replace(config.maintenance, manager_voting_delay_ms=config.handoff.record_lifetime_ms)
    book.raise_faults()
    return config


def _over(document: SettingsDocument, raw: Json) -> Json:
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


def members(path: str, member: str) -> tuple[ClusterSettings, HandoffSettings]:
    """Only the <cluster> and <handoff> of a file, for an application whose processes are members. `member` names this
    one. Raises SettingsError."""
    book = Translation(path, read(path))
    cluster, handoff = book.cluster(member), book.handoff(front="")
    book.raise_faults()
    if cluster is None or handoff is None:
        raise SettingsError([Fault(path, 0, "a member of a fleet needs <cluster> and <handoff>; give both")])
    return replace(cluster, member=member), handoff


class Translation(SettingsDocument):
    """The sections that the platform's JSON does not have, into the settings of their subsystems."""

    def cluster(self, name: str) -> ClusterSettings | None:
        """The `cluster` and `probing` elements; paths are seen from the file's folder."""
        element, probing = self.root.find("cluster"), self.root.find("probing")
        if element is None:
            if probing is not None:
                self.add_fault(probing, "<probing> needs a <cluster>; give one, also for a single instance")
            return None
        duty = None if probing is None else self.check(probing, lambda: DutySettings(**converted(probing, PROBING)))
        membership = self.check(element, lambda: MembershipSettings(**converted(element, MEMBERSHIP)))
        bind = self._told(element, "bind")
        advertise = self._told(element, "advertise") if "advertise" in element.attrib else None
        seeds = tuple(self._seeds(element))
        if membership is None or bind is None:
            return None
        return ClusterSettings(
            element.get("member", name), bind, self._path(element.attrib["keys"]), seeds, membership, duty, advertise
        )

    def handoff(self, front: str = "postgres") -> HandoffSettings | None:
        """The `handoff` element: what it needs beside it, and whether its figures go together. `front` names the
        element of the front whose requests it copies; "" for an application's own."""
        element = self.root.find("handoff")
        if element is None:
            return None
        for other in ("cluster", front):
            if other and self.root.find(other) is None:
                self.add_fault(
                    element, f"<handoff> needs <{other}>: it copies statements of that front between members"
                )
        more = {"store_folder": self._path(element.attrib["data"])} if "data" in element.attrib else {}
        made: HandoffSettings | None = self.check(
            element, lambda: HandoffSettings(**converted(element, HANDOFF) | more)
        )
        cluster = self.root.find("cluster")
        if (
            made is not None
            and cluster is not None
            and "lately" in cluster.attrib
            and duration(cluster.attrib["lately"]) < made.record_lifetime_ms
        ):
            self.add_fault(
                cluster,
                f"<cluster> lately: members must be known for as long as records live; at least "
                f"{written(made.record_lifetime_ms)} would be right",
            )
        return made

    def locality(self) -> LocalitySettings | None:
        """The `locality` element: regions and their zones, and what it needs beside it."""
        element = self.root.find("locality")
        if element is None:
            return None
        if self.root.find("cluster") is None:
            self.add_fault(element, "<locality> needs <cluster>: members decide on zones together")
        regions = tuple((r.attrib["name"], tuple(z.attrib["name"] for z in r)) for r in element)
        self.check_unique(element, "name", "region")
        made: LocalitySettings | None = self.check(
            element, lambda: LocalitySettings(**converted(element, LOCALITY), regions=regions)
        )
        listed = {e.get("zone", "") for e in self.root.iterfind("engines/engine")}
        if made is not None and listed and not listed & made.region_of.keys():
            self.add_fault(
                element,
                f"<locality>: no engine of <engines> is in any of its zones; theirs are "
                f"{', '.join(sorted(repr(z) for z in listed))}",
            )
        return made

    def maintenance(self) -> MaintenanceSettings | None:
        """The `maintenance` element, and what it needs beside it."""
        element = self.root.find("maintenance")
        if element is None:
            return None
        if self.root.find("locality") is None:
            self.add_fault(
                element, "<maintenance> needs <locality>: its budgets go by what members see of zones and load"
            )
        if self.root.find("control") is None:
            self.add_fault(element, "<maintenance> needs <control>: operators ask for machines over it")
        more = {"data_directory": self._path(element.attrib["data"])} if "data" in element.attrib else {}
        made: MaintenanceSettings | None = self.check(
            element, lambda: MaintenanceSettings(**converted(element, MAINTENANCE) | more)
        )
        return made

    def _told(self, element: etree._Element, attribute: str) -> tuple[str, int] | None:
        """An address of `<cluster>` that members may be told; a wildcard would make them send to themselves."""
        found: tuple[str, int] | None = self.check(element, lambda: parse_address(element.attrib[attribute]))
        if found is not None and found[0] in WILDCARDS:
            self.add_fault(
                element,
                f"<cluster> {attribute}: others can't reach {found[0]}; the address of one interface would be right",
            )
        return found

    def _seeds(self, element: etree._Element) -> Iterator[tuple[str, int]]:
        for seed in element.findall("seed"):
            found = self.check(seed, partial(parse_address, seed.text or ""))
            if found is not None:
                yield found

    def control(self) -> str:
        """The path of the Unix socket, "" for none."""
        element = self.root.find("control")
        if element is None:
            return ""
        path = self._path(element.attrib["socket"])
        path_bytes = len(path.encode())
        if path_bytes > MAX_SOCKET_PATH_BYTES:
            self.add_fault(
                element,
                f"<control>: the path has {path_bytes} bytes; at most {MAX_SOCKET_PATH_BYTES} would be right",
            )
        return path

    def _path(self, text: str) -> str:
        return self.resolve_path(text)
