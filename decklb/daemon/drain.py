"""Graceful shutdown: from SIGTERM until the reactor stops, before SIGKILL comes.

Owns the timers of the shutdown. The service begins it; everything else follows from time and from the last request.
"""

from __future__ import annotations

from typing import Any

from decklb.core.ports import Clock
from decklb.daemon.discovery import Discovery
from decklb.daemon.lifecycle import Lifecycle, LifecycleState
from decklb.daemon.request_path import RequestPath
from decklb.daemon.subsystems.registry import Subsystems

# ms: SIGKILL comes after SIGTERM no sooner than the longest deadline, counted as this at the most, plus the grace.
MAX_DEADLINE_MS = 3000.0
# ms before SIGKILL could come at which what is still open is answered.
LAST_ANSWERS_MARGIN_MS = 100.0
# ms after SIGTERM in which clients that do not know yet are still taken in: the front layer learns late.
GRACE_MS = 700.0
# ms for last answers to leave, once the last request has been answered.
FLUSH_MS = 500.0
# ms between looks whether some client is still in the middle of a message or of an answer.
FLUSH_POLL_MS = 50.0
# Seconds for taking in connections that wait in the kernel's accept queue, in spite of errors.
ACCEPT_QUEUE_TIMEOUT_S = 0.5
# Connections that may wait in the kernel's accept queue.
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
        self._exit_by_ms = 0.0  # the process exits then, whoever still waits: it is killed soon after
        self.port: Any = None  # the listening port, from when it is open on

    def begin(self) -> None:
        """Tell clients, and answer what is under way. The state is DRAINING already and readiness gone."""
        if self._subsystems.handoff is None:  # else requests in flight are still answered as a member
            self._subsystems.leave_cluster()
        self._front.announce_drain()
        self._clock.call_later(GRACE_MS, self._empty_accept_queue)
        self._exit_by_ms = self._clock.now() + self._longest_deadline_ms + GRACE_MS - 2 * LAST_ANSWERS_MARGIN_MS
        last_answers_after = max(GRACE_MS, self._longest_deadline_ms - LAST_ANSWERS_MARGIN_MS)
        self._clock.call_later(last_answers_after, self._dispatcher.shut_down)

    def _empty_accept_queue(self) -> None:
        # Whoever waits there has been told that it is connected, and may have sent a request: closing would reset it.
        self.port.drain_accept_queue(ACCEPT_BACKLOG, ACCEPT_QUEUE_TIMEOUT_S, self._close_port)

    def _close_port(self) -> None:
        self.port.stopListening()
        self._dispatcher.on_idle = self._last_request_answered
        self._front.drain()
        if not self._dispatcher.open_requests:
            self._last_request_answered()

    def _last_request_answered(self) -> None:
        if self._lifecycle.state is LifecycleState.STOPPING:
            return
        self._lifecycle.state = LifecycleState.STOPPING
        self._discovery.stop()
        self._engines.close()
        self._subsystems.stop_bgp()
        if self._subsystems.handoff is not None:  # last answers wait for a quorum before they are given
            self._clock.call_later(FLUSH_MS / 2, self._subsystems.leave_cluster)
        self._clock.call_later(FLUSH_MS, self._exit_when_flushed)

    def _exit_when_flushed(self) -> None:
        """Exit once no client is in the middle of a message or of an answer, or when there is no time left."""
        if self._front.has_pending_clients and self._clock.now() < self._exit_by_ms:
            self._clock.call_later(FLUSH_POLL_MS, self._exit_when_flushed)
        else:
            self._reactor.stop()
