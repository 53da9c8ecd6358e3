"""A deterministic network of hosts with real cluster nodes: seeded loss, delay, duplication, cuts, pauses, clock drift.

`SimulatedNetwork` owns the hosts and carries their datagrams on a simulated loop; the simulated cluster and the
emulator's shared health checks use it. The same seed gives the same run. Times are simulated milliseconds; each host
has clocks of its own that drift.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from decklb.cluster.duty import DutyRun
from decklb.cluster.node import Node
from decklb.lab.emulation.simulated_loop import Loop

Address = tuple[str, int]
EPOCH = 1_700_000_000_000.0  # Unix time, in ms, at which the simulation begins
NEVER = float("inf")
RECEIVE_BUFFER = 512  # datagrams that a paused host's socket holds
RETRY_WHILE_PAUSED_MS = 5.0  # between looks whether a host that must take a result still is paused
# Timers come a hair late, so that rounding of a drifting clock never asks for the same moment again.
CLOCK_MARGIN_MS = 1e-6


@dataclass(slots=True)
class Faults:
    """What the network does to every datagram."""

    loss: float = 0.0  # share that never arrives
    duplicate: float = 0.0  # share that arrives twice
    min_delay_ms: float = 0.2  # datagrams that differ in delay arrive out of order
    max_delay_ms: float = 2.0


class Host:
    """One instance on the network, with clocks that drift and may be wrong.

    Attributes:
        drift: By which share its clocks run fast, or slow where below 0.
        skew_ms: By which its wall clock is ahead.
        started_ms: When it started, in simulated time.
        paused: Whether it does nothing, as a stopped process.
        timer_ms: When its node's next timer is due, in simulated time.
        buffered: Datagrams that arrived while it was paused, with their sources.
        node: The real cluster node.
    """

    def __init__(
        self,
        network: SimulatedNetwork,
        name: str,
        address: Address,
        make_node: Callable[[Host], Node],
        drift: float = 0.0,
        skew_ms: float = 0.0,
    ) -> None:
        self.network, self.name, self.address = network, name, address
        self.drift, self.skew_ms = drift, skew_ms
        self.started_ms = network.now
        self.up, self.paused = True, False
        self.timer_ms = NEVER
        self.buffered: list[tuple[bytes, Address]] = []
        self.node = make_node(self)

    def now(self) -> float:
        """Return its monotonic clock, in ms."""
        return (self.network.now - self.started_ms) * (1.0 + self.drift)

    def wall(self) -> float:
        """Return its wall clock, in Unix ms."""
        return EPOCH + self.network.now * (1.0 + self.drift) + self.skew_ms

    def simulated_ms(self, local_ms: float) -> float:
        """Return the simulated time at a moment of its monotonic clock."""
        return self.started_ms + local_ms / (1.0 + self.drift)


class SimulatedNetwork:
    """Hosts, the network between them and the simulated loop that moves both.

    Attributes:
        hosts: By address; a host that was killed is not among them.
        faults: What happens to every datagram.
        cut: Whether datagrams from the first address to the second are lost.
        run_duty: Called to carry out a duty of a host; returns how long it takes, in ms, and whether it succeeds.
        on_notice: Called with each notice of a node: host, event, fields.
        on_health_check: Called with each health check's result: host, subject, whether it is up.
        delivered: Datagrams that nodes received.
    """

    def __init__(self, seed: int, faults: Faults | None = None, loop: Loop | None = None) -> None:
        """`loop`: where given, the simulated loop of another simulation, to share its time."""
        self.loop = loop or Loop()
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        self.hosts: dict[Address, Host] = {}
        self.cut: Callable[[Address, Address], bool] = lambda source, target: False
        self.run_duty: Callable[[Host, DutyRun], tuple[float, bool]] = lambda host, start: (1.0, True)
        self.on_notice: Callable[[Host, str, dict[str, object]], None] = lambda host, event, fields: None
        self.on_health_check: Callable[[Host, str, bool], None] = lambda host, subject, up: None
        self.delivered = 0

    @property
    def now(self) -> float:
        """Return the simulated time, in ms."""
        return self.loop.now()

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Make a call after that many ms."""
        self.loop.call_later(delay, call)

    def add(self, host: Host, seeds: list[Address]) -> Host:
        """Start a host, in place of one that had its address."""
        self.hosts[host.address] = host
        host.node.start(host.now(), seeds)
        self.pump(host)
        return host

    def kill(self, host: Host) -> None:
        """End a host without notice."""
        host.up = False
        self.hosts.pop(host.address, None)

    def pause(self, host: Host, duration_ms: float) -> None:
        """Let a host do nothing for a while; datagrams wait in its socket."""
        host.paused = True
        self.after(duration_ms, lambda: self._resume(host))

    def _resume(self, host: Host) -> None:
        host.paused = False
        if not host.up:
            return
        # As in a real process: timers that came due run before what has waited in the socket.
        self._tick(host)
        buffered, host.buffered = host.buffered, []
        for data, source in buffered[:RECEIVE_BUFFER]:
            self._deliver(host.address, data, source)

    def run(self, until: float) -> None:
        """Play all that happens before a moment."""
        self.loop.run(until)

    def _transmit(self, source: Address, target: Address, data: bytes) -> None:
        faults, rng = self.faults, self.rng
        if self.cut(source, target):
            return
        for is_duplicate in (False, True):
            if is_duplicate and rng.random() >= faults.duplicate:
                return
            if rng.random() >= faults.loss:
                delay_ms = faults.min_delay_ms + (faults.max_delay_ms - faults.min_delay_ms) * rng.random()
                self.after(delay_ms, lambda: self._deliver(target, data, source))

    def _deliver(self, target: Address, data: bytes, source: Address) -> None:
        host = self.hosts.get(target)
        if host is None or not host.up:
            return
        if host.paused:
            host.buffered.append((data, source))
            return
        self.delivered += 1
        host.node.receive(host.now(), host.wall(), data, source)
        self.pump(host)

    def pump(self, host: Host) -> None:
        """Carry out what a node asks for, and set the timer for when it is due next."""
        node = host.node
        if node.outgoing:
            out, node.outgoing = node.outgoing, []
            for target, data in out:
                self._transmit(host.address, target, data)
        if node.runs_to_start:
            starts = list(node.runs_to_start)
            node.runs_to_start.clear()  # the list is the node's own: its duties append to it
            for start in starts:
                duration_ms, succeeded = self.run_duty(host, start)
                self.after(duration_ms, partial(self._duty_ended, host, start, succeeded))
        if node.notices:
            notices, node.notices = node.notices, []
            for notice in notices:
                self.on_notice(host, notice.event, notice.fields)
        if node.health_updates:
            updates, node.health_updates = node.health_updates, []
            for update in updates:
                self.on_health_check(host, update.subject, update.is_up)
        due_ms = host.simulated_ms(node.next_due())
        if due_ms < host.timer_ms:
            host.timer_ms = due_ms
            self.loop.call_later(due_ms - self.now, lambda: self._timer_fired(host, due_ms))

    def _timer_fired(self, host: Host, due_ms: float) -> None:
        if due_ms == host.timer_ms:  # not set anew meanwhile
            host.timer_ms = NEVER
            self._tick(host)

    def _tick(self, host: Host) -> None:
        if host.up and not host.paused:
            host.node.tick(host.now() + CLOCK_MARGIN_MS, host.wall())
            self.pump(host)

    def _duty_ended(self, host: Host, start: DutyRun, succeeded: bool) -> None:
        if not host.up:
            return
        if host.paused:
            self.after(RETRY_WHILE_PAUSED_MS, partial(self._duty_ended, host, start, succeeded))
            return
        host.node.on_run_ended(host.now(), start.kind, start.subject, succeeded)
        self.pump(host)
