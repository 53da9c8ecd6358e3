"""A proxy on loopback between every pair of a fleet's members, and between each member and each engine.

Each direction of each pair has link conditions that can be changed while the processes run; at first every link is
clean. `NetworkProxy` is owned by a fleet of `fault_runs`, which starts the processes with the proxy's addresses.

Datagrams: member i advertises the address of its ingress socket, `advertised[i]`, and binds another one. The proxy
forwards a datagram from j to i's ingress through a socket that it keeps for the pair (j, i), so i sees a different
source address for each j. What i sends to that address, or to j's ingress, is forwarded to j over the link (i, j).

Connections: they use the port of the ingress, too. The proxy recognises the sender by its host, so members that use
connections must bind different hosts of 127.0.0.0/8. Each member has its own address for each engine,
`engine_addresses[i, engine]`.

A cut link delays the data of a connection until the cut ends, as lost segments would. A lossy link may break the
connection.
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
CUT_POLL_S = 0.01  # between checks whether a link is still cut
LATENESS_POLL_S = 0.05  # between measurements of the proxy's own lateness
MAX_LATE_MS = 1000.0  # a run proves nothing if the machine delayed the proxy or the program for longer
MAX_PORT_TRIES = 50  # ports tried to find one that is free for both UDP and TCP
CHUNK_BYTES = 65536
INGRESS = "in"  # first part of the role of an ingress socket; its member is the second


def _fixed_sender(name: str, _host: str) -> str:
    return name


class _DatagramSocket(asyncio.DatagramProtocol):
    """A socket of the proxy with its role: (INGRESS, member), or (sender, receiver) for a pair."""

    def __init__(self, proxy: NetworkProxy, role: tuple[str, str]) -> None:
        self.proxy, self.role = proxy, role
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.proxy._datagram_received(self.role, data, (addr[0], addr[1]))


class NetworkProxy:
    """The proxy of one fleet; `open` creates its sockets and fills in its addresses.

    Attributes:
        binds: Address that each member binds.
        engines: Addresses of each engine by engine name and member name.
        links: Conditions by sender and receiver; links not listed are clean.
        advertised: Address at which other members reach each member.
        engine_addresses: Address at which a member reaches an engine, by member name and engine name.
        lost: Number of datagrams lost through link conditions.
        broken: Number of connections that have ended, broken by a link's conditions or closed.
        late_ms: Longest delay of this process, which delayed traffic irrespective of the link conditions.
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
        self._member_by_host = by_host if len(by_host) == len(members) else {}  # only if all hosts differ
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
                server = await self._listen(host, 0, partial(_fixed_sender, member), engine, target)
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
        """Set the conditions of one direction of a link."""
        self.links[sender, receiver] = conditions

    def partition(self, member: str) -> None:
        """Cut a member off from all other members in both directions, but not from the engines."""
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
            except OSError:  # the port is in use for TCP
                ingress.transport.close()
                continue
            self._ingress[name] = ingress
            return host, port
        raise OSError(f"found no port that is free for both UDP and TCP in {MAX_PORT_TRIES} attempts")

    async def _open_datagram_socket(self, role: tuple[str, str], host: str) -> _DatagramSocket:
        datagram_socket = _DatagramSocket(self, role)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: datagram_socket, local_addr=(host, 0))
        return datagram_socket

    def _datagram_received(self, role: tuple[str, str], data: bytes, source: Address) -> None:
        source_member = self._member_by_address.get(source)
        if role[0] == INGRESS:  # sent to the ingress of role[1] by another member
            if source_member is None:
                return
            sender, receiver = source_member, role[1]
            out = self._pairs[sender, receiver]
        else:  # sent by i to the socket of the pair (j, i): an answer to j, forwarded from i's ingress
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
        """Forward connections to a target.

        Args:
            host: Host to listen on.
            port: Port to listen on, 0 for any.
            sender_at: Returns the name of the sender by its host; None for an unknown host.
            receiver: Name of the receiver.
            target: Address of the receiver.
        """

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            try:
                sender = sender_at(writer.get_extra_info("peername")[0])
                if sender is None or self._link(sender, receiver).cut:
                    return writer.transport.abort()
                await self._forward_connection(sender, receiver, target, reader, writer)
            except OSError:
                writer.transport.abort()
            finally:
                self._tasks.discard(task)

        server = await asyncio.start_server(accept, host, port)
        self._servers.append(server)
        return server

    async def _forward_connection(
        self, sender: str, receiver: str, target: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(*target)
        directions = [
            asyncio.ensure_future(self._forward_direction(sender, receiver, reader, target_writer)),
            asyncio.ensure_future(self._forward_direction(receiver, sender, target_reader, writer)),
        ]
        try:
            await asyncio.gather(*directions)
        except OSError:
            self.broken += 1
        finally:
            for direction in directions:
                direction.cancel()
            # If one process was killed, its peer sees the connection end at once, as it would without the proxy.
            for each_writer in (writer, target_writer):
                each_writer.transport.abort()

    async def _forward_direction(
        self, sender: str, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward bytes until the sender closes its side.

        Raises:
            ConnectionError: Always, so that the opposite direction ends too.
        """
        while data := await reader.read(CHUNK_BYTES):
            await self._wait_while_cut(sender, receiver)
            link = self._link(sender, receiver)
            if link.drop and self.rng.random() < link.drop:
                raise ConnectionError("connection broken by the link conditions")
            if link.delay_ms or link.jitter_ms:
                await asyncio.sleep((link.delay_ms + self.rng.uniform(0, link.jitter_ms)) / 1000.0)
            writer.write(data)
            await writer.drain()
        await self._wait_while_cut(sender, receiver)
        raise ConnectionError("connection closed by the sender")

    async def _wait_while_cut(self, sender: str, receiver: str) -> None:
        while self._link(sender, receiver).cut:
            await asyncio.sleep(CUT_POLL_S)
