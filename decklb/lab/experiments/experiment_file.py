"""Reads an experiment from an XML file and maps the file's attributes to the fields of the emulated world.

`lab.xsd` is the schema. Rules that the schema cannot express are checked here, and every error is reported with its
line. Used by the `decklb lab` commands that take an experiment file.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from decklb.config.document import boolean
from decklb.config.errors import Fault as FileError
from decklb.config.errors import SettingsError
from decklb.config.units import parse_duration_ms, parse_fraction
from decklb.config.xml import read
from decklb.interface import Effect
from decklb.lab.emulation.emulated_world import EmulatedWorld, FaultKind, InjectedFault
from decklb.lab.emulation.engine_model import EngineSpec
from decklb.lab.emulation.workload import RequestClass, Tenant, TrafficSurge, Workload
from decklb.lab.experiments.experiment import Experiment
from decklb.lab.experiments.stable_digest import stable_digest

Parser = Callable[[str], Any]
Attributes = Mapping[str, tuple[str, Parser]]  # by attribute: the field that it sets, and the parser of its value
DEFAULT_TENANTS = (Tenant("t", 1.0),)


WORLD_ATTRIBUTES: Attributes = {
    "managers": ("managers", int),
    "engines": ("engines", int),
    "span": ("duration_ms", parse_duration_ms),
    "warm": ("warm_up_ms", parse_duration_ms),
    "delay": ("network_delay_ms", parse_duration_ms),
    "loss": ("message_loss", parse_fraction),
    "list-late": ("list_delay_ms", parse_duration_ms),
    "list-partial": ("partial_update_share", parse_fraction),
    "uneven": ("speed_sigma", float),
    "probing": ("health_check_period_ms", parse_duration_ms),
    "sample": ("max_recorded_requests", int),
}
ENGINE_ATTRIBUTES: Attributes = {
    "cores": ("cores", int),
    "sessions": ("max_sessions", int),
    "disks": ("disk_threads", float),
    "memory": ("memory_mb", float),
    "knee": ("thrash_threshold", float),
    "thrash": ("thrash_slope", float),
    "cold": ("warm_up_ms", parse_duration_ms),
    "cold-share": ("initial_capacity", parse_fraction),
}
WORKLOAD_ATTRIBUTES: Attributes = {
    "rate": ("requests_per_second", float),
    "groups": ("table_groups", int),
    "day": ("daily_amplitude", parse_fraction),
    "day-length": ("day_length_ms", parse_duration_ms),
    "retries": ("client_retries", int),
    "patience": ("patience_share", parse_fraction),
}
CLASS_ATTRIBUTES: Attributes = {
    "name": ("name", str),
    "share": ("arrival_share", parse_fraction),
    "work": ("mean_work_ms", parse_duration_ms),
    "aim": ("latency_objective_ms", parse_duration_ms),
    "deadline": ("deadline_ms", parse_duration_ms),
    "worth": ("priority_weight", float),
    "late-worth": ("late_priority_weight", float),
    "threads": ("threads", int),
    "io": ("io_share", parse_fraction),
    "memory": ("memory_mb", float),
    "spread": ("work_sigma", float),
    "tail": ("tail_share", parse_fraction),
    "tail-times": ("tail_factor", float),
    "runaway": ("bad_plan_share", parse_fraction),
    "semantics": ("effect", Effect),
    "serial-by-key": ("ordered_by_key", boolean),
    "keys": ("distinct_keys", int),
    "holds-tables": ("locks_tables", boolean),
    "yields-to-loads": ("waits_for_loads", boolean),
}
TENANT_ATTRIBUTES: Attributes = {
    "name": ("name", str),
    "share": ("contract_share", parse_fraction),
    "sends": ("sent_share", parse_fraction),
}
SURGE_ATTRIBUTES: Attributes = {
    "at": ("start_ms", parse_duration_ms),
    "for": ("duration_ms", parse_duration_ms),
    "times": ("factor", float),
    "tenant": ("tenant", str),
    "tables": ("table_group", int),
}
FAULT_ATTRIBUTES: Attributes = {
    "at": ("at_ms", parse_duration_ms),
    "what": ("kind", FaultKind),
    "for": ("duration_ms", parse_duration_ms),
    "share": ("victim_share", parse_fraction),
    "count": ("victim_count", int),
    "times": ("slowdown", float),
}


def fields_of(element: Any, attributes: Attributes) -> dict[str, Any]:
    """Return the values of the fields that an element's attributes set."""
    values = {}
    for name, text in element.attrib.items():
        if name in attributes:
            field, parse = attributes[name]
            values[field] = parse(text)
    return values


