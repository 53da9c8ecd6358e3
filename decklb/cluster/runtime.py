"""The node on a real socket and clock: carries out what it decides, and logs what it notices."""

from __future__ import annotations

import os
import random
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from loguru import logger
from twisted.internet.protocol import DatagramProtocol

from decklb.cluster import keyfile
from decklb.cluster.node import Node, Notice
from decklb.cluster.sealing import SALT_BYTES, Sealer
from decklb.cluster.settings import ClusterSettings
from decklb.core.ports import Clock, Timer
from decklb.wire.health_check import Address, HealthChecker

FAREWELL = 100.0  # ms between what is said at the end and the socket's end


def wall() -> float:
    """Unix time in ms."""
    return time.time() * 1000.0


def log_notices(part: str, notices: Iterable[Notice]) -> None:
    """One line each, with the notice's event and fields."""
    for n in notices:
        text = " ".join(f"{k}={v}" for k, v in n.fields.items())
        logger.info(part + ": {what} {text}", event=n.event, what=n.event, text=text, **n.fields)


class ClusterService(DatagramProtocol):
    """One member. `probed(engine, up)` is told what is held of engines that the list calls up."""

    transport: Any = None

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        settings: ClusterSettings,
        prober: HealthChecker,
        probed: Callable[[str, bool], None],
    ) -> None:
        """Raises KeyFileError where the keys can't be had."""
        self.reactor, self.clock, self.settings, self.prober, self.probed = reactor, clock, settings, prober, probed
        self.addresses: Mapping[str, Address] = {}
        self.timer: Timer | None = None
        self.armed = float("inf")
        self.closed = False
        self.pumping = False
        self.topics: dict[str, Callable[[str, bytes], None]] = {}  # who takes the words of a subsystem, and its sender
        self.node = Node(
            settings.membership,
            [settings.probing] if settings.probing else [],
            settings.member,
            settings.told,
            self._sealer(),
            random.Random(os.urandom(16)),
            clock.now(),
            wall(),
        )

    def _sealer(self) -> Sealer:
        keys = keyfile.read(self.settings.keys)
        return Sealer(self.settings.membership.cluster, [k.secret for k in keys], os.urandom(SALT_BYTES))

    def start(self) -> None:
        """Open the socket. Raises what Twisted raises when the address can't be had."""
        host, port = self.settings.bind
        self.reactor.listenUDP(port, self, interface=host, maxPacketSize=2048)

    def startProtocol(self) -> None:
        """The socket is open."""
        logger.info(
            "cluster member {member} on {address}, told as {told}, {seeds} seeds",
            event="cluster-listening",
            member=self.settings.member,
            address="{}:{}".format(*self.settings.bind),
            told="{}:{}".format(*self.settings.told),
            seeds=len(self.settings.seeds),
        )
        self.node.start(self.clock.now(), self.settings.seeds)
        self._pump()

    def reload(self) -> None:
        """Read the key file anew. One that can't be used changes nothing and is logged."""
        try:
            self.node.rekey(self._sealer())
        except keyfile.KeyFileError as error:
            return logger.error(
                "keys kept, the new ones can't be used: {error}", event="keys-refused", error=str(error)
            )
        logger.info("keys read", event="keys-read")

    def engines(self, cold: Mapping[str, float], listed: set[str], addresses: Mapping[str, Address]) -> None:
        """The list of engines: until when (Unix ms) each is cold, which are up, and where they are."""
        self.addresses = addresses
        if self.settings.probing is not None:
            self.node.subjects(self.clock.now(), self.settings.probing.kind, cold, listed)
        self._pump()

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """From a member, or from anybody."""
        if not self.closed:
            self.node.receive(self.clock.now(), wall(), datagram, (addr[0], addr[1]))
            self._pump()

    def connectionRefused(self) -> None:
        """Nobody listens there; the probes of members find that out."""

    def _tick(self) -> None:
        self.timer, self.armed = None, float("inf")
        self.node.tick(self.clock.now(), wall())
        if self.node.sealer.spent:
            self.reload()
        self._pump()

    def _pump(self) -> None:
        if self.pumping:  # a probe that ends at once comes back here
            return
        self.pumping = True
        node = self.node
        while node.out or node.starts or node.probed or node.notices or node.cargo:
            cargo, node.cargo = node.cargo, []
            for topic, sender, data in cargo:
                if topic in self.topics:
                    self.topics[topic](sender, data)
            out, node.out = node.out, []
            for address, data in out:
                try:
                    self.transport.write(data, address)
                except OSError as error:  # a full buffer or no route: as good as lost
                    logger.debug("datagram not sent: {error}", event="datagram-not-sent", error=str(error))
            starts = list(node.starts)
            node.starts.clear()
            for start in starts:
                self._probe(start.kind, start.subject)
            probed, node.probed = node.probed, []
            for _, engine, up in probed:
                self.probed(engine, up)
            notices, node.notices = node.notices, []
            log_notices("cluster", notices)
        self.pumping = False
        due = node.due()
        if due < self.armed and not self.closed:
            if self.timer is not None:
                self.timer.cancel()
            self.armed = due
            self.timer = self.clock.call_later(max(0.0, due - self.clock.now()), self._tick)

    def carry(self, topic: str, data: bytes, to: str = "") -> None:
        """Tell a member, or all others; see Node.carry."""
        if not self.closed and self.transport is not None:
            self.node.carry(self.clock.now(), topic, data, to)
            self._pump()

    def _probe(self, kind: str, engine: str) -> None:
        address = self.addresses.get(engine)
        duty = self.settings.probing
        if address is None or duty is None:
            return self._ended(kind, engine, False)
        self.prober.check(engine, address, duty.timeout, lambda ok: self._ended(kind, engine, ok))

    def _ended(self, kind: str, engine: str, ok: bool) -> None:
        if not self.closed:
            self.node.ended(self.clock.now(), kind, engine, ok)
            self._pump()

    def close(self) -> None:
        """Leave: others take the duties at once."""
        if self.closed:
            return
        self.node.leave(self.clock.now())
        self._pump()
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.prober.close()
        if self.transport is not None:
            self.clock.call_later(FAREWELL, self.transport.stopListening)

    # For operators.

    def members(self) -> list[dict[str, Any]]:
        """See Node.members."""
        return self.node.members(self.clock.now())

    def duties(self) -> list[dict[str, Any]]:
        """See Node.duty_rows."""
        return self.node.duty_rows(self.clock.now())
