"""Fault runs of the locality between real processes.

Managers and engines run in three zones of two regions. A zone is lost, slow or cut off from some managers, and so on,
while the managers decide on the zones' states in common or each alone. Everything runs on loopback, with bounded time;
see docs/faults.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import struct
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path

import ujson

from decklb.lab.checks.zone_verdict import CallRecord, ZoneFault, ZoneStateChange, ZoneVerdict, judge
from decklb.lab.fault_runs.fleet_process import Process
from decklb.lab.fault_runs.handoff_fleet import Fleet, Setup
from decklb.lab.fault_runs.isolation import run_side_by_side
from decklb.lab.faults.fault_schedule import CLEAN, CUT, LinkConditions
from decklb.lab.faults.network_proxy import MAX_LATE_MS
from decklb.locality.settings import LocalitySettings
from decklb.management.control_client import query
from decklb.pg import messages as pg

MANAGER_ZONES = ("z0", "z0", "z1", "z1", "z2")  # zone of each manager
REGION_BY_ZONE = {"z0": "r0", "z1": "r0", "z2": "r1"}
CORES_PER_ENGINE, ENGINES_PER_ZONE = 8, 2
RATE_PER_S = 40.0  # requests of each zone's clients
WORK_MS = (120, 160, 200)  # of a request
DEADLINE_S, ANSWER_GRACE_S = 4.0, 0.5
FAULT_START_S, FAULT_END_S, LOAD_END_S = 3.0, 9.0, 20.0  # from the start of the load
CASES = ("lost", "parted", "slow", "region", "halves", "clocks", "liar")
LOCALITY = LocalitySettings(
    tick_ms=100.0,
    health_check_interval_ms=400.0,
    health_check_timeout_ms=400.0,
    observation_ttl_ms=1200.0,
    stabilization_ms=400.0,
    min_state_duration_ms=2000.0,
    vote_timeout_ms=800.0,
    isolation_grace_ms=4000.0,
    recovery_ramp_ms=8000.0,
    degraded_latency_ratio=2.0,
)
SETTINGS = """<decklb version="1">
  <process name="{name}" listen="127.0.0.1:0" sockets="1024"/>
  <classes><class name="read" aim="1s" stretch="2" deadline="4s" semantics="idempotent"/></classes>
  <tenants><tenant name="cusco" share="100%"/></tenants>
  <kinds><kind name="k" cores="{cores}"/></kinds>
  <rules tick="2ms" balancers="2" max-attempts="4" cancelling="true" retry-after="200ms" cold="10ms" cold-share="100%"
         drain-grace="1s" extra-floor="50" extra-share="50%" extra-window="5s" fall="1s" overload-factor="3"
         settle-after-doubt="50ms"/>
  <engines list="1">{engines}</engines>
  <postgres user="decklb" connections="64"/>
  <cluster name="regions" bind="{bind}" advertise="{advertise}" keys="keys.json" interval="100ms" timeout="45ms"
           gossip="20ms" exchange="500ms" settle="300ms">{seeds}</cluster>
  <locality zone="{zone}" members="{members}" judge="{decision_mode}" {attributes}>
    <region name="r0"><zone name="z0"/><zone name="z1"/></region><region name="r1"><zone name="z2"/></region>
  </locality>
  {extra_elements}<control socket="{name}.sock"/>
