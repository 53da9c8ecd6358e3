"""Runs an emulated world on real sockets: `decklb serve` in a subprocess, stand-in engines and load in this process."""

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
from decklb.lab.experiments.load_generator import LoadRun
from decklb.lab.standins.engine_server import listen

FRONTS = ("frames", "pg")
PROCESS_TIMEOUT_S = 20.0  # time limit for the manager to start, and for it to exit


def configuration(world: EmulatedWorld, ports: list[int], front: str) -> dict[str, Any]:
    """Return the platform configuration of one manager for a world; it listens on an ephemeral port."""
    workload, spec = world.workload, world.engine_spec
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
        for c in workload.classes
    ]
    instances = [
        {
            "instanceId": f"e{i}",
            "hostPort": f"127.0.0.1:{port}",
            "zone": "",
            "machineType": "k",
            "cell": 0,
            "lifecycle": "Ready",
            "weight": spec.cores,
            "startedAtMs": 0,
        }
        for i, port in enumerate(ports)
    ]
    config: dict[str, Any] = {
        "name": f"trial-{front}",
        "listen": "127.0.0.1:0",
        "seed": "1",
        "limits": {"sockets": 1024},
        "known": {
            "index": 1,
            "updates": [{"index": 1, "endpoints": {"generation": 1, "reset": True, "instances": instances}}],
        },
        "settings": {
            "categories": classes,
            "tenants": [{"name": t.name, "share": t.contract_share} for t in workload.tenants],
            "kinds": ["k"],
            "domain": {
                "kind_cores": [spec.cores],
                "dop": [c.threads for c in workload.classes],
                "holds_tables": [c.locks_tables for c in workload.classes],
                "yields_to_loads": [c.waits_for_loads for c in workload.classes],
            },
            "limits": {
                "cancelling": True,
                "max_attempts": world.max_attempts,
                "retry_after": world.max_retry_after_ms > 0,
                "max_retry_after": world.max_retry_after_ms,
                "streams_per_conn": 100,
            },
            "rules": {
                "cold": spec.warm_up_ms,
                "cold_share": spec.initial_capacity,
                "drain_grace": 2000.0,
                "extra_floor": world.retry_budget_floor,
                "extra_window": world.retry_budget_window_ms,
                "fall": spec.overload_window_ms,
                "further_ratio": world.retry_budget_ratio,
                "overload_factor": spec.overload_factor,
                "settle_after_doubt": 300.0,
            },
            "tick": world.tick_ms,
            "balancers": 1,
        },
    }
    if front == "pg":
        config["postgres"] = {"user": "load", "connections": spec.max_sessions}
    return config


class ManagerProcess:
    """`decklb serve` as a subprocess, listening on `port`.

    Raises:
        OSError: The manager exited before it listened, or did not listen in time.
    """

    def __init__(self, config: dict[str, Any]) -> None:
        self._folder = tempfile.TemporaryDirectory()
        path = Path(self._folder.name) / "config.json"
        path.write_text(ujson.dumps(config))
        self._log_lines: list[str] = []
        self._started = threading.Event()  # set when the manager listens or has closed its log
        self.port = 0
        self._process = subprocess.Popen(
            [sys.executable, "-m", "decklb", "serve", "--config", str(path)],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ | {"DECKLB_SETTINGS": ""},
        )
        threading.Thread(target=self._read_log, daemon=True).start()
        if not self._started.wait(PROCESS_TIMEOUT_S) or not self.port:
            self.stop()
            raise OSError("the manager did not start: " + "".join(self._log_lines[-5:]))

    def _read_log(self) -> None:
        assert self._process.stderr is not None
        for line in self._process.stderr:
            if len(self._log_lines) < 10_000:
                self._log_lines.append(line)
            if not self.port and (m := re.search(r"listens on [\d.]+:(\d+)", line)):
                self.port = int(m[1])
                self._started.set()
        self._started.set()

    def stop(self) -> None:
        """Terminate the manager, which drains first; kill it if it does not exit in time."""
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGTERM)
            try:
                self._process.wait(PROCESS_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self._process.kill()
                self._process.wait()
        self._folder.cleanup()


def play(
    reactor: Any, world: EmulatedWorld, front: str, seed: int, on_result: Callable[[dict[str, Any]], None]
) -> None:
    """Start stand-in engines, a manager and load.

    At the end `on_result` is called with the summary, or with `{"error": ..., "front": ...}` if the manager did not
    start. The manager is started and stopped in a thread of the reactor's pool, as both calls block.
    """
    engines = listen(reactor, world.engines, world.engine_spec, front)
    started: list[ManagerProcess] = []  # empty until the manager has started

    def start_load() -> None:
        load = LoadRun(reactor, ("127.0.0.1", started[0].port), front, world.workload, world.duration_ms, seed)

        def on_load_done() -> None:
            accounts = [engine.account for engine, _ in engines]
            summary = load.summary() | {
                "front": front,
                "work_served": sum(account.served_ms for account in accounts),
                "work_lost": sum(account.lost_ms for account in accounts),
                "full": sum(account.rejections for account in accounts),
                "attempts": sum(account.queries_started for account in accounts),
            }
            reactor.callInThread(stop_manager, summary)

        load.on_done = on_load_done
        load.start()

    def stop_manager(summary: dict[str, Any]) -> None:
        started[0].stop()
        reactor.callFromThread(on_result, summary)

    def start_manager() -> None:
        try:
            started.append(ManagerProcess(configuration(world, [port for _, port in engines], front)))
        except OSError as error:
            reactor.callFromThread(on_result, {"error": str(error), "front": front})
        else:
            reactor.callFromThread(start_load)

    reactor.callInThread(start_manager)
