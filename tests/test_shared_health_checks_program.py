"""Three real instances share the health checks of stand-in engines over real sockets; one is killed and restarted."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from decklb.cluster import keyfile
from decklb.lab.faults import free_ports as ports
from decklb.management.control_client import query
from tests.standins import ROOT, Loop, PgEngine, PingEngine, Program, endpoint_list, wait_for

PERIOD = 1.0  # seconds
ENGINES = 12


class ThreeInstances:
    """Three instances of the program, their engines and the folder of their files."""

    def __init__(self):
        self.loop, self.folder = Loop(), tempfile.TemporaryDirectory()
        self.engines = [PingEngine(self.loop) for _ in range(ENGINES)]
        self.ports = ports.free(3)
        self.keys = str(Path(self.folder.name) / "keys.json")
        keyfile.write(self.keys, [keyfile.generate()])
        self.programs = [self.start(i) for i in range(3)]

    def socket(self, i):
        return str(Path(self.folder.name) / f"{i}.sock")

    def start(self, i):
        seeds = "".join(f"<seed>127.0.0.1:{p}</seed>" for p in self.ports)
        xml = (
            f'<decklb version="1"><process name="m{i}"/><cluster name="c" bind="127.0.0.1:{self.ports[i]}" '
            f'keys="{self.keys}" interval="100ms" timeout="40ms" gossip="20ms" exchange="500ms" settle="2s">{seeds}'
            f'</cluster><probing period="{PERIOD:g}s" timeout="300ms" hand-on="2"/>'
            f'<control socket="{self.socket(i)}"/></decklb>'
        )
        return Program({"known": endpoint_list(*[e.port for e in self.engines])}, xml)

    def settled_members(self, i):
        """Return the names of the alive and settled members as seen by instance `i`."""
        return {
            m["name"] for m in query(self.socket(i), "members")["members"] if m["state"] == "alive" and m["settled"]
        }

    def owners(self, i):
        """Return the owner of each duty as seen by instance `i`."""
        return {r["subject"]: r["owner"] for r in query(self.socket(i), "duties")}

    def close(self):
        for program in self.programs:
            program.stop()
        for engine in self.engines:
            engine.close()
        self.loop.stop()
        self.folder.cleanup()


def pings_per_period(pings, start, count, phase):
    """Count the pings in each of `count` periods, which begin and end half a period from when the pings are due."""
    counts = [0] * count
    for at in pings:
        index = int((at - start - phase + PERIOD / 2) // PERIOD)
        if 0 <= index < count:
            counts[index] += 1
    return counts


class SharedHealthChecks(unittest.TestCase):
    def setUp(self):
        self.cluster = ThreeInstances()
        self.addCleanup(self.cluster.close)
        self.wait_until_agreed()

    def wait_until_agreed(self, names=("m0", "m1", "m2")):
        """Wait until these instances have the same view of the members and of the owners."""
        first = int(names[0][1])
        wait_for(lambda: all(self.cluster.settled_members(int(n[1])) == set(names) for n in names), "same members")
        wait_for(
            lambda: all(self.cluster.owners(int(n[1])) == self.cluster.owners(first) for n in names), "same owners"
        )

    def test_each_engine_is_checked_once_per_period_and_the_duties_of_a_killed_instance_are_taken_over(self):
        cluster, engines = self.cluster, self.cluster.engines
        owners = cluster.owners(0)
        self.assertEqual(set(owners.values()), {"m0", "m1", "m2"})
        start = time.monotonic() + PERIOD / 2
        counts_before = [len(e.pings) for e in engines]
        wait_for(
            lambda: min(len(e.pings) - n for e, n in zip(engines, counts_before, strict=True)) >= 7, "seven periods"
        )
        counts = []
        for e in engines:
            phase = next(at for at in e.pings if at > start) - start
            counts += pings_per_period(e.pings, start, 6, phase)
        self.assertTrue(0.97 <= sum(counts) / len(counts) <= 1.03, counts)
        self.assertLessEqual(max(counts), 2)

        victim = cluster.programs[1]
        killed = time.monotonic()
        victim.process.kill()
        victim.process.wait()
        orphaned = [e for e, name in zip(engines, owners.values(), strict=True) if name == "m1"]
        wait_for(lambda: all(e.pings[-1] > killed + 0.1 for e in orphaned), "takeover")
        waits = [(next(at for at in e.pings if at > killed + 0.1) - killed) / PERIOD for e in orphaned]
        self.assertLess(max(waits), 3.0)
        self.wait_until_agreed(("m0", "m2"))

        cluster.programs[1].stop()
        cluster.programs[1] = cluster.start(1)
        self.wait_until_agreed()
        self.assertEqual(cluster.owners(2), owners)  # m1 owns the same duties as before
        rejoined = time.monotonic()
        counts_before = [len(e.pings) for e in engines]
        wait_for(
            lambda: min(len(e.pings) - n for e, n in zip(engines, counts_before, strict=True)) >= 4, "four periods"
        )
        for e in engines:
            gaps = [b - a for a, b in zip(e.pings, e.pings[1:], strict=False) if a > rejoined + PERIOD]
            self.assertGreater(min(gaps), PERIOD / 2, "a duty still runs twice one period after its owner has returned")

    def test_commands_show_members_and_duties_and_keys_rotate_without_interruption(self):
        cluster = self.cluster
        program_command = [sys.executable, "-m", "decklb"]
        output = subprocess.run(
            [*program_command, "members", "--socket", cluster.socket(0)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        self.assertIn("m2", output)
        rows = json.loads(
            subprocess.run(
                [*program_command, "duties", "--json", "--own", "--socket", cluster.socket(0)],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=True,
            ).stdout
        )
        self.assertTrue(rows and all(r["own"] and r["owner"] == "m0" for r in rows))
        self.assertEqual(os.stat(cluster.socket(0)).st_mode & 0o777, 0o600)
        for step in ("add", "promote", "drop"):
            subprocess.run(
                [*program_command, "keys", "rotate", cluster.keys, "--step", step],
                cwd=ROOT,
                check=True,
                capture_output=True,
            )
            for program in cluster.programs:
                counts_before = sum("key file loaded" in line for line in program.lines)
                program.process.send_signal(signal.SIGHUP)
                wait_for(
                    lambda p=program, n=counts_before: sum("key file loaded" in x for x in p.lines) > n,
                    "key file loaded",
                )
        received = query(cluster.socket(0), "members")["health"]["received"]
        wait_for(
            lambda: query(cluster.socket(0), "members")["health"]["received"] > received + 20,
            "datagrams with the new key",
        )
        self.wait_until_agreed()

    def test_an_unresponsive_engine_is_reported_down_to_all_and_up_again_after_recovery(self):
        cluster = self.cluster
        cluster.engines[0].unresponsive = True
        wait_for(
            lambda: all(
                any(r["subject"] == "s-0" and r["down"] for r in query(cluster.socket(i), "duties")) for i in range(3)
            ),
            "report of the failure at all instances",
        )
        cluster.engines[0].unresponsive = False
        wait_for(
            lambda: not any(r["down"] for i in range(3) for r in query(cluster.socket(i), "duties")),
            "report of the recovery",
        )

    def test_a_draining_instance_hands_over_its_duties_immediately(self):
        cluster = self.cluster
        cluster.programs[1].process.send_signal(signal.SIGTERM)
        wait_for(
            lambda: (
                next(m["state"] for m in query(cluster.socket(0), "members")["members"] if m["name"] == "m1") == "left"
            ),
            "leave",
        )
        wait_for(lambda: set(cluster.owners(0).values()) == {"m0", "m2"}, "new owners")


class PostgresHealthChecks(unittest.TestCase):
    def test_health_checks_run_no_statement(self):
        loop = Loop()
        engine = PgEngine(loop)
        with tempfile.TemporaryDirectory() as folder:
            keys = str(Path(folder) / "k.json")
            keyfile.write(keys, [keyfile.generate()])
            port = ports.free(1)[0]
            xml = (
                f'<decklb version="1"><postgres user="u"/><cluster name="c" bind="127.0.0.1:{port}" keys="{keys}" '
                f'settle="100ms"/><probing period="200ms" timeout="150ms"/><control socket="{folder}/s"/></decklb>'
            )
            program = Program({"known": endpoint_list(engine.port)}, xml)
            try:
                wait_for(lambda: any(r["up"] for r in query(f"{folder}/s", "duties")), "a probe")
                wait_for(lambda: query(f"{folder}/s", "members")["health"]["duties"]["probe"]["started"] > 3, "probes")
                self.assertEqual((engine.count, engine.statements("start")), (1, []))
            finally:
                program.stop()
                engine.close()
                loop.stop()
