"""Probes over RESP: `ping TAG`, answered by `well` under the same tag."""

from __future__ import annotations

from decklb.net import resp
from decklb.wire.health_check import Address, ProbeLink, Prober


class RespProbe(ProbeLink):
    """A connection to a RESP engine, for probes alone."""

    def __init__(self, prober: Prober, engine: str, address: Address) -> None:
        super().__init__(prober, engine, address)
        self.reader = resp.RespReader()
        self.tag = 0

    def ask(self) -> None:
        """A new tag each time, so that a late answer is not taken for the next one's."""
        self.tag += 1
        self.transport.write(resp.pack(b"ping", b"%016x" % self.tag))

    def dataReceived(self, data: bytes) -> None:
        """Answers; what belongs to no probe is passed over."""
        try:
            for array in self.reader.feed(data):
                if len(array) >= 2 and array[0] == b"%016x" % self.tag and array[1] == b"well" and self.done:
                    self.answered()
        except resp.RespError as error:
            self.refuse(f"protocol: {error}")
