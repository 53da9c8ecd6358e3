"""The directory's client: the endpoint list known at the start, then polled over DNS. Only whole answers count.

State: the list with its serial, and the query that is out. Called by the daemon's service, which it tells of each
change. What is in an answer is read by `dns` and `endpoints`, when to ask is decided by `poll_schedule`.
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
MAX_LOGGED_ERRORS = 16  # texts of errors kept: what comes from outside must not fill memory or the log
QUERY_IDS = 1 << 16  # how many there are, by DNS


class DirectoryClient(DatagramProtocol):
    """Keeps the endpoint list."""

    transport: Any = None  # zope's interfaces say nothing to the type checker

    def __init__(
        self,
        clock: Clock,
        resolver: tuple[str, int] | None,
        draw: Callable[[int], int],
        changed: Callable[[list[Endpoint], dict[str, tuple[str, int]]], None],
        drain_grace_ms: float = 0.0,
    ) -> None:
        """A client without a list.

        Args:
            clock: paces the queries.
            resolver: host and port of the directory; None to ask none.
            draw: `draw(n)` gives a random whole number below n.
            changed: called with the entries and the addresses by engine each time the list differs.
            drain_grace_ms: within which the settings want a drain heeded; 0 where they say nothing.
        """
        self._clock, self._draw, self._changed, self.resolver = clock, draw, changed, resolver
        self.endpoints: dict[str, DirectoryInstance] = {}  # by engine id
        self.serial = -1  # of the list
        self.synchronized = False  # a whole answer has come
        self.query_id: int | None = None  # of the query that is out
        self._timer: Timer | None = None  # of the next query, or of the time-out of the one that is out
        self._schedule = PollSchedule(draw, drain_grace_ms)
        # Errors logged since the last whole answer: each is logged once, not at each poll.
        self._logged_errors: set[str] = set()
        self._stopped = False
        self._start_times = StartTimes()

    def load_updates(self, serial: int, updates: list[dict[str, Any]]) -> None:
        """Take watch events, in order. What can't be read raises KeyError or ValueError and changes nothing."""
        self.endpoints, self.serial = apply_updates(self.endpoints, updates), serial
        self._notify()

    def change_resolver(self, resolver: tuple[str, int] | None) -> None:
        """Ask another directory from now on; the list and its serial stay."""
        # An answer that the old directory still sends is to no query of ours.
        self.resolver, self.query_id = resolver, None
        self._schedule.failures = 0
        self._cancel_timer()
        if self.transport is not None:
            self._query()

    def stop(self) -> None:
        """Ask no more."""
        self._stopped = True
        self._cancel_timer()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # Queries.

    def startProtocol(self) -> None:
        """The socket is open."""
        self._query()

    def _query(self) -> None:
        self._timer = None
        if self._stopped or self.resolver is None:
            return
        self.query_id = self._draw(QUERY_IDS)
        self._timer = self._clock.call_later(self._schedule.query_timeout(), self._query_timed_out)
        self.transport.write(dns.pack_query(self.query_id, SERVICE_NAME), self.resolver)

    def _query_timed_out(self) -> None:
        """A lost query is sent anew, later each time; what was known stays in use."""
        self._schedule.query_failed()
        self._log_error("directory-timeout", "no whole answer in time")
        self._query()

    def connectionRefused(self) -> None:
        """Nobody listens there just now; the time-out asks again."""
        self._log_error("directory-refused", "nobody listens there")

    def _log_error(self, event: str, error: str) -> None:
        if error not in self._logged_errors and len(self._logged_errors) < MAX_LOGGED_ERRORS:
            self._logged_errors.add(error)
            logger.warning("directory: {error}; list {serial} stays", event=event, serial=self.serial, error=error)

    # Answers.

    def datagramReceived(self, datagram: bytes, addr: object) -> None:
        """An answer; only the one to the query that is out counts."""
        try:
            reply = dns.read_reply(datagram)
            if reply.query_id != self.query_id:
                return
            endpoints = from_reply(reply)
        except (dns.DnsError, ValueError) as error:
            self._log_error("directory-answer-invalid", str(error))
            return
        self._answered()
        serial = reply.serial or 0
        if serial < self.serial:  # the directory, or one of several behind its address, lags
            self._log_error("directory-answer-stale", "a list older than the one known")
            return
        self._logged_errors.clear()
        is_new, self.synchronized = serial > self.serial or not self.synchronized, True
        self.serial = serial
        if is_new:
            self.endpoints = endpoints
            self._notify()
        else:
            self._start_times.list_confirmed(self._clock.now(), _wall_clock_ms())

    def _answered(self) -> None:
        """The query that was out has its answer."""
        self.query_id = None
        if self._timer is not None:
            self._timer.cancel()
        if self._schedule.failures:
            logger.info(
                "directory answers again after {failures} queries",
                event="directory-recovered",
                failures=self._schedule.failures,
            )
        self._timer = self._clock.call_later(self._schedule.next_query_delay(), self._query)

    def _notify(self) -> None:
        endpoints = self.endpoints.values()
        started = self._start_times.place(
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
        self._changed(entries, {endpoint.engine_id: endpoint.address for endpoint in endpoints})


def _wall_clock_ms() -> float:
    return time.time() * 1000.0