</decklb>
"""


def zone_of(engine: str) -> str:
    """Return the zone of an engine: engines are numbered zone by zone."""
    return f"z{int(engine[1:]) // ENGINES_PER_ZONE}"


class ZoneFleet(Fleet):
    """Five managers and six engines in three zones of two regions."""

    def __init__(self, decision_mode: str, seed: int, folder: str, index: int, liar: str = "") -> None:
        """Prepare a fleet; `start` starts its processes.

        Args:
            decision_mode: `common` or `alone`: how managers decide on the state of a zone.
            seed: Of the network proxy.
            folder: For the fleet's files.
            index: Number of the fleet among those that run side by side.
            liar: Manager that falsely reports the zone z0 as dead, "" for none.
        """
        super().__init__(
            Setup(managers=len(MANAGER_ZONES), engines=ENGINES_PER_ZONE * len(REGION_BY_ZONE)), seed, folder, index
        )
        self.decision_mode, self.liar = decision_mode, liar
        self.zone_by_manager = dict(zip(self.names, MANAGER_ZONES, strict=True))
        self.ports_by_engine: dict[str, list[int]] = {}
        self.sends_keys = False  # clients send each statement with an idempotency key, for the handoff

    def manager_module(self, name: str) -> tuple[str, ...]:
        """Return the module that runs as a manager, followed by its first arguments."""
        return (
            ("decklb.lab.standins.byzantine_member", "z0") if name == self.liar else ("decklb.lab.faults.clock_jump",)
        )

    def extra_elements(self, name: str) -> str:
        """Return further elements of a manager's settings; none by default."""
        return ""

    def settings_xml(self, name: str) -> str:
        """Return the settings document of a manager."""
        settings = LOCALITY
        attributes = " ".join(
            f'{attribute}="{duration:g}ms"'
            for attribute, duration in (
                ("tick", settings.tick_ms),
                ("look", settings.health_check_interval_ms),
                ("timeout", settings.health_check_timeout_ms),
                ("fresh", settings.observation_ttl_ms),
                ("settle", settings.stabilization_ms),
                ("hold", settings.min_state_duration_ms),
                ("retry", settings.vote_timeout_ms),
                ("keep", settings.isolation_grace_ms),
                ("ramp", settings.recovery_ramp_ms),
            )
        )
        attributes += f' slow="{settings.degraded_latency_ratio:g}"'
        engines = "".join(
            '<engine id="{}" address="{}:{}" zone="{}" kind="k" weight="8"/>'.format(
                e.name, *self.rig.engine_addresses[name, e.name], zone_of(e.name)
            )
            for e in self.engines
        )
        return SETTINGS.format(
            name=name,
            cores=CORES_PER_ENGINE,
            engines=engines,
            bind="{}:{}".format(*self.binds[name]),
            advertise="{}:{}".format(*self.rig.advertised[name]),
            zone=self.zone_by_manager[name],
            members=len(self.names),
            decision_mode=self.decision_mode,
            extra_elements=self.extra_elements(name),
            attributes=attributes,
            seeds="".join("<seed>{}:{}</seed>".format(*a) for a in self.rig.advertised.values()),
        )

    async def start_engine(self, engine: Process, ports: list[int] | None = None) -> list[int]:
        """Start an engine, and record and return its ports."""
        engine_ports = self.ports_by_engine[engine.name] = await super().start_engine(engine, ports)
        return engine_ports

    async def wait_until_settled(self) -> None:
        """Wait until all members know one another and may vote.

        Raises:
            RuntimeError: They did not know one another within 20 s.
        """
        end_s = time.monotonic() + 20.0
        while time.monotonic() < end_s:
            states = [await asyncio.to_thread(query, str(self.folder / f"{n}.sock"), "zones") for n in self.names]
            if all(state["members"] == len(self.names) for state in states):
                return await asyncio.sleep((LOCALITY.observation_ttl_ms + LOCALITY.vote_timeout_ms) / 1000)
            await asyncio.sleep(0.1)
        raise RuntimeError("the members did not find one another within 20 s")

    def engines_in(self, *zones: str) -> list[Process]:
        """Return the engines of zones."""
        return [e for e in self.engines if zone_of(e.name) in zones]

    async def kill_zones(self, *zones: str) -> None:
        """Kill all engines of zones."""
        await asyncio.gather(*(e.kill() for e in self.engines_in(*zones)))

    async def restart_zones(self, *zones: str) -> None:
        """Restart the engines of zones, cold, on their previous ports."""
        for engine in self.engines_in(*zones):
            await self.start_engine(engine, self.ports_by_engine[engine.name])

    def set_links(self, managers: list[str], zone: str, conditions: LinkConditions) -> None:
        """Set the conditions of both directions between these managers and a zone's engines."""
        for manager in managers:
            for engine in self.engines_in(zone):
                self.rig.set_link(manager, engine.name, conditions)
                self.rig.set_link(engine.name, manager, conditions)

    def zone_state_changes(self, load_start_s: float) -> list[ZoneStateChange]:
        """Return the state changes of zones as the managers logged them, ordered by time."""
        changes = []
        for name, process in self.managers.items():
            for line, at_s in zip(process.log_lines, process.log_times_s, strict=False):
                if "zone-state zone=" in line:
                    fields = dict(x.split("=", 1) for x in line.split("zone-state ", 1)[1].split() if "=" in x)
                    changes.append(ZoneStateChange(name, fields["zone"], fields["state"], at_s - load_start_s))
        return sorted(changes, key=lambda c: c.at)


