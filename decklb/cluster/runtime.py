"""The I/O of the cluster: runs a node on a UDP socket, makes its health checks, reads the key file and writes the log.

Created by `daemon.assembly`, or by `middleware.members` for the processes of an application. Other subsystems send and
receive their user messages here. `node` makes all decisions.
"""

from __future__ import annotations

import os
import random
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from loguru import logger
from twisted.internet.protocol import DatagramProtocol

from decklb.cluster import keyfile
from decklb.cluster.duty import DutyRun
from decklb.cluster.duty_status import duty_rows
from decklb.cluster.errors import KeyFileError
from decklb.cluster.member import Address
from decklb.cluster.node import Datagram, Node
from decklb.cluster.node_status import member_rows, node_health
from decklb.cluster.notices import Notice
from decklb.cluster.sealing import SALT_BYTES, Sealer
from decklb.cluster.settings import ClusterSettings
from decklb.core.ports import Clock, Timer
from decklb.wire.health_check import HealthChecker

# Delay before the socket is closed, so that the last datagrams are still sent.
CLOSE_DELAY_MS = 100.0

# Bytes read of a datagram: more than members send, so that an oversized datagram is recognized as such and dropped.
MAX_PACKET_BYTES = 2048

# Size of the random seed of the node's random number generator.
SEED_BYTES = 16

UserMessageHandler = Callable[[str, bytes], None]  # sender, payload


def unix_time_ms() -> float:
    """Return the current Unix time in ms."""
    return time.time() * 1000.0


def log_notices(subsystem: str, notices: Iterable[Notice]) -> None:
    """Log each notice of a subsystem as one line with its event code and fields."""
    for notice in notices:
        text = " ".join(f"{key}={value}" for key, value in notice.fields.items())
        logger.info(subsystem + ": {what} {text}", event=notice.event, what=notice.event, text=text, **notice.fields)


