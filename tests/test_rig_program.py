"""Three real programs whose datagrams pass the network proxy.

They have to detect a partition, a cut in one direction and a stopped peer, and the end of each of these faults.
"""

from __future__ import annotations

import signal
import tempfile
import unittest
from pathlib import Path

from decklb.cluster import keyfile
from decklb.lab.faults import free_ports
from decklb.lab.faults.fault_schedule import LinkConditions
from decklb.lab.faults.network_proxy import NetworkProxy
from decklb.management.control_client import query
from tests.standins import Loop, Program, endpoint_list, wait_for

NAMES = ["m0", "m1", "m2"]


class NetworkFaultTest(unittest.TestCase):
    def setUp(self):
        self.loop, folder = Loop(), tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addCleanup(self.loop.stop)
        self.folder = Path(folder.name)
        binds = dict(zip(NAMES, [("127.0.0.1", p) for p in free_ports.free(3)], strict=True))
        self.proxy = NetworkProxy(binds, seed=7)
        self.loop.run(self.proxy.open())
        self.addCleanup(lambda: self.call_in_loop(self.proxy.close))
        keys = str(self.folder / "keys.json")
        keyfile.write(keys, [keyfile.generate()])
        seeds = "".join(f"<seed>{h}:{p}</seed>" for h, p in self.proxy.advertised.values())
        self.programs = {}
        for name, (host, port) in binds.items():
            advertise = "{}:{}".format(*self.proxy.advertised[name])
            xml = (
                f'<decklb version="1"><process name="{name}"/><cluster name="c" bind="{host}:{port}" '
                f'advertise="{advertise}" keys="{keys}" interval="100ms" timeout="40ms" gossip="20ms" '
                f'exchange="500ms" settle="1s">{seeds}</cluster><control socket="{self.folder / name}.sock"/>'
                f"</decklb>"
            )
            self.programs[name] = program = Program({"known": endpoint_list()}, xml)
            self.addCleanup(program.stop)

    def call_in_loop(self, function, *args):
        async def run():
            function(*args)

        self.loop.run(run())

    def alive(self, name):
        members = query(str(self.folder / f"{name}.sock"), "members")["members"]
        return {m["name"] for m in members if m["state"] == "alive"}

    def wait_for_alive_members(self, name, expected, description):
        """Wait until a member considers exactly the expected members alive."""
        try:
            wait_for(lambda: self.alive(name) == set(expected), f"{name} to detect: {description}")
        except AssertionError:
            print(query(str(self.folder / f"{name}.sock"), "members"))
            raise

    def test_members_detect_a_partition_a_one_way_cut_and_a_stopped_peer_and_their_end(self):
        for name in NAMES:
            self.wait_for_alive_members(name, NAMES, "all members")
        self.assertEqual(self.proxy.lost, 0)

        self.call_in_loop(self.proxy.partition, "m2")
        self.wait_for_alive_members("m0", ["m0", "m1"], "m2 is partitioned")
        self.wait_for_alive_members("m2", ["m2"], "all others are unreachable")
        self.call_in_loop(self.proxy.heal)
        for name in NAMES:
            self.wait_for_alive_members(name, NAMES, "the partition has ended")

        for other in ("m0", "m2"):  # m1 receives nothing; what it sends still arrives
            self.call_in_loop(self.proxy.set_link, other, "m1", LinkConditions(cut=True))
        self.wait_for_alive_members("m0", ["m0", "m2"], "m1 is cut off in one direction")
        self.call_in_loop(self.proxy.heal)
        self.wait_for_alive_members("m0", NAMES, "m1 is reachable again")

        self.programs["m2"].process.send_signal(signal.SIGSTOP)
        self.wait_for_alive_members("m0", ["m0", "m1"], "m2 is stopped")
        self.programs["m2"].process.send_signal(signal.SIGCONT)
        for name in NAMES:
            self.wait_for_alive_members(name, NAMES, "m2 runs again")
        self.assertGreater(self.proxy.lost, 0)
