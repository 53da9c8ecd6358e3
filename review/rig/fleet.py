"""Three managers with the handoff, the proxy between them, and two PostgreSQL engines."""

from __future__ import annotations

import sys
from pathlib import Path

from rig.pg_peers import PgEngine
from rig.process import ROOT, CaseError, Program, Record, free_port

sys.path.insert(0, str(ROOT))
NAMES = ("reportes-1", "reportes-2", "reportes-3")
SETTINGS = """<decklb version="1">
  <process name="{name}" listen="{listen}" sockets="1024"/>
  <classes>
    <class name="consulta" aim="1s" stretch="2.0" deadline="5s" semantics="idempotent"/>
    <class name="informe" aim="2s" stretch="2.5" deadline="20s" worth="6" late-worth="0.4" semantics="idempotent"/>
    <class name="carga" aim="3s" stretch="3.0" deadline="20s" worth="4" late-worth="0.5" semantics="at_most_once"
           serial-by-key="true"/>
  </classes>
  <tenants><tenant name="cusco" share="70%"/><tenant name="ayacucho" share="30%"/></tenants>
  <kinds><kind name="nodo-a" cores="8"/></kinds>
  <rules tick="5ms" max-attempts="4" cancelling="true" retry-after="500ms" cold="15s" cold-share="31%" drain-grace="2s"
         extra-floor="2" extra-share="10%" extra-window="5s" fall="1.5s" overload-factor="3" settle-after-doubt="300ms"/>
  <engines list="1">{engines}</engines>
  <postgres user="decklb" database="registro"/>
  <cluster name="reportes" bind="{bind}" advertise="{advertise}" keys="{keys}">{seeds}</cluster>
  <handoff members="3"/>
  <control socket="{socket}"/>
</decklb>
"""


class Fleet:
    """Settings as in deploy/handoff.xml, whose defaults for the cluster and the handoff hold."""

    def __init__(self, folder: Path, record: Record, run: str, first_host: int = 11) -> None:
        """`run` is the command that starts a manager."""
        from decklb.lab.faults.network_proxy import NetworkProxy

        self.folder, self.record, self.run = folder, record, run
        self.engines = [PgEngine(f"motor-{i}", record) for i in (1, 2)]
        hosts = {name: f"127.0.{first_host}.{i + 1}" for i, name in enumerate(NAMES)}
        self.listen = {name: (hosts[name], free_port(hosts[name])) for name in NAMES}
        self.binds = {name: (hosts[name], free_port(hosts[name])) for name in NAMES}
        self.proxy = NetworkProxy(self.binds, seed=1)
        self.programs = {name: Program(name, folder, record) for name in NAMES}

    async def start(self) -> None:
        from decklb.cluster import keyfile

        for engine in self.engines:
            await engine.start()
        await self.proxy.open()
        keyfile.write(str(self.folder / "keys.json"), [keyfile.generate()])
        for name in NAMES:
            path = self.folder / f"{name}.xml"
            path.write_text(
                SETTINGS.format(
                    name=name,
                    listen="{}:{}".format(*self.listen[name]),
                    bind="{}:{}".format(*self.binds[name]),
                    advertise="{}:{}".format(*self.proxy.advertised[name]),
                    keys=self.folder / "keys.json",
                    socket=self.folder / f"{name}.sock",
                    seeds="".join("<seed>{}:{}</seed>".format(*a) for a in self.proxy.advertised.values()),
                    engines="".join(
                        f'<engine id="{e.name}" address="127.0.0.1:{e.port}" zone="sala-lima" kind="nodo-a" weight="8"/>'
                        for e in self.engines
                    ),
                )
            )
            await self.programs[name].start({"DECKLB_SETTINGS": str(path)}, self.run)
        for name in NAMES:
            await self.programs[name].wait_for_port(*self.listen[name])

    async def stop(self) -> None:
        for program in self.programs.values():
            await program.end()
        self.proxy.close()
        for engine in self.engines:
            engine.stop()

    def check(self) -> None:
        for program in self.programs.values():
            if not program.running:
                raise CaseError(f"{program.name} ended: {program.log_tail()}")
