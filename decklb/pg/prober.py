"""Probes over PostgreSQL: Sync on a session of its own, answered by ReadyForQuery. No statement runs."""

from __future__ import annotations

from decklb.pg import messages as pg
from decklb.pg.errors import PgError
from decklb.wire.prober import Address, ProbeLink, Prober

MOST_MESSAGE = 1 << 16


class PgProbe(ProbeLink):
    """A session at an engine, for probes alone."""

    startup: dict[str, str] = {}

    def __init__(self, prober: Prober, engine: str, address: Address) -> None:
        super().__init__(prober, engine, address)
        self.reader = pg.MessageReader(MOST_MESSAGE, startup=False)

    def greet(self) -> None:
        """Introduce ourselves; the session is usable at its first ReadyForQuery."""
        self.transport.write(pg.pack_startup(self.startup | {"application_name": "decklb probe"}))

    def ask(self) -> None:
        """The least that an engine answers."""
        self.transport.write(pg.SYNC)

    def dataReceived(self, data: bytes) -> None:
        """The engine's messages, split anywhere."""
        try:
            for m in self.reader.feed(data):
                if self.closed:
                    return
                if m.type == b"Z" and not self.ready:
                    self.usable()
                elif m.type == b"Z":
                    self.answered()
                elif m.type == b"E":
                    self.refuse(f"error-{pg.read_error(m.payload).get('C', '')}")
                elif m.type == b"R" and m.payload != b"\0\0\0\0":
                    self.refuse("authentication-asked")
        except PgError as error:
            self.refuse(f"protocol: {error}")


def links(startup: dict[str, str]) -> type[PgProbe]:
    """The kind of link for engines that are told this user and database."""
    return type("PgProbe", (PgProbe,), {"startup": startup})
