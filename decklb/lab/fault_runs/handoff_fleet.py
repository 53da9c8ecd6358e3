"""A fleet of managers with the handoff, their stand-in engines and the network proxy between them.

Everything runs on loopback. `Setup` says how large the fleet is and what load and faults a run has.
"""

from __future__ import annotations

import asyncio
import itertools
import re
import signal
import time
from dataclasses import dataclass
from pathlib import Path

import ujson

from decklb.cluster import keyfile
from decklb.lab.checks.execution_verdict import ExecutionEvent
from decklb.lab.fault_runs.fleet_process import Process
from decklb.lab.faults import free_ports
from decklb.lab.faults.fault_schedule import CUT, LOSSY, FleetFault, FleetFaultKind
from decklb.lab.faults.network_proxy import Address, NetworkProxy
from decklb.management.control_client import ControlError, query

READ_CLASS, LOAD_CLASS = "read", "load"  # classes of idempotent and of at-most-once requests
MAX_PORT_DRAWS = 3  # sets of ports tried for an engine: another fleet that starts may have drawn one of the ports
DEFAULT_WORK_MS = (5, 20, 80, 300)  # execution times of statements
DEFAULT_KINDS = (
    FleetFaultKind.KILL,
    FleetFaultKind.STOP,
    FleetFaultKind.PARTITION,
    FleetFaultKind.CUT,
    FleetFaultKind.LOSSY,
    FleetFaultKind.AHEAD,
    FleetFaultKind.BEHIND,
)
SIGNAL_BY_KIND = {
    FleetFaultKind.STOP: signal.SIGSTOP,
    FleetFaultKind.CONT: signal.SIGCONT,
    FleetFaultKind.AHEAD: signal.SIGUSR1,
    FleetFaultKind.BEHIND: signal.SIGUSR2,
    FleetFaultKind.CLOCK: signal.SIGWINCH,
}

SETTINGS = """<decklb version="1">
  <process name="{name}" listen="127.0.0.1:0" sockets="512"/>
  <classes>
    <class name="read" aim="1s" stretch="2" deadline="{deadline}ms" semantics="idempotent"/>
    <class name="load" aim="1s" stretch="2" deadline="{deadline}ms" semantics="at_most_once"/>
  </classes>
  <tenants><tenant name="cusco" share="100%"/></tenants>
  <kinds><kind name="k" cores="64"/></kinds>
  <rules tick="2ms" max-attempts="4" cancelling="true" retry-after="200ms" cold="10ms" cold-share="100%"
         drain-grace="1s" extra-floor="50" extra-share="50%" extra-window="5s" fall="1s" overload-factor="3"
         settle-after-doubt="50ms"/>
  <engines list="1">{engines}</engines>
  <postgres user="decklb" connections="64"/>
  <cluster name="outage" bind="{bind}" advertise="{advertise}" keys="{keys}" interval="100ms" timeout="45ms"
           gossip="20ms" exchange="500ms" settle="300ms">{seeds}</cluster>
  <handoff members="{members}"{data} copies="3" lease="{lease}ms" beat="100ms" patience="300ms" resend="60ms"
           stagger="250ms" longest="{deadline}ms" linger="{retention}ms" slack="500ms"/>
  <control socket="{socket}"/>
</decklb>
"""


@dataclass(frozen=True, slots=True)
class Setup:
    """Size of a fleet, its load and its timeouts. Times are milliseconds.

    The field names are keys of the JSON object by which a subprocess receives it.
    """

    managers: int = 3
    engines: int = 3
    rate: float = 25.0  # requests per second
    span: float = 5000.0  # period in which requests are sent and faults injected
    faults: int = 1
    longest: float = 4000.0  # deadline of a request
    linger: float = 1500.0  # period for which managers keep a final answer after its deadline
    lease: float = 600.0  # duration of a holder's lease
    kinds: tuple[FleetFaultKind, ...] = DEFAULT_KINDS
    data: bool = False  # whether managers keep their records on disk
    work: tuple[int, ...] = DEFAULT_WORK_MS  # execution times; each statement draws one

    @property
    def record_lifetime_ms(self) -> float:
        """Longest time that a record exists: its deadline, retention and slack, and 1% for clocks that differ.

        A member that restarted without records on disk does not vote on records older than its start.
        """
        return (self.longest + self.linger + 500.0) * 1.01


