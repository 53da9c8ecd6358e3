"""The fault rig on loopback: a proxy between every pair of members for their datagrams, and faults on each link.

Member i is told to others at its ingress, `told[i]`, and binds elsewhere. A datagram from j to i's ingress leaves the
rig from a socket kept for the pair (j, i), so that i sees a sender of its own for j; what i sends there, or to j's
ingress, goes to j over the link (i, j). Every link is clean until a fault is set on it. Datagrams only: TCP is not
carried yet.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

from decklb.lab.faults import CLEAN, Link

Address = tuple[str, int]


class _Socket(asyncio.DatagramProtocol):
    def __init__(self, rig: UdpRig, role: tuple[str, str]) -> None:
        self.rig, self.role = rig, role  # ("in", member) for an ingress, (sender, receiver) for a pair
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.rig._received(self.role, data, (addr[0], addr[1]))


class UdpRig:
    """Proxies for `members` (name: where it binds). `open` makes the sockets; then `told` names each ingress."""

    def __init__(self, members: dict[str, Address], seed: int) -> None:
        self.binds = dict(members)
        self.by_bind = {address: name for name, address in members.items()}
        self.rng = random.Random(seed)
        self.links: dict[tuple[str, str], Link] = {}
        self.told: dict[str, Address] = {}
        self._ingress: dict[str, _Socket] = {}
        self._pairs: dict[tuple[str, str], _Socket] = {}
        self.lost = 0  # datagrams lost by a link's fault

    async def open(self, host: str = "127.0.0.1") -> None:
        for name in self.binds:
            made = self._ingress[name] = await self._socket(("in", name), host)
            self.told[name] = made.transport.get_extra_info("sockname")[:2]
        for sender in self.binds:
            for receiver in self.binds:
                if sender != receiver:
                    self._pairs[sender, receiver] = await self._socket((sender, receiver), host)

    async def _socket(self, role: tuple[str, str], host: str) -> _Socket:
        made = _Socket(self, role)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: made, local_addr=(host, 0))
        return made

    def close(self) -> None:
        for made in [*self._ingress.values(), *self._pairs.values()]:
            made.transport.close()

    def set(self, sender: str, receiver: str, link: Link) -> None:
        self.links[sender, receiver] = link

    def partition(self, member: str) -> None:
        """Nothing between `member` and anyone else, either way."""
        for other in self.binds:
            if other != member:
                self.links[member, other] = self.links[other, member] = Link(cut=True)

    def heal(self) -> None:
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
        delays = self.links.get((sender, receiver), CLEAN).fate(self.rng)
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
