"""A deterministic network and clock: seeded loss, delay, duplication, cuts, pauses and drifting clocks.

The same seed gives the same run. Times are milliseconds of the world; each host has clocks of its own that drift.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from decklb.cluster.duty import DutyRun
from decklb.cluster.node import Node
from decklb.lab.emulation.simulated_loop import Loop

Address = tuple[str, int]
EPOCH = 1_700_000_000_000.0  # Unix ms of the world's zero


@dataclass(slots=True)
class Faults:
    """What the network does to every datagram."""

    loss: float = 0.0  # share that never arrives
    duplicate: float = 0.0  # share that arrives twice
    least: float = 0.2  # ms of delay; what differs in delay comes out of order
    most: float = 2.0


class Host:
    """One instance on the network, with clocks that drift and may be wrong."""

    def __init__(
        self,
        world: World,
        name: str,
        address: Address,
        make: Callable[[Host], Node],
        drift: float = 0.0,
        skew: float = 0.0,
    ) -> None:
        self.world, self.name, self.address, self.make = world, name, address, make
        self.drift, self.skew = drift, skew
        self.born = world.now
        self.up, self.paused = True, False
        self.armed = float("inf")
        self.held: list[tuple[bytes, Address]] = []  # what arrived while paused
        self.node = make(self)

    def now(self) -> float:
        """Its monotonic clock."""
        return (self.world.now - self.born) * (1.0 + self.drift)

    def wall(self) -> float:
        """Its wall clock."""
        return EPOCH + self.world.now * (1.0 + self.drift) + self.skew

    def at(self, local: float) -> float:
        """The world's time at a moment of its monotonic clock."""
        return self.born + local / (1.0 + self.drift)


class World:
    """Hosts, a network and a loop of events."""

    def __init__(self, seed: int, faults: Faults | None = None, loop: Loop | None = None) -> None:
        """`loop`: that of another world, to share its time."""
        self.loop = loop or Loop()
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        self.hosts: dict[Address, Host] = {}
        self.cut: Callable[[Address, Address], bool] = lambda source, target: False
        self.run_duty: Callable[[Host, DutyRun], tuple[float, bool]] = lambda host, start: (1.0, True)
        self.on_notice: Callable[[Host, str, dict[str, object]], None] = lambda host, event, fields: None
        self.on_probed: Callable[[Host, str, bool], None] = lambda host, subject, up: None
        self.delivered = 0

    @property
    def now(self) -> float:
        """The world's time."""
        return self.loop.now()

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Make the call at a later time of the world's."""
        self.loop.call_later(delay, call)

    def add(self, host: Host, seeds: list[Address]) -> Host:
        """Start a host; one that had the address is gone."""
        self.hosts[host.address] = host
        host.node.start(host.now(), seeds)
        self.pump(host)
        return host

    def kill(self, host: Host) -> None:
        """Without a word."""
        host.up = False
        self.hosts.pop(host.address, None)

    def pause(self, host: Host, span: float) -> None:
        """It does nothing for a while, and what arrives waits in its socket."""
        host.paused = True
        self.after(span, lambda: self._resume(host))

    def _resume(self, host: Host) -> None:
        host.paused = False
        if not host.up:
            return
        # As in a real process: timers that came due run before what has waited in the socket.
        self._tick(host)
        held, host.held = host.held, []
        for data, source in held[:512]:
            self._deliver(host.address, data, source)

    def run(self, until: float) -> None:
        """All that happens before that moment."""
        self.loop.run(until)

    def _transmit(self, source: Address, target: Address, data: bytes) -> None:
        f, rng = self.faults, self.rng
        if self.cut(source, target):
            return
        for copy in range(2):
            if copy and rng.random() >= f.duplicate:
                return
            if rng.random() >= f.loss:
                self.after(f.least + (f.most - f.least) * rng.random(), lambda: self._deliver(target, data, source))

    def _deliver(self, target: Address, data: bytes, source: Address) -> None:
        host = self.hosts.get(target)
        if host is None or not host.up:
            return
        if host.paused:
            host.held.append((data, source))
            return
        self.delivered += 1
        host.node.receive(host.now(), host.wall(), data, source)
        self.pump(host)

    def pump(self, host: Host) -> None:
        """Carry out what a node asks for, and come back when it is due."""
        node = host.node
        if node.outgoing:
            out, node.outgoing = node.outgoing, []
            for target, data in out:
                self._transmit(host.address, target, data)
        if node.runs_to_start:
            starts = list(node.runs_to_start)
            node.runs_to_start.clear()  # the list is the node's own: its duties append to it
            for start in starts:
                took, ok = self.run_duty(host, start)
                self.after(took, lambda s=start, ok=ok: self._ended(host, s, ok))  # type: ignore[misc]
        if node.notices:
            notices, node.notices = node.notices, []
            for notice in notices:
                self.on_notice(host, notice.event, notice.fields)
        if node.health_updates:
            updates, node.health_updates = node.health_updates, []
            for update in updates:
                self.on_probed(host, update.subject, update.is_up)
        due = host.at(node.next_due())
        if due < host.armed:
            host.armed = due
            self.loop.call_later(due - self.now, lambda: self._due(host, due))

    def _due(self, host: Host, due: float) -> None:
        if due == host.armed:
            host.armed = float("inf")
            self._tick(host)

    def _tick(self, host: Host) -> None:
        if host.up and not host.paused:
            # A hair late, so that rounding of a drifting clock never asks for the same moment again.
            host.node.tick(host.now() + 1e-6, host.wall())
            self.pump(host)

    def _ended(self, host: Host, start: DutyRun, ok: bool) -> None:
        if not host.up:
            return
        if host.paused:
            self.after(5.0, lambda: self._ended(host, start, ok))
            return
        host.node.on_run_ended(host.now(), start.kind, start.subject, ok)
        self.pump(host)
