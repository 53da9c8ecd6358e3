"""A world on real sockets: stand-in engines and load in this process, the program beside it as it is run in service."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import tempfile
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import ujson

from decklb.lab.emulation.emulated_world import EmulatedWorld
from decklb.lab.experiments.load_generator import Load
from decklb.lab.standins.engine_server import listen

FRONTS = ("frames", "pg")
PATIENCE = 20.0  # s for a program to start, and to end


def configuration(world: EmulatedWorld, ports: list[int], front: str) -> dict[str, Any]:
    """The platform's configuration of one manager for a world, on ephemeral ports."""
    w, e = world.workload, world.engine_spec
    classes = [
        {
            "name": c.name,
            "aim": c.latency_objective_ms,
            "deadline": c.deadline_ms,
            "worth": c.priority_weight,
            "late_worth": c.late_priority_weight,
            "semantics": c.effect.value,
            "serial_by_key": c.ordered_by_key,
        }
        for c in w.classes
    ]
    rows = [
        {
            "instanceId": f"e{i}",
            "hostPort": f"127.0.0.1:{p}",
            "zone": "",
            "machineType": "k",
            "cell": 0,
            "lifecycle": "Ready",
            "weight": e.cores,
            "startedAtMs": 0,
        }
        for i, p in enumerate(ports)
    ]
    made: dict[str, Any] = {
        "name": f"trial-{front}",
        "listen": "127.0.0.1:0",
        "seed": "1",
        "limits": {"sockets": 1024},
        "known": {
            "index": 1,
            "updates": [{"index": 1, "endpoints": {"generation": 1, "reset": True, "instances": rows}}],
        },
        "settings": {
            "categories": classes,
            "tenants": [{"name": t.name, "share": t.contract_share} for t in w.tenants],
            "kinds": ["k"],
            "domain": {
                "kind_cores": [e.cores],
                "dop": [c.threads for c in w.classes],
                "holds_tables": [c.locks_tables for c in w.classes],
                "yields_to_loads": [c.waits_for_loads for c in w.classes],
            },
            "limits": {
                "cancelling": True,
                "max_attempts": world.max_attempts,
                "retry_after": world.max_retry_after_ms > 0,
                "max_retry_after": world.max_retry_after_ms,
                "streams_per_conn": 100,
            },
            "rules": {
                "cold": e.warm_up_ms,
                "cold_share": e.initial_capacity,
                "drain_grace": 2000.0,
                "extra_floor": world.retry_budget_floor,
                "extra_window": world.retry_budget_window_ms,
                "fall": e.overload_window_ms,
                "further_ratio": world.retry_budget_ratio,
                "overload_factor": e.overload_factor,
                "settle_after_doubt": 300.0,
            },
            "tick": world.tick_ms,
            "balancers": 1,
        },
    }
    if front == "pg":
        made["postgres"] = {"user": "load", "connections": e.max_sessions}
    return made


class Program:
    """`decklb serve` as a subprocess; `port` is where it listens. Raises OSError where it does not start."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.folder = tempfile.TemporaryDirectory()
        path = Path(self.folder.name) / "config.json"
        path.write_text(ujson.dumps(config))
        self.lines: list[str] = []
        self.started = threading.Event()
        self.port = 0
        self.process = subprocess.Popen(
            [sys.executable, "-m", "decklb", "serve", "--config", str(path)],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ | {"DECKLB_SETTINGS": ""},
        )
        threading.Thread(target=self._read, daemon=True).start()
        if not self.started.wait(PATIENCE) or not self.port:
            self.stop()
            raise OSError("the program did not start: " + "".join(self.lines[-5:]))

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            if len(self.lines) < 10_000:
                self.lines.append(line)
            if not self.port and (m := re.search(r"listens on [\d.]+:(\d+)", line)):
                self.port = int(m[1])
                self.started.set()
        self.started.set()

    def stop(self) -> None:
        """Drain and end; the process is ours."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(PATIENCE)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.folder.cleanup()


def play(reactor: Any, world: EmulatedWorld, front: str, seed: int, told: Callable[[dict[str, Any]], None]) -> None:
    """Start engines, a program and load; `told` gets the summary when it is over, or `{"error": ...}`."""
    engines = listen(reactor, world.engines, world.engine_spec, front)
    program: list[Program] = []

    def ready() -> None:
        load = Load(reactor, ("127.0.0.1", program[0].port), front, world.workload, world.duration_ms, seed)

        def over() -> None:
            books = [e.account for e, _ in engines]
            summary = load.summary() | {
                "front": front,
                "work_served": sum(b.served_ms for b in books),
                "work_lost": sum(b.lost_ms for b in books),
                "full": sum(b.rejections for b in books),
                "attempts": sum(b.queries_started for b in books),
            }
            reactor.callInThread(stop, summary)

        load.done = over
        load.start()

    def stop(summary: dict[str, Any]) -> None:
        program[0].stop()
        reactor.callFromThread(told, summary)

    def start() -> None:
        try:
            program.append(Program(configuration(world, [p for _, p in engines], front)))
        except OSError as error:
            reactor.callFromThread(told, {"error": str(error), "front": front})
        else:
            reactor.callFromThread(ready)

    reactor.callInThread(start)
