"""Several managers with the handoff, and a proxy of the project's own between them (`decklb.lab.faults`)."""

from __future__ import annotations

import asyncio
import time

from decklb.lab.faults import free_ports
from decklb.lab.faults.network_proxy import NetworkProxy
from review.rig2.case import ROOT, CannotRunError, Case
from review.rig2.postgres import Engine
from review.rig2.process import Process, manager
from review.rig2.settings import settings

LONGEST_S, LINGER_S, SLACK_S = 20.0, 5.0, 0.5
RECORD_LIFETIME_S = (LONGEST_S + LINGER_S + SLACK_S) * 1.01

MORE = """<cluster name="reportes" bind="{bind}" advertise="{advertise}" keys="keys.json">{seeds}</cluster>
  <handoff members="{members}" longest="20s"{data}/>"""


class Fleet:
    """Managers on hosts of their own, so that the proxy can tell their connections apart."""

    def __init__(
        self, case: Case, engines: list[Engine], *, data: bool = False, cores: int = 8, members: int = 3
    ) -> None:
        """With `data` the members keep their records on disk."""
        self.case, self.engines, self.data, self.cores = case, engines, data, cores
        self.names = [f"reportes-{i}" for i in range(1, members + 1)]
        self.managers: dict[str, Process] = {}
        self.ports: dict[str, int] = {}
        self.proxy: NetworkProxy
        self._last_start_s = 0.0

    async def start(self) -> None:
        """Start all managers."""
        binds = {}
        for i, name in enumerate(self.names):
            host = f"127.0.77.{i + 1}"
            binds[name] = (host, free_ports.free(1, host)[0])
        self.proxy = NetworkProxy(binds, 1)
        await self.proxy.open()
        self.case.cleanups.append(self._close_proxy)
        keys = await asyncio.create_subprocess_exec(
            ".venv/bin/python", "-m", "decklb", "keys", "new", str(self.case.folder / "keys.json"), cwd=ROOT
        )
        if await keys.wait():
            raise CannotRunError("no key file")
        for name in self.names:
            path = self.case.folder / f"{name}.xml"
            more = MORE.format(
                bind="{}:{}".format(*binds[name]),
                advertise="{}:{}".format(*self.proxy.advertised[name]),
                seeds="".join("<seed>{}:{}</seed>".format(*a) for a in self.proxy.advertised.values()),
                members=len(self.names),
                data=f' data="{name}.data"' if self.data else "",
            )
            engines = [(e.name, ("127.0.0.1", e.port)) for e in self.engines]
            path.write_text(settings(name, engines, more=more, cores=self.cores))
            self.managers[name] = manager(self.case, name, DECKLB_SETTINGS=path)
        await asyncio.gather(*(self.start_manager(name) for name in self.names))

    async def start_manager(self, name: str) -> None:
        """Start or restart one manager."""
        self.ports[name] = int((await self.managers[name].start())[1])
        self._last_start_s = time.monotonic()

    async def wait_until_members_vote(self) -> None:
        """A member whose memory is new votes once it remembers longer than any record lives."""
        wait_s = self._last_start_s + RECORD_LIFETIME_S + 0.5 - time.monotonic()
        self.case.record.write(f"waits {wait_s:.1f} s until all members vote")
        await asyncio.sleep(max(0.0, wait_s))

    def cut_off(self, name: str, reset: bool = False) -> None:
        """Nothing passes between one manager and the others; with `reset` their connections end at once."""
        self.case.record.write(f"{name} is cut off from the other managers")
        self.proxy.partition(name)
        if reset:
            for task in list(self.proxy._tasks):
                task.cancel()

    def heal(self) -> None:
        """Everything passes again."""
        self.case.record.write("the cut is over")
        self.proxy.heal()

    async def _close_proxy(self) -> None:
        self.proxy.close()
