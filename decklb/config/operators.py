"""The operators' XML translated: into what the platform's JSON would say, and into settings of its own parts.

Each fault names the line of the element that holds it, also where only a second look finds it: names that nobody
defines, figures that don't go together.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

from lxml import etree

from decklb.cluster.settings import ClusterSettings, DutySettings, MembershipSettings
from decklb.config.errors import ConfigError, Fault, SettingsError
from decklb.config.platform import Config, address, from_raw
from decklb.config.units import duration, share, size, written
from decklb.config.xml import read
from decklb.handoff.settings import HandoffSettings
from decklb.locality.settings import DecisionMode, LocalitySettings
from decklb.maintenance.settings import MaintenanceSettings

Json = dict[str, Any]
Convert = Callable[[str], Any]


def yes(text: str) -> bool:
    """A boolean of XML Schema."""
    return text in ("true", "1")


WILDCARDS = ("0.0.0.0", "::", "*")
SECTIONS = ("postgres", "bgp")  # of the raw form, each checked by its own part
CLASS: dict[str, tuple[str, Convert]] = {
    "name": ("name", str),
    "aim": ("aim", duration),
    "deadline": ("deadline", duration),
    "semantics": ("semantics", str),
    "stretch": ("aim_stretch", float),
    "worth": ("worth", float),
    "late-worth": ("late_worth", float),
    "group": ("group", str),
    "memory-span": ("memory_span", duration),
    "serial-by-key": ("serial_by_key", yes),
}
RULES: dict[str, tuple[str, Convert]] = {
    "cold": ("cold", duration),
    "cold-share": ("cold_share", share),
    "drain-grace": ("drain_grace", duration),
    "extra-floor": ("extra_floor", float),
    "extra-share": ("further_ratio", share),
    "extra-window": ("extra_window", duration),
    "fall": ("fall", duration),
    "overload-factor": ("overload_factor", float),
    "settle-after-doubt": ("settle_after_doubt", duration),
}
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


def _taken(element: etree._Element, names: dict[str, tuple[str, Convert]]) -> Json:
    """The attributes that are given, renamed and converted."""
    return {names[k][0]: names[k][1](v) for k, v in element.attrib.items() if k in names}


def merge(path: str, raw: Json) -> Config:
    """The XML file over a platform's configuration (`{}` for none). Raises SettingsError with every fault."""
    root = read(path)
    book = Translation(path, root)
    raw = book.over(raw)
    book.settle()
    if "settings" not in raw:
        raise SettingsError([Fault(path, 0, "no classes: give <classes>, or the platform's configuration too")])
    for section in SECTIONS:  # one at a time, so that a fault can be laid at its element
        element = root.find(section)
        if element is not None:
            book.check(element, partial(from_raw, raw | {x: None for x in SECTIONS if x != section}))
    book.settle()
    try:
        config = from_raw(raw)
    except ConfigError as error:
        raise SettingsError([Fault(path, 0, str(error))]) from error
    config.cluster, config.control = book.cluster(config.name), book.control()
    config.handoff, config.locality, config.maintenance = book.handoff(), book.locality(), book.maintenance()
    if config.maintenance is not None and config.handoff is not None and not config.handoff.store_folder:
        config.maintenance = replace(config.maintenance, manager_voting_delay_ms=config.handoff.record_lifetime_ms)
    book.settle()
    return config


def members(path: str, member: str) -> tuple[ClusterSettings, HandoffSettings]:
    """Only the <cluster> and <handoff> of a file, for an application whose processes are members. `member` names this
    one. Raises SettingsError."""
    book = Translation(path, read(path))
    cluster, handoff = book.cluster(member), book.handoff(front="")
    book.settle()
    if cluster is None or handoff is None:
        raise SettingsError([Fault(path, 0, "a member of a fleet needs <cluster> and <handoff>; give both")])
    return replace(cluster, member=member), handoff


