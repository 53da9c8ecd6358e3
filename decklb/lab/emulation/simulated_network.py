"""A deterministic network of hosts with real cluster nodes, with loss, delay, duplication, partitions and clock drift.

`SimulatedNetwork` runs the hosts and carries their datagrams on a simulated loop; the simulated cluster and the
emulator's shared health checks use it. The same seed yields the same run. Times are simulated milliseconds; each host
has its own clocks, which may drift.
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
EPOCH = 1_700_000_000_000.0  # Unix time in ms at the start of the simulation
NEVER = float("inf")
RECEIVE_BUFFER = 512  # number of datagrams that the socket of a paused host can hold
RETRY_WHILE_PAUSED_MS = 5.0  # interval in ms at which a result for a paused host is delivered again
# Timers fire this much late: otherwise rounding of a drifting clock could schedule the same time over and over.
CLOCK_MARGIN_MS = 1e-6


@dataclass(slots=True)
class Faults:
    """What the network does to every datagram."""

    loss: float = 0.0  # probability that a datagram is lost
    duplicate: float = 0.0  # probability that a datagram is duplicated
    # The delay is drawn from this range for each datagram, so datagrams may arrive out of order.
    min_delay_ms: float = 0.2
    max_delay_ms: float = 2.0


class Host:
    """One instance on the network, with its own clocks.

    Attributes:
        drift: Relative error of the rate of its clocks; above 0 they run fast, below 0 slow.
        skew_ms: Offset of its wall clock; above 0 it is ahead.
        started_ms: Simulated time of its start.
        up: It has not been killed.
        paused: It does nothing, like a process stopped by a signal.
        timer_ms: Simulated time at which the next timer of its node is due.
        buffered: Datagrams that arrived during the pause, with their sources.
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
        """Return the time of its monotonic clock in ms."""
        return (self.network.now - self.started_ms) * (1.0 + self.drift)

    def wall(self) -> float:
        """Return the time of its wall clock as Unix time in ms."""
        return EPOCH + self.network.now * (1.0 + self.drift) + self.skew_ms

    def simulated_ms(self, local_ms: float) -> float:
        """Convert a time of its monotonic clock to simulated time."""
        return self.started_ms + local_ms / (1.0 + self.drift)


class SimulatedNetwork:
    """Hosts, the network between them and the simulated loop that runs both.

    Attributes:
        loop: The simulated loop.
        rng: Random generator of the network's faults.
        hosts: Running hosts by address.
        faults: Faults that apply to every datagram.
        cut: Function that returns whether all datagrams from the first address to the second are lost.
        run_duty: Called to run a duty of a host; returns its duration in ms and whether it succeeds.
        on_notice: Called with each notice of a node: host, event, fields.
        on_health_check: Called with the result of each health check: host, subject, whether the subject is up.
        delivered: Number of datagrams that nodes have received.
    """

    def __init__(self, seed: int, faults: Faults | None = None, loop: Loop | None = None) -> None:
        """Create an empty network; `loop` is the loop of another simulation if both are to share simulated time."""
        self.loop = loop or Loop()
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        self.hosts: dict[Address, Host] = {}
        self.cut: Callable[[Address, Address], bool] = lambda source, target: False
        self.run_duty: Callable[[Host, DutyRun], tuple[float, bool]] = lambda host, duty_run: (1.0, True)
        self.on_notice: Callable[[Host, str, dict[str, object]], None] = lambda host, event, fields: None
        self.on_health_check: Callable[[Host, str, bool], None] = lambda host, subject, up: None
        self.delivered = 0

    @property
    def now(self) -> float:
        """Return the simulated time in ms."""
        return self.loop.now()

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule one call of `callback` after `delay_ms`."""
        self.loop.call_later(delay_ms, callback)

    def add(self, host: Host, seeds: list[Address]) -> Host:
        """Start a host; it replaces a host with the same address."""
        self.hosts[host.address] = host
        host.node.start(host.now(), seeds)
        self.pump(host)
        return host

    def kill(self, host: Host) -> None:
        """Stop a host without notice."""
        host.up = False
        self.hosts.pop(host.address, None)

    def pause(self, host: Host, duration_ms: float) -> None:
        """Pause a host; datagrams for it wait in its socket."""
        host.paused = True
        self.after(duration_ms, lambda: self._resume(host))

    def _resume(self, host: Host) -> None:
        host.paused = False
        if not host.up:
            return
        # As in a real process, expired timers run before the datagrams in the socket are read.
        self._tick(host)
        buffered, host.buffered = host.buffered, []
        for data, source in buffered[:RECEIVE_BUFFER]:
            self._deliver(host.address, data, source)

    def run(self, until: float) -> None:
        """Run the simulation until a simulated time in ms."""
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
        """Carry out the actions that a node has queued and schedule its next timer."""
        node = host.node
        if node.outgoing:
            datagrams, node.outgoing = node.outgoing, []
            for target, data in datagrams:
                self._transmit(host.address, target, data)
        if node.runs_to_start:
            duty_runs = list(node.runs_to_start)
            node.runs_to_start.clear()  # cleared in place, since the node's schedulers hold a reference to this list
            for duty_run in duty_runs:
                duration_ms, succeeded = self.run_duty(host, duty_run)
                self.after(duration_ms, partial(self._duty_ended, host, duty_run, succeeded))
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
        if due_ms == host.timer_ms:  # otherwise an earlier timer has been set meanwhile
            host.timer_ms = NEVER
            self._tick(host)

    def _tick(self, host: Host) -> None:
        if host.up and not host.paused:
            host.node.tick(host.now() + CLOCK_MARGIN_MS, host.wall())
            self.pump(host)

    def _duty_ended(self, host: Host, duty_run: DutyRun, succeeded: bool) -> None:
        if not host.up:
            return
        if host.paused:
            self.after(RETRY_WHILE_PAUSED_MS, partial(self._duty_ended, host, duty_run, succeeded))
            return
        host.node.on_run_ended(host.now(), duty_run.kind, duty_run.subject, succeeded)
        self.pump(host)