class ClusterService(DatagramProtocol):
    """Runs one member of the cluster on a UDP socket.

    Attributes:
        node: makes the decisions.
        addresses: addresses of the engines, by engine id.
    """

    transport: Any = None

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        settings: ClusterSettings,
        health_checker: HealthChecker,
        on_health_update: Callable[[str, bool], None],
    ) -> None:
        """Create a member; `start` makes it join.

        Args:
            reactor: Twisted reactor.
            clock: clock of the process.
            settings: cluster settings of this instance.
            health_checker: makes the health checks of engines.
            on_health_update: called with an engine's id and whether it is up.

        Raises:
            KeyFileError: if the key file cannot be used.
        """
        self.reactor = reactor
        self.clock = clock
        self.settings = settings
        self.health_checker = health_checker
        self.on_health_update = on_health_update
        self.addresses: Mapping[str, Address] = {}
        self._timer: Timer | None = None
        self._timer_due = float("inf")
        self._is_closed = False
        self._is_processing = False
        self._handlers: dict[str, UserMessageHandler] = {}  # by topic
        self.node = Node(
            settings.membership,
            [settings.health_checks] if settings.health_checks else [],
            settings.member,
            settings.advertised_address,
            self._make_sealer(),
            random.Random(os.urandom(SEED_BYTES)),
            clock.now(),
            unix_time_ms(),
        )

    def _make_sealer(self) -> Sealer:
        keys = keyfile.read(self.settings.key_file)
        secrets = [key.secret for key in keys]
        return Sealer(self.settings.membership.cluster_name, secrets, os.urandom(SALT_BYTES))

    # Life cycle.

    def start(self) -> None:
        """Open the socket. Raises Twisted's error if the address cannot be bound."""
        host, port = self.settings.bind_address
        self.reactor.listenUDP(port, self, interface=host, maxPacketSize=MAX_PACKET_BYTES)

    def startProtocol(self) -> None:
        """Join the cluster; Twisted calls this when the socket is open."""
        logger.info(
            "cluster member {member} on {address}, advertised as {advertised}, {seeds} seeds",
            event="cluster-listening",
            member=self.settings.member,
            address="{}:{}".format(*self.settings.bind_address),
            advertised="{}:{}".format(*self.settings.advertised_address),
            seeds=len(self.settings.seeds),
        )
        self.node.start(self.clock.now(), self.settings.seeds)
        self._process_outputs()

    def reload(self) -> None:
        """Read the key file again. If it cannot be used the old keys stay in use and the error is logged."""
        try:
            self.node.set_sealer(self._make_sealer())
        except KeyFileError as error:
            logger.error(
                "key file rejected, keeping the old keys: {error}", event="key-file-rejected", error=str(error)
            )
            return
        logger.info("key file loaded", event="key-file-loaded")

    def close(self) -> None:
        """Leave the cluster and close the socket."""
        if self._is_closed:
            return
        self.node.leave(self.clock.now())
        self._process_outputs()
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.health_checker.close()
        if self.transport is not None:
            self.clock.call_later(CLOSE_DELAY_MS, self.transport.stopListening)

    # Used by the daemon and other subsystems.

    def set_engines(
        self, warming_until: Mapping[str, float], listed: set[str], addresses: Mapping[str, Address]
    ) -> None:
        """Replace the engines.

        Args:
            warming_until: all engines, each with the end of its warm-up (Unix ms).
            listed: engines that are up in the endpoint list.
            addresses: addresses of the engines.
        """
        self.addresses = addresses
        if self.settings.health_checks is not None:
            self.node.set_subjects(self.clock.now(), self.settings.health_checks.kind, warming_until, listed)
        self._process_outputs()

    def subscribe(self, topic: str, handler: UserMessageHandler) -> None:
        """Call `handler` with the sender and payload of each user message of a topic."""
        self._handlers[topic] = handler

    def unsubscribe(self, topic: str) -> None:
        """Remove the handler of a topic; its user messages are dropped from now on."""
        self._handlers.pop(topic, None)

    def send_user_message(self, topic: str, payload: bytes, to: str = "") -> None:
        """Send a subsystem's message to a member, or to all other members; see `Node.send_user_message`."""
        if not self._is_closed and self.transport is not None:
            self.node.send_user_message(self.clock.now(), topic, payload, to)
            self._process_outputs()

    def member_rows(self) -> list[dict[str, Any]]:
        """Return all members, for `decklb members`."""
        return member_rows(self.node.membership, self.clock.now())

    def duty_rows(self) -> list[dict[str, Any]]:
        """Return the duties of all kinds, for `decklb duties`."""
        now = self.clock.now()
        return [row for scheduler in self.node.schedulers.values() for row in duty_rows(scheduler, now)]

    def health(self) -> dict[str, Any]:
        """Return the counters, for `decklb members`."""
        return node_health(self.node)

    # Events of the socket and the clock.

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Handle a datagram, which may come from outside the cluster."""
        if not self._is_closed:
            self.node.receive(self.clock.now(), unix_time_ms(), datagram, (addr[0], addr[1]))
            self._process_outputs()

    def connectionRefused(self) -> None:
        """No process listens at the destination; ignored, since the failure detector notices that."""

    def _tick(self) -> None:
        self._timer, self._timer_due = None, float("inf")
        self.node.tick(self.clock.now(), unix_time_ms())
        if self.node.sealer.needs_new_salt:
            self.reload()
        self._process_outputs()

    # Processing of the node's outputs.

    def _process_outputs(self) -> None:
        """Process and empty the node's output lists, and set the timer for its next tick."""
        if self._is_processing:  # called recursively by a health check that ends at once
            return
        self._is_processing = True
        node = self.node
        while node.outgoing or node.runs_to_start or node.health_updates or node.notices or node.user_messages:
            self._deliver_user_messages()
            self._send_datagrams()
            self._start_runs()
            updates, node.health_updates = node.health_updates, []
            for update in updates:
                self.on_health_update(update.subject, update.is_up)
            notices, node.notices = node.notices, []
            log_notices("cluster", notices)
        self._is_processing = False
        self._arm_timer()

    def _deliver_user_messages(self) -> None:
        messages, self.node.user_messages = self.node.user_messages, []
        for message in messages:
            handler = self._handlers.get(message.topic)
            if handler is not None:
                handler(message.sender, message.payload)

    def _send_datagrams(self) -> None:
        datagrams, self.node.outgoing = self.node.outgoing, []
        for datagram in datagrams:
            self._send(datagram)

    def _send(self, datagram: Datagram) -> None:
        try:
            self.transport.write(datagram.data, datagram.address)
        except OSError as error:  # full buffer or no route; treated like a lost datagram
            logger.debug("datagram not sent: {error}", event="datagram-not-sent", error=str(error))

    def _start_runs(self) -> None:
        runs = list(self.node.runs_to_start)
        self.node.runs_to_start.clear()  # cleared, not replaced, since the node's schedulers append to this list
        for run in runs:
            self._check_health(run)

    def _check_health(self, run: DutyRun) -> None:
        address = self.addresses.get(run.subject)
        settings = self.settings.health_checks
        if address is None or settings is None:
            self._on_run_ended(run, False)
            return
        self.health_checker.check(run.subject, address, settings.timeout_ms, lambda ok: self._on_run_ended(run, ok))

    def _on_run_ended(self, run: DutyRun, ok: bool) -> None:
        if not self._is_closed:
            self.node.on_run_ended(self.clock.now(), run.kind, run.subject, ok)
            self._process_outputs()

    def _arm_timer(self) -> None:
        due = self.node.next_due()
        if due < self._timer_due and not self._is_closed:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_due = due
            self._timer = self.clock.call_later(max(0.0, due - self.clock.now()), self._tick)