class Translation:
    """One file on its way into settings; gathers faults."""

    def __init__(self, path: str, root: etree._Element) -> None:
        self.path, self.root = path, root
        self.faults: list[Fault] = []

    def fault(self, element: etree._Element, text: str) -> None:
        """Note one at an element's line."""
        self.faults.append(Fault(self.path, element.sourceline or 0, text))

    def settle(self) -> None:
        """Raise SettingsError with what has been found so far, if anything."""
        if self.faults:
            raise SettingsError(sorted(set(self.faults)))

    def check(self, element: etree._Element, make: Callable[[], Any]) -> Any:
        """What `make` returns, or a fault at that element."""
        try:
            return make()
        except (ConfigError, KeyError, ValueError) as error:
            said = str(error).removeprefix("configuration can't be used: ")
            self.fault(element, f"<{element.tag!s}>: {said}")
            return None

    def over(self, raw: Json) -> Json:
        """The raw form with what this file says in place of what it said."""
        raw = dict(raw)
        for part in (self._process, self._settings, self._engines, self._postgres, self._bgp):
            part(raw)
        self._references(raw)
        return raw

    def _process(self, raw: Json) -> None:
        if (p := self.root.find("process")) is None:
            return
        raw.update({k: p.attrib[k] for k in ("name", "listen", "resolver") if k in p.attrib})
        limits = dict(raw.get("limits") or {})
        if "sockets" in p.attrib:
            limits["sockets"] = int(p.attrib["sockets"])
        if "memory" in p.attrib:
            limits["memory_mb"] = size(p.attrib["memory"]) / (1 << 20)
        raw["limits"] = limits
        for k in ("listen", "resolver"):
            if k in p.attrib:
                self.check(p, partial(address, str(p.attrib[k])))

    def _settings(self, raw: Json) -> None:
        classes, given = self.root.find("classes"), [x.tag for x in self.root]
        if classes is None:
            for name in ("tenants", "kinds", "rules"):
                if name in given and "settings" not in raw:
                    self.fault(self.root.find(name), f"<{name}> needs <classes> beside it")  # type: ignore[arg-type]
            if "settings" not in raw or not {"tenants", "kinds", "rules"} & set(given):
                return
        settings = dict(raw.get("settings") or {})
        domain = dict(settings.get("domain") or {})
        if classes is not None:
            settings["categories"] = [_taken(c, CLASS) for c in classes]
            for c in classes:
                if duration(c.attrib["aim"]) > duration(c.attrib["deadline"]):
                    self.fault(
                        c,
                        f"class {c.attrib['name']!r}: an aim over the deadline; at most "
                        f"{c.attrib['deadline']} would be right",
                    )
            domain["dop"] = [int(c.get("threads", "1")) for c in classes]
            domain["holds_tables"] = [yes(c.get("holds-tables", "false")) for c in classes]
            domain["yields_to_loads"] = [yes(c.get("yields-to-loads", "false")) for c in classes]
            self._once(classes, "name", "class")
        if (tenants := self.root.find("tenants")) is not None:
            settings["tenants"] = [
                {"name": t.attrib["name"], "share": share(t.attrib["share"])}
                | ({"quota_per_s": float(t.attrib["quota-per-second"])} if "quota-per-second" in t.attrib else {})
                for t in tenants
            ]
            self._once(tenants, "name", "tenant")
            total = sum(share(t.attrib["share"]) for t in tenants)
            if total > 1.000001:
                self.fault(tenants, f"<tenants>: shares come to {100 * total:g}%; at most 100% would be right")
        if (kinds := self.root.find("kinds")) is not None:
            settings["kinds"] = [k.attrib["name"] for k in kinds]
            domain["kind_cores"] = [int(k.attrib["cores"]) for k in kinds]
            self._once(kinds, "name", "kind")
        settings["domain"] = domain
        if (rules := self.root.find("rules")) is not None:
            settings["rules"] = dict(settings.get("rules") or {}) | _taken(rules, RULES)
            limits = dict(settings.get("limits") or {})
            if "retry-after" in rules.attrib:
                limits |= {"retry_after": True, "max_retry_after": duration(rules.attrib["retry-after"])}
            if "cancelling" in rules.attrib:
                limits["cancelling"] = yes(rules.attrib["cancelling"])
            if "max-attempts" in rules.attrib:
                limits["max_attempts"] = int(rules.attrib["max-attempts"])
            settings["limits"] = limits
            if "tick" in rules.attrib:
                settings["tick"] = duration(rules.attrib["tick"])
            if "balancers" in rules.attrib:
                settings["balancers"] = int(rules.attrib["balancers"])
        raw["settings"] = settings

    def _engines(self, raw: Json) -> None:
        if (engines := self.root.find("engines")) is None:
            return
        self._once(engines, "id", "engine")
        rows = []
        for e in engines:
            self.check(e, partial(address, str(e.attrib["address"])))
            rows.append(
                {
                    "instanceId": e.attrib["id"],
                    "hostPort": e.attrib["address"],
                    "zone": e.get("zone", ""),
                    "machineType": e.get("kind", ""),
                    "cell": int(e.get("cell", "0")),
                    "lifecycle": "Terminating" if e.get("state") == "draining" else "Ready",
                    "weight": float(e.get("weight", "1")),
                    "startedAtMs": 0,
                }
            )
        index = int(engines.get("list", "1"))
        raw["known"] = {
            "index": index,
            "updates": [{"index": index, "endpoints": {"generation": 1, "reset": True, "instances": rows}}],
        }

    def _postgres(self, raw: Json) -> None:
        if (p := self.root.find("postgres")) is None:
            return
        made: Json = {"user": p.attrib["user"]}
        for name, key, convert in (
            ("database", "database", str),
            ("connections", "connections", int),
            ("writes", "writes", str),
            ("most-result", "most_result", size),
            ("most-message", "most_message", size),
        ):
            if name in p.attrib:
                made[key] = convert(p.attrib[name])
        session: dict[str, tuple[str, Convert]] = {
            "tenant": ("tenant", str),
            "class": ("class", str),
            "budget": ("budget", duration),
        }
        if (defaults := p.find("defaults")) is not None:
            made["defaults"] = _taken(defaults, session)
        made["users"] = {u.attrib["name"]: _taken(u, session) for u in p.findall("user")}
        raw["postgres"] = made

    def _bgp(self, raw: Json) -> None:
        if (b := self.root.find("bgp")) is None:
            return
        made: Json = {
            "asn": int(b.attrib["asn"]),
            "router": b.attrib["router"],
            "prefixes": [x.text or "" for x in b.findall("prefix")],
            "peers": [{"address": x.attrib["address"], "asn": int(x.attrib["asn"])} for x in b.findall("peer")],
        }
        if "next-hop" in b.attrib:
            made["next_hop"] = b.attrib["next-hop"]
        if "hold" in b.attrib:
            made["hold"] = duration(b.attrib["hold"]) / 1000
        raw["bgp"] = made

    def _references(self, raw: Json) -> None:
        """Names that one part uses and another must define, wherever either stands."""
        settings = raw.get("settings") or {}
        classes = [c["name"] for c in settings.get("categories") or []]
        tenants = [t["name"] for t in settings.get("tenants") or []]
        kinds = list(settings.get("kinds") or [])
        for element in self.root.iterfind("postgres//*"):
            self._known(element, "class", classes)
            self._known(element, "tenant", tenants)
        for element in self.root.iterfind("engines/engine"):
            self._known(element, "kind", kinds)
        if (p := self.root.find("postgres")) is not None:
            self._known(p, "writes", classes)

    def _known(self, element: etree._Element, attribute: str, names: list[str]) -> None:
        value = element.get(attribute)
        if value is not None and names and value not in names:
            some = ", ".join(names[:6]) + (", ..." if len(names) > 6 else "")
            self.fault(
                element, f"<{element.tag!s}>: nobody defines {attribute} {value!r}; one of {some} would be right"
            )

    def _once(self, parent: etree._Element, attribute: str, what: str) -> None:
        seen: dict[str, int] = {}
        for child in parent:
            value = child.attrib[attribute]
            if value in seen:
                self.fault(child, f"{what} {value!r} stands in line {seen[value]} already; one of the two must go")
            seen.setdefault(value, int(child.sourceline or 0))

    def cluster(self, name: str) -> ClusterSettings | None:
        """The `cluster` and `probing` elements; paths are seen from the file's folder."""
        element, probing = self.root.find("cluster"), self.root.find("probing")
        if element is None:
            if probing is not None:
                self.fault(probing, "<probing> needs a <cluster>; give one, also for a single instance")
            return None
        duty = None if probing is None else self.check(probing, lambda: DutySettings(**_taken(probing, PROBING)))
        membership = self.check(element, lambda: MembershipSettings(**_taken(element, MEMBERSHIP)))
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
                self.fault(element, f"<handoff> needs <{other}>: it copies statements of that front between members")
        more = {"store_folder": self._path(element.attrib["data"])} if "data" in element.attrib else {}
        made: HandoffSettings | None = self.check(element, lambda: HandoffSettings(**_taken(element, HANDOFF) | more))
        cluster = self.root.find("cluster")
        if (
            made is not None
            and cluster is not None
            and "lately" in cluster.attrib
            and duration(cluster.attrib["lately"]) < made.record_lifetime_ms
        ):
            self.fault(
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
            self.fault(element, "<locality> needs <cluster>: members decide on zones together")
        regions = tuple((r.attrib["name"], tuple(z.attrib["name"] for z in r)) for r in element)
        self._once(element, "name", "region")
        made: LocalitySettings | None = self.check(
            element, lambda: LocalitySettings(**_taken(element, LOCALITY), regions=regions)
        )
        listed = {e.get("zone", "") for e in self.root.iterfind("engines/engine")}
        if made is not None and listed and not listed & made.region_of.keys():
            self.fault(
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
            self.fault(element, "<maintenance> needs <locality>: its budgets go by what members see of zones and load")
        if self.root.find("control") is None:
            self.fault(element, "<maintenance> needs <control>: operators ask for machines over it")
        more = {"data_directory": self._path(element.attrib["data"])} if "data" in element.attrib else {}
        made: MaintenanceSettings | None = self.check(
            element, lambda: MaintenanceSettings(**_taken(element, MAINTENANCE) | more)
        )
        return made

    def _told(self, element: etree._Element, attribute: str) -> tuple[str, int] | None:
        """An address of `<cluster>` that members may be told; a wildcard would make them send to themselves."""
        found: tuple[str, int] | None = self.check(element, lambda: address(element.attrib[attribute]))
        if found is not None and found[0] in WILDCARDS:
            self.fault(
                element,
                f"<cluster> {attribute}: others can't reach {found[0]}; the address of one interface would be right",
            )
        return found

    def _seeds(self, element: etree._Element) -> Iterator[tuple[str, int]]:
        for seed in element.findall("seed"):
            found = self.check(seed, partial(address, seed.text or ""))
            if found is not None:
                yield found

    def control(self) -> str:
        """The path of the Unix socket, "" for none."""
        element = self.root.find("control")
        if element is None:
            return ""
        path = self._path(element.attrib["socket"])
        if len(path.encode()) > 100:  # sockaddr_un holds 108 bytes
            self.fault(element, f"<control>: the path has {len(path.encode())} bytes; at most 100 would be right")
        return path

    def _path(self, text: str) -> str:
        return str(Path(self.path).resolve().parent / text)
