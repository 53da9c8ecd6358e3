"""Probing of engines: one connection of its own to each, kept between probes; the wires say how to ask.

A probe ends once, by an answer, by the end of its connection or by its time-out. Connections that are no longer probed
over close after a while, so that an engine whose duty moved on keeps none.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from decklb.core.ports import Clock, Timer

Address = tuple[str, int]
Done = Callable[[bool], None]


class ProbeLink(Protocol):
    """One connection to one engine, for probes alone."""

    transport: Any  # zope's interfaces say nothing to the type checker

    def __init__(self, prober: Prober, engine: str, address: Address) -> None:
        self.prober, self.engine, self.address = prober, engine, address
        self.done: Done | None = None
        self.timer: Timer | None = None  # of the probe that is out, or of the rest after it
        self.ready = self.closed = False
        self.reason = "peer-closed"

    # What a wire adds.

    def greet(self) -> None:
        """The connection is up. By default nothing more is needed before a probe."""
        self.usable()

    def ask(self) -> None:
        """Send one probe."""
        raise NotImplementedError

    # What a wire calls.

    def usable(self) -> None:
        """Probes may be sent from now on."""
        self.ready = True
        if self.done is not None:
            self.ask()

    def answered(self) -> None:
        """The engine is there."""
        self._end(True)

    def refuse(self, reason: str) -> None:
        """It said what no engine says, or turned us away."""
        self._abort(reason)

    # Inside.

    def probe(self, timeout: float, done: Done) -> None:
        """Ask, now or when the connection is usable."""
        self._stop_timer()
        self.done = done
        self.timer = self.prober.clock.call_later(timeout, lambda: self._abort("probe-overdue"))
        if self.ready:
            self.ask()

    def connectionMade(self) -> None:
        """The handshake is over."""
        self.transport.setTcpNoDelay(True)
        self.greet()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """The end, for whatever reason; one line in the log."""
        self._gone()

    def refused(self, reason: Failure) -> None:
        """It never came up."""
        if self.reason == "peer-closed":
            self.reason = f"no-connection ({reason.type.__name__ if reason.type else 'unknown'})"
        self._gone()

    def _gone(self) -> None:
        self.closed = True  # also when it was ended here, and the reactor tells of it now
        self.prober.forget(self)
        logger.info(
            "probe connection ended: {reason} engine={engine} address={address}",
            event="probe-connection-ended",
            reason=self.reason,
            engine=self.engine,
            address="{}:{}".format(*self.address),
        )
        self._end(False)

    def _end(self, ok: bool) -> None:
        self._stop_timer()
        done, self.done = self.done, None
        if ok and not self.closed:
            self.timer = self.prober.clock.call_later(self.prober.idle, lambda: self._abort("idle"))
        if done is not None:
            done(ok)

    def _abort(self, reason: str) -> None:
        self.timer = None
        self.closed, self.reason = True, reason
        self.prober.forget(self)  # the next probe takes a new connection
        if self.transport is not None:
            self.transport.abortConnection()
        self._end(False)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def close(self) -> None:
        """The program ends."""
        if not self.closed:
            self._abort("stopping")


class Prober:
    """Probes of all engines that this instance owns."""

    def __init__(
        self, reactor: Any, clock: Clock, link: Callable[[Prober, str, Address], ProbeLink], idle: float
    ) -> None:
        """`idle`: ms without a probe after which a connection closes."""
        self.reactor, self.clock, self.make, self.idle = reactor, clock, link, idle
        self.links: dict[str, ProbeLink] = {}

    def probe(self, engine: str, address: Address, timeout: float, done: Done) -> None:
        """Ask one engine; `done` is called once, within the time-out (ms)."""
        link = self.links.get(engine)
        if link is not None and link.address != address:  # the id has moved
            link.close()
            link = None
        if link is not None:
            return link.probe(timeout, done)
        link = self.links[engine] = self.make(self, engine, address)
        link.probe(timeout, done)
        self._connect(link, timeout)

    def _connect(self, link: ProbeLink, timeout: float) -> None:
        factory: Any = Factory.forProtocol(lambda: link)
        factory.noisy = False
        host, port = link.address
        TCP4ClientEndpoint(self.reactor, host, port, timeout / 1000).connect(factory).addErrback(link.refused)

    def forget(self, link: ProbeLink) -> None:
        """Its connection is not to be used again."""
        if self.links.get(link.engine) is link:
            del self.links[link.engine]

    def close(self) -> None:
        """End all."""
        for link in list(self.links.values()):
            link.close()
