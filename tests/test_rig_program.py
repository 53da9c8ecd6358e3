"""Three real programs whose datagrams pass the fault rig: cuts, a partition and a slow peer, each seen and healed."""

from __future__ import annotations

import signal
import tempfile
import unittest
from pathlib import Path

from decklb.cluster import keyfile
from decklb.lab.faults import free_ports as ports
from decklb.lab.faults.fault_schedule import LinkConditions
from decklb.lab.faults.network_proxy import NetworkProxy
from decklb.management.control_client import query
from tests.standins import Loop, Program, known, wait_for

NAMES = ["m0", "m1", "m2"]


class Rigged(unittest.TestCase):
    def setUp(self):
        self.loop, folder = Loop(), tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addCleanup(self.loop.stop)
        self.folder = Path(folder.name)
        binds = dict(zip(NAMES, [("127.0.0.1", p) for p in ports.free(3)], strict=True))
        self.rig = NetworkProxy(binds, seed=7)
        self.loop.run(self.rig.open())
        self.addCleanup(lambda: self.act(self.rig.close))
        keys = str(self.folder / "keys.json")
        keyfile.write(keys, [keyfile.generate()])
        seeds = "".join(f"<seed>{h}:{p}</seed>" for h, p in self.rig.advertised.values())
        self.programs = {}
        for name, (host, port) in binds.items():
            told = "{}:{}".format(*self.rig.advertised[name])
            xml = (
                f'<decklb version="1"><process name="{name}"/><cluster name="c" bind="{host}:{port}" '
                f'advertise="{told}" keys="{keys}" interval="100ms" timeout="40ms" gossip="20ms" '
                f'exchange="500ms" settle="1s">{seeds}</cluster><control socket="{self.folder / name}.sock"/>'
                f"</decklb>"
            )
            self.programs[name] = program = Program({"known": known()}, xml)
            self.addCleanup(program.stop)

    def act(self, call, *args):
        async def run():
            call(*args)

        self.loop.run(run())

    def alive(self, name):
        members = query(str(self.folder / f"{name}.sock"), "members")["members"]
        return {m["name"] for m in members if m["state"] == "alive"}

    def sees(self, name, wanted, what):
        try:
            wait_for(lambda: self.alive(name) == set(wanted), f"{name} seeing {what}")
        except AssertionError:
            print(query(str(self.folder / f"{name}.sock"), "members"))
            raise

    def test_members_see_a_partition_a_one_way_cut_and_a_slow_peer_and_their_end(self):
        for name in NAMES:
            self.sees(name, NAMES, "all")
        self.assertEqual(self.rig.lost, 0)

        self.act(self.rig.partition, "m2")
        self.sees("m0", ["m0", "m1"], "m2 gone")
        self.sees("m2", ["m2"], "itself alone")
        self.act(self.rig.heal)
        for name in NAMES:
            self.sees(name, NAMES, "all again")

        for other in ("m0", "m2"):  # m1 hears nothing; what it says still passes
            self.act(self.rig.set_link, other, "m1", LinkConditions(cut=True))
        self.sees("m0", ["m0", "m2"], "m1 gone, by a cut one way")
        self.act(self.rig.heal)
        self.sees("m0", NAMES, "m1 back")

        self.programs["m2"].process.send_signal(signal.SIGSTOP)
        self.sees("m0", ["m0", "m1"], "m2 stopped")
        self.programs["m2"].process.send_signal(signal.SIGCONT)
        for name in NAMES:
            self.sees(name, NAMES, "m2 going on")
        self.assertGreater(self.rig.lost, 0)
