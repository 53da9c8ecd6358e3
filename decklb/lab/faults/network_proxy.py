"""The fault rig on loopback: a proxy between every pair of members, and between each member and each engine, with
faults on each direction of each.

Member i is told to others at its ingress, `told[i]`, and binds elsewhere. A datagram from j to i's ingress leaves the
rig from a socket kept for the pair (j, i), so that i sees a sender of its own for j; what i sends there, or to j's
ingress, goes to j over the link (i, j). Connections pass the ingress' port too; whose they are is told by the host they
come from, so members that use them bind hosts of their own (127.0.0.0/8 has many). Each member is given its own
address for each engine, `gates[i, engine]`. Every link is clean until a fault is set on it.

A cut link holds what a connection carries, as lost segments would, and lets it pass late; a lossy one breaks it.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from decklb.lab.faults.fault_schedule import CLEAN, Link

Address = tuple[str, int]
LOOK = 0.01  # seconds between looks at a cut link
WATCH = 0.05  # seconds between looks at the rig's own lateness
HELD_UP = 1000.0  # ms; where the machine itself held the rig or the program up for longer, a run proves nothing
TRIES = 50  # ports tried for one that is free for datagrams and connections


def _always(name: str, host: str) -> str:
    return name


class _Socket(asyncio.DatagramProtocol):
    def __init__(self, rig: Rig, role: tuple[str, str]) -> None:
        self.rig, self.role = rig, role  # ("in", member) for an ingress, (sender, receiver) for a pair
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.rig._received(self.role, data, (addr[0], addr[1]))


class Rig:
    """Proxies for `members` (name: where it binds) and `engines` (name: where it is, for each member). `open` makes
    the sockets; then `told` and `gates` name them."""

    def __init__(
        self, members: dict[str, Address], seed: int, engines: dict[str, dict[str, Address]] | None = None
    ) -> None:
        self.binds = dict(members)
        self.engines = engines or {}
        self.by_bind = {address: name for name, address in members.items()}
        hosts = [address[0] for address in members.values()]
        self.by_host = {a[0]: name for name, a in members.items()} if len(set(hosts)) == len(hosts) else {}
        self.rng = random.Random(seed)
        self.links: dict[tuple[str, str], Link] = {}
        self.told: dict[str, Address] = {}
        self.gates: dict[tuple[str, str], Address] = {}
        self._ingress: dict[str, _Socket] = {}
        self._pairs: dict[tuple[str, str], _Socket] = {}
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.lost = self.broken = 0  # datagrams lost and connections broken by a link's fault
        self.late = 0.0  # ms by which this process came late at worst: then the rig itself was what was slow
        self._watching: asyncio.Task[None] | None = None

    async def open(self, host: str = "127.0.0.1") -> None:
        """Open the sockets of all links, on one host."""
        self._watching = asyncio.ensure_future(self._watch())
        for name in self.binds:
            self.told[name] = await self._ingress_of(name, host)
        for sender in self.binds:
            for receiver in self.binds:
                if sender != receiver:
                    self._pairs[sender, receiver] = await self._socket((sender, receiver), host)
        for engine, by_member in self.engines.items():
            for member, target in by_member.items():
                server = await self._listen(host, 0, partial(_always, member), engine, target)
                self.gates[member, engine] = server.sockets[0].getsockname()[:2]

    async def _watch(self) -> None:
        while True:
            due = time.monotonic() + WATCH
            await asyncio.sleep(WATCH)
            self.late = max(self.late, 1000.0 * (time.monotonic() - due))

    async def _ingress_of(self, name: str, host: str) -> Address:
        for _ in range(TRIES):
            made = await self._socket(("in", name), host)
            port = made.transport.get_extra_info("sockname")[1]
            try:
                if self.by_host:
                    await self._listen(host, port, self.by_host.get, name, self.binds[name])
            except OSError:  # somebody else's connections have the port
                made.transport.close()
                continue
            self._ingress[name] = made
            return host, port
        raise OSError("no port is free for datagrams and connections alike")

    async def _socket(self, role: tuple[str, str], host: str) -> _Socket:
        made = _Socket(self, role)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: made, local_addr=(host, 0))
        return made

    async def _listen(
        self, host: str, port: int, who: Callable[[str], str | None], receiver: str, target: Address
    ) -> asyncio.Server:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            try:
                sender = who(writer.get_extra_info("peername")[0])
                if sender is None or self._link(sender, receiver).cut:
                    return writer.transport.abort()
                await self._carry(sender, receiver, target, reader, writer)
            except OSError:
                writer.transport.abort()
            finally:
                self._tasks.discard(task)

        server = await asyncio.start_server(accept, host, port)
        self._servers.append(server)
        return server

    def _link(self, sender: str, receiver: str) -> Link:
        return self.links.get((sender, receiver), CLEAN)

    async def _carry(
        self, sender: str, receiver: str, target: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        there, back = await asyncio.open_connection(*target)
        ways = [
            asyncio.ensure_future(self._way(sender, receiver, reader, back)),
            asyncio.ensure_future(self._way(receiver, sender, there, writer)),
        ]
        try:
            await asyncio.gather(*ways)
        except (OSError, ConnectionError):
            self.broken += 1
        finally:
            for way in ways:
                way.cancel()
            for end in (writer, back):  # a process that was killed leaves its peers a reset or an end at once
                end.transport.abort()

    async def _way(
        self, sender: str, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            while self._link(sender, receiver).cut:
                await asyncio.sleep(LOOK)
            link = self._link(sender, receiver)
            if link.drop and self.rng.random() < link.drop:
                raise ConnectionError("broken by a fault")
            if link.delay or link.jitter:
                await asyncio.sleep((link.delay + self.rng.uniform(0, link.jitter)) / 1000.0)
            writer.write(data)
            await writer.drain()
        while self._link(sender, receiver).cut:
            await asyncio.sleep(LOOK)
        raise ConnectionError("closed")

    def close(self) -> None:
        """Close every socket."""
        if self._watching is not None:
            self._watching.cancel()
        for made in [*self._ingress.values(), *self._pairs.values()]:
            made.transport.close()
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()

    def set(self, sender: str, receiver: str, link: Link) -> None:
        """Give one direction between two members another link."""
        self.links[sender, receiver] = link

    def partition(self, member: str) -> None:
        """Nothing between `member` and any other member, either way; its engines stay."""
        for other in self.binds:
            if other != member:
                self.links[member, other] = self.links[other, member] = Link(cut=True)

    def heal(self) -> None:
        """Make every link clean."""
        self.links.clear()

    def _received(self, role: tuple[str, str], data: bytes, source: Address) -> None:
        if role[0] == "in":  # to the ingress of role[1], from a member's own socket
            sender, receiver = self.by_bind.get(source), role[1]
            if sender is None:
                return
            out = self._pairs[sender, receiver]
        else:  # to the pair (j, i) from i: an answer for j, which leaves by i's ingress
            sender, receiver = role[1], role[0]
            if self.by_bind.get(source) != sender:
                return
            out = self._ingress[sender]
        delays = self._link(sender, receiver).fate(self.rng)
        if not delays:
            self.lost += 1
            return
        loop = asyncio.get_running_loop()
        target = self.binds[receiver]
        for delay in delays:
            if delay <= 0:
                out.transport.sendto(data, target)
            else:
                loop.call_later(delay / 1000.0, out.transport.sendto, data, target)
