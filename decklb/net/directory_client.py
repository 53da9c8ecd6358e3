"""The client of the service directory: keeps the endpoint list, initially the configured one, then polled over DNS.

Incomplete answers are ignored. State: the list with its serial, and the pending query. Owned by the daemon's discovery,
which it notifies of each change. `dns` and `endpoints` decode the answers, `poll_schedule` decides when to poll.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.protocol import DatagramProtocol

from decklb.core.ports import Clock, Timer
from decklb.interface import Endpoint, Phase
from decklb.net import dns
from decklb.net.endpoints import DirectoryInstance, apply_updates, from_reply
from decklb.net.poll_schedule import PollSchedule
from decklb.net.start_times import StartTimes

SERVICE_NAME = "_api._tcp.svc.local"  # the name whose SRV records list the engines
MAX_LOGGED_ERRORS = 16  # distinct error messages kept and logged, since invalid input must not fill memory or the log
QUERY_ID_COUNT = 1 << 16  # DNS query ids have 16 bits


class DirectoryClient(DatagramProtocol):
    """Keeps the endpoint list up to date."""

    transport: Any = None  # the type checker does not understand zope interfaces

    def __init__(
        self,
        clock: Clock,
        resolver: tuple[str, int] | None,
        random_below: Callable[[int], int],
        on_change: Callable[[list[Endpoint], dict[str, tuple[str, int]]], None],
        drain_grace_ms: float = 0.0,
    ) -> None:
        """Create a client with an empty list.

        Args:
            clock: schedules the queries.
            resolver: host and port of the directory; None: no polling.
            random_below: `random_below(n)` returns a random integer from 0 to n - 1.
            on_change: called with the entries and the addresses by engine id each time the list changes.
            drain_grace_ms: ms after a drain notice in which an attempt may still start; 0: unspecified.
        """
        self._clock, self._random_below, self._on_change, self.resolver = clock, random_below, on_change, resolver
        self.endpoints: dict[str, DirectoryInstance] = {}  # by engine id
        self.serial = -1  # version of the list
        self.synchronized = False  # a complete answer has been received
        self.query_id: int | None = None  # of the pending query
        self._timer: Timer | None = None  # starts the next query, or is the time-out of the pending one
        self._schedule = PollSchedule(random_below, drain_grace_ms)
        # Errors logged since the last complete answer, so that each is logged once and not at every poll.
        self._logged_errors: set[str] = set()
        self._stopped = False
        self._start_times = StartTimes()

    def load_updates(self, serial: int, updates: list[dict[str, Any]]) -> None:
        """Apply watch events in order. If one is invalid, raises KeyError or ValueError and changes nothing."""
        self.endpoints, self.serial = apply_updates(self.endpoints, updates), serial
        self._notify()

    def change_resolver(self, resolver: tuple[str, int] | None) -> None:
        """Poll another directory from now on; the list and its serial are kept."""
        # Clears the query id, so that a late answer of the old directory is ignored.
        self.resolver, self.query_id = resolver, None
        self._schedule.failures = 0
        self._cancel_timer()
        if self.transport is not None:
            self._query()

    def stop(self) -> None:
        """Stop polling."""
        self._stopped = True
        self._cancel_timer()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # Queries.

    def startProtocol(self) -> None:
        """Called when the socket is open."""
        self._query()

    def _query(self) -> None:
        self._timer = None
        if self._stopped or self.resolver is None:
            return
        self.query_id = self._random_below(QUERY_ID_COUNT)
        self._timer = self._clock.call_later(self._schedule.query_timeout(), self._query_timed_out)
        self.transport.write(dns.pack_query(self.query_id, SERVICE_NAME), self.resolver)

    def _query_timed_out(self) -> None:
        """Send the query again, with a longer time-out each time; the known list stays in use."""
        self._schedule.query_failed()
        self._log_error("directory-timeout", "no complete answer within the time-out")
        self._query()

    def connectionRefused(self) -> None:
        """Called when nothing listens at the address; the query is sent again after its time-out."""
        self._log_error("directory-refused", "nothing listens at its address")

    def _log_error(self, event: str, error: str) -> None:
        if error not in self._logged_errors and len(self._logged_errors) < MAX_LOGGED_ERRORS:
            self._logged_errors.add(error)
            logger.warning("directory: {error}; keeping list {serial}", event=event, serial=self.serial, error=error)

    # Answers.

    def datagramReceived(self, datagram: bytes, addr: object) -> None:
        """Handle an answer; ignored unless it answers the pending query."""
        try:
            reply = dns.read_reply(datagram)
            if reply.query_id != self.query_id:
                return
            endpoints = from_reply(reply)
        except (dns.DnsError, ValueError) as error:
            self._log_error("directory-answer-invalid", str(error))
            return
        self._query_answered()
        serial = reply.serial or 0
        if serial < self.serial:  # the directory, or one of several servers behind its address, lags behind
            self._log_error("directory-answer-stale", "the answer has an older list than the known one")
            return
        self._logged_errors.clear()
        is_new, self.synchronized = serial > self.serial or not self.synchronized, True
        self.serial = serial
        if is_new:
            self.endpoints = endpoints
            self._notify()
        else:
            self._start_times.list_confirmed(self._clock.now(), _wall_clock_ms())

    def _query_answered(self) -> None:
        """End the pending query and schedule the next one."""
        self.query_id = None
        if self._timer is not None:
            self._timer.cancel()
        if self._schedule.failures:
            logger.info(
                "directory answers again after {failures} failed queries",
                event="directory-recovered",
                failures=self._schedule.failures,
            )
        self._timer = self._clock.call_later(self._schedule.next_query_delay(), self._query)

    def _notify(self) -> None:
        endpoints = self.endpoints.values()
        started = self._start_times.convert(
            [(endpoint.engine_id, endpoint.started_at_ms) for endpoint in endpoints],
            self._clock.now(),
            _wall_clock_ms(),
            self.synchronized,
        )
        entries = [
            Endpoint(
                endpoint.engine_id,
                endpoint.zone,
                endpoint.machine_type,
                endpoint.cell,
                endpoint.phase,
                endpoint.weight,
                started[endpoint.engine_id],
            )
            for endpoint in endpoints
        ]
        logger.info(
            "endpoint list {serial}: {engines} engines, {draining} draining",
            event="endpoint-list-changed",
            serial=self.serial,
            engines=len(entries),
            draining=sum(entry.phase is Phase.DRAINING for entry in entries),
        )
        self._on_change(entries, {endpoint.engine_id: endpoint.address for endpoint in endpoints})


def _wall_clock_ms() -> float:
    return time.time() * 1000.0