@dataclass(slots=True)
class Session:
    """A client's PostgreSQL session with one manager, which executes one statement at a time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def run(self, sql: str) -> tuple[str, str]:
        """Execute a statement and return its row and the SQLSTATE of its error, each "" for none."""
        self.writer.write(pg.pack(b"Q", sql.encode() + b"\0"))
        row = sqlstate = ""
        while True:
            message_type = await self.reader.readexactly(1)
            (size,) = struct.unpack(">I", await self.reader.readexactly(4))
            body = await self.reader.readexactly(size - 4)
            if message_type == b"E":
                sqlstate = pg.read_error(body)["C"]
            elif message_type == b"D":
                row = body[6:].decode()
            elif message_type == b"Z":
                return row, sqlstate


async def _open_session(port: int) -> Session:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(pg.pack_startup({"user": "u", "decklb.class": "read", "decklb.budget": f"{DEADLINE_S:g}s"}))
    while (message_type := await reader.readexactly(1)) != b"Z":
        (size,) = struct.unpack(">I", await reader.readexactly(4))
        await reader.readexactly(size - 4)
        if message_type == b"E":
            raise ConnectionError("the manager rejected the session")
    await reader.readexactly(5)
    return Session(reader, writer)


class ZoneClients:
    """The clients of one zone: they send requests at random times to random managers of the zone."""

    def __init__(
        self,
        fleet: ZoneFleet,
        zone: str,
        rng: random.Random,
        load_start_s: float,
        rate_per_s: float = RATE_PER_S,
        load_end_s: float = LOAD_END_S,
    ) -> None:
        """Prepare the clients; `run` sends the requests.

        Args:
            fleet: That serves them.
            zone: Of the clients.
            rng: Draws times, managers and work of the requests.
            load_start_s: When the load starts, on the monotonic clock.
            rate_per_s: Requests per second.
            load_end_s: When the load ends, in seconds from its start.
        """
        self.fleet, self.zone, self.rng, self.load_start_s, self.rate_per_s, self.load_end_s = (
            fleet,
            zone,
            rng,
            load_start_s,
            rate_per_s,
            load_end_s,
        )
        self.managers = [n for n in fleet.names if fleet.zone_by_manager[n] == zone]
        self.idle_sessions: dict[str, list[Session]] = {n: [] for n in self.managers}
        self.calls: list[CallRecord] = []

    async def run(self) -> list[CallRecord]:
        """Send requests until the end of the load and return their records once all have ended."""
        due_s, tasks = self.load_start_s, []
        while (due_s := due_s + self.rng.expovariate(self.rate_per_s)) < self.load_start_s + self.load_end_s:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            call = CallRecord(
                f"{self.zone}.{len(self.calls)}",
                self.zone,
                self.rng.choice(self.managers),
                time.monotonic() - self.load_start_s,
                self.rng.choice(WORK_MS),
            )
            self.calls.append(call)
            tasks.append(asyncio.ensure_future(self._send(call)))
        await asyncio.gather(*tasks)
        for sessions in self.idle_sessions.values():
            for session in sessions:
                session.writer.close()
        return self.calls

    async def _send(self, call: CallRecord) -> None:
        """Send a request and record its answer, if there is one in time."""
        with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
            await asyncio.wait_for(self._execute(call), DEADLINE_S + ANSWER_GRACE_S)

    async def _execute(self, call: CallRecord) -> None:
        """Execute a request on an idle or a new session and record its answer."""
        idle = self.idle_sessions[call.manager]
        session = idle.pop() if idle else await _open_session(self.fleet.ports[call.manager])
        try:
            if self.fleet.sends_keys:
                await session.run(f"set decklb.request = '{call.key}'")
            row, sqlstate = await session.run(f"select 1 -- run={call.key} work={call.work}")
        except BaseException:
            # Closed also after a cancellation: the late answer would be read as that of the session's next statement.
            session.writer.close()
            raise
        call.answer, call.took = (sqlstate or "served"), time.monotonic() - self.load_start_s - call.at
        call.row = row
        idle.append(session)


async def apply_case(fleet: ZoneFleet, case: str, rng: random.Random, undo: bool) -> None:
    """Inject the fault of a case, or undo it. Both calls need the same state of `rng`, which draws the targets."""
    conditions, killed_zones = CLEAN, set[str]()
    match case:
        case "lost":
            killed_zones = {"z0"}
        case "region":
            killed_zones = {"z0", "z1"}
        case "parted":
            if not undo:
                conditions = CUT
            fleet.set_links(rng.sample(fleet.names, 2), "z0", conditions)
        case "slow":
            if not undo:
                conditions = LinkConditions(delay_ms=150.0, jitter_ms=20.0)
            fleet.set_links(fleet.names, "z0", conditions)
        case "halves":
            killed_zones = {"z0"}
            minority = {rng.choice(("m0", "m1")), rng.choice(("m2", "m3"))}
            for sender in fleet.names:
                for receiver in fleet.names:
                    if sender != receiver and (sender in minority) != (receiver in minority):
                        fleet.rig.set_link(sender, receiver, CLEAN if undo else CUT)
        case "clocks":
            killed_zones = {"z0"}
            for name, number in zip(rng.sample(fleet.names, 2), (signal.SIGUSR1, signal.SIGUSR2), strict=True):
                fleet.managers[name].signal(signal.SIGWINCH if undo else number)
    if killed_zones:
        await (fleet.restart_zones if undo else fleet.kill_zones)(*sorted(killed_zones))


async def run_case(case: str, seed: int, decision_mode: str, index: int, log_folder: str = "") -> ZoneVerdict:
    """Start a fleet, run one case under load and judge it.

    Args:
        case: One of CASES.
        seed: Of the case's targets and of the load.
        decision_mode: `common` or `alone`: how managers decide on the state of a zone.
        index: Number of the fleet among those that run side by side.
        log_folder: Folder for the managers' logs, "" for none.
    """
    rng = random.Random(f"{case}/{seed}")
    liar = rng.choice(("m2", "m3", "m4", "m0")) if case == "liar" else ""
    with tempfile.TemporaryDirectory() as folder:
        fleet = ZoneFleet(decision_mode, seed, folder, index, liar)
        try:
            await fleet.start()
            await fleet.wait_until_settled()
            start_s, fleet.rig.late_ms = time.monotonic(), 0.0
            clients = [ZoneClients(fleet, z, random.Random(f"{case}/{seed}/{z}"), start_s) for z in REGION_BY_ZONE]
            loads = asyncio.gather(*(c.run() for c in clients))
            fault_rng = random.Random(f"{case}/{seed}/hit")
            rng_state = fault_rng.getstate()
            await asyncio.sleep(max(0.0, start_s + FAULT_START_S - time.monotonic()))
            await apply_case(fleet, case, fault_rng, False)
            fault_start_s = time.monotonic() - start_s
            await asyncio.sleep(max(0.0, start_s + FAULT_END_S - time.monotonic()))
            fault_rng.setstate(rng_state)  # so that the fault is undone at the same targets
            await apply_case(fleet, case, fault_rng, True)
            fault_end_s = time.monotonic() - start_s
            calls = [call for zone_calls in await loads for call in zone_calls]
            lost_zones = {"lost": ("z0",), "halves": ("z0",), "clocks": ("z0",), "region": ("z0", "z1")}.get(case, ())
            affected_zones = lost_zones or (("z0",) if case in ("slow", "parted") else ())
            verdict = judge(
                ZoneVerdict(case, decision_mode, seed),
                calls,
                fleet.execution_events(),
                fleet.zone_state_changes(start_s),
                fleet.zone_by_manager,
                zone_of,
                ZoneFault(lost_zones, affected_zones, frozenset((liar,)), fault_start_s, fault_end_s),
                start_s,
                CORES_PER_ENGINE * ENGINES_PER_ZONE,
                LOCALITY,
            )
            verdict.late_ms = fleet.max_lateness_ms(start_s)
            verdict.faults = sum(fleet.count_log_lines(x) for x in ("Traceback", "policy-failed"))
            if log_folder:
                run_folder = Path(log_folder) / f"{case}-{decision_mode}-{seed}"
                run_folder.mkdir(parents=True, exist_ok=True)
                for name, process in fleet.managers.items():
                    (run_folder / f"{name}.log").write_text("".join(process.log_lines))
                (run_folder / "changes.json").write_text(
                    ujson.dumps([c.__getstate__() for c in fleet.zone_state_changes(start_s)])
                )
            return verdict
        finally:
            await fleet.stop()


async def campaign(
    cases: list[str],
    seeds: list[int],
    decision_modes: list[str],
    fleet_count: int,
    on_run: Callable[[ZoneVerdict], None],
    log_folder: str = "",
) -> list[ZoneVerdict]:
    """Run every case with every seed and decision mode, several fleets side by side, each in its own subprocess.

    Args:
        cases: Of CASES.
        seeds: One run of each case and decision mode for each.
        decision_modes: Of `common` and `alone`.
        fleet_count: Fleets that run at the same time.
        on_run: Called with each verdict, also with those of runs that are repeated.
        log_folder: Folder for the managers' logs of all runs, "" for none.
    """
    runs = [{"case": c, "seed": s, "way": m, "logs": log_folder} for c in cases for s in seeds for m in decision_modes]
    return await run_side_by_side(
        f"{__name__}:isolated_run", ZoneVerdict, runs, fleet_count, on_run, lambda run: run.late_ms <= MAX_LATE_MS
    )


async def isolated_run(case: str, seed: int, way: str, index: int, logs: str) -> AsyncIterator[ZoneVerdict]:
    """Run one case; called in a subprocess by `run_in_subprocess`. `way` is the decision mode, as in ZoneVerdict."""
    yield await run_case(case, seed, way, index, logs)
