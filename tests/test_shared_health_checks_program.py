"""Three real instances over real sockets share the health checks of stand-in engines; one is killed and returns."""

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
from tests.standins import ROOT, Loop, PgEngine, PingEngine, Program, known, wait_for

PERIOD = 1.0  # seconds
ENGINES = 12


class Trio:
    """Three programs, their engines and their folder."""

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
        return Program({"known": known(*[e.port for e in self.engines])}, xml)

    def alive(self, i):
        return {
            m["name"] for m in query(self.socket(i), "members")["members"] if m["state"] == "alive" and m["settled"]
        }

    def owners(self, i):
        return {r["subject"]: r["owner"] for r in query(self.socket(i), "duties")}

    def close(self):
        for program in self.programs:
            program.stop()
        for engine in self.engines:
            engine.close()
        self.loop.stop()
        self.folder.cleanup()


def per_window(pings, start, count, phase):
    """Pings in each of `count` periods, cut half a period from when they are due."""
    found = [0] * count
    for at in pings:
        k = int((at - start - phase + PERIOD / 2) // PERIOD)
        if 0 <= k < count:
            found[k] += 1
    return found


class SharedHealthChecks(unittest.TestCase):
    def setUp(self):
        self.trio = Trio()
        self.addCleanup(self.trio.close)
        self.formed()

    def formed(self, names=("m0", "m1", "m2")):
        some = int(names[0][1])
        wait_for(lambda: all(self.trio.alive(int(n[1])) == set(names) for n in names), "one view")
        wait_for(lambda: all(self.trio.owners(int(n[1])) == self.trio.owners(some) for n in names), "one split")

    def test_each_engine_is_checked_once_a_period_and_taken_over(self):
        trio, engines = self.trio, self.trio.engines
        owners = trio.owners(0)
        self.assertEqual(set(owners.values()), {"m0", "m1", "m2"})
        start = time.monotonic() + PERIOD / 2
        marks = [len(e.pings) for e in engines]
        wait_for(lambda: min(len(e.pings) - n for e, n in zip(engines, marks, strict=True)) >= 7, "seven periods")
        counts = []
        for e in engines:
            phase = next(at for at in e.pings if at > start) - start
            counts += per_window(e.pings, start, 6, phase)
        self.assertTrue(0.97 <= sum(counts) / len(counts) <= 1.03, counts)
        self.assertLessEqual(max(counts), 2)

        victim = trio.programs[1]
        killed = time.monotonic()
        victim.process.kill()
        victim.process.wait()
        lost = [e for e, name in zip(engines, owners.values(), strict=True) if name == "m1"]
        wait_for(lambda: all(e.pings[-1] > killed + 0.1 for e in lost), "taken over")
        waits = [(next(at for at in e.pings if at > killed + 0.1) - killed) / PERIOD for e in lost]
        self.assertLess(max(waits), 3.0)
        self.formed(("m0", "m2"))

        trio.programs[1].stop()
        trio.programs[1] = trio.start(1)
        self.formed()
        self.assertEqual(trio.owners(2), owners)  # only its share, and all of it
        back = time.monotonic()
        marks = [len(e.pings) for e in engines]
        wait_for(lambda: min(len(e.pings) - n for e, n in zip(engines, marks, strict=True)) >= 4, "four periods")
        for e in engines:
            gaps = [b - a for a, b in zip(e.pings, e.pings[1:], strict=False) if a > back + PERIOD]
            self.assertGreater(min(gaps), PERIOD / 2, "a duty is still done twice a period after its owner is back")

    def test_operators_see_members_and_duties_and_keys_rotate_under_way(self):
        trio = self.trio
        run = [sys.executable, "-m", "decklb"]
        out = subprocess.run(
            [*run, "members", "--socket", trio.socket(0)], cwd=ROOT, capture_output=True, text=True, check=True
        ).stdout
        self.assertIn("m2", out)
        rows = json.loads(
            subprocess.run(
                [*run, "duties", "--json", "--own", "--socket", trio.socket(0)],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=True,
            ).stdout
        )
        self.assertTrue(rows and all(r["own"] and r["owner"] == "m0" for r in rows))
        self.assertEqual(os.stat(trio.socket(0)).st_mode & 0o777, 0o600)
        for step in ("add", "promote", "drop"):
            subprocess.run(
                [*run, "keys", "rotate", trio.keys, "--step", step], cwd=ROOT, check=True, capture_output=True
            )
            for program in trio.programs:
                marks = sum("key file loaded" in line for line in program.lines)
                program.process.send_signal(signal.SIGHUP)
                wait_for(lambda p=program, n=marks: sum("key file loaded" in x for x in p.lines) > n, "key file loaded")
        heard = query(trio.socket(0), "members")["health"]["received"]
        wait_for(lambda: query(trio.socket(0), "members")["health"]["received"] > heard + 20, "talk under the new key")
        self.formed()

    def test_an_engine_that_answers_nobody_is_left_out_and_comes_back(self):
        trio = self.trio
        trio.engines[0].unresponsive = True
        wait_for(
            lambda: all(
                any(r["subject"] == "s-0" and r["down"] for r in query(trio.socket(i), "duties")) for i in range(3)
            ),
            "told to all",
        )
        trio.engines[0].unresponsive = False
        wait_for(lambda: not any(r["down"] for i in range(3) for r in query(trio.socket(i), "duties")), "told again")

    def test_a_drain_hands_over_at_once(self):
        trio = self.trio
        trio.programs[1].process.send_signal(signal.SIGTERM)
        wait_for(
            lambda: (
                next(m["state"] for m in query(trio.socket(0), "members")["members"] if m["name"] == "m1") == "left"
            ),
            "leave",
        )
        wait_for(lambda: set(trio.owners(0).values()) == {"m0", "m2"}, "new owners")


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
            program = Program({"known": known(engine.port)}, xml)
            try:
                wait_for(lambda: any(r["up"] for r in query(f"{folder}/s", "duties")), "a probe")
                wait_for(lambda: query(f"{folder}/s", "members")["health"]["duties"]["probe"]["started"] > 3, "probes")
                self.assertEqual((engine.count, engine.statements("start")), (1, []))
            finally:
                program.stop()
                engine.close()
                loop.stop()
