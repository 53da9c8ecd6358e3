"""Fault runs of the locality between real processes.

Managers and engines in three zones of two regions; a zone is lost, cut off from some, slow, and so on, while the
managers decide in common or each alone. On loopback, bounded; see docs/faults.md.
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
from decklb.lab.fault_runs.handoff_run import Fleet, Process, Setup
from decklb.lab.fault_runs.isolation import run_side_by_side
from decklb.lab.faults.fault_schedule import CLEAN, CUT, LinkConditions
from decklb.lab.faults.network_proxy import MAX_LATE_MS
from decklb.locality.settings import LocalitySettings
from decklb.management.control_client import query
from decklb.pg import messages as pg

HOMES = ("z0", "z0", "z1", "z1", "z2")  # of the managers
REGION = {"z0": "r0", "z1": "r0", "z2": "r1"}
CORES, EACH = 8, 2  # cores of an engine, engines of a zone
RATE = 40.0  # requests a second of each zone's callers
WORK = (120, 160, 200)  # ms of a request
DEADLINE, SLACK = 4.0, 0.5  # seconds
STRUCK, MENDED, END = 3.0, 9.0, 20.0  # seconds from the start of the load
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
  <cluster name="regions" bind="{bind}" advertise="{told}" keys="keys.json" interval="100ms" timeout="45ms"
           gossip="20ms" exchange="500ms" settle="300ms">{seeds}</cluster>
  <locality zone="{zone}" members="{members}" judge="{judge}" {figures}>
    <region name="r0"><zone name="z0"/><zone name="z1"/></region><region name="r1"><zone name="z2"/></region>
  </locality>
  {more}<control socket="{name}.sock"/>
</decklb>
"""


def zone_of(engine: str) -> str:
    """Engines are numbered through the zones."""
    return f"z{int(engine[1:]) // EACH}"


class Zonal(Fleet):
    """Five managers and six engines in three zones of two regions."""

    def __init__(self, way: str, seed: int, folder: str, index: int, lie: str = "") -> None:
        """`way`: how they judge; `lie`: the manager that reports z0 dead."""
        super().__init__(Setup(managers=len(HOMES), engines=EACH * len(REGION)), seed, folder, index)
        self.way, self.lie = way, lie
        self.home = dict(zip(self.names, HOMES, strict=True))
        self.ports_of: dict[str, list[int]] = {}
        self.named = False  # callers name their statements, for the handoff

    def program(self, name: str) -> tuple[str, ...]:
        """The module that runs as a manager."""
        return ("decklb.lab.standins.byzantine_member", "z0") if name == self.lie else ("decklb.lab.faults.clock_jump",)

    def more(self, name: str) -> str:
        """Elements of a manager's settings beside those of all."""
        return ""

    def settings(self, name: str) -> str:
        """The `<locality>` element of a manager."""
        s = LOCALITY
        figures = " ".join(
            f'{attribute}="{duration:g}ms"'
            for attribute, duration in (
                ("tick", s.tick_ms),
                ("look", s.health_check_interval_ms),
                ("timeout", s.health_check_timeout_ms),
                ("fresh", s.observation_ttl_ms),
                ("settle", s.stabilization_ms),
                ("hold", s.min_state_duration_ms),
                ("retry", s.vote_timeout_ms),
                ("keep", s.isolation_grace_ms),
                ("ramp", s.recovery_ramp_ms),
            )
        )
        figures += f' slow="{s.degraded_latency_ratio:g}"'
        engines = "".join(
            '<engine id="{}" address="{}:{}" zone="{}" kind="k" weight="8"/>'.format(
                e.name, *self.rig.engine_addresses[name, e.name], zone_of(e.name)
            )
            for e in self.engines
        )
        return SETTINGS.format(
            name=name,
            cores=CORES,
            engines=engines,
            bind="{}:{}".format(*self.binds[name]),
            told="{}:{}".format(*self.rig.advertised[name]),
            zone=self.home[name],
            members=len(self.names),
            judge=self.way,
            more=self.more(name),
            figures=figures,
            seeds="".join("<seed>{}:{}</seed>".format(*a) for a in self.rig.advertised.values()),
        )

    async def serve(self, engine: Process, where: list[int] | None = None) -> list[int]:
        """Let an engine listen, and keep its ports."""
        found = self.ports_of[engine.name] = await super().serve(engine, where)
        return found

    async def settled(self) -> None:
        """Wait until all members know all, and may vote."""
        end = time.monotonic() + 20.0
        while time.monotonic() < end:
            rows = [await asyncio.to_thread(query, str(self.folder / f"{n}.sock"), "zones") for n in self.names]
            if all(r["members"] == len(self.names) for r in rows):
                return await asyncio.sleep((LOCALITY.observation_ttl_ms + LOCALITY.vote_timeout_ms) / 1000)
            await asyncio.sleep(0.1)
        raise RuntimeError("the members did not find one another")

    def of(self, *zones: str) -> list[Process]:
        """The engines of zones."""
        return [e for e in self.engines if zone_of(e.name) in zones]

    async def lose(self, *zones: str) -> None:
        """All engines of these zones die."""
        await asyncio.gather(*(e.kill() for e in self.of(*zones)))

    async def give_back(self, *zones: str) -> None:
        """They return, cold, where they were."""
        for e in self.of(*zones):
            await self.serve(e, self.ports_of[e.name])

    def link(self, managers: list[str], zone: str, link: LinkConditions) -> None:
        """All ways between these managers and a zone's engines."""
        for m in managers:
            for e in self.of(zone):
                self.rig.set_link(m, e.name, link)
                self.rig.set_link(e.name, m, link)

    def changes(self, start: float) -> list[ZoneStateChange]:
        """The managers' log lines on zones' states."""
        made = []
        for name, p in self.managers.items():
            for line, at in zip(p.lines, p.stamps, strict=False):
                if "zone-state zone=" in line:
                    fields = dict(x.split("=", 1) for x in line.split("zone-state ", 1)[1].split() if "=" in x)
                    made.append(ZoneStateChange(name, fields["zone"], fields["state"], at - start))
        return sorted(made, key=lambda c: c.at)


