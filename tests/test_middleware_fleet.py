"""An application in three processes, one of which is killed: clients send their request again to another process."""

from __future__ import annotations

import contextlib
import os
import re
import subprocess
import sys
import threading
import time

import httpx
import pytest

from decklb.cluster import keyfile
from decklb.lab.faults import free_ports
from tests.standins import DEADLINE, ROOT, wait_for

NAMES = ["w0", "w1", "w2"]
RECORD_LIFETIME_S = (8000 + 500 + 1000) * 1.01 / 1000  # deadline, slack, linger
WORK_MS = 700  # duration of a request whose process is killed
SETTINGS = (
    '<decklb version="1"><cluster name="app" bind="127.0.0.1:{port}" keys="keys.json" interval="100ms" '
    'timeout="45ms" gossip="20ms" exchange="500ms" settle="300ms">{seeds}</cluster><handoff members="3" '
    'lease="600ms" beat="100ms" resend="60ms" longest="8s" linger="1s"/></decklb>'
)


class Worker:
    """One process of the application, run by uvicorn."""

    def __init__(self, name, environment):
        self.lines = []
        self.process = subprocess.Popen(
            [sys.executable, "-m", "uvicorn", "tests.standin_app:app", "--port", "0"],
            cwd=ROOT,
            env=os.environ | environment,
            stderr=subprocess.PIPE,
            text=True,
        )
        threading.Thread(target=lambda: self.lines.extend(self.process.stderr), daemon=True).start()
        wait_for(lambda: self.port() or self.process.poll() is not None, f"start of {name}")
        assert self.port(), "".join(self.lines)
        self.up_since = time.monotonic()

    def port(self):
        match = re.search(r"running on http://127.0.0.1:(\d+)", "".join(list(self.lines)))
        return int(match[1]) if match else 0

    def request(self, method, key, run, work_ms):
        """Send a request; return status, body and the x-run header, or None if the connection broke."""
        try:
            response = httpx.request(
                method,
                f"http://127.0.0.1:{self.port()}/?run={run}&work={work_ms}",
                timeout=DEADLINE,
                headers={"idempotency-key": key} if key else {},
            )
        except httpx.TransportError:
            return None
        return response.status_code, response.text, response.headers.get("x-run", "")

    def final_response(self, *request):
        """Send the request until the response is not 503."""
        end = time.monotonic() + DEADLINE
        while time.monotonic() < end:
            if (response := self.request(*request)) is not None and response[0] != 503:
                assert response[0] != 500, "".join(self.lines[-30:])  # the application failed
                return response
            time.sleep(0.05)
        raise AssertionError(f"no final response: {response}")

    def stop(self):
        self.process.kill()
        self.process.wait()


class Fleet:
    """The processes of the application, and the file that records the runs of requests."""

    def __init__(self, folder, stack):
        self.folder, self.stack, self.workers = folder, stack, {}
        member_ports = free_ports.free(len(NAMES))
        seeds = "".join(f"<seed>127.0.0.1:{port}</seed>" for port in member_ports)
        keyfile.write(str(folder / "keys.json"), [keyfile.generate()])
        (folder / "runs").touch()
        for name, port in zip(NAMES, member_ports, strict=True):
            (folder / f"{name}.xml").write_text(SETTINGS.format(port=port, seeds=seeds))
            self.start(name)
        self.wait_for_record_expiry()

    def start(self, name):
        environment = {
            "MEMBER": name,
            "FLEET": str(self.folder / f"{name}.xml"),
            "RUNS": str(self.folder / "runs"),
        }
        worker = self.workers[name] = Worker(name, environment)
        self.stack.callback(worker.stop)

    def wait_for_record_expiry(self):
        """Wait until no record from before the latest start of a process can still be held by another process."""
        last_start = max(worker.up_since for worker in self.workers.values())
        time.sleep(max(0.0, last_start + RECORD_LIFETIME_S + 0.3 - time.monotonic()))

    def runs(self, run, event="start"):
        """Return the processes that recorded the start or the end of a run."""
        lines = [line.split() for line in (self.folder / "runs").read_text().splitlines()]
        return [name for logged_event, logged_run, name, _ in lines if (logged_event, logged_run) == (event, run)]

    def responses_after_kill(self, method, key):
        """Kill the process that runs a request, then send the request to the others and return their responses."""
        worker, responses = self.workers["w0"], []
        client = threading.Thread(target=lambda: responses.append(worker.request(method, key, key, WORK_MS)))
        client.start()
        wait_for(lambda: self.runs(key), "start of the run")
        worker.process.kill()
        client.join()
        assert responses == [None]
        return [self.workers[name].final_response(method, key, key, WORK_MS) for name in ("w1", "w2", "w1")]


@pytest.fixture
def fleet(tmp_path):
    with contextlib.ExitStack() as stack:
        yield Fleet(tmp_path, stack)


def test_requests_survive_the_process_that_accepted_them(fleet):
    w0, w1, w2 = (fleet.workers[name] for name in NAMES)
    first = w0.final_response("POST", "k1", "plain", 5)
    assert first == (201, "plain by w0", "plain")
    assert [worker.final_response("POST", "k1", "plain", 5) for worker in (w1, w2)] == [first, first]
    assert fleet.runs("plain") == ["w0"]
    assert w2.final_response("POST", "k1", "another", 5)[0] == 422  # the key belongs to the first request
    assert fleet.runs("another") == []
    assert w1.final_response("POST", "", "keyless", 5)[0] == 201

    responses = fleet.responses_after_kill("GET", "read")
    assert (len(set(responses)), responses[0][0]) == (1, 201)
    assert (len(fleet.runs("read")), len(fleet.runs("read", "end"))) == (2, 1)
    fleet.start("w0")
    fleet.wait_for_record_expiry()
    responses = fleet.responses_after_kill("POST", "load")  # it may have run and must not run twice
    assert (len(set(responses)), responses[0][0] in (502, 504)) == (1, True)
    assert fleet.runs("load") == ["w0"]