class Fleet:
    """Managers, engines and the network proxy between them, with their files in one folder."""

    def __init__(self, setup: Setup, seed: int, folder: str, index: int = 0) -> None:
        self.setup, self.folder, self.seed = setup, Path(folder), seed
        self.names = [f"m{i}" for i in range(setup.managers)]
        self.host_by_manager = {n: f"127.0.{10 + index}.{i + 1}" for i, n in enumerate(self.names)}
        self.managers: dict[str, Process] = {}
        self.ports: dict[str, int] = {}
        self.records_since_s: dict[str, float] = {}  # by manager: monotonic time since which its records are complete
        self.engines: list[Process] = []
        self.binds: dict[str, Address] = {}
        self.rig: NetworkProxy
        self.ended_log_lines: list[str] = []  # log lines of manager processes that were replaced by new ones

    async def start(self) -> None:
        """Start the engines, then the network proxy, then the managers."""
        targets: dict[str, dict[str, Address]] = {}
        for i in range(self.setup.engines):
            engine = Process(f"e{i}")
            self.engines.append(engine)
            targets[engine.name] = {
                n: ("127.0.0.1", p) for n, p in zip(self.names, await self.start_engine(engine), strict=True)
            }
        self.binds = {n: (self.host_by_manager[n], free_ports.free(1, self.host_by_manager[n])[0]) for n in self.names}
        self.rig = NetworkProxy(self.binds, self.seed, targets)
        await self.rig.open()
        keyfile.write(str(self.folder / "keys.json"), [keyfile.generate()])
        await asyncio.gather(*(self.start_manager(n) for n in self.names))

    async def start_engine(self, engine: Process, ports: list[int] | None = None) -> list[int]:
        """Start an engine and return its ports, one for each manager.

        Args:
            engine: To start.
            ports: Those of an engine that is restarted; None draws new ones.
        """
        log = self.folder / f"{engine.name}.log"
        log.touch()
        draws = MAX_PORT_DRAWS if ports is None else 1
        while True:
            engine.log_lines.clear()
            engine.log_times_s.clear()
            await engine.start(
                "decklb.lab.standins.observer_engine",
                engine.name,
                str(log),
                ujson.dumps(ports or free_ports.free(self.setup.managers)),
            )
            try:
                engine_ports: list[int] = ujson.loads((await engine.wait_for_log_line(r"^(\[.*\])"))[1])
                return engine_ports
            except RuntimeError:
                draws -= 1
                if not draws:
                    raise

    def manager_module(self, name: str) -> tuple[str, ...]:
        """Return the module that runs as a manager, followed by its first arguments."""
        return ("decklb.lab.faults.clock_jump",)

    def settings_xml(self, name: str) -> str:
        """Return the settings document of a manager."""
        setup = self.setup
        engines = "".join(
            '<engine id="{}" address="{}:{}" zone="z" kind="k" weight="8"/>'.format(
                e.name, *self.rig.engine_addresses[name, e.name]
            )
            for e in self.engines
        )
        return SETTINGS.format(
            name=name,
            bind="{}:{}".format(*self.binds[name]),
            advertise="{}:{}".format(*self.rig.advertised[name]),
            keys="keys.json",
            engines=engines,
            seeds="".join("<seed>{}:{}</seed>".format(*a) for a in self.rig.advertised.values()),
            members=setup.managers,
            lease=f"{setup.lease:g}",
            deadline=f"{setup.longest:g}",
            retention=f"{setup.linger:g}",
            socket=f"{name}.sock",
            data=f' data="{name}.data"' if setup.data else "",
        )

    async def start_manager(self, name: str) -> None:
        """Start or restart a manager and wait until it listens."""
        path = self.folder / f"{name}.xml"
        path.write_text(self.settings_xml(name))
        if name in self.managers:
            self.ended_log_lines += self.managers[name].log_lines
        process = self.managers[name] = Process(name)
        await process.start(*self.manager_module(name), "serve", "--settings", str(path), "--log-level", "DEBUG")
        self.ports[name] = int((await process.wait_for_log_line(r"listens on [\d.]+:(\d+)"))[1])
        if not (self.setup.data and name in self.records_since_s):
            self.records_since_s[name] = time.monotonic()

    async def wait_until_members_vote(self) -> None:
        """Wait until every manager may vote: it has to run for longer than the lifetime of a record.

        A manager that keeps its records on disk may vote right after a restart.
        """
        await asyncio.sleep(
            max(0.0, max(self.records_since_s.values()) + self.setup.record_lifetime_ms / 1000 + 0.3 - time.monotonic())
        )

    async def inject(self, fault: FleetFault) -> None:
        """Inject a fault, or undo one."""
        rig, manager = self.rig, self.managers[fault.target]
        match fault.kind:
            case FleetFaultKind.KILL:
                await manager.kill()
            case FleetFaultKind.RESTART:
                await self.start_manager(fault.target)
            case FleetFaultKind.PARTITION:
                rig.partition(fault.target)
            case FleetFaultKind.ENGINES:
                for engine in self.engines:
                    rig.set_link(fault.target, engine.name, CUT)
                    rig.set_link(engine.name, fault.target, CUT)
            case FleetFaultKind.CUT:
                rig.set_link(fault.target, fault.other, CUT)
            case FleetFaultKind.LOSSY:
                for sender, receiver in ((fault.target, fault.other), (fault.other, fault.target)):
                    rig.set_link(sender, receiver, LOSSY)
            case FleetFaultKind.HEAL:
                rig.heal()
            case kind:
                manager.signal(SIGNAL_BY_KIND[kind])

    def execution_events(self) -> list[ExecutionEvent]:
        """Return all events that the engines have logged so far."""
        return [
            ExecutionEvent(**ujson.loads(line), engine=e.name)
            for e in self.engines
            for line in (self.folder / f"{e.name}.log").read_text().splitlines()
        ]

    def count_log_lines(self, text: str) -> int:
        """Count the log lines of all managers that contain a text, those of ended processes included."""
        lines = itertools.chain(self.ended_log_lines, *(p.log_lines for p in self.managers.values()))
        return sum(text in line for line in lines)

    def max_lateness_ms(self, since_s: float) -> float:
        """Return by how many ms the network proxy or a manager was late at worst since a time on the monotonic clock.

        The proxy measures its own lateness, managers log theirs. For runs that stop no process on purpose.
        """
        max_ms = self.rig.late_ms
        for process in self.managers.values():
            for line, at_s in zip(process.log_lines, process.log_times_s, strict=False):
                if at_s >= since_s and (m := re.search(r"process-stalled stall_ms=(\d+)", line)):
                    max_ms = max(max_ms, float(m[1]))
        return round(max_ms, 1)

    def save_logs(self, folder: Path) -> None:
        """Write the logs of all managers and engines to a folder, and the handoff state of each manager."""
        folder.mkdir(parents=True, exist_ok=True)
        for name, process in self.managers.items():
            try:
                state = ujson.dumps(query(str(self.folder / f"{name}.sock"), "handoff"), indent=1)
            except ControlError as error:
                state = str(error)
            (folder / f"{name}.log").write_text("".join([*process.log_lines, state, "\n"]))
        (folder / "ended.log").write_text("".join(sorted(self.ended_log_lines)))
        for engine in self.engines:
            (folder / f"{engine.name}.log").write_text((self.folder / f"{engine.name}.log").read_text())

    async def stop(self) -> None:
        """Kill all processes of the fleet and close the network proxy."""
        for process in [*self.managers.values(), *self.engines]:
            process.signal(signal.SIGCONT)
            await process.kill()
        if hasattr(self, "rig"):
            self.rig.close()
