"""The handoff's I/O: connections to other members, the timer, the store and the log.

`HandoffService` drives one `HandoffCoordinator` and carries out its output. Each pair of members shares one connection,
because leases rely on messages being delivered in order. The member whose name sorts first opens it; its local address
is this member's `bind_address`, its remote address that of the other member in the membership list. If there is a
store, changes are written to it before any message is sent. Created by `daemon/subsystems/handoff.py`, or by
`middleware/members.py` for an application.
"""

from __future__ import annotations

import os
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import ClientFactory

from decklb.cluster import keyfile
from decklb.cluster.errors import KeyFileError
from decklb.cluster.runtime import ClusterService
from decklb.cluster.sealing import SALT_BYTES, Sealer
from decklb.core.ports import Clock, Timer
from decklb.handoff.coordinator import HandoffCoordinator
from decklb.handoff.errors import StoreError
from decklb.handoff.member_state import HandoffEvent, RequestRunner
from decklb.handoff.messages import MAX_FRAME_BYTES, Message, encode_message
from decklb.handoff.peer_connection import PeerConnection, PeerConnectionFactory
from decklb.handoff.protected_dispatcher import ProtectedDispatcher
from decklb.handoff.settings import HandoffSettings

if TYPE_CHECKING:
    from decklb.handoff.store import Store, StoredMemory

TICK_MS = 25.0
CONNECT_TIMEOUT_S = 1.0
DIAL_BACKOFF_MIN_MS = 100.0  # before connecting to a member again; doubles with each try
DIAL_BACKOFF_MAX_MS = 2000.0  # upper limit of the doubled backoff
GREETING_TIMEOUT_MS = 2000.0  # for the greeting and the first frame after it
SILENCE_TIMEOUT_LEASES = 2.0  # a connection without a frame for this many leases is considered dead
MAX_UNSENT_BYTES = 64 << 20  # a connection with more buffered bytes is aborted


@dataclass(slots=True)
class _DialBackoff:
    """When to connect to a member again, and the wait after that try."""

    due_ms: float = 0.0
    wait_ms: float = DIAL_BACKOFF_MIN_MS

    def advance(self, now: float) -> None:
        """Schedule the next try after one was made."""
        self.due_ms, self.wait_ms = now + self.wait_ms, min(DIAL_BACKOFF_MAX_MS, 2 * self.wait_ms)


