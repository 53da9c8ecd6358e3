"""The keeper on real connections and a clock: carries out what it decides, and logs what it notices.

Each pair of members shares one connection, on which all words pass in order: leases rest on that. The member whose
name sorts first opens it, from the address it binds, to where membership says the other is.
"""

from __future__ import annotations

import os
import random
from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import ClientFactory, Factory
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from decklb.cluster import keyfile
from decklb.cluster.errors import KeyFileError, WireError
from decklb.cluster.runtime import ClusterService
from decklb.cluster.sealing import SALT_BYTES, Sealer
from decklb.core.ports import Clock, Timer
from decklb.handoff import messages as m
from decklb.handoff.guard import Guard
from decklb.handoff.keeper import Hooks, Keeper
from decklb.handoff.settings import HandoffSettings

if TYPE_CHECKING:
    from decklb.handoff.store import Store

TICK = 25.0  # ms
CONNECT = 1000.0  # ms for a connection to come up
DIAL = (100.0, 2000.0)  # ms before another try at a member, doubled from the first to the second
GREET = 2000.0  # ms for a greeting and the first frame after it
SILENT = 2.0  # leases without a word after which a connection is taken for dead
MOST_UNREAD = 64 << 20  # bytes that a member may leave unread


class Link(Int32StringReceiver):
    """A connection to one member."""

    MAX_LENGTH = m.MOST_FRAME
    transport: Any

    def __init__(self, service: HandoffService) -> None:
        self.service = service
        self.nonce = os.urandom(16)
        self.hello: m.Hello | None = None
        self.up = self.closed = self.stuck = False
        self.sent_seq = self.seen_seq = 0
        self.heard = service.clock.now()
        self.reason = "peer-closed"
        self.peer = ""  # as expected, or as it said

    def connectionMade(self) -> None:
        """Both sides greet at once."""
        self.service.links.add(self)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        k = self.service.keeper
        now = self.service.clock.now()
        self._frame(m.pack(m.Hello(m.VERSION, k.me, k.run, k.memory, min(1e12, now - k.born), self.nonce)))

    def pauseProducing(self) -> None:
        """The member reads slowly."""
        self.stuck = True

    def resumeProducing(self) -> None:
        """All that was written has gone."""
        self.stuck = False

    def stopProducing(self) -> None:
        """The connection is ending."""

    def _frame(self, plain: bytes) -> None:
        self.sendString(self.service.sealer.seal(plain))  # type: ignore[no-untyped-call]

    def say(self, words: list[bytes]) -> None:
        """Words to the member, in order."""
        assert self.hello is not None
        for at in range(0, max(1, len(words)), m.MOST_BODY):
            self.sent_seq += 1
            self._frame(m.envelope(self.hello.nonce, self.sent_seq, words[at : at + m.MOST_BODY]))

    def stringReceived(self, data: bytes) -> None:
        """One frame."""
        if self.closed:
            return
        try:
            plain = self.service.sealer.open(data)
            if self.hello is None:
                return self._greeted(m.read_hello(plain))
            found = m.read(plain)
            self.seen_seq += 1
            if found.nonce != self.nonce or found.seq != self.seen_seq:
                raise m.FrameError("replay")
        except (m.FrameError, WireError) as error:
            return self.end(f"bad-frame: {error}")
        self.heard = self.service.clock.now()
        if not self.up:
            self.up = True
            self.service.joined(self)
        self.service.heard(self, found.body)

    def _greeted(self, hello: m.Hello) -> None:
        if hello.member == self.service.keeper.me or self.peer and hello.member != self.peer:
            return self.end(f"other-member: {hello.member}")
        self.hello, self.peer = hello, hello.member
        self.say([])  # proves that we read the greeting, which could be an old one

    def lengthLimitExceeded(self, length: int) -> None:
        """No frame is so long."""
        self.end("too-long")

    def end(self, reason: str) -> None:
        """End it at once."""
        if not self.closed:
            self.closed, self.reason = True, reason
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """One line in the log."""
        self.closed = True
        self.service.left(self)
        logger.info(
            "handoff connection ended: {reason} member={member}",
            event="handoff-connection-ended",
            reason=self.reason,
            member=self.peer or "?",
        )


class Door(Factory):
    """Members that come to us."""

    noisy = False

    def __init__(self, service: HandoffService) -> None:
        self.service = service

    def buildProtocol(self, addr: Any) -> Link:
        """A connection."""
        return Link(self.service)


