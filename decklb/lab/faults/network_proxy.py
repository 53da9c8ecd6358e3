"""A proxy on loopback between every pair of a fleet's members, and between each member and each engine.

Each direction of each pair has link conditions that can be set while processes run; every link is clean at first.
`NetworkProxy` is owned by a fleet of `fault_runs`, which starts the processes with the proxy's addresses.

Member i is known to others by its ingress, `advertised[i]`, and binds elsewhere. A datagram from j to i's ingress
leaves from a socket kept for the pair (j, i), so that i sees a sender of its own for j; what i sends there, or to j's
ingress, goes to j over the link (i, j). Connections pass the ingress' port too; whose they are is known by the host
they come from, so members that use them bind hosts of their own (127.0.0.0/8 has many). Each member is given its own
address for each engine, `engine_addresses[i, engine]`.

A cut link holds what a connection carries, as lost segments would, and lets it pass late; a lossy one breaks it.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from decklb.lab.faults.fault_schedule import CLEAN, CUT, LinkConditions

Address = tuple[str, int]
CUT_POLL_S = 0.01  # between looks whether a link is still cut
LATENESS_POLL_S = 0.05  # between measurements of the proxy's own lateness
MAX_LATE_MS = 1000.0  # where the machine itself held the proxy or the program up for longer, a run proves nothing
MAX_PORT_TRIES = 50  # ports tried for one that is free for datagrams and connections
CHUNK_BYTES = 65536
INGRESS = "in"  # first half of the role of an ingress socket, beside its member


def _always(name: str, _host: str) -> str:
    return name


class _DatagramSocket(asyncio.DatagramProtocol):
    """A socket with its role: (INGRESS, member), or (sender, receiver) for a pair."""

    def __init__(self, proxy: NetworkProxy, role: tuple[str, str]) -> None:
        self.proxy, self.role = proxy, role
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.proxy._datagram_received(self.role, data, (addr[0], addr[1]))


class NetworkProxy:
    """The proxy of one fleet; `open` makes its sockets and fills in its addresses.

    Attributes:
        binds: Where each member binds.
        engines: Where each engine is, by its name and the member's.
        links: Conditions by sender and receiver; links that are not in it are clean.
        advertised: Each member's address for other members.
        engine_addresses: Each member's address for each engine.
        lost: Datagrams lost by a link's conditions.
        broken: Connections broken by a link's conditions.
        late_ms: By which this process was late at worst: then the proxy itself was what was slow.
    """

    def __init__(
        self, members: dict[str, Address], seed: int, engines: dict[str, dict[str, Address]] | None = None
    ) -> None:
        self.binds = dict(members)
        self.engines = engines or {}
        self.rng = random.Random(seed)
        self.links: dict[tuple[str, str], LinkConditions] = {}
        self.advertised: dict[str, Address] = {}
        self.engine_addresses: dict[tuple[str, str], Address] = {}
        self.lost = self.broken = 0
        self.late_ms = 0.0
        self._member_by_address = {address: name for name, address in members.items()}
        by_host = {address[0]: name for name, address in members.items()}
        self._member_by_host = by_host if len(by_host) == len(members) else {}  # only where each has its own
        self._ingress: dict[str, _DatagramSocket] = {}
        self._pairs: dict[tuple[str, str], _DatagramSocket] = {}
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._lateness_task: asyncio.Task[None] | None = None

    async def open(self, host: str = "127.0.0.1") -> None:
        """Open the sockets of all links, on one host.

        Raises:
            OSError: No port is free.
        """
        self._lateness_task = asyncio.ensure_future(self._measure_lateness())
        for name in self.binds:
            self.advertised[name] = await self._open_ingress(name, host)
        for sender in self.binds:
            for receiver in self.binds:
                if sender != receiver:
                    self._pairs[sender, receiver] = await self._open_datagram_socket((sender, receiver), host)
        for engine, by_member in self.engines.items():
            for member, target in by_member.items():
                server = await self._listen(host, 0, partial(_always, member), engine, target)
                self.engine_addresses[member, engine] = server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Close every socket."""
        if self._lateness_task is not None:
            self._lateness_task.cancel()
        for datagram_socket in [*self._ingress.values(), *self._pairs.values()]:
            datagram_socket.transport.close()
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()

    def set_link(self, sender: str, receiver: str, conditions: LinkConditions) -> None:
        """Set the conditions of one direction."""
        self.links[sender, receiver] = conditions

    def partition(self, member: str) -> None:
        """Cut a member off from all other members, both ways; its engines stay."""
        for other in self.binds:
            if other != member:
                self.links[member, other] = self.links[other, member] = CUT

    def heal(self) -> None:
        """Make every link clean."""
        self.links.clear()

    def _link(self, sender: str, receiver: str) -> LinkConditions:
        return self.links.get((sender, receiver), CLEAN)

    async def _measure_lateness(self) -> None:
        while True:
            due = time.monotonic() + LATENESS_POLL_S
            await asyncio.sleep(LATENESS_POLL_S)
            self.late_ms = max(self.late_ms, 1000.0 * (time.monotonic() - due))

    # Datagrams.

    async def _open_ingress(self, name: str, host: str) -> Address:
        for _ in range(MAX_PORT_TRIES):
            ingress = await self._open_datagram_socket((INGRESS, name), host)
            port = ingress.transport.get_extra_info("sockname")[1]
            try:
                if self._member_by_host:
                    await self._listen(host, port, self._member_by_host.get, name, self.binds[name])
            except OSError:  # somebody else's connections have the port
                ingress.transport.close()
                continue
            self._ingress[name] = ingress
            return host, port
        raise OSError("no port is free for datagrams and connections alike")

    async def _open_datagram_socket(self, role: tuple[str, str], host: str) -> _DatagramSocket:
        opened = _DatagramSocket(self, role)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: opened, local_addr=(host, 0))
        return opened

    def _datagram_received(self, role: tuple[str, str], data: bytes, source: Address) -> None:
        source_member = self._member_by_address.get(source)
        if role[0] == INGRESS:  # to the ingress of role[1], from a member's own socket
            if source_member is None:
                return
            sender, receiver = source_member, role[1]
            out = self._pairs[sender, receiver]
        else:  # to the pair (j, i) from i: an answer for j, which leaves by i's ingress
            sender, receiver = role[1], role[0]
            if source_member != sender:
                return
            out = self._ingress[sender]
        delays_ms = self._link(sender, receiver).arrival_delays_ms(self.rng)
        if not delays_ms:
            self.lost += 1
            return
        target = self.binds[receiver]
        for delay_ms in delays_ms:
            if delay_ms <= 0:
                out.transport.sendto(data, target)
            else:
                asyncio.get_running_loop().call_later(delay_ms / 1000.0, out.transport.sendto, data, target)

    # Connections.

    async def _listen(
        self, host: str, port: int, sender_at: Callable[[str], str | None], receiver: str, target: Address
    ) -> asyncio.Server:
        """Carry connections to a target; `sender_at` names the sender by the host it comes from."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            try:
                sender = sender_at(writer.get_extra_info("peername")[0])
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

    async def _carry(
        self, sender: str, receiver: str, target: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(*target)
        directions = [
            asyncio.ensure_future(self._carry_direction(sender, receiver, reader, target_writer)),
            asyncio.ensure_future(self._carry_direction(receiver, sender, target_reader, writer)),
        ]
        try:
            await asyncio.gather(*directions)
        except OSError:
            self.broken += 1
        finally:
            for direction in directions:
                direction.cancel()
            for end in (writer, target_writer):  # a process that was killed leaves its peers a reset or an end at once
                end.transport.abort()

    async def _carry_direction(
        self, sender: str, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry bytes until the sender's end; always ends by an error, so that the other direction ends too."""
        while data := await reader.read(CHUNK_BYTES):
            await self._wait_while_cut(sender, receiver)
            link = self._link(sender, receiver)
            if link.drop and self.rng.random() < link.drop:
                raise ConnectionError("broken by a fault")
            if link.delay_ms or link.jitter_ms:
                await asyncio.sleep((link.delay_ms + self.rng.uniform(0, link.jitter_ms)) / 1000.0)
            writer.write(data)
            await writer.drain()
        await self._wait_while_cut(sender, receiver)
        raise ConnectionError("closed")

    async def _wait_while_cut(self, sender: str, receiver: str) -> None:
        while self._link(sender, receiver).cut:
            await asyncio.sleep(CUT_POLL_S)
