"""The process: builds the parts, opens the sockets, answers for readiness, reloads on SIGHUP, drains on SIGTERM."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.error import CannotListenError

from decklb.config import Config, ConfigError
from decklb.core.ports import Timer
from decklb.daemon.assembly import assemble, cluster, handoff, locality, maintenance, speaker
from decklb.daemon.garbage import Collector
from decklb.interface import Entry, Outcome, Phase
from decklb.net.directory_client import DirectoryClient
from decklb.wire.clock import ReactorClock

# SIGKILL comes after SIGTERM no sooner than the longest deadline, counted as 3 s at the most, and 0.7 s more.
LONGEST, LAST_CALL = 3000.0, 100.0  # ms; what is open so long before that is answered then
GRACE = 700.0  # ms after SIGTERM in which clients that do not know yet are still taken in
HEARD = 3000.0  # ms after which the list of the start must do where the directory does not answer
FLUSH, AGAIN = 500.0, 50.0  # ms for last answers to leave; between looks whether some client is owed more
REOPEN = 500.0  # ms until the directory's socket is tried again
EMPTYING = 0.5  # seconds in which a drain takes in who waits in the machine's queue, in spite of errors
BACKLOG = 512  # connections that may wait in the machine's queue


class Service:
    """One workload manager."""

    def __init__(self, reactor: Any, config: Config, again: Callable[[], Config]) -> None:
        """`again` reads the configuration anew, for each SIGHUP."""
        self.reactor, self.config, self.again = reactor, config, again
        self.clock = ReactorClock(reactor)
        self.rng = random.Random(config.seed)
        parts = assemble(reactor, self.clock, config, self.rng.randrange, self.ready)
        self.dispatcher, self.front, self.engines = parts.dispatcher, parts.front, parts.engines
        if (unread_for := getattr(reactor, "unread_for_s", None)) is not None:
            self.dispatcher.unread_for = lambda: 1000.0 * unread_for()
        self.speaker = speaker(reactor, self.clock, config)
        self.cluster = cluster(reactor, self.clock, config, self._probed)
        self.handoff = handoff(reactor, self.clock, config, parts, self.cluster)
        self.locality = locality(reactor, self.clock, config, parts, self.cluster)
        self.maintenance = maintenance(
            reactor, self.clock, config, parts, self.cluster, self.locality, self._relist, self.terminate
        )
        self.listed: tuple[list[Entry], dict[str, tuple[str, int]]] = [], {}  # the list as the directory has it
        self.directory = DirectoryClient(
            self.clock, config.resolver, self.rng.randrange, self._list, config.settings.drain_grace
        )
        self.up = 0  # engines that the list calls up
        self.listening = self.stopping = self.late = False
        self.port: Any = None
        self.final: Timer | None = None
        self.latest = 0.0  # by when we exit, whoever still waits: soon after we are killed

    def start(self) -> None:
        """Open everything. Raises what Twisted raises when the address can't be had."""
        c = self.config
        self.directory.load_updates(c.index, c.updates)
        if c.resolver is None:
            self.late = True
        else:
            self._open_directory()
            self.clock.call_later(HEARD, self._no_word)
        self.port = self.reactor.listenTCP(c.listen[1], self.front, backlog=BACKLOG, interface=c.listen[0])
        self.front.listens(self.port)
        self.listening = True
        if self.speaker is not None:
            self.speaker.start()
        if self.cluster is not None:
            self.cluster.start()
        if self.handoff is not None:
            self.handoff.start()
        if self.locality is not None:
            self.locality.start()
        if self.maintenance is not None:
            self.maintenance.start()
        if c.control:
            self._open_control(c.control)
        self._say()
        logger.info(
            "{name} listens on {host}:{port}, {clients} clients at most",
            event="listening",
            name=c.name,
            host=c.listen[0],
            port=self.port.getHost().port,
            clients=c.most_clients,
        )

    def _open_directory(self) -> None:
        if self.stopping or self.directory.transport is not None:
            return
        try:
            self.reactor.listenUDP(0, self.directory, interface=self.config.listen[0], maxPacketSize=65536)
        except CannotListenError as error:  # the list of the start serves until then
            logger.warning(
                "directory: no socket to ask with: {error}", event="directory-no-socket", error=str(error.socketError)
            )
            self.clock.call_later(REOPEN, self._open_directory)

    def _open_control(self, path: str) -> None:
        from decklb.daemon.control import listen

        plan = self.maintenance
        listen(
            self.reactor,
            path,
            {
                "members": self._members,
                "duties": self._duties,
                "handoff": self._handoff,
                "zones": self._zones,
                "plan": lambda: {} if plan is None else plan.status(),
            },
            {}
            if plan is None
            else {
                "plan-request": plan.request_maintenance,
                "plan-cancel": plan.cancel,
                "plan-back": plan.mark_returned,
            },
        )

    def _members(self) -> dict[str, Any]:
        if self.cluster is None:
            return {"members": [], "health": {"minority": False, "yielding": False}}
        return {"members": self.cluster.member_rows(), "health": self.cluster.health()}

    def _duties(self) -> list[dict[str, Any]]:
        return [] if self.cluster is None else self.cluster.duty_rows()

    def _handoff(self) -> dict[str, Any]:
        return {} if self.handoff is None else self.handoff.coordinator.figures()

    def _zones(self) -> dict[str, Any]:
        return {} if self.locality is None else self.locality.status()

    def _probed(self, engine: str, up: bool) -> None:
        """What the members hold of an engine that the list calls up."""
        self.dispatcher.probed(engine, Outcome.GOOD if up else Outcome.NOCONN)

    def reload(self) -> None:
        """SIGHUP: take the new directory and a newer list; the rest holds from the start on. No connection ends."""
        if self.stopping:
            return
        try:
            new = self.again()
            if new.index > self.directory.serial:
                self.directory.load_updates(new.index, new.updates)
        except (ConfigError, LookupError, TypeError, ValueError) as error:
            # Guards against a file that is half written or wrong: what serves goes on serving.
            return logger.error(
                "SIGHUP: configuration kept, the new one can't be used: {error}",
                event="reload-refused",
                error=repr(error),
            )
        kept = [
            name
            for name in (
                "name",
                "listen",
                "sockets",
                "memory",
                "settings",
                "limits",
                "postgres",
                "bgp",
                "cluster",
                "handoff",
                "locality",
                "maintenance",
                "control",
            )
            if getattr(new, name) != getattr(self.config, name)
        ]
        if kept:
            logger.warning(
                "SIGHUP: a restart is needed for a change of {parts}", event="reload-partial", parts=", ".join(kept)
            )
        if new.resolver != self.directory.resolver:
            self.directory.change_resolver(new.resolver)
            if self.directory.transport is None:
                self._open_directory()
        if self.cluster is not None:
            self.cluster.reload()
        if self.handoff is not None:
            self.handoff.reload()
        logger.info(
            "SIGHUP: configuration read, list {index}, resolver {resolver}",
            event="reloaded",
            index=self.directory.serial,
            resolver=new.resolver,
        )

    def ready(self) -> bool:
        """Whether a request sent now would be served as well as any."""
        return self.listening and not self.stopping and self.up > 0 and (self.directory.synchronized or self.late)

    def _no_word(self) -> None:
        self.late = True
        self._say()

    def _say(self) -> None:
        """The service address is announced exactly while we are ready."""
        if self.speaker is not None:
            self.speaker.announce(self.ready())

    def _list(self, entries: list[Entry], addresses: dict[str, tuple[str, int]]) -> None:
        self.listed = entries, addresses
        if self.maintenance is not None:
            entries = self.maintenance.apply_plan(entries, addresses)
        self.up = sum(e.phase is Phase.UP for e in entries)
        self.engines.update_endpoints(addresses)
        self.dispatcher.members(entries)
        if self.cluster is not None:
            until = time.time() * 1000.0 - self.clock.now() + self.config.settings.cold
            self.cluster.set_engines(
                {e.engine: e.ready_at + until if e.ready_at else 0.0 for e in entries},
                {e.engine for e in entries if e.phase is Phase.UP},
                addresses,
            )
        if self.locality is not None:
            self.locality.update_engines(entries, addresses)
        self._say()

    def _relist(self) -> None:
        """The plan has changed what may be used of the list."""
        self._list(*self.listed)

    def terminate(self, *_: object) -> None:
        """SIGTERM: not ready from now on, but what is under way to us is still taken."""
        if self.stopping:
            return
        self.stopping = True
        logger.info("SIGTERM: draining, {open} requests open", event="draining", open=self.dispatcher.open)
        self._say()
        if self.handoff is None:  # else what is in hand is still answered as a member
            self._leave()
        self.front.announce()
        self.clock.call_later(GRACE, self._drain)
        longest = min(LONGEST, max(c.deadline for c in self.config.settings.classes.values()))
        self.latest = self.clock.now() + longest + GRACE - 2 * LAST_CALL
        self.clock.call_later(max(GRACE, longest - LAST_CALL), self.dispatcher.close)

    def _leave(self) -> None:
        if self.handoff is not None:
            self.handoff.close()
        if self.maintenance is not None:
            self.maintenance.close()
        if self.locality is not None:
            self.locality.close()
        if self.cluster is not None:
            self.cluster.close()

    def _drain(self) -> None:
        self.listening = False
        # Whoever waits in the machine's queue has been told that it is connected, and may have sent a request: closing
        # would reset it.
        self.port.drain_accept_queue(BACKLOG, EMPTYING, self._close_port)

    def _close_port(self) -> None:
        self.port.stopListening()
        self.dispatcher.on_idle = self._stop
        self.front.close()
        if not self.dispatcher.open:
            self._stop()

    def _stop(self) -> None:
        if self.final is None:
            self.directory.stop()
            self.engines.close()
            if self.speaker is not None:
                self.speaker.close()
            if self.handoff is not None:
                self.clock.call_later(FLUSH / 2, self._leave)  # last answers wait for a quorum before they are given
            self.final = self.clock.call_later(FLUSH, self._end)

    def _end(self) -> None:
        """Exit once no client is in the middle of a message or of an answer, or when there is no time left."""
        if self.front.owing and self.clock.now() < self.latest:
            self.final = self.clock.call_later(AGAIN, self._end)
        else:
            self.reactor.stop()

    def run(self) -> None:
        """Serve until the end."""
        # Before anybody can connect: the defaults, and the reactor's own for SIGTERM, would end the process at once,
        # with what it has taken.
        for number, call in (
            (signal.SIGHUP, self.reload),
            (signal.SIGTERM, self.terminate),
            (signal.SIGINT, self.reactor.stop),
        ):
            signal.signal(number, lambda *_, call=call: self.reactor.callFromThread(call))
        self.start()
        Collector(self.clock, lambda: not self.dispatcher.open).start()
        self.reactor.run(installSignalHandlers=False)
