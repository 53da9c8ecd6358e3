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
from decklb.locality.settings import LocalitySettings
from decklb.maintenance.settings import MaintenanceSettings

Json = dict[str, Any]
Convert = Callable[[str], Any]

WILDCARDS = ("0.0.0.0", "::", "*")
SECTIONS = ("postgres", "bgp")  # of the raw form, each checked by its own part
MAX_SOCKET_PATH_BYTES = 100  # sockaddr_un holds 108 bytes
MEMBERSHIP: dict[str, tuple[str, Convert]] = {
    "name": ("cluster", str),
    "weight": ("weight", float),
    "interval": ("interval", duration),
    "timeout": ("timeout", duration),
    "gossip": ("gossip", duration),
    "fanout": ("fanout", int),
    "indirect": ("indirect", int),
    "suspicion": ("suspicion", float),
    "suspicion-most": ("suspicion_most", float),
    "exchange": ("exchange", duration),
    "settle": ("settle", duration),
    "lately": ("lately", duration),
    "skew": ("skew", duration),
}
PROBING: dict[str, tuple[str, Convert]] = {
    "period": ("period", duration),
    "timeout": ("timeout", duration),
    "connections": ("most", int),
    "hand-on": ("hand_on", int),
    "hands": ("hands", int),
    "rest": ("rest", duration),
    "cold-factor": ("cold_factor", float),
    "minority-factor": ("minority_factor", float),
    "refresh": ("refresh", duration),
    "doubt": ("doubt", duration),
    "doubt-share": ("doubt_share", share),
}


HANDOFF: dict[str, tuple[str, Convert]] = {
    "copies": ("copies", int),
    "members": ("members", int),
    "patience": ("patience", duration),
    "beat": ("beat", duration),
    "resend": ("resend", duration),
    "stagger": ("stagger", duration),
    "longest": ("longest", duration),
    "room": ("room", size),
    "capacity": ("capacity", int),
    "answer-bytes": ("answer_bytes", size),
    "lease": ("lease", duration),
    "drift": ("drift", share),
    "linger": ("linger", duration),
    "slack": ("slack", duration),
}


LOCALITY: dict[str, tuple[str, Convert]] = {
    "zone": ("zone", str),
    "members": ("members", int),
    "judge": ("judge", str),
    "misses": ("misses", int),
    "slow": ("slow", float),
    "tick": ("tick", duration),
    "look": ("look", duration),
    "timeout": ("timeout", duration),
    "fresh": ("fresh", duration),
    "settle": ("settle", duration),
    "hold": ("hold", duration),
    "retry": ("retry", duration),
    "keep": ("keep", duration),
    "ramp": ("ramp", duration),
    "ramp-floor": ("ramp_floor", share),
    "out": ("out", share),
    "degraded": ("degraded", share),
    "full": ("full", share),
    "panic": ("panic", share),
}


MAINTENANCE: dict[str, tuple[str, Convert]] = {
    "members": ("members", int),
    "most": ("most", int),
    "most-zone": ("most_zone", int),
    "most-share": ("most_share", share),
    "reserve": ("reserve", share),
    "drain": ("drain", duration),
    "warm": ("warm", duration),
    "window": ("window", duration),
    "tick": ("tick", duration),
    "patience": ("patience", duration),
    "fresh": ("fresh", duration),
    "absent": ("absent", duration),
    "kept": ("kept", int),
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
    if config.maintenance is not None and config.handoff is not None and not config.handoff.data:
        config.maintenance = replace(config.maintenance, memory=config.handoff.life)
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
        more = {"data": self._path(element.attrib["data"])} if "data" in element.attrib else {}
        made: HandoffSettings | None = self.check(
            element, lambda: HandoffSettings(**converted(element, HANDOFF) | more)
        )
        cluster = self.root.find("cluster")
        if (
            made is not None
            and cluster is not None
            and "lately" in cluster.attrib
            and duration(cluster.attrib["lately"]) < made.life
        ):
            self.add_fault(
                cluster,
                f"<cluster> lately: members must be known for as long as records live; at least "
                f"{written(made.life)} would be right",
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
        more = {"data": self._path(element.attrib["data"])} if "data" in element.attrib else {}
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