@dataclass(slots=True)
class Session:
    """A client's connection to one manager, one statement at a time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def run(self, sql: str) -> tuple[str, str]:
        """The row, or the state of the error."""
        self.writer.write(pg.pack(b"Q", sql.encode() + b"\0"))
        row = state = ""
        while True:
            kind = await self.reader.readexactly(1)
            (size,) = struct.unpack(">I", await self.reader.readexactly(4))
            body = await self.reader.readexactly(size - 4)
            if kind == b"E":
                state = pg.read_error(body)["C"]
            elif kind == b"D":
                row = body[6:].decode()
            elif kind == b"Z":
                return row, state


async def _open(port: int) -> Session:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(pg.pack_startup({"user": "u", "decklb.class": "read", "decklb.budget": f"{DEADLINE:g}s"}))
    while (kind := await reader.readexactly(1)) != b"Z":
        (size,) = struct.unpack(">I", await reader.readexactly(4))
        await reader.readexactly(size - 4)
        if kind == b"E":
            raise ConnectionError("turned away")
    await reader.readexactly(5)
    return Session(reader, writer)


class Callers:
    """The callers of one zone: requests at random moments, spread over the zone's managers."""

    def __init__(
        self, fleet: Zonal, zone: str, rng: random.Random, start: float, rate: float = RATE, end: float = END
    ) -> None:
        self.fleet, self.zone, self.rng, self.start, self.rate, self.end = fleet, zone, rng, start, rate, end
        self.names = [n for n in fleet.names if fleet.home[n] == zone]
        self.idle: dict[str, list[Session]] = {n: [] for n in self.names}
        self.sent: list[CallRecord] = []

    async def run(self) -> list[CallRecord]:
        """Send requests at the zone's rate until the end."""
        due, tasks = self.start, []
        while (due := due + self.rng.expovariate(self.rate)) < self.start + self.end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            sent = CallRecord(
                f"{self.zone}.{len(self.sent)}",
                self.zone,
                self.rng.choice(self.names),
                time.monotonic() - self.start,
                self.rng.choice(WORK),
            )
            self.sent.append(sent)
            tasks.append(asyncio.ensure_future(self._one(sent)))
        await asyncio.gather(*tasks)
        for sessions in self.idle.values():
            for s in sessions:
                s.writer.close()
        return self.sent

    async def _one(self, sent: CallRecord) -> None:
        with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
            await asyncio.wait_for(self._ask(sent), DEADLINE + SLACK)

    async def _ask(self, sent: CallRecord) -> None:
        free = self.idle[sent.manager]
        session = free.pop() if free else await _open(self.fleet.ports[sent.manager])
        try:
            if self.fleet.named:
                await session.run(f"set decklb.request = '{sent.key}'")
            row, state = await session.run(f"select 1 -- run={sent.key} work={sent.work}")
        except BaseException:  # also where it is waited for no longer: what comes on it then is another's answer
            session.writer.close()
            raise
        sent.answer, sent.took = (state or "served"), time.monotonic() - self.start - sent.at
        sent.row = row
        free.append(session)


