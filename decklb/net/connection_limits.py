"""Limits on client connections: their number, and how long each may wait.

Idle connections of clients that have sent a message stay open while there is room. When there are too many connections,
they are closed in this order: those in a lingering close, then those that have been silent for a while, and then, if
new clients have sent a message, the longest idle ones. If none can be closed, new connections wait in the kernel's
accept queue for a while; after that they are accepted and their requests rejected.

State: all connections, those without an open request by what they wait for, and whether accepting is paused. Owned by
`listener`; connections report their changes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from decklb.core.ports import Clock
from decklb.wire.client_timeouts import (
    FIRST_MESSAGE_TIMEOUT_MS,
    LINGERING_CLOSE_TIMEOUT_MS,
    PARTIAL_MESSAGE_TIMEOUT_MS,
)

if TYPE_CHECKING:
    from decklb.net.client_connection import ClientConnection

# A silent or lingering connection is not evicted until this time has passed; prompt clients send a message within it.
EVICTION_GRACE_MS = 30.0
SWEEP_INTERVAL_MS = 100.0  # between two checks for overdue connections
PAUSE_RETRY_MS = 10.0  # between two tries to make room while accepting is paused
PAUSE_LIMIT_MS = 200.0  # pause after which new connections are accepted and their requests rejected
ACCEPT_BATCH = 10  # maximum number of connections accepted per reactor pass


class ConnectionLimits:
    """Tracks the connections of one listener and evicts some of them when there are too many."""

    def __init__(self, clock: Clock, max_clients: int, spare_clients: int) -> None:
        self._clock = clock
        self.max_clients, self.spare_clients = max_clients, spare_clients
        self.clients: set[ClientConnection] = set()
        # Connections by what they wait for, with the time in ms since when, oldest first. A connection is in at most
        # one of these; only those in `_partial` may have an open request.
        self._silent: dict[ClientConnection, float] = {}  # no complete message yet
        self._partial: dict[ClientConnection, float] = {}  # a partial message
        self._idle: dict[ClientConnection, float] = {}
        self._lingering: dict[ClientConnection, float] = {}  # our side is shut down
        self._port: Any = None
        self._accept_paused = False
        self._reject_new = False  # the pause was too long: requests of new connections are rejected
        self._sweeping = False

    def attach_port(self, port: Any) -> None:
        """Set the listening port."""
        self._port = port
        port.numberAccepts = ACCEPT_BATCH

    def detach_port(self) -> None:
        """Forget the listening port, which is closing: accepting is neither paused nor resumed any more."""
        self._port = None

    # Reports of the connections.

    def add(self, client: ClientConnection) -> None:
        """Add a new connection. Protects the descriptors and active clients against connections that send nothing."""
        self.clients.add(client)
        self._silent[client] = self._clock.now()
        self._start_sweeping()
        if len(self.clients) > self.max_clients:
            client.over_limit = self._reject_new
            self._make_room()

    def remove(self, client: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self.clients.discard(client)
        self._unclassify(client)
        if self._accept_paused:
            self._make_room()

    def update(self, client: ClientConnection, message_completed: bool = False) -> None:
        """Reclassify a connection on which something was received or sent, by what it waits for now."""
        now = self._clock.now()
        if client.closing or client.input_failed:
            since = self._lingering.get(client, now)
            self._unclassify(client)
            if client.closing or not client.requests:
                self._lingering[client] = since
            self._start_sweeping()
            return
        if not client.has_sent_message:
            return
        if client.reader.has_partial:
            if message_completed or client not in self._partial:
                self._unclassify(client)
                self._partial[client] = now
        else:
            self._unclassify(client)
            if not client.requests:
                self._idle[client] = now
        if len(self.clients) > self.max_clients:
            self._make_room()
        self._start_sweeping()

    def _unclassify(self, client: ClientConnection) -> None:
        for group in (self._silent, self._partial, self._idle, self._lingering):
            group.pop(client, None)

    # Eviction.

    def _make_room(self) -> None:
        """Close lingering connections, then those silent for a while, then the longest idle.

        Idle connections are closed only for new ones that have sent a message, not for silent ones. A closed
        connection counts until its descriptor is free.
        """
        now = self._clock.now()
        grace_ended_before = now - EVICTION_GRACE_MS
        while self._excess() and (client := _oldest(self._lingering, grace_ended_before)) is not None:
            self._end_lingering(client)
        while self._excess() > len(self._lingering):
            if (client := _oldest(self._silent, grace_ended_before)) is not None:
                self._evict_silent(client, now)
            elif self._excess() > len(self._silent) + len(self._lingering) and self._idle:
                self._evict_idle(next(iter(self._idle)))
            else:
                break
        # New connections beyond the spare places wait in the kernel's accept queue: others may end soon.
        full = len(self.clients) >= self.max_clients + self.spare_clients
        self._reject_new = self._reject_new and full
        self._set_accept_paused(full)

    def _excess(self) -> int:
        """Return the number of connections above `max_clients`."""
        return max(0, len(self.clients) - self.max_clients)

    def _evict_silent(self, client: ClientConnection, now: float) -> None:
        # Its message may be on its way, or unread because this process was stalled.
        if client.is_receiving(EVICTION_GRACE_MS) or not client.close("evicted-silent"):
            del self._silent[client]
            self._silent[client] = now

    def _evict_idle(self, client: ClientConnection) -> None:
        if not client.close("evicted-idle"):
            # It has an unread request, which would be lost: no longer idle.
            self._unclassify(client)

    def _end_lingering(self, client: ClientConnection) -> None:
        """End a connection whose client did not close its side in time."""
        self.clients.discard(client)
        self._unclassify(client)
        if client.closing:
            client.close_socket()
        else:  # it does not read its answers
            client.abort(client.close_reason)

    # Accepting.

    def _set_accept_paused(self, paused: bool) -> None:
        if self._port is None:
            return
        self._port.numberAccepts = ACCEPT_BATCH  # the reactor raises it under a flood, and then accepts many at once
        if paused != self._accept_paused:
            self._accept_paused = paused
            if paused:
                self._port.pauseProducing()
                self._clock.call_later(PAUSE_RETRY_MS, lambda: self._retry_accepting(1))
            else:
                self._port.resumeProducing()

    def _retry_accepting(self, tries: int) -> None:
        if self._accept_paused:
            self._make_room()
        if self._accept_paused and tries * PAUSE_RETRY_MS >= PAUSE_LIMIT_MS:  # no connection can be evicted
            self._reject_new = True
            self._set_accept_paused(False)
        elif self._accept_paused:
            self._clock.call_later(PAUSE_RETRY_MS, lambda: self._retry_accepting(tries + 1))

    # Time-outs.

    def _start_sweeping(self) -> None:
        if not self._sweeping:
            self._sweeping = True
            self._clock.call_later(SWEEP_INTERVAL_MS, self._sweep)

    def _sweep(self) -> None:
        """End overdue connections."""
        now = self._clock.now()
        for group, timeout_ms, reason in (
            (self._silent, FIRST_MESSAGE_TIMEOUT_MS, "no-message"),
            (self._partial, PARTIAL_MESSAGE_TIMEOUT_MS, "half-message"),
        ):
            for client in [client for client, since in group.items() if now - since > timeout_ms]:
                if not client.has_unread_input():
                    client.fail(reason)
        lingering = [c for c, since in self._lingering.items() if now - since > LINGERING_CLOSE_TIMEOUT_MS]
        for client in lingering:
            self._end_lingering(client)
        if self._excess():
            self._make_room()
        self._sweeping = bool(self._silent or self._partial or self._lingering)
        if self._sweeping:
            self._clock.call_later(SWEEP_INTERVAL_MS, self._sweep)


def _oldest(group: dict[ClientConnection, float], before: float) -> ClientConnection | None:
    """Return the first connection of a group if it joined the group before that time in ms."""
    return next((client for client, since in group.items() if since < before), None)
