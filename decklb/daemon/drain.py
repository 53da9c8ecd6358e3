"""Graceful shutdown: everything between SIGTERM and the stop of the reactor, in time before SIGKILL.

The service begins the drain; its further steps follow from timers and from the end of the last request.
"""

from __future__ import annotations

from typing import Any

from decklb.core.ports import Clock
from decklb.daemon.discovery import Discovery
from decklb.daemon.lifecycle import Lifecycle, LifecycleState
from decklb.daemon.request_path import RequestPath
from decklb.daemon.subsystems.registry import Subsystems

# Upper bound of the longest deadline in ms. SIGKILL follows SIGTERM no sooner than the longest deadline, limited to
# this value, plus GRACE_MS.
MAX_DEADLINE_MS = 3000.0
# The remaining requests are answered this many ms before the longest deadline, counted from SIGTERM, but not before
# GRACE_MS have passed. If clients still wait after that, the process exits twice this time before the earliest SIGKILL.
LAST_ANSWERS_MARGIN_MS = 100.0
# ms after SIGTERM during which new clients are still accepted, since the layer in front learns of the drain late.
GRACE_MS = 700.0
# Minimum ms from the last answer until the process exits, for sending the answers that are still buffered.
FLUSH_MS = 500.0
# ms between two checks whether a client is still in the middle of a message or an answer.
FLUSH_POLL_MS = 50.0
# Seconds for which accepting the connections in the kernel's accept queue is retried after errors.
ACCEPT_QUEUE_TIMEOUT_S = 0.5
# Length of the kernel's accept queue in connections.
ACCEPT_BACKLOG = 512


class Drain:
    """The shutdown of one process."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        lifecycle: Lifecycle,
        request_path: RequestPath,
        discovery: Discovery,
        subsystems: Subsystems,
        longest_deadline_ms: float,
    ) -> None:
        self._reactor, self._clock, self._lifecycle = reactor, clock, lifecycle
        self._dispatcher, self._front, self._engines = request_path.dispatcher, request_path.front, request_path.engines
        self._discovery, self._subsystems = discovery, subsystems
        self._longest_deadline_ms = min(MAX_DEADLINE_MS, longest_deadline_ms)
        self._exit_by_ms = 0.0  # time in ms at which the process exits even if clients wait; SIGKILL comes soon after
        self.port: Any = None  # the listening port, once it is open

    def begin(self) -> None:
        """Notify the clients and start the timers of the drain. The state is already DRAINING."""
        # With handoff, the process stays a member until its requests in flight have been answered.
        if self._subsystems.handoff is None:
            self._subsystems.leave_cluster()
        self._front.announce_drain()
        self._clock.call_later(GRACE_MS, self._empty_accept_queue)
        self._exit_by_ms = self._clock.now() + self._longest_deadline_ms + GRACE_MS - 2 * LAST_ANSWERS_MARGIN_MS
        answer_open_after_ms = max(GRACE_MS, self._longest_deadline_ms - LAST_ANSWERS_MARGIN_MS)
        self._clock.call_later(answer_open_after_ms, self._dispatcher.shut_down)

    def _empty_accept_queue(self) -> None:
        # The clients in the queue are connected from their point of view and may have sent requests: closing the port
        # would reset their connections.
        self.port.drain_accept_queue(ACCEPT_BACKLOG, ACCEPT_QUEUE_TIMEOUT_S, self._close_port)

    def _close_port(self) -> None:
        self.port.stopListening()
        self._dispatcher.on_idle = self._on_all_answered
        self._front.drain()
        if not self._dispatcher.open_requests:
            self._on_all_answered()

    def _on_all_answered(self) -> None:
        if self._lifecycle.state is LifecycleState.STOPPING:
            return
        self._lifecycle.state = LifecycleState.STOPPING
        self._discovery.stop()
        self._engines.close()
        self._subsystems.stop_bgp()
        if self._subsystems.handoff is not None:  # the last answers are sent only after a quorum has confirmed them
            self._clock.call_later(FLUSH_MS / 2, self._subsystems.leave_cluster)
        self._clock.call_later(FLUSH_MS, self._exit_when_flushed)

    def _exit_when_flushed(self) -> None:
        """Exit once no client is in the middle of a message or an answer, or when no time is left."""
        if self._front.has_pending_clients and self._clock.now() < self._exit_by_ms:
            self._clock.call_later(FLUSH_POLL_MS, self._exit_when_flushed)
        else:
            self._reactor.stop()
