"""The order in which a process starts, reloads and stops its components, compared with a recorded one."""

from __future__ import annotations

import json
from contextlib import ExitStack
from types import SimpleNamespace
from unittest import mock

import pytest
from loguru import logger
from twisted.internet.task import Clock

from decklb import config
from decklb.daemon.service import Service
from tests.standins import ROOT, SETTINGS, endpoint_list

GOLDEN = ROOT / "tests" / "golden" / "daemon_lifecycle.json"
EVERY_KEY = str(ROOT / "tests/golden/config_every_key.xml")
# Replaced services of the subsystems: recorded name -> class, and the recorded names of methods that have been renamed.
SUBSYSTEMS = {
    "speaker": ("decklb.daemon.subsystems.bgp.Speaker", {}),
    "cluster": (
        "decklb.daemon.subsystems.cluster.ClusterService",
        {"set_engines": "engines", "member_rows": "members", "duty_rows": "duties"},
    ),
    "handoff": ("decklb.daemon.subsystems.handoff.HandoffService", {"coordinator": "keeper", "figures": "health"}),
    "locality": ("decklb.daemon.subsystems.locality.LocalityService", {"update_engines": "engines", "status": "rows"}),
    "maintenance": (
        "decklb.daemon.subsystems.maintenance.MaintenanceService",
        {"apply_plan": "over", "request_maintenance": "ask", "mark_returned": "back"},
    ),
}
# Log events that have been renamed: event code -> recorded code.
RECORDED_EVENTS = {"reload-rejected": "reload-refused"}
# Recorded methods of components that are not replaced: recorded name -> method.
METHODS = {
    "directory.known": "decklb.net.directory_client.DirectoryClient.load_updates",
    "directory.move": "decklb.net.directory_client.DirectoryClient.change_resolver",
    "directory.close": "decklb.net.directory_client.DirectoryClient.stop",
    "dispatcher.members": "decklb.core.dispatcher.Dispatcher.update_endpoints",
    "dispatcher.close": "decklb.core.dispatcher.Dispatcher.shut_down",
    "dispatcher.probed": "decklb.core.dispatcher.Dispatcher.health_checked",
    "pg front.listens": "decklb.pg.listener.PgListener.attach_port",
    "pg front.announce": "decklb.pg.listener.PgListener.announce_drain",
    "pg front.close": "decklb.pg.listener.PgListener.drain",
    "pg engines.addresses": "decklb.pg.engines.PgEngines.update_endpoints",
    "pg engines.close": "decklb.pg.engines.PgEngines.close",
    "front.listens": "decklb.net.listener.FrameListener.attach_port",
    "front.announce": "decklb.net.listener.FrameListener.announce_drain",
    "front.close": "decklb.net.listener.FrameListener.drain",
    "engines.addresses": "decklb.net.engines.RespEngines.update_endpoints",
    "engines.close": "decklb.net.engines.RespEngines.close",
}


class Reactor(Clock):
    """A simulated reactor that records which sockets are opened and when it is stopped."""

    def __init__(self, record):
        super().__init__()
        self.record, self.control_server = record, None

    def listenTCP(self, port, factory, backlog, interface):
        self.record(f"reactor.listenTCP {interface}:{port} backlog {backlog}")
        return Port(self.record)

    def listenUDP(self, port, protocol, interface, maxPacketSize):
        self.record(f"reactor.listenUDP {interface}:{port} {maxPacketSize}")
        protocol.transport = mock.Mock()

    def listenUNIX(self, path, factory, mode):
        self.record(f"reactor.listenUNIX {mode:o}")
        self.control_server = factory

    def stop(self):
        self.record("reactor.stop")


class Port:
    """A listening port with an empty accept queue."""

    def __init__(self, record):
        self.record = record

    def getHost(self):
        return SimpleNamespace(port=1)

    def drain_accept_queue(self, batch, timeout_s, done):
        self.record(f"port.empty_queue {batch} {timeout_s}")
        done()

    def stopListening(self):
        self.record("port.stopListening")


class FakeService:
    """Stands in for a subsystem's service and records its calls; a query returns the names of service and method."""

    def __init__(self, name, record, recorded_names):
        self._name, self._record, self._recorded_names = name, record, recorded_names

    def __getattr__(self, method):
        method = self._recorded_names.get(method, method)

        def call(*args):
            if method not in ("members", "duties", "rows", "status", "health"):
                values = [
                    str(sorted(arg) if isinstance(arg, set) else arg) for arg in args if isinstance(arg, bool | set)
                ]
                self._record(" ".join([f"{self._name}.{method}", *values]))
            return args[0] if method == "over" else f"{self._name}.{method}"

        return FakeService(self._name, self._record, self._recorded_names) if method in ("keeper", "node") else call


