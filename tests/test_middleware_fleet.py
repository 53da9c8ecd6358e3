"""An application in three processes, one of which is killed: clients come back to another with their keys."""

from __future__ import annotations

import os
import re
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

import httpx

from decklb.cluster import keyfile
from decklb.lab.faults import free_ports as ports
from tests.standins import DEADLINE, ROOT, wait_for

NAMES = ["w0", "w1", "w2"]
LIFE = (8000 + 500 + 1000) * 1.01 / 1000  # seconds that a record may live: deadline, slack, linger


class Worker:
    """One process of the application under a stock server."""

    def __init__(self, name, env):
        self.lines = []
        self.process = subprocess.Popen(
            [sys.executable, "-m", "uvicorn", "tests.standin_app:app", "--port", "0"],
            cwd=ROOT,
            env=os.environ | env,
            stderr=subprocess.PIPE,
            text=True,
        )
        threading.Thread(target=lambda: self.lines.extend(self.process.stderr), daemon=True).start()
        wait_for(lambda: self.port() or self.process.poll() is not None, f"{name} up")
        assert self.port(), "".join(self.lines)
        self.since = time.monotonic()

    def port(self):
        found = re.search(r"running on http://127.0.0.1:(\d+)", "".join(list(self.lines)))
        return int(found[1]) if found else 0

    def ask(self, method, key, run, work):
        """Status, body and a header; None where the connection broke."""
        try:
            r = httpx.request(
                method,
                f"http://127.0.0.1:{self.port()}/?run={run}&work={work}",
                timeout=DEADLINE,
                headers={"idempotency-key": key} if key else {},
            )
        except httpx.TransportError:
            return None
        return r.status_code, r.text, r.headers.get("x-run", "")

    def final(self, *words):
        """Asked until there is an answer that is none to come back for."""
        end = time.monotonic() + DEADLINE
        while time.monotonic() < end:
            if (said := self.ask(*words)) is not None and said[0] != 503:
                assert said[0] != 500, "".join(self.lines[-30:])  # the application's own fault
                return said
            time.sleep(0.05)
        raise AssertionError(f"no final answer: {said}")


class Fleet(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        taken = ports.free(3)
        seeds = "".join(f"<seed>127.0.0.1:{p}</seed>" for p in taken)
        keyfile.write(str(self.folder / "keys.json"), [keyfile.generate()])
        (self.folder / "runs").touch()
        self.workers = {}
        for name, port in zip(NAMES, taken, strict=True):
            (self.folder / f"{name}.xml").write_text(
                f'<decklb version="1"><cluster name="app" bind="127.0.0.1:{port}" keys="keys.json" interval="100ms" '
                f'timeout="45ms" gossip="20ms" exchange="500ms" settle="300ms">{seeds}</cluster><handoff members="3" '
                'lease="600ms" beat="100ms" resend="60ms" longest="8s" linger="1s"/></decklb>'
            )
            self.start(name)
        self.remember()

    def start(self, name):
        worker = self.workers[name] = Worker(
            name, {"MEMBER": name, "FLEET": str(self.folder / f"{name}.xml"), "RUNS": str(self.folder / "runs")}
        )
        self.addCleanup(worker.process.wait)
        self.addCleanup(worker.process.kill)

    def remember(self):
        youngest = max(w.since for w in self.workers.values())
        time.sleep(max(0.0, youngest + LIFE + 0.3 - time.monotonic()))

    def runs(self, key, what="start"):
        lines = [line.split() for line in (self.folder / "runs").read_text().splitlines()]
        return [name for said, k, name, _ in lines if (said, k) == (what, key)]

    def killed_under(self, method, key):
        worker, said = self.workers["w0"], []
        asking = threading.Thread(target=lambda: said.append(worker.ask(method, key, key, 700)))
        asking.start()
        wait_for(lambda: self.runs(key), "the run's start")
        worker.process.kill()
        asking.join()
        self.assertEqual(said, [None])
        return [self.workers[n].final(method, key, key, 700) for n in ("w1", "w2", "w1")]

    def test_requests_outlive_the_process_that_took_them(self):
        w0, w1, w2 = (self.workers[n] for n in NAMES)
        first = w0.final("POST", "k1", "plain", 5)
        self.assertEqual(first, (201, "plain by w0", "plain"))
        self.assertEqual([w.final("POST", "k1", "plain", 5) for w in (w1, w2)], [first, first])
        self.assertEqual(self.runs("plain"), ["w0"])
        self.assertEqual(w2.final("POST", "k1", "another", 5)[0], 422)  # the key is the first request's
        self.assertEqual(self.runs("another"), [])
        self.assertEqual(w1.final("POST", "", "keyless", 5)[0], 201)

        said = self.killed_under("GET", "read")
        self.assertEqual((len(set(said)), said[0][0]), (1, 201))
        self.assertEqual((len(self.runs("read")), len(self.runs("read", "end"))), (2, 1))
        self.start("w0")
        self.remember()
        said = self.killed_under("POST", "load")  # it may have run, and may not run twice
        self.assertEqual((len(set(said)), said[0][0] in (502, 504)), (1, True))
        self.assertEqual(self.runs("load"), ["w0"])


if __name__ == "__main__":
    unittest.main()
