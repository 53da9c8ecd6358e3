"""Limits on clients' connections: how many there are, for how long each may wait, how much they buffer.

A client that asked once and stays is welcome while there is room; one that never said anything is not. Where there are
too many, in this order: those in a lingering close go, then those silent for a while, then, for newcomers that have
said something, the longest idle. Where nobody can go, newcomers wait in the kernel's queue for a while, and are then
accepted to be rejected.

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

EVICTION_GRACE_MS = 30.0  # in which a new connection says something if it ever does soon
SWEEP_INTERVAL_MS = 100.0  # between looks for overdue connections
PAUSE_RETRY_MS = 10.0  # between tries to make room while accepting is paused
PAUSE_LIMIT_MS = 200.0  # without room, after which newcomers are accepted to be rejected
ACCEPT_BATCH = 10  # connections accepted in one go


class ConnectionLimits:
    """The connections of one listener and which of them may be evicted."""

    def __init__(self, clock: Clock, max_clients: int, spare_clients: int, max_buffered_bytes: int) -> None:
        self._clock = clock
        self.max_clients, self.spare_clients = max_clients, spare_clients
        self.max_buffered_bytes = max_buffered_bytes
        self.buffered_bytes = 0  # of all clients: left unread by them, or sent in part
        self.clients: set[ClientConnection] = set()
        # Connections by what they wait for, with the time (ms) since when, oldest first. Each is in one of these or in
        # none, and none has an open request but one whose message is sent in part.
        self._silent: dict[ClientConnection, float] = {}  # no whole message yet
        self._partial: dict[ClientConnection, float] = {}  # in the middle of a message
        self._idle: dict[ClientConnection, float] = {}
        self._lingering: dict[ClientConnection, float] = {}  # our half is closed
        self._port: Any = None
        self._accept_paused = False
        self._reject_newcomers = False  # the pause was too long: newcomers are accepted to be rejected
        self._sweeping = False

    def attach_port(self, port: Any) -> None:
        """Where connections come in."""
        self._port = port
        port.numberAccepts = ACCEPT_BATCH

    def detach_port(self) -> None:
        """The port closes: accepting is neither paused nor resumed any more."""
        self._port = None

    # What connections report.

    def add(self, client: ClientConnection) -> None:
        """A new connection. Guards the descriptors, and usual clients against those that only hold places."""
        self.clients.add(client)
        self._silent[client] = self._clock.now()
        self._start_sweeping()
        if len(self.clients) > self.max_clients:
            client.over_limit = self._reject_newcomers
            self._make_room()

    def remove(self, client: ClientConnection) -> None:
        """A connection has ended."""
        self.clients.discard(client)
        self._forget(client)
        self.buffered_bytes -= client.buffered_bytes
        client.buffered_bytes = 0
        if self._accept_paused:
            self._make_room()

    def update(self, client: ClientConnection, message_completed: bool = False) -> None:
        """Something came or went on a connection: file it anew by what it waits for."""
        now = self._clock.now()
        if client.closing or client.input_failed:
            since = self._lingering.get(client, now)
            self._forget(client)
            if client.closing or not client.requests:
                self._lingering[client] = since
            self._start_sweeping()
            return
        if not client.has_sent_message:
            return
        if client.reader.buffer:  # in the middle of a message
            if message_completed or client not in self._partial:
                self._forget(client)
                self._partial[client] = now
        else:
            self._forget(client)
            if not client.requests:
                self._idle[client] = now
        if len(self.clients) > self.max_clients:
            self._make_room()
        self._start_sweeping()

    def abort_largest(self) -> None:
        """Clients buffer too much in sum: end whoever buffers most."""
        max(self.clients, key=lambda client: client.buffered_bytes).abort("buffer-limit")

    def _forget(self, client: ClientConnection) -> None:
        for group in (self._silent, self._partial, self._idle, self._lingering):
            group.pop(client, None)

    # Eviction.

    def _make_room(self) -> None:
        """Close what waits for nothing: the lingering, the silent after a while, the longest idle.

        Those that have said something make room for others that have, not for the silent. What is closed counts until
        its descriptor is free.
        """
        now = self._clock.now()
        settled_before = now - EVICTION_GRACE_MS
        while self._excess() and (client := _oldest(self._lingering, settled_before)) is not None:
            self._end_lingering(client)
        while self._excess() > len(self._lingering):
            if (client := _oldest(self._silent, settled_before)) is not None:
                self._evict_silent(client, now)
            elif self._excess() > len(self._silent) + len(self._lingering) and self._idle:
                self._evict_idle(next(iter(self._idle)))
            else:
                break
        # What comes when no place is left waits in the kernel's queue: somebody may go soon.
        full = len(self.clients) >= self.max_clients + self.spare_clients
        self._reject_newcomers = self._reject_newcomers and full
        self._set_accept_paused(full)

    def _excess(self) -> int:
        """How many connections there are beyond those that may stay."""
        return max(0, len(self.clients) - self.max_clients)

    def _evict_silent(self, client: ClientConnection, now: float) -> None:
        if not client.close("evicted-silent"):  # its message lies unread: it is we who were stalled
            del self._silent[client]
            self._silent[client] = now

    def _evict_idle(self, client: ClientConnection) -> None:
        if not client.close("evicted-idle"):
            # A request that was written long before we close would be lost; it has only not been read yet.
            self._forget(client)

    def _end_lingering(self, client: ClientConnection) -> None:
        """Its time to close from its own side is over."""
        self.clients.discard(client)
        self._forget(client)
        if client.closing:
            client.close_socket()
        else:  # it doesn't read what it is told
            client.abort(client.close_reason)

    # Accepting.

    def _set_accept_paused(self, paused: bool) -> None:
        if self._port is None:
            return
        self._port.numberAccepts = ACCEPT_BATCH  # the reactor raises it under a flood, and accepts the lot in one go
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
        if self._accept_paused and tries * PAUSE_RETRY_MS >= PAUSE_LIMIT_MS:  # everybody has a request open
            self._reject_newcomers = True
            self._set_accept_paused(False)
        elif self._accept_paused:
            self._clock.call_later(PAUSE_RETRY_MS, lambda: self._retry_accepting(tries + 1))

    # Time-outs.

    def _start_sweeping(self) -> None:
        if not self._sweeping:
            self._sweeping = True
            self._clock.call_later(SWEEP_INTERVAL_MS, self._sweep)

    def _sweep(self) -> None:
        """End what is overdue."""
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
    """The first of a group if it is in it since before then (ms)."""
    return next((client for client, since in group.items() if since < before), None)
