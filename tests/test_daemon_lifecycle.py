"""The order in which a process starts, reloads and stops its parts, against the recorded one."""

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
from tests.standins import ROOT, SETTINGS, known

GOLDEN = ROOT / "tests" / "golden" / "daemon_lifecycle.json"
EVERY_KEY = str(ROOT / "tests/golden/config_every_key.xml")
# Stand in for the subsystems: recorded name -> class, and its methods' recorded names where they have another now.
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
# Recorded codes of log events that have another now.
EVENTS = {"reload-rejected": "reload-refused"}
# Recorded name -> method of the real parts.
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
    """A clock that writes down what is opened and stopped."""

    def __init__(self, write):
        super().__init__()
        self.write, self.control = write, None

    def listenTCP(self, port, factory, backlog, interface):
        self.write(f"reactor.listenTCP {interface}:{port} backlog {backlog}")
        return Port(self.write)

    def listenUDP(self, port, protocol, interface, maxPacketSize):
        self.write(f"reactor.listenUDP {interface}:{port} {maxPacketSize}")
        protocol.transport = mock.Mock()

    def listenUNIX(self, path, factory, mode):
        self.write(f"reactor.listenUNIX {mode:o}")
        self.control = factory

    def stop(self):
        self.write("reactor.stop")


class Port:
    """A listening port whose queue is empty."""

    def __init__(self, write):
        self.write = write

    def getHost(self):
        return SimpleNamespace(port=1)

    def drain_accept_queue(self, most, seconds, done):
        self.write(f"port.empty_queue {most} {seconds}")
        done()

    def stopListening(self):
        self.write("port.stopListening")


class Subsystem:
    """Writes down each call; the answers to operators are its name and the call's."""

    def __init__(self, name, write, renamed):
        self._name, self._write, self._renamed = name, write, renamed

    def __getattr__(self, method):
        method = self._renamed.get(method, method)

        def call(*args):
            if method not in ("members", "duties", "rows", "status", "health"):
                told = [str(sorted(a) if isinstance(a, set) else a) for a in args if isinstance(a, bool | set)]
                self._write(" ".join([f"{self._name}.{method}", *told]))
            return args[0] if method == "over" else f"{self._name}.{method}"

        return Subsystem(self._name, self._write, self._renamed) if method in ("keeper", "node") else call


class Trace:
    """One process without sockets, and everything that its parts were asked to do, with the time in ms."""

    def __init__(self, stack):
        self.lines = []
        self.reactor = Reactor(self.write)
        self.callbacks = {}
        stack.enter_context(mock.patch("decklb.wire.clock.time", SimpleNamespace(monotonic=self.reactor.seconds)))
        for name, (path, renamed) in SUBSYSTEMS.items():
            stack.enter_context(mock.patch(path, self.maker(name, renamed)))
        for name, path in METHODS.items():
            target, _, method = path.rpartition(".")
            module, _, cls = target.rpartition(".")
            real = getattr(getattr(__import__(module, fromlist=[cls]), cls), method)
            stack.enter_context(mock.patch(path, self.recording(name, real)))
        stack.callback(logger.remove, logger.add(self.logged, format="{message}"))

    def write(self, line):
        self.lines.append(f"{1000 * self.reactor.seconds():.0f} {line}")

    def logged(self, message):
        if message.record["name"].startswith("decklb.daemon."):
            event = message.record["extra"]["event"]
            self.write(f"log {EVENTS.get(event, event)}: {message.record['message']}")

    def maker(self, name, renamed):
        def make(*args, **kwargs):
            self.callbacks[name] = [a for a in args if callable(a) and not isinstance(a, Subsystem)]
            return Subsystem(name, self.write, renamed)

        return make

    def recording(self, name, real):
        def call(part, *args):
            self.write(name)
            return real(part, *args)

        return call

    def advance(self, ms):
        for _ in range(int(ms / 10)):
            self.reactor.advance(0.01)


def loaded(*left_out, **changed):
    """The configuration with every section, less some, and with other values."""
    made = config.load(None, EVERY_KEY)
    for name in left_out:
        setattr(made, name, "" if name == "control" else None)
    for name, value in changed.items():
        setattr(made, name, value)
    return made


def play(made, new, orders=()):
    """Start, reload, withdraw an engine by the plan, SIGTERM twice, until the reactor is stopped."""
    with ExitStack() as stack:
        trace = Trace(stack)
        service = Service(trace.reactor, made, lambda: new)
        trace.write(f"ready {service.ready()}")
        service.start()
        trace.write(f"ready {service.ready()}")
        for name in ("members", "duties", "handoff", "zones", "plan", *orders):
            if trace.reactor.control is not None:
                said = trace.reactor.control.respond(json.dumps({"decklb": 1, "ask": name}).encode())
                trace.write(f"control {name}: {getattr(said, 'result', said)}")
        trace.advance(3100)
        trace.write(f"ready {service.ready()}")
        service.reload()
        for call in trace.callbacks.get("cluster", [])[-1:]:
            call("e1", False)
        for call in trace.callbacks.get("maintenance", [])[-2:-1]:
            call()
        trace.advance(100)
        for _ in range(2):
            service.terminate()
        service.reload()
        trace.write(f"ready {service.ready()}")
        trace.advance(4000)
        return trace.lines


def platform(**more):
    return config.from_raw({"name": "n", "listen": "127.0.0.1:0", "settings": SETTINGS, "known": known(1)} | more)


SCENARIOS = {
    "everything": lambda: play(
        loaded(), loaded("bgp", name="other", resolver=("127.0.0.1", 9)), ("plan-request", "nothing")
    ),
    "no handoff": lambda: play(loaded("handoff"), loaded("handoff")),
    "cluster alone": lambda: play(
        loaded("bgp", "handoff", "locality", "maintenance"),
        loaded("bgp", "handoff", "locality", "maintenance", endpoint_list_version=8),
    ),
    "control alone": lambda: play(
        loaded("bgp", "cluster", "handoff", "locality", "maintenance"),
        SimpleNamespace(endpoint_list_version="wrong"),
        ("nothing",),
    ),
    "platform": lambda: play(platform(), platform(resolver="127.0.0.1:9", listen="127.0.0.1:8")),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_parts_start_reload_and_stop_in_the_recorded_order(name):
    assert SCENARIOS[name]() == json.loads(GOLDEN.read_text())[name]