def load(path: str) -> Experiment:
    """Read an experiment from a file.

    Raises:
        SettingsError: The file is invalid; all errors in it are listed with their lines.
    """
    return _Reader(path).read()


class _Reader:
    """Reads one file and collects all errors in it before raising."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.root = read(path, "decklb.lab", "lab.xsd")
        self.errors: list[FileError] = []

    def read(self) -> Experiment:
        world = EmulatedWorld(
            self._workload(),
            engine_spec=self._engine_spec(),
            faults=tuple(InjectedFault(**fields_of(f, FAULT_ATTRIBUTES)) for f in self.root.iterfind("faults/fault")),
            **fields_of(self._child("world"), WORLD_ATTRIBUTES),
        )
        self._check_injected_faults(world)
        cells = self._child("cells")
        sweeps = self._sweeps(cells)
        if self.errors:
            raise SettingsError(sorted(set(self.errors)))
        first_seed = int(cells.get("first-seed", "1"))
        seeds = tuple(range(first_seed, first_seed + int(cells.get("seeds", "1"))))
        policies = tuple(dict.fromkeys(policy.text or "" for policy in cells.findall("policy")))
        digest = stable_digest(world, policies, sweeps, seeds)
        return Experiment(self.root.attrib["name"], world, policies, sweeps, seeds, digest)

    def _child(self, name: str) -> Any:
        element = self.root.find(name)
        assert element is not None  # required by the schema
        return element

    def _report(self, element: Any, text: str) -> None:
        self.errors.append(FileError(self.path, element.sourceline or 0, text))

    def _workload(self) -> Workload:
        element = self._child("workload")
        classes = tuple(RequestClass(**fields_of(c, CLASS_ATTRIBUTES)) for c in element.findall("class"))
        tenants = tuple(Tenant(**fields_of(t, TENANT_ATTRIBUTES)) for t in element.findall("tenant"))
        self._check_classes(element, classes)
        self._check_unique_names(element)
        tenants = tenants or DEFAULT_TENANTS
        self._check_surges(element, tenants)
        surges = tuple(TrafficSurge(**fields_of(s, SURGE_ATTRIBUTES)) for s in element.findall("swell"))
        trace_path = ""
        if "trace" in element.attrib:
            trace_path = str(Path(self.path).resolve().parent / element.attrib["trace"])
        return Workload(
            classes=classes,
            tenants=tenants,
            surges=surges,
            trace_path=trace_path,
            **fields_of(element, WORKLOAD_ATTRIBUTES),
        )

    def _check_classes(self, workload: Any, classes: tuple[RequestClass, ...]) -> None:
        if not classes:
            self._report(workload, "<workload> must have at least one <class>")
        for element, spec in zip(workload.findall("class"), classes, strict=True):
            if spec.latency_objective_ms > spec.deadline_ms:
                deadline = element.attrib["deadline"]
                self._report(element, f"class {spec.name!r}: aim must not be above the deadline, {deadline}")

    def _check_unique_names(self, workload: Any) -> None:
        for kind in ("class", "tenant"):
            elements = workload.findall(kind)
            names = [element.attrib["name"] for element in elements]
            for element, name in zip(elements, names, strict=True):
                if names.count(name) > 1:
                    self._report(element, f"{kind} {name!r} is defined more than once")

    def _check_surges(self, workload: Any, tenants: tuple[Tenant, ...]) -> None:
        known = {tenant.name for tenant in tenants}
        for element in workload.findall("swell"):
            name = element.get("tenant")
            if name is not None and name not in known:
                self._report(element, f"<swell>: tenant {name!r} is not defined")

    def _engine_spec(self) -> EngineSpec:
        element = self.root.find("engine")
        return EngineSpec(**fields_of(element, ENGINE_ATTRIBUTES)) if element is not None else EngineSpec()

    def _check_injected_faults(self, world: EmulatedWorld) -> None:
        for element in self.root.iterfind("faults/fault"):
            if ("share" in element.attrib) == ("count" in element.attrib):
                self._report(element, "<fault> must have either share or count, not both")
            at = element.attrib["at"]
            if parse_duration_ms(at) >= world.duration_ms:
                limit_s = world.duration_ms / 1000
                self._report(element, f"<fault>: at {at} is after the end of the run; it must be before {limit_s:g}s")

    def _sweeps(self, cells: Any) -> tuple[tuple[str, tuple[float, ...]], ...]:
        elements = cells.findall("sweep")
        factors = [element.attrib["factor"] for element in elements]
        for element, factor in zip(elements, factors, strict=True):
            if factors.count(factor) > 1:
                self._report(element, f"<sweep>: factor {factor!r} is swept more than once")
        values = [tuple(map(float, element.attrib["values"].split())) for element in elements]
        return tuple(zip(factors, values, strict=True))