class HandoffService:
    """Runs one member's handoff with real connections, a clock and a disk."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        settings: HandoffSettings,
        cluster: ClusterService,
        dispatcher: ProtectedDispatcher,
    ) -> None:
        """Read the store and connect the coordinator to the front's dispatcher.

        Raises:
            StoreError: The store's folder is unusable.
        """
        self.reactor, self.clock, self.settings, self.cluster = reactor, clock, settings, cluster
        self.connections: set[PeerConnection] = set()
        self._established: dict[str, PeerConnection] = {}  # by peer
        self._dial_backoffs: dict[str, _DialBackoff] = {}  # by peer
        self._port: Any = None
        self._timer: Timer | None = None
        self._flushing = False
        self._closed = False
        self.store: Store | None = None
        now = clock.now()
        memory = self._open_store(now)
        self.coordinator = self._make_coordinator(now, memory, RequestRunner(dispatcher.run, dispatcher.stop))
        self._restored_keys = len(memory.entries) if memory is not None else 0
        dispatcher.attach(self.coordinator, self.flush)
        self.sealer = self._make_sealer()

    def _open_store(self, now: float) -> StoredMemory | None:
        """Open the store and return what earlier processes of this member wrote; None without a store."""
        if not self.settings.store_folder:
            return None
        from decklb.handoff.store import Store, boot_id  # LMDB is imported only if a store is configured

        member = self.cluster.node.membership.local
        self.store = Store(self.settings.store_folder, self.settings.max_bytes)
        return self.store.open(member.name, member.run_id, now, boot_id())

    def _make_coordinator(self, now: float, memory: StoredMemory | None, runner: RequestRunner) -> HandoffCoordinator:
        member = self.cluster.node.membership.local
        coordinator = HandoffCoordinator(
            self.settings,
            member.name,
            member.run_id,
            memory.memory_id if memory is not None else member.run_id,
            now - memory.since_ms if memory is not None else 0.0,
            random.Random(os.urandom(16)),
            now,
            runner,
        )
        for entry in memory.entries if memory is not None else ():
            coordinator.restore(entry.key, entry.record, entry.body, entry.granted, now)
        return coordinator

    def _make_sealer(self) -> Sealer:
        keys = keyfile.read(self.cluster.settings.key_file)
        # The name differs from that of datagrams, so what is sealed for one is invalid for the other.
        return Sealer(
            f"{self.cluster.settings.membership.cluster_name}/handoff",
            [key.secret for key in keys],
            os.urandom(SALT_BYTES),
            MAX_FRAME_BYTES,
        )

    def start(self) -> None:
        """Listen and start the timer. Raises Twisted's errors if the address can't be bound."""
        host, port = self.cluster.settings.bind_address
        self._port = self.reactor.listenTCP(port, PeerConnectionFactory(self), interface=host)
        logger.info(
            "handoff on {host}:{port}: {copies} voters per key, {members} members, {kept} keys restored from disk",
            event="handoff-listening",
            host=host,
            port=port,
            copies=self.settings.voter_count,
            members=self.settings.fleet_size,
            kept=self._restored_keys,
        )
        self._tick()

    def reload(self) -> None:
        """Read the key file again. If that fails, the old keys stay in use; the cluster has logged the error."""
        try:
            self.sealer = self._make_sealer()
        except KeyFileError:
            return

    def _tick(self) -> None:
        self._timer = self.clock.call_later(TICK_MS, self._tick)
        now, membership = self.clock.now(), self.cluster.node.membership
        alive = {name: membership.members[name].run_id for name in membership.live_names()}
        own = {self.coordinator.member: self.coordinator.incarnation}
        self.coordinator.update_members(now, alive | own, membership.members.keys())
        if self.sealer.needs_new_salt:
            self.reload()
        self._abort_dead_connections(now)
        for name in alive:
            if self.coordinator.member < name and name not in self._established:
                self._dial(now, name, membership.members[name].address)
        self.coordinator.tick(now)
        self.flush()

    def _abort_dead_connections(self, now: float) -> None:
        for connection in list(self.connections):
            timeout_ms = (
                SILENCE_TIMEOUT_LEASES * self.settings.lease_ms if connection.established else GREETING_TIMEOUT_MS
            )
            if now - connection.last_received_ms > timeout_ms:
                connection.abort("silent")
            elif connection.unsent_bytes > MAX_UNSENT_BYTES:
                connection.abort("slow-reader")

    def _dial(self, now: float, name: str, address: tuple[str, int]) -> None:
        backoff = self._dial_backoffs.setdefault(name, _DialBackoff())
        if now < backoff.due_ms or any(connection.peer == name for connection in self.connections):
            return
        backoff.advance(now)
        factory: Any = ClientFactory.forProtocol(lambda: PeerConnection(self, expected_peer=name))
        factory.noisy = False
        endpoint: Any = TCP4ClientEndpoint(
            self.reactor, *address, timeout=CONNECT_TIMEOUT_S, bindAddress=(self.cluster.settings.bind_address[0], 0)
        )
        endpoint.connect(factory).addErrback(
            lambda failure: logger.debug(
                "can't connect to member {member}: {why}",
                event="handoff-no-connection",
                member=name,
                why=failure.type.__name__,
            )
        )

    # Calls from connections.

    def on_established(self, connection: PeerConnection) -> None:
        """A connection to an authenticated member is established; it replaces an earlier one to the same member."""
        peer, greeting = connection.peer, connection.greeting
        earlier = self._established.get(peer)
        if earlier is not None:
            self.coordinator.disconnected(peer)
            earlier.abort("replaced")
        self._established[peer] = connection
        self._dial_backoffs.pop(peer, None)
        self.coordinator.connected(self.clock.now(), peer, greeting.memory_id, greeting.incarnation)
        self.flush()

    def on_messages(self, connection: PeerConnection, received: list[Message]) -> None:
        """Pass received messages to the coordinator, in order."""
        now = self.clock.now()
        for message in received:
            if self._established.get(connection.peer) is connection:
                self.coordinator.receive(now, connection.peer, message)
        self.flush()

    def on_closed(self, connection: PeerConnection) -> None:
        """A connection was closed."""
        self.connections.discard(connection)
        if self._established.get(connection.peer) is connection:
            del self._established[connection.peer]
            self.coordinator.disconnected(connection.peer)

    # Output of the coordinator.

    def flush(self) -> None:
        """Store, send and log the coordinator's output."""
        if self._flushing:  # a call to the front during a flush may call this again
            return
        self._flushing = True
        while self.coordinator.has_output:
            outbox = self.coordinator.take_outbox()
            if not self._store_changes():
                break
            self._send(outbox)
            for event in self.coordinator.take_events():
                self._log(event)
        self._flushing = False

    def _store_changes(self) -> bool:
        """Write changes to the store; return whether messages that depend on them may be sent."""
        table = self.coordinator.table
        if self.store is not None and table.changed_keys:
            try:
                self.store.write_changes(table)
            except StoreError as error:
                # Votes that may be forgotten must not count, so stop; others take over the requests held here.
                logger.error(
                    "can't write to the handoff's store, so requests are no longer protected here: {error}",
                    event="handoff-store-failed",
                    error=str(error),
                )
                self.coordinator.take_outbox()
                self.close()
                return False
        table.changed_keys.clear()
        return True

    def _send(self, outbox: list[tuple[str, Message]]) -> None:
        encoded: dict[str, list[bytes]] = {}
        for peer, message in outbox:
            if peer in self._established:
                encoded.setdefault(peer, []).append(encode_message(message))
        for peer, chunk in encoded.items():
            self._established[peer].send_messages(chunk)

    def _log(self, event: HandoffEvent) -> None:
        text = " ".join(f"{name}={value}" for name, value in event.fields.items())
        logger.info(
            "{what} key={key} {text}", event=event.code, what=event.code, key=event.key, text=text, **event.fields
        )

    def close(self) -> None:
        """Stop for good. Others take over the requests held here once membership reports this member as gone."""
        if self._closed:
            return
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._port is not None:
            self._port.stopListening()
        for connection in list(self.connections):
            connection.abort("stopping")
        self.coordinator.close()
        if self.store is not None:
            self.store.close()
            self.store = None