async def strike(fleet: Zonal, case: str, rng: random.Random, over: bool) -> None:
    """Begin a case, or end it."""
    link, down = CLEAN, set[str]()
    match case:
        case "lost":
            down = {"z0"}
        case "region":
            down = {"z0", "z1"}
        case "parted":
            if not over:
                link = CUT
            fleet.link(rng.sample(fleet.names, 2), "z0", link)
        case "slow":
            if not over:
                link = LinkConditions(delay_ms=150.0, jitter_ms=20.0)
            fleet.link(fleet.names, "z0", link)
        case "halves":
            down = {"z0"}
            few = {rng.choice(("m0", "m1")), rng.choice(("m2", "m3"))}
            for a in fleet.names:
                for b in fleet.names:
                    if a != b and (a in few) != (b in few):
                        fleet.rig.set_link(a, b, CLEAN if over else CUT)
        case "clocks":
            down = {"z0"}
            for name, number in zip(rng.sample(fleet.names, 2), (signal.SIGUSR1, signal.SIGUSR2), strict=True):
                fleet.managers[name].signal(signal.SIGWINCH if over else number)
    if down:
        await (fleet.give_back if over else fleet.lose)(*sorted(down))


async def play(case: str, seed: int, way: str, index: int, logs: str = "") -> ZoneVerdict:
    """One run: start, load, strike, mend, judge."""
    rng = random.Random(f"{case}/{seed}")
    lie = rng.choice(("m2", "m3", "m4", "m0")) if case == "liar" else ""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Zonal(way, seed, folder, index, lie)
        try:
            await fleet.start()
            await fleet.settled()
            start, fleet.rig.late_ms = time.monotonic(), 0.0
            callers = [Callers(fleet, z, random.Random(f"{case}/{seed}/{z}"), start) for z in REGION]
            loads = asyncio.gather(*(c.run() for c in callers))
            hit = random.Random(f"{case}/{seed}/hit")
            kept = hit.getstate()
            await asyncio.sleep(max(0.0, start + STRUCK - time.monotonic()))
            await strike(fleet, case, hit, False)
            struck = time.monotonic() - start
            await asyncio.sleep(max(0.0, start + MENDED - time.monotonic()))
            hit.setstate(kept)  # the same members as were struck
            await strike(fleet, case, hit, True)
            mended = time.monotonic() - start
            sent = [s for x in await loads for s in x]
            out = {"lost": ("z0",), "halves": ("z0",), "clocks": ("z0",), "region": ("z0", "z1")}.get(case, ())
            sick = out or (("z0",) if case in ("slow", "parted") else ())
            told = judge(
                ZoneVerdict(case, way, seed),
                sent,
                fleet.witnessed(),
                fleet.changes(start),
                fleet.home,
                zone_of,
                ZoneFault(out, sick, frozenset((lie,)), struck, mended),
                start,
                CORES * EACH,
                LOCALITY,
            )
            told.late_ms = fleet.late(start)
            told.faults = sum(fleet.logged(x) for x in ("Traceback", "policy-failed"))
            if logs:
                keep = Path(logs) / f"{case}-{way}-{seed}"
                keep.mkdir(parents=True, exist_ok=True)
                for name, p in fleet.managers.items():
                    (keep / f"{name}.log").write_text("".join(p.lines))
                (keep / "changes.json").write_text(ujson.dumps([c.__getstate__() for c in fleet.changes(start)]))
            return told
        finally:
            await fleet.stop()


async def campaign(
    cases: list[str],
    seeds: list[int],
    ways: list[str],
    fleets: int,
    told: Callable[[ZoneVerdict], None],
    logs: str = "",
) -> list[ZoneVerdict]:
    """All cases and seeds, each with every way of judging, a few fleets side by side, each in a process of its own."""
    plays = [{"case": c, "seed": s, "way": w, "logs": logs} for c in cases for s in seeds for w in ways]
    return await run_side_by_side(
        f"{__name__}:isolated_run", ZoneVerdict, plays, fleets, told, lambda run: run.late_ms <= MAX_LATE_MS
    )


async def isolated_run(case: str, seed: int, way: str, index: int, logs: str) -> AsyncIterator[ZoneVerdict]:
    """One run, for `run_in_subprocess`."""
    yield await play(case, seed, way, index, logs)