class Trace:
    """Simulates one process without sockets and records all calls to its components, with the time in ms."""

    def __init__(self, stack):
        self.lines = []
        self.reactor = Reactor(self.record)
        self.callbacks = {}
        stack.enter_context(mock.patch("decklb.wire.clock.time", SimpleNamespace(monotonic=self.reactor.seconds)))
        for name, (path, recorded_names) in SUBSYSTEMS.items():
            stack.enter_context(mock.patch(path, self.service_factory(name, recorded_names)))
        for name, path in METHODS.items():
            class_path, _, method_name = path.rpartition(".")
            module, _, class_name = class_path.rpartition(".")
            method = getattr(getattr(__import__(module, fromlist=[class_name]), class_name), method_name)
            stack.enter_context(mock.patch(path, self.recorded(name, method)))
        stack.callback(logger.remove, logger.add(self.record_log, format="{message}"))

    def record(self, line):
        self.lines.append(f"{1000 * self.reactor.seconds():.0f} {line}")

    def record_log(self, message):
        if message.record["name"].startswith("decklb.daemon."):
            event = message.record["extra"]["event"]
            self.record(f"log {RECORDED_EVENTS.get(event, event)}: {message.record['message']}")

    def service_factory(self, name, recorded_names):
        def create(*args, **kwargs):
            self.callbacks[name] = [arg for arg in args if callable(arg) and not isinstance(arg, FakeService)]
            return FakeService(name, self.record, recorded_names)

        return create

    def recorded(self, name, method):
        def call(component, *args):
            self.record(name)
            return method(component, *args)

        return call

    def advance(self, ms):
        for _ in range(int(ms / 10)):
            self.reactor.advance(0.01)


def full_config(*omitted, **changes):
    """The configuration with every section except the omitted ones, and with the changed values."""
    result = config.load(None, EVERY_KEY)
    for name in omitted:
        setattr(result, name, "" if name == "control" else None)
    for name, value in changes.items():
        setattr(result, name, value)
    return result


def run_process(initial_config, new_config, control_requests=()):
    """Start a process, reload it, report an engine down, change the maintenance plan, and send SIGTERM twice."""
    with ExitStack() as stack:
        trace = Trace(stack)
        service = Service(trace.reactor, initial_config, lambda: new_config)
        trace.record(f"ready {service.ready()}")
        service.start()
        trace.record(f"ready {service.ready()}")
        for name in ("members", "duties", "handoff", "zones", "plan", *control_requests):
            if trace.reactor.control_server is not None:
                response = trace.reactor.control_server.respond(json.dumps({"decklb": 1, "ask": name}).encode())
                trace.record(f"control {name}: {getattr(response, 'result', response)}")
        trace.advance(3100)
        trace.record(f"ready {service.ready()}")
        service.reload()
        for on_health_check in trace.callbacks.get("cluster", [])[-1:]:
            on_health_check("e1", False)
        for on_plan in trace.callbacks.get("maintenance", [])[-2:-1]:
            on_plan()
        trace.advance(100)
        for _ in range(2):
            service.terminate()
        service.reload()
        trace.record(f"ready {service.ready()}")
        trace.advance(4000)
        return trace.lines


def platform_config(**changes):
    return config.from_raw(
        {"name": "n", "listen": "127.0.0.1:0", "settings": SETTINGS, "known": endpoint_list(1)} | changes
    )


SCENARIOS = {
    "everything": lambda: run_process(
        full_config(), full_config("bgp", name="other", resolver=("127.0.0.1", 9)), ("plan-request", "nothing")
    ),
    "no handoff": lambda: run_process(full_config("handoff"), full_config("handoff")),
    "cluster alone": lambda: run_process(
        full_config("bgp", "handoff", "locality", "maintenance"),
        full_config("bgp", "handoff", "locality", "maintenance", endpoint_list_version=8),
    ),
    "control alone": lambda: run_process(
        full_config("bgp", "cluster", "handoff", "locality", "maintenance"),
        SimpleNamespace(endpoint_list_version="wrong"),
        ("nothing",),
    ),
    "platform": lambda: run_process(platform_config(), platform_config(resolver="127.0.0.1:9", listen="127.0.0.1:8")),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_components_start_reload_and_stop_in_the_recorded_order(name):
    assert SCENARIOS[name]() == json.loads(GOLDEN.read_text())[name]