class HandoffService:
    """One member's records, on the connections to the others."""

    def __init__(
        self, reactor: Any, clock: Clock, settings: HandoffSettings, cluster: ClusterService, guard: Guard
    ) -> None:
        self.reactor, self.clock, self.settings, self.cluster, self.guard = reactor, clock, settings, cluster, guard
        me, now = cluster.node.membership.local, clock.now()
        self.store: Store | None = None
        memory, born, kept = me.run_id, now, list[Any]()
        if settings.data:
            from decklb.handoff.store import Store, boot_id

            self.store = Store(settings.data, settings.room)
            memory, born, kept = self.store.open(me.name, me.run_id, now, boot_id())
        self.keeper = Keeper(
            settings,
            me.name,
            me.run_id,
            memory,
            now - born,
            random.Random(os.urandom(16)),
            now,
            Hooks(guard.adopt, guard.stop),
        )
        for k in kept:
            self.keeper.table.restore(k.key, k.record, k.body, k.granted, now)
        self.kept = len(kept)
        guard.keeper, guard.pump = self.keeper, self.pump
        self.sealer = self._sealer()
        self.links: set[Link] = set()
        self.peers: dict[str, Link] = {}
        self.dials: dict[str, tuple[float, float]] = {}  # when to try next, and the wait after that
        self.port: Any = None
        self.timer: Timer | None = None
        self.pumping = self.closed = False

    def _sealer(self) -> Sealer:
        keys = keyfile.read(self.cluster.settings.key_file)
        # Another name than the datagrams': what is sealed for one is no use for the other.
        return Sealer(
            f"{self.cluster.settings.membership.cluster_name}/handoff",
            [k.secret for k in keys],
            os.urandom(SALT_BYTES),
            m.MOST_FRAME,
        )

    def start(self) -> None:
        """Open the socket. Raises what Twisted raises when the address can't be had."""
        host, port = self.cluster.settings.bind_address
        self.port = self.reactor.listenTCP(port, Door(self), interface=host)
        logger.info(
            "handoff on {host}:{port}, {copies} voters a key, {members} members, {kept} keys kept on disk",
            event="handoff-listening",
            host=host,
            port=port,
            copies=self.settings.copies,
            members=self.settings.members,
            kept=self.kept,
        )
        self._tick()

    def reload(self) -> None:
        """Read the keys anew; the cluster has logged what was wrong with them."""
        try:
            self.sealer = self._sealer()
        except KeyFileError:
            return

    def _tick(self) -> None:
        self.timer = self.clock.call_later(TICK, self._tick)
        now, view = self.clock.now(), self.cluster.node.membership
        live = {n: view.members[n].run_id for n in view.live_names()}
        self.keeper.members(now, live | {self.keeper.me: self.keeper.run}, view.members.keys())
        if self.sealer.needs_new_salt:
            self.reload()
        for link in list(self.links):
            silent = now - link.heard > (SILENT * self.settings.lease if link.up else GREET)
            if silent or link.stuck and len(link.transport.dataBuffer) > MOST_UNREAD:
                link.end("silent" if silent else "slow-reader")
        for name in live:
            if self.keeper.me < name and name not in self.peers:
                self._dial(now, name, view.members[name].address)
        self.keeper.tick(now)
        self.pump()

    def _dial(self, now: float, name: str, address: tuple[str, int]) -> None:
        due, wait = self.dials.get(name, (0.0, DIAL[0]))
        if now < due or any(x.peer == name for x in self.links):
            return
        self.dials[name] = (now + wait, min(DIAL[1], 2 * wait))

        def make() -> Link:
            link = Link(self)
            link.peer = name
            return link

        factory: Any = ClientFactory.forProtocol(make)
        factory.noisy = False
        dialled: Any = TCP4ClientEndpoint(
            self.reactor, *address, timeout=CONNECT / 1000, bindAddress=(self.cluster.settings.bind_address[0], 0)
        ).connect(factory)
        dialled.addErrback(
            lambda why: logger.debug(
                "member {member} can't be reached: {why}",
                event="handoff-no-connection",
                member=name,
                why=why.type.__name__,
            )
        )

    # What connections call.

    def joined(self, link: Link) -> None:
        """A member has proved who it is. A second connection replaces the first."""
        assert link.hello is not None
        before = self.peers.get(link.peer)
        if before is not None:
            self.keeper.unlinked(self.clock.now(), link.peer)
            before.end("replaced")
        self.peers[link.peer] = link
        self.dials.pop(link.peer, None)
        self.keeper.linked(self.clock.now(), link.peer, link.hello.memory, link.hello.run)
        self.pump()

    def heard(self, link: Link, words: list[m.Message]) -> None:
        """Words of a member, in order."""
        now = self.clock.now()
        for word in words:
            if self.peers.get(link.peer) is link:
                self.keeper.receive(now, link.peer, word)
        self.pump()

    def left(self, link: Link) -> None:
        """A connection has ended."""
        self.links.discard(link)
        if self.peers.get(link.peer) is link:
            del self.peers[link.peer]
            self.keeper.unlinked(self.clock.now(), link.peer)

    def pump(self) -> None:
        """Carry out what the keeper has put out."""
        if self.pumping:  # what is told to the front comes back here
            return
        self.pumping = True
        keeper = self.keeper
        while keeper.out or keeper.notices:
            out, keeper.out = keeper.out, []
            if not self._written():
                break
            words: dict[str, list[bytes]] = {}
            for peer, message in out:
                if peer in self.peers:
                    words.setdefault(peer, []).append(m.pack(message))
            for peer, packed in words.items():
                self.peers[peer].say(packed)
            notices, keeper.notices = keeper.notices, []
            for notice in notices:
                text = " ".join(f"{k}={v}" for k, v in notice.fields.items())
                logger.info(
                    "{what} key={key} {text}",
                    event=notice.event,
                    what=notice.event,
                    key=notice.key,
                    text=text,
                    **notice.fields,
                )
        self.pumping = False

    def _written(self) -> bool:
        """What changed is on disk, so that words that rest on it may leave."""
        touched, table = self.keeper.table.touched, self.keeper.table
        if self.store is not None and touched:
            from decklb.handoff.store import Kept, StoreError

            changes = {}
            for key in touched:
                record, granted = table.get(key), table.promises.granted(key)
                changes[key] = Kept(key, record, table.body(key), granted) if record or granted else None
            try:
                self.store.write(changes)
            except StoreError as error:
                # Votes that may be forgotten are none: others take over what is held here.
                logger.error(
                    "the handoff's store can't be written, nothing is protected here: {error}",
                    event="handoff-store-failed",
                    error=str(error),
                )
                self.keeper.out.clear()
                self.close()
                return False
        touched.clear()
        return True

    def close(self) -> None:
        """The process ends; others take over what is held here once membership tells them."""
        if self.closed:
            return
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.port is not None:
            self.port.stopListening()
        for link in list(self.links):
            link.end("stopping")
        self.keeper.close()
        if self.store is not None:
            self.store.close()
            self.store = None
